package cell

import (
	"math"
	"time"
)

// demandDecayTime is the time constant of the exponential decay of the demand.
const demandDecayTime = 5 * time.Second

// demand is the rate at which work arrives for one tier, kept as a sum of slot
// seconds that decays exponentially.
type demand struct {
	slotSeconds float64
	updatedAt   time.Time
}

// add adds arriving work, in slot seconds.
func (demand *demand) add(slotSeconds float64, now time.Time) {
	demand.slotSeconds = demand.rate(now)*demandDecayTime.Seconds() + slotSeconds
	demand.updatedAt = now
}

// rate returns the slot seconds that arrive per second.
func (demand *demand) rate(now time.Time) float64 {
	if demand.updatedAt.IsZero() {
		return 0
	}
	return demand.slotSeconds * math.Exp(-now.Sub(demand.updatedAt).Seconds()/demandDecayTime.Seconds()) / demandDecayTime.Seconds()
}

// addDemand adds an admitted call to the demand of its tier.
func (cell *Cell) addDemand(call *call, cost float64, now time.Time) {
	tier := call.request.Tier
	if cell.demandByTier[tier] == nil {
		cell.demandByTier[tier] = new(demand)
	}
	cell.demandByTier[tier].add(cost*cell.typicalGap().Seconds()+cell.typicalFirstToken().Seconds(), now)
}

// availableShare returns the fraction of the capacity that the demand of higher
// tiers leaves to a tier.
func (cell *Cell) availableShare(tier int, capacity float64, now time.Time) float64 {
	demanded := 0.0
	for higher, demand := range cell.demandByTier {
		if higher < tier {
			demanded += demand.rate(now)
		}
	}
	return max(minAvailableShare, 1-demanded/capacity)
}

// minAvailableShare keeps the wait estimate finite while higher tiers demand
// the entire capacity.
const minAvailableShare = 0.02

// typicalFirstToken returns the cell's median time from dispatch to the first
// token.
func (cell *Cell) typicalFirstToken() time.Duration {
	if typical := cell.health.FirstTokenQuantile(0.5); typical > 0 {
		return typical
	}
	return defaultFirstToken
}

// typicalGap returns the cell's typical time between tokens.
func (cell *Cell) typicalGap() time.Duration {
	if typical := cell.health.TypicalGap(); typical > 0 {
		return typical
	}
	return defaultGap
}

// estimateWait estimates how long a new call of a tier waits for a slot. The
// caller must hold the mutex.
//
// The calls ahead take the slots that become free first: those of the running
// calls, at their release rate, then those of the queued calls ahead, at the
// rate at which the capacity processes their expected tokens. The result is
// scaled by the share of the capacity that the demand of higher tiers leaves. A
// class with a minimum share waits no longer than that share takes to process
// its own queue. Without capacity there is no estimate and the result is 0.
func (cell *Cell) estimateWait(tier int, due time.Time, class string) time.Duration {
	capacity := float64(cell.capacity())
	if capacity == 0 {
		return 0
	}
	now := time.Now()
	items, cost := cell.queue.Ahead(tier, due)
	running, releaseRate := cell.slotReleaseRate(now)
	ahead := float64(items+1) - max(0, capacity-float64(running))
	if ahead <= 0 || running == 0 {
		return 0
	}
	wait := min(ahead, float64(running)) / releaseRate
	if queued := ahead - float64(running); queued > 0 && items > 0 {
		work := cost*cell.typicalGap().Seconds() + float64(items)*cell.typicalFirstToken().Seconds()
		wait += queued / float64(items+1) * work / capacity
	}
	wait /= cell.availableShare(tier, capacity, now)
	return seconds(min(wait, cell.minimumShareWait(class, capacity, wait)))
}

