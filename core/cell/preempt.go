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
	victim := cell.victim(call, now)
	if victim == nil {
		return
	}
	call.relief = victim
	victim.yielding = true
	victim.call.preemptions++
	victim.cancel(errPreempted)
	cell.stats.Preempted++
	fields := victim.fields()
	fields["for_request"] = call.request.ID
	fields["for_tier"] = call.request.Tier
	fields["tokens"] = victim.offset + victim.tokens
	fields["due_in_ms"] = call.request.FirstToken.Sub(now).Milliseconds()
	cell.log(event.CellPreempted, fields)
}

// victim returns the running attempt that loses least by giving up its slot:
// the lowest tier, then the fewest preemptions so far, then the most work left.
// It returns nil if there is none below the tier of the call.
func (cell *Cell) victim(call *call, now time.Time) *attempt {
	protected := cell.protected()
	var chosen *attempt
	for _, server := range cell.servers {
		if !server.open() || cell.weight(server) < slowWeight {
			continue
		}
		for _, attempt := range server.attempts {
			if !cell.preemptible(attempt, call) || protected[attempt.call.request.Class] {
				continue
			}
			if chosen == nil || cell.worse(attempt, chosen) {
				chosen = attempt
			}
		}
	}
	return chosen
}

// preemptible reports whether an attempt may give up its slot for a call.
func (cell *Cell) preemptible(attempt *attempt, call *call) bool {
	request := &attempt.call.request
	if request.Tier <= call.request.Tier || !request.Idempotent || attempt.yielding || attempt.alone {
		return false
	}
	return seconds(cell.expected(attempt)*cell.gap().Seconds()) > nearlyDone
}

// worse reports whether an attempt is the better one to preempt of two.
func (cell *Cell) worse(attempt, other *attempt) bool {
	if attempt.call.request.Tier != other.call.request.Tier {
		return attempt.call.request.Tier > other.call.request.Tier
	}
	if attempt.call.preemptions != other.call.preemptions {
		return attempt.call.preemptions < other.call.preemptions
	}
	return cell.expected(attempt) > cell.expected(other)
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
