package cell

import (
	"math"
	"time"
)

// demandLife is the time over which the demand of a tier is averaged.
const demandLife = 5 * time.Second

// demand is the work that comes in for one tier, as a sum of slot seconds that
// decays with time.
type demand struct {
	work float64
	at   time.Time
}

// add counts work in.
func (demand *demand) add(work float64, now time.Time) {
	demand.work = demand.rate(now)*demandLife.Seconds() + work
	demand.at = now
}

// rate returns the work per second.
func (demand *demand) rate(now time.Time) float64 {
	if demand.at.IsZero() {
		return 0
	}
	return demand.work * math.Exp(-now.Sub(demand.at).Seconds()/demandLife.Seconds()) / demandLife.Seconds()
}

// count adds an admitted call to the demand of its tier.
func (cell *Cell) count(call *call, cost float64, now time.Time) {
	tier := call.request.Tier
	if cell.demands[tier] == nil {
		cell.demands[tier] = new(demand)
	}
	cell.demands[tier].add(cost*cell.gap().Seconds()+cell.firstToken().Seconds(), now)
}

// leftover returns the share of the capacity that the tiers above leave.
func (cell *Cell) leftover(tier int, capacity float64, now time.Time) float64 {
	taken := 0.0
	for higher, demand := range cell.demands {
		if higher < tier {
			taken += demand.rate(now)
		}
	}
	return max(leastLeftover, 1-taken/capacity)
}

// leastLeftover bounds the estimate while the tiers above take everything.
const leastLeftover = 0.02

// firstToken returns the cell's usual wait from dispatch to the first token.
func (cell *Cell) firstToken() time.Duration {
	if usual := cell.health.FirstTokenQuantile(0.5); usual > 0 {
		return usual
	}
	return defaultFirstToken
}

// gap returns the cell's usual time between tokens.
func (cell *Cell) gap() time.Duration {
	if usual := cell.health.TypicalGap(); usual > 0 {
		return usual
	}
	return defaultGap
}

// wait estimates how long a new call of a tier waits for a slot. The mutex is
// held.
//
// The calls ahead take the slots that come free first: those of the running
// calls, at the rate of the turnover, then those of the calls ahead themselves,
// at the rate at which the capacity works off their expected tokens. Of all
// these slots the tiers above will take those that their present demand comes
// to. A class with a minimum share waits no longer than its own queue takes at
// that share. Without any capacity there is no estimate, and the wait is 0.
func (cell *Cell) wait(tier int, due time.Time, class string) time.Duration {
	capacity := float64(cell.capacity())
	if capacity == 0 {
		return 0
	}
	now := time.Now()
	items, cost := cell.queue.Ahead(tier, due)
	running, turnover := cell.turnover(now)
	ahead := float64(items+1) - max(0, capacity-float64(running))
	if ahead <= 0 || running == 0 {
		return 0
	}
	wait := min(ahead, float64(running)) / turnover
	if queued := ahead - float64(running); queued > 0 && items > 0 {
		work := cost*cell.gap().Seconds() + float64(items)*cell.firstToken().Seconds()
		wait += queued / float64(items+1) * work / capacity
	}
	wait /= cell.leftover(tier, capacity, now)
	return seconds(min(wait, cell.shareWait(class, capacity, wait)))
}

// shareWait returns the time in which a class's minimum share works off what
// the class has queued, the given wait if it has no share.
func (cell *Cell) shareWait(class string, capacity, wait float64) float64 {
	share := cell.options.MinimumShares[class]
	if share <= 0 || cell.options.Switches.DisableMinimumShare {
		return wait
	}
	own := cell.queued[class] + cell.median(class)
	return own * cell.gap().Seconds() / (capacity * share)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// turnover returns the number of running attempts and the slots per second that
// they give back. An attempt that takes a time T gives back 1/T: long ones are
// met more often than short ones among the running, and this makes up for it.
func (cell *Cell) turnover(now time.Time) (int, float64) {
	running := 0
	turnover := 0.0
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			running++
			total := now.Sub(attempt.dispatched) + cell.remaining(attempt, now)
			turnover += 1 / max(total.Seconds(), leastTotal.Seconds())
		}
	}
	return running, turnover
}

// leastTotal bounds the turnover of attempts that are about to end.
const leastTotal = 10 * time.Millisecond

// remaining returns the time that an attempt is expected to go on.
func (cell *Cell) remaining(attempt *attempt, now time.Time) time.Duration {
	remaining := seconds(attempt.expected() * cell.gap().Seconds())
	if attempt.tokens == 0 {
		remaining += max(0, cell.firstToken()-now.Sub(attempt.dispatched))
	}
	return remaining
}

// forecastStep is the number of tokens after which the length of a running
// answer is estimated again.
const forecastStep = 8

// foresee estimates the length of an attempt's answer.
func (cell *Cell) foresee(attempt *attempt) {
	served := attempt.served()
	if served < attempt.forecastAt {
		return
	}
	request := &attempt.call.request
	attempt.forecastAt = served + forecastStep
	attempt.forecast = float64(served) + cell.lengths.Quantile(request.Class, 0.5, served)
	if request.MaxTokens > 0 {
		attempt.forecast = min(attempt.forecast, float64(request.MaxTokens))
	}
}

// served returns the length of the answer so far.
func (attempt *attempt) served() int { return attempt.offset + attempt.tokens }

// expected returns the tokens that an attempt is expected to give yet.
func (attempt *attempt) expected() float64 {
	return max(1, attempt.forecast-float64(attempt.served()))
}

// median returns the median length of the answers of a class.
func (cell *Cell) median(class string) float64 {
	median, known := cell.medians[class]
	if !known {
		median = cell.lengths.Quantile(class, 0.5, 0)
		cell.medians[class] = median
	}
	return median
}

// longFrom returns the expected length from which a call is long work: a
// multiple of the median length of the shortest class present. A call that
// outlives its class's median is expected to become longer the longer it runs,
// so a short class has long calls too.
func (cell *Cell) longFrom(now time.Time) float64 {
	shortest := math.Inf(1)
	for class, last := range cell.present {
		if now.Sub(last) > shortWindow {
			delete(cell.present, class)
			continue
		}
		shortest = min(shortest, cell.median(class))
	}
	return longFactor * shortest
}

// longFull reports whether long work holds its share of the slots. The share
// binds only while a class of short work is present beside one of long work.
func (cell *Cell) longFull(now time.Time) bool {
	if cell.options.Switches.DisableLongCap {
		return false
	}
	from := cell.longFrom(now)
	mixed := false
	for class := range cell.present {
		mixed = mixed || cell.median(class) >= from
	}
	if !mixed {
		return false
	}
	held := 0
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if attempt.forecast >= from {
				held++
			}
		}
	}
	return held >= max(1, int(float64(cell.capacity())*cell.options.LongShare))
}