// minimumShareWait returns the time in which the minimum share of a class
// processes the queued work of the class, or the given wait if the class has no
// share.
func (cell *Cell) minimumShareWait(class string, capacity, wait float64) float64 {
	share := cell.options.MinimumShares[class]
	if share <= 0 || cell.options.Switches.DisableMinimumShare {
		return wait
	}
	classTokens := cell.queuedTokens[class] + cell.medianLength(class)
	return classTokens * cell.typicalGap().Seconds() / (capacity * share)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// slotReleaseRate returns the number of running attempts and the number of
// slots that they release per second. An attempt of total duration T
// contributes 1/T. This corrects for sampling bias: at any instant, long
// attempts are over-represented among the running ones.
func (cell *Cell) slotReleaseRate(now time.Time) (int, float64) {
	running := 0
	releaseRate := 0.0
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			running++
			total := now.Sub(attempt.dispatched) + cell.remainingTime(attempt, now)
			releaseRate += 1 / max(total.Seconds(), minAttemptTime.Seconds())
		}
	}
	return running, releaseRate
}

// minAttemptTime limits the release rate of very short attempts.
const minAttemptTime = 10 * time.Millisecond

// remainingTime returns the expected time until an attempt ends.
func (cell *Cell) remainingTime(attempt *attempt, now time.Time) time.Duration {
	remaining := seconds(attempt.expectedRemaining() * cell.typicalGap().Seconds())
	if attempt.tokens == 0 {
		remaining += max(0, cell.typicalFirstToken()-now.Sub(attempt.dispatched))
	}
	return remaining
}

// lengthEstimateStep is the number of tokens after which the length of a
// running answer is estimated again.
const lengthEstimateStep = 8

// estimateLength updates the estimated length of an attempt's answer, at most
// once every lengthEstimateStep tokens.
func (cell *Cell) estimateLength(attempt *attempt) {
	answerLength := attempt.answerLength()
	if answerLength < attempt.nextEstimateAt {
		return
	}
	request := &attempt.call.request
	attempt.nextEstimateAt = answerLength + lengthEstimateStep
	attempt.expectedLength = float64(answerLength) + cell.lengths.Quantile(request.Class, 0.5, answerLength)
	if request.MaxTokens > 0 {
		attempt.expectedLength = min(attempt.expectedLength, float64(request.MaxTokens))
	}
}

// answerLength returns the length of the answer so far, including earlier
// attempts.
func (attempt *attempt) answerLength() int { return attempt.resumeOffset + attempt.tokens }

// expectedRemaining returns the number of tokens that an attempt is expected to
// generate from now on.
func (attempt *attempt) expectedRemaining() float64 {
	return max(1, attempt.expectedLength-float64(attempt.answerLength()))
}

// medianLength returns the median answer length of a class.
func (cell *Cell) medianLength(class string) float64 {
	median, known := cell.medianLengths[class]
	if !known {
		median = cell.lengths.Quantile(class, 0.5, 0)
		cell.medianLengths[class] = median
	}
	return median
}

// longThreshold returns the expected length from which a call counts as long: a
// multiple of the median length of the shortest class present. A call that
// exceeds the median of its class is expected to become longer the longer it
// runs, so a short class has long calls too.
func (cell *Cell) longThreshold(now time.Time) float64 {
	shortest := math.Inf(1)
	for class, last := range cell.lastCallAt {
		if now.Sub(last) > classPresenceWindow {
			delete(cell.lastCallAt, class)
			continue
		}
		shortest = min(shortest, cell.medianLength(class))
	}
	return longLengthFactor * shortest
}

// longCapReached reports whether long calls occupy their share of the slots.
// The cap applies only while classes of short and of long calls are present
// together.
func (cell *Cell) longCapReached(now time.Time) bool {
	if cell.options.Switches.DisableLongCap {
		return false
	}
	threshold := cell.longThreshold(now)
	mixed := false
	for class := range cell.lastCallAt {
		mixed = mixed || cell.medianLength(class) >= threshold
	}
	if !mixed {
		return false
	}
	longAttempts := 0
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if attempt.expectedLength >= threshold {
				longAttempts++
			}
		}
	}
	return longAttempts >= max(1, int(float64(cell.capacity())*cell.options.LongShare))
}
