package cell

import (
	"math"
	"time"

	"primrosegw/core/event"
)

// Preemption. A queued call whose first token is at risk takes the slot of a
// running call of a lower tier. That call goes back to the queue with the text
// that its caller has and resumes later; only its prefill is spent again.
//
// A class is not preempted below the slots that its minimum share comes to, or
// the share would give it slots that it cannot keep.

// relieve asks for a slot for the call, and again while it is queued.
func (call *call) relieve(now time.Time) {
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if !call.queued {
		return
	}
	call.relieveAt = now.Add(reliefInterval)
	if call.relief != nil && !call.relief.freed {
		return
	}
	if coming := cell.unclaimed(); coming != nil {
		call.relief = coming
		coming.reliefFor = call
		return
	}
	victim := cell.victim(call, now)
	if victim == nil {
		call.relieveAt = now.Add(idleReliefInterval)
		return
	}
	call.relief = victim
	cell.preempt(victim, call, now)
}

// unclaimed returns a preempted attempt that still holds its slot and whose
// call has got another slot meanwhile; nil if there is none.
func (cell *Cell) unclaimed() *attempt {
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if attempt.reliefFor != nil && !attempt.reliefFor.queued {
				return attempt
			}
		}
	}
	return nil
}

// wakeRelieved lets a call ask again at once when the slot that was taken back
// for it went to another call. Of several calls that are due together, the first
// slot may go to one that has not asked yet; without this the other one would
// wait for the next look, and miss its target by that.
//
// It does so once in a relief interval. A call that no free slot suits would
// otherwise preempt, without end and within one instant, the lower-tier calls
// that get the slots taken back for it.
func (cell *Cell) wakeRelieved(freed *attempt) {
	call := freed.reliefFor
	if call == nil || !call.queued {
		return
	}
	now := time.Now()
	if now.Sub(call.woken) < reliefInterval {
		return
	}
	call.woken = now
	select {
	case call.wake <- struct{}{}:
	default:
	}
}

// preempt takes an attempt's slot back for a call.
func (cell *Cell) preempt(victim *attempt, call *call, now time.Time) {
	victim.yielding = true
	victim.reliefFor = call
	victim.call.preemptions++
	victim.cancel(errPreempted)
	cell.stats.Preempted++
	fields := victim.fields()
	fields["for_request"] = call.request.ID
	fields["for_tier"] = call.request.Tier
	fields["tokens"] = victim.served()
	fields["due_in_ms"] = call.request.FirstToken.Sub(now).Milliseconds()
	cell.log(event.CellPreempted(), fields)
}

// victim returns the running attempt that loses least by giving up its slot:
// the lowest tier, then the fewest preemptions so far, then the most work left.
// It returns nil if there is none below the tier of the call.
func (cell *Cell) victim(call *call, now time.Time) *attempt {
	var protected map[string]bool
	var chosen *attempt
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if !cell.preemptible(attempt, call, now) || chosen != nil && !worse(attempt, chosen) {
				continue
			}
			if protected == nil {
				protected = cell.protected()
			}
			if !protected[attempt.call.request.Class] && server.open() && cell.weight(server) >= slowWeight {
				chosen = attempt
			}
		}
	}
	return chosen
}

// preemptible reports whether an attempt may give up its slot for a call.
func (cell *Cell) preemptible(attempt *attempt, call *call, now time.Time) bool {
	return !attempt.alone && cell.mayYield(attempt, call, now)
}

// mayYield is preemptible for suspects that run alone too.
func (cell *Cell) mayYield(attempt *attempt, call *call, now time.Time) bool {
	request := &attempt.call.request
	if request.Tier <= call.request.Tier || !request.Idempotent || attempt.yielding {
		return false
	}
	return cell.remaining(attempt, now) > nearlyDone
}

// worse reports whether an attempt is the better one to preempt of two.
func worse(attempt, other *attempt) bool {
	if attempt.call.request.Tier != other.call.request.Tier {
		return attempt.call.request.Tier > other.call.request.Tier
	}
	if attempt.call.preemptions != other.call.preemptions {
		return attempt.call.preemptions < other.call.preemptions
	}
	return attempt.expected() > other.expected()
}

// protected returns the classes that hold no more slots than their minimum
// share comes to.
func (cell *Cell) protected() map[string]bool {
	protected := make(map[string]bool)
	if cell.options.Switches.DisableMinimumShare {
		return protected
	}
	held := make(map[string]int)
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if !attempt.yielding {
				held[attempt.call.request.Class]++
			}
		}
	}
	capacity := float64(cell.capacity())
	for class, count := range held {
		share := cell.options.MinimumShares[class]
		protected[class] = share > 0 && float64(count) <= math.Ceil(share*capacity)
	}
	return protected
}
