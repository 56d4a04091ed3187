package cell

import (
	"math"
	"time"

	"primrosegw/core/event"
)

// Preemption. A queued call whose first token is at risk takes the slot of a
// running call of a lower tier. The preempted call returns to the queue with the
// text delivered so far and resumes later; only its prefill is repeated.
//
// A class is not preempted below the number of slots that its minimum share
// entitles it to, because the share would assign those slots to it again.

// requestSlot preempts an attempt for a queued call whose first token is at
// risk, and schedules the next request in case the slot goes elsewhere.
func (call *call) requestSlot(now time.Time) {
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if !call.queued {
		return
	}
	call.preemptAt = now.Add(slotRetryInterval)
	if call.preempting != nil && !call.preempting.slotReleased {
		return
	}
	if attempt := cell.reusableVictim(); attempt != nil {
		call.preempting = attempt
		attempt.preemptedFor = call
		return
	}
	victim := cell.chooseVictim(call, now)
	if victim == nil {
		call.preemptAt = now.Add(idleSlotRetryInterval)
		return
	}
	call.preempting = victim
	cell.preempt(victim, call, now)
}

// reusableVictim returns a preempted attempt that still occupies its slot
// although the call it was preempted for is no longer queued; nil if there is
// none.
func (cell *Cell) reusableVictim() *attempt {
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if attempt.preemptedFor != nil && !attempt.preemptedFor.queued {
				return attempt
			}
		}
	}
	return nil
}

// wakePreemptor makes a call request a slot again at once when the slot freed
// for it was assigned to another call. If several calls are due together, the
// first freed slot may go to one that has not requested any; waiting for the
// next interval would make the other one miss its target. A slot that went to a
// lower tier wakes no call, because the minimum share would take the next slot
// as well and preemption would repeat without end.
func (cell *Cell) wakePreemptor(freed *attempt, grantedTier int) {
	waiting := freed.preemptedFor
	if waiting == nil || !waiting.queued || grantedTier == 0 || grantedTier > waiting.request.Tier {
		return
	}
	select {
	case waiting.wake <- struct{}{}:
	default:
	}
}

// preempt cancels an attempt to free its slot for a call.
func (cell *Cell) preempt(victim *attempt, call *call, now time.Time) {
	victim.cancelling = true
	victim.preemptedFor = call
	victim.call.preemptions++
	victim.cancel(errPreempted)
	cell.stats.Preempted++
	fields := victim.fields()
	fields["for_request"] = call.request.ID
	fields["for_tier"] = call.request.Tier
	fields["tokens"] = victim.answerLength()
	fields["due_in_ms"] = call.request.FirstToken.Sub(now).Milliseconds()
	cell.log(event.CellPreempted(), fields)
}

// chooseVictim returns the running attempt that is cheapest to preempt: the
// lowest tier, then the fewest preemptions so far, then the most tokens left.
// It returns nil if no attempt of a lower tier than the call is preemptible.
func (cell *Cell) chooseVictim(call *call, now time.Time) *attempt {
	var protected map[string]bool
	var chosen *attempt
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if !cell.preemptibleShared(attempt, call, now) || chosen != nil && !betterVictim(attempt, chosen) {
				continue
			}
			if protected == nil {
				protected = cell.protectedClasses()
			}
			if !protected[attempt.call.request.Class] && server.schedulable() && cell.weight(server) >= slowServerWeight {
				chosen = attempt
			}
		}
	}
	return chosen
}

// preemptibleShared reports whether an attempt that is not isolated may be
// preempted for a call.
func (cell *Cell) preemptibleShared(attempt *attempt, call *call, now time.Time) bool {
	return !attempt.isolated && cell.preemptible(attempt, call, now)
}

// preemptible reports whether an attempt, isolated or not, may be preempted for
// a call.
func (cell *Cell) preemptible(attempt *attempt, call *call, now time.Time) bool {
	request := &attempt.call.request
	if request.Tier <= call.request.Tier || !request.Idempotent || attempt.cancelling {
		return false
	}
	return cell.remainingTime(attempt, now) > minPreemptibleTime
}

// betterVictim reports whether attempt is cheaper to preempt than other.
func betterVictim(attempt, other *attempt) bool {
	if attempt.call.request.Tier != other.call.request.Tier {
		return attempt.call.request.Tier > other.call.request.Tier
	}
	if attempt.call.preemptions != other.call.preemptions {
		return attempt.call.preemptions < other.call.preemptions
	}
	return attempt.expectedRemaining() > other.expectedRemaining()
}

// protectedClasses returns the classes that occupy no more slots than their
// minimum share entitles them to.
func (cell *Cell) protectedClasses() map[string]bool {
	protected := make(map[string]bool)
	if cell.options.Switches.DisableMinimumShare {
		return protected
	}
	slotsByClass := make(map[string]int)
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if !attempt.cancelling {
				slotsByClass[attempt.call.request.Class]++
			}
		}
	}
	capacity := float64(cell.capacity())
	for class, count := range slotsByClass {
		share := cell.options.MinimumShares[class]
		protected[class] = share > 0 && float64(count) <= math.Ceil(share*capacity)
	}
	return protected
}
