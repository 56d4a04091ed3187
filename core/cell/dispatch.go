package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/poison"
	"primrosegw/core/queue"
)

// candidate is a server with a free slot.
type candidate struct {
	server *server
	slots  int
	weight float64
}

// loadWithCall returns the fraction of the allowed slots that would be occupied
// with one more call.
func (candidate candidate) loadWithCall() float64 {
	return float64(len(candidate.server.attempts)+1) / float64(candidate.slots)
}

// dispatch assigns free slots to queued calls. It runs whenever a call is
// queued, a slot is freed or a server changes. The caller must hold the mutex.
func (cell *Cell) dispatch() {
	now := time.Now()
	if cell.queue.Len() > 0 || len(cell.suspects) > 0 {
		cell.dispatchSuspects(now)
		cell.probe(probeBeforeDispatch, now)
		for cell.dispatchNext(now) {
		}
		cell.probe(probeAfterDispatch, now)
	}
	cell.scheduleRecheck()
}

// dispatchNext assigns a slot to the next queued call. It returns false if
// there is no free slot or no eligible call.
func (cell *Cell) dispatchNext(now time.Time) bool {
	candidates := cell.candidates()
	if len(candidates) == 0 {
		return false
	}
	longCapReached := cell.longCapReached(now)
	item, found := cell.queue.Pop(now, func(item *queue.Item[*call]) bool {
		if item.Long && longCapReached {
			return false
		}
		return cell.copyAllowed(&item.Value.request) && cell.anySuitable(item.Value, candidates, now)
	})
	if !found {
		return false
	}
	call := item.Value
	if cell.returnSuspect(call) {
		return true
	}
	chosen := cell.chooseServer(call, candidates, now)
	cell.grantSlot(call, chosen.server, now)
	cell.logDispatch(call, chosen, candidates, now)
	return true
}

// returnSuspect sends a dequeued call back to its goroutine, to be submitted
// again, if it became a suspect while it was queued.
func (cell *Cell) returnSuspect(call *call) bool {
	cell.recordDequeued(call)
	if cell.poisonVerdict(&call.request) == poison.Shared {
		return false
	}
	cell.queue.ReleaseReservation(call.request.Class, call.request.Workspace, call.cost)
	call.decisions <- decision{}
	return true
}

// candidates returns the servers with a free slot.
func (cell *Cell) candidates() []candidate {
	candidates := make([]candidate, 0, len(cell.servers))
	for _, server := range cell.servers {
		if !server.schedulable() {
			continue
		}
		slots := cell.allowedSlots(server)
		if len(server.attempts) < slots {
			candidates = append(candidates, candidate{server: server, slots: slots, weight: cell.weight(server)})
		}
	}
	return candidates
}

// anySuitable reports whether at least one candidate is suitable for a call.
func (cell *Cell) anySuitable(call *call, candidates []candidate, now time.Time) bool {
	return slices.ContainsFunc(candidates, func(candidate candidate) bool { return cell.suitable(call, candidate, now) })
}

// suitable reports whether a call may run on a candidate. A slow server is not
// suitable for a call that would miss its target there but may still meet it on
// the next server to free a slot.
func (cell *Cell) suitable(call *call, candidate candidate, now time.Time) bool {
	target := call.request.FirstToken
	if candidate.weight >= slowServerWeight || target.IsZero() {
		return true
	}
	slowFirstToken := cell.health.MeanFirstToken(candidate.server.Name)
	if !now.Add(slowFirstToken).After(target) {
		return true
	}
	_, releaseRate := cell.slotReleaseRate(now)
	if releaseRate == 0 {
		return true
	}
	nextSlotFirstToken := cell.typicalFirstToken() + seconds(1/releaseRate)
	return now.Add(nextSlotFirstToken).After(target)
}

// chooseServer returns the suitable candidate with the lowest placement cost.
func (cell *Cell) chooseServer(call *call, candidates []candidate, now time.Time) candidate {
	var best candidate
	lowest := 0.0
	for _, candidate := range candidates {
		if !cell.suitable(call, candidate, now) {
			continue
		}
		cost := cell.placementCost(call, candidate)
		if best.server == nil || cost < lowest {
			best = candidate
			lowest = cost
		}
	}
	return best
}

// placementCost returns the load of a server after the call, reduced by the
// value of the cached part of the prompt. A server on which the call failed
// before costs more than any other.
func (cell *Cell) placementCost(call *call, candidate candidate) float64 {
	cost := candidate.loadWithCall() - affinityWeight*cell.affinity(candidate.server, call.request.Prefixes)
	if call.avoidServer == candidate.server {
		cost += 2
	}
	return cost
}

