package duty

// eraShift is the position of the store's era in a fencing token, above a counter.
const eraShift = 32

// NextFence returns the fencing token that follows the last one, in the given era of the store. A store
// that is restored from a copy gives counters out again, but begins a new era, so a token of the new era is
// higher than all tokens before it.
func NextFence(era, last int64) int64 {
	if last>>eraShift >= era {
		return last + 1
	}
	return era<<eraShift + 1
}

// FenceEra returns the era in which a fencing token was given out.
func FenceEra(fence int64) int64 { return fence >> eraShift }
