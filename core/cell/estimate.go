package cell

import "time"

// firstToken returns the cell's usual wait from dispatch to the first token.
func (cell *Cell) firstToken() time.Duration {
	if usual := cell.health.FirstToken(0.5); usual > 0 {
		return usual
	}
	return defaultFirstToken
}

// gap returns the cell's usual time between tokens.
func (cell *Cell) gap() time.Duration {
	if usual := cell.health.Gap(); usual > 0 {
		return usual
	}
	return defaultGap
}

// wait estimates how long a new call of a tier waits for a slot. The mutex is
// held.
//
// The calls ahead take the slots that come free first: those of the running
// calls, one every remaining time/running, then those of the calls ahead
// themselves, at the rate at which the capacity works off their expected
// tokens. A class with a minimum share waits no longer than its own queue takes
// at that share. Without any capacity there is no estimate, and the wait is 0.
func (cell *Cell) wait(tier int, due time.Time, class string) time.Duration {
	capacity := float64(cell.capacity())
	if capacity == 0 {
		return 0
	}
	items, cost := cell.queue.Ahead(tier, due)
	running, remaining := cell.remaining()
	ahead := float64(items+1) - max(0, capacity-float64(running))
	if ahead <= 0 || running == 0 {
		return 0
	}
	wait := min(ahead/float64(running), 1) * remaining.Seconds()
	if queued := ahead - float64(running); queued > 0 && items > 0 {
		work := cost*cell.gap().Seconds() + float64(items)*cell.firstToken().Seconds()
		wait += queued / float64(items+1) * work / capacity
	}
	return seconds(min(wait, cell.shareWait(class, capacity, wait)))
}

// shareWait returns the time in which a class's minimum share works off what
// the class has queued, the given wait if it has no share.
func (cell *Cell) shareWait(class string, capacity, wait float64) float64 {
	share := cell.options.MinimumShares[class]
	if share <= 0 || cell.options.Switches.DisableMinimumShare {
		return wait
	}
	own := cell.queued[class] + cell.lengths.Quantile(class, 0.5, 0)
	return own * cell.gap().Seconds() / (capacity * share)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// remaining returns the number of running attempts and the mean time that they
// are expected to take.
func (cell *Cell) remaining() (int, time.Duration) {
	running := 0
	tokens := 0.0
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			running++
			tokens += cell.expected(attempt)
		}
	}
	if running == 0 {
		return 0, 0
	}
	return running, seconds(tokens / float64(running) * cell.gap().Seconds())
}

// expected returns the median of the tokens that an attempt has still to give.
func (cell *Cell) expected(attempt *attempt) float64 {
	request := &attempt.call.request
	served := attempt.offset + attempt.tokens
	expected := cell.lengths.Quantile(request.Class, 0.5, served)
	if request.MaxTokens > 0 {
		expected = min(expected, float64(max(1, request.MaxTokens-served)))
	}
	return expected
}

// long reports whether a call of a class that has been served some tokens is
// long work: its expected length is a multiple of the median length of the
// shortest class present. A call that outlives its class's median is expected
// to become longer the longer it runs, so short classes have long calls too.
func (cell *Cell) long(class string, served int, now time.Time) bool {
	expected := float64(served) + cell.lengths.Quantile(class, 0.5, served)
	shortest := cell.lengths.Quantile(class, 0.5, 0)
	for present, last := range cell.present {
		if now.Sub(last) <= shortWindow {
			shortest = min(shortest, cell.lengths.Quantile(present, 0.5, 0))
		}
	}
	return expected >= longFactor*shortest
}

// longFull reports whether long work holds its share of the slots.
func (cell *Cell) longFull(now time.Time) bool {
	if cell.options.Switches.DisableLongCap || !cell.shortPresent(now) {
		return false
	}
	held := 0
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if cell.long(attempt.call.request.Class, attempt.offset+attempt.tokens, now) {
				held++
			}
		}
	}
	allowed := max(1, int(float64(cell.capacity())*cell.options.LongShare))
	return held >= allowed
}

// shortPresent reports whether a class whose calls are not long was seen lately
// beside one whose calls are.
func (cell *Cell) shortPresent(now time.Time) bool {
	short, long := false, false
	for class, last := range cell.present {
		if now.Sub(last) > shortWindow {
			continue
		}
		if cell.long(class, 0, now) {
			long = true
		} else {
			short = true
		}
	}
	return short && long
}