// grantSlot assigns a slot to a call that was removed from the queue.
func (cell *Cell) grantSlot(call *call, server *server, now time.Time) {
	attempt := cell.newAttempt(call, server, now)
	attempt.cost = call.cost
	cell.hedges.Deposit()
	cell.lastGrantedTier = call.request.Tier
	call.decisions <- decision{attempt: attempt}
}

// probeRound selects the calls that may be used to probe a server whose weight
// is too low for ordinary dispatch.
type probeRound int

const (
	// probeBeforeDispatch runs before the healthy servers are filled and uses
	// idempotent calls below the top tier.
	probeBeforeDispatch probeRound = iota
	// probeAfterDispatch uses idempotent calls for which the healthy servers had
	// no slot, or any call if there is no healthy server.
	probeAfterDispatch
)

// probe sends one call to each low-weight server whose probe is due.
func (cell *Cell) probe(round probeRound, now time.Time) {
	if cell.options.Switches.DisableHealth {
		return
	}
	noCapacity := round == probeAfterDispatch && cell.capacity() == 0
	for _, server := range cell.servers {
		if !server.schedulable() || len(server.attempts) >= server.Slots || !cell.health.ProbeDue(server.Name) {
			continue
		}
		item, found := cell.queue.Pop(now, func(item *queue.Item[*call]) bool {
			request := &item.Value.request
			if !cell.copyAllowed(request) {
				return false
			}
			return noCapacity || request.Idempotent && (round == probeAfterDispatch || request.Tier > topTier)
		})
		if !found {
			if noCapacity {
				cell.probeWithSuspect(server, now)
			}
			continue
		}
		if cell.returnSuspect(item.Value) {
			continue
		}
		cell.grantSlot(item.Value, server, now)
		cell.recordProbe(item.Value, server)
	}
}

// recordProbe records that a call was sent to a server as a probe.
func (cell *Cell) recordProbe(call *call, server *server) {
	cell.health.MarkProbed(server.Name)
	cell.stats.Probed++
	cell.log(event.CellProbed(), logrus.Fields{
		"request_id": call.request.ID, "server": server.Name, "queued": cell.queue.Len(),
	})
}

// logDispatch logs a dispatch with the costs of the servers that were not
// chosen.
func (cell *Cell) logDispatch(call *call, chosen candidate, candidates []candidate, now time.Time) {
	if !cell.options.Logger.Enabled(event.CellDispatched()) {
		return
	}
	others := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.server != chosen.server {
			others = append(others, fmt.Sprintf("%s:%.2f", candidate.server.Name, cell.placementCost(call, candidate)))
		}
	}
	cell.log(event.CellDispatched(), logrus.Fields{
		"request_id": call.request.ID, "class": call.request.Class, "tier": call.request.Tier,
		"workspace": call.request.Workspace, "server": chosen.server.Name,
		"cost": fmt.Sprintf("%.2f", cell.placementCost(call, chosen)), "weight": fmt.Sprintf("%.2f", chosen.weight),
		"over": strings.Join(others, " "), "waited_ms": now.Sub(call.enqueued).Milliseconds(),
		"queued": cell.queue.Len(), "why": "lowest load minus cached prefix credit",
	})
}

// scheduleRecheck starts or stops the recheck timer. The timer runs while there
// is queued work that can become eligible without any other event: a server's
// weight rises, a probe falls due, a class of short calls is no longer present,
// or a suspect has waited for suspectPriorityDelay.
func (cell *Cell) scheduleRecheck() {
	waiting := cell.queue.Len() > 0 && (cell.anyReducedWeight() || len(cell.candidates()) > 0) || len(cell.suspects) > 0
	if !waiting {
		if cell.recheckTimer != nil {
			cell.recheckTimer.Stop()
			cell.recheckTimer = nil
		}
		return
	}
	if cell.recheckTimer == nil {
		cell.recheckTimer = time.AfterFunc(recheckInterval, cell.recheck)
	}
}

func (cell *Cell) recheck() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.recheckTimer = nil
	cell.dispatch()
}

// anyReducedWeight reports whether a server has less than its full weight.
func (cell *Cell) anyReducedWeight() bool {
	return slices.ContainsFunc(cell.servers, func(server *server) bool {
		return !server.Leaving && cell.weight(server) < 1
	})
}

// removeCall removes a call that ended from the queue and the suspects, and
// frees a slot or server that was assigned to it but not used yet. The caller
// must hold the mutex.
func (cell *Cell) removeCall(call *call) {
	if call.queued {
		cell.queue.Remove(call.id)
		cell.recordDequeued(call)
	}
	cell.removeSuspect(call)
	select {
	case decision := <-call.decisions:
		if decision.attempt != nil {
			cell.releaseSlot(decision.attempt)
		}
	default:
	}
	cell.unreserveServer(call)
	cell.dispatch()
}
