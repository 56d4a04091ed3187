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

// vacancy is a server with a free slot.
type vacancy struct {
	server *server
	slots  int
	weight float64
}

// load returns the part of the allowed slots that would be taken with one more
// call.
func (vacancy vacancy) load() float64 {
	return float64(len(vacancy.server.attempts)+1) / float64(vacancy.slots)
}

// dispatch gives free slots to queued calls. The mutex is held. It runs whenever
// a call is queued, a slot comes free or a server changes.
func (cell *Cell) dispatch() {
	now := time.Now()
	if cell.queue.Len() > 0 || len(cell.suspects) > 0 {
		cell.isolate(now)
		cell.probe(probeFirst, now)
		for cell.serveNext(now) {
		}
		cell.probe(probeLast, now)
	}
	cell.arm()
}

// serveNext gives a slot to the next call, and reports false when there is no
// slot or no call for one.
func (cell *Cell) serveNext(now time.Time) bool {
	vacant := cell.vacant()
	if len(vacant) == 0 {
		return false
	}
	longFull := cell.longFull(now)
	item, found := cell.queue.Pop(now, func(item *queue.Item[*call]) bool {
		if item.Long && longFull {
			return false
		}
		return cell.copyAllowed(&item.Value.request) && cell.acceptable(item.Value, vacant, now)
	})
	if !found {
		return false
	}
	call := item.Value
	if cell.takenBack(call) {
		return true
	}
	chosen := cell.choose(call, vacant, now)
	cell.give(call, chosen.server, now)
	cell.logChoice(call, chosen, vacant, now)
	return true
}

// takenBack returns a call to its goroutine when it became a suspect while it
// was queued.
func (cell *Cell) takenBack(call *call) bool {
	cell.unqueued(call)
	if cell.suspicion(&call.request) == poison.Shared {
		return false
	}
	cell.queue.ReleaseReservation(call.request.Class, call.request.Workspace, call.cost)
	call.grants <- grant{}
	return true
}

// vacant returns the servers with a free slot.
func (cell *Cell) vacant() []vacancy {
	vacant := make([]vacancy, 0, len(cell.servers))
	for _, server := range cell.servers {
		if !server.open() {
			continue
		}
		slots := cell.slots(server)
		if len(server.attempts) < slots {
			vacant = append(vacant, vacancy{server: server, slots: slots, weight: cell.weight(server)})
		}
	}
	return vacant
}

// acceptable reports whether one of the vacancies suits a call. A slow server
// does not suit a call that would miss its target there and may still meet it
// on a server that comes free soon.
func (cell *Cell) acceptable(call *call, vacant []vacancy, now time.Time) bool {
	return slices.ContainsFunc(vacant, func(vacancy vacancy) bool { return cell.suits(call, vacancy, now) })
}

func (cell *Cell) suits(call *call, vacancy vacancy, now time.Time) bool {
	target := call.request.FirstToken
	if vacancy.weight >= slowWeight || target.IsZero() {
		return true
	}
	slow := cell.health.MeanFirstToken(vacancy.server.Name)
	if !now.Add(slow).After(target) {
		return true
	}
	_, turnover := cell.turnover(now)
	if turnover == 0 {
		return true
	}
	soon := cell.firstToken() + seconds(1/turnover)
	return now.Add(soon).After(target)
}

// choose returns the best vacancy for a call: the one with the smallest share
// of taken slots, less what the prompt's cached part is worth. The server on
// which the call was lost before comes last.
func (cell *Cell) choose(call *call, vacant []vacancy, now time.Time) vacancy {
	var best vacancy
	lowest := 0.0
	for _, vacancy := range vacant {
		if !cell.suits(call, vacancy, now) {
			continue
		}
		cost := cell.choiceCost(call, vacancy)
		if best.server == nil || cost < lowest {
			best = vacancy
			lowest = cost
		}
	}
	return best
}

func (cell *Cell) choiceCost(call *call, vacancy vacancy) float64 {
	cost := vacancy.load() - affinityGain*cell.affinity(vacancy.server, call.request.Prefixes)
	if call.avoid == vacancy.server {
		cost += 2
	}
	return cost
}

// give hands a slot to a call that was taken out of the queue.
func (cell *Cell) give(call *call, server *server, now time.Time) {
	attempt := cell.newAttempt(call, server, now)
	attempt.cost = call.cost
	cell.hedges.Deposit()
	cell.granted = call.request.Tier
	call.grants <- grant{attempt: attempt}
}

// probeRound says which calls a weighted-down server may be probed with.
type probeRound int

const (
	// probeFirst: before the healthy servers are filled, with repeatable work
	// below the top tier.
	probeFirst probeRound = iota
	// probeLast: with what the healthy servers have no slot for; with any call
	// when there is no healthy server at all.
	probeLast
)

// probe gives one call each to weighted-down servers that are due a probe.
func (cell *Cell) probe(round probeRound, now time.Time) {
	if cell.options.Switches.DisableHealth {
		return
	}
	desperate := round == probeLast && cell.capacity() == 0
	for _, server := range cell.servers {
		if !server.open() || len(server.attempts) >= server.Slots || !cell.health.ProbeDue(server.Name) {
			continue
		}
		item, found := cell.queue.Pop(now, func(item *queue.Item[*call]) bool {
			request := &item.Value.request
			if !cell.copyAllowed(request) {
				return false
			}
			return desperate || request.Idempotent && (round == probeLast || request.Tier > topTier)
		})
		if !found {
			continue
		}
		if cell.takenBack(item.Value) {
			continue
		}
		cell.health.MarkProbed(server.Name)
		cell.stats.Probed++
		cell.give(item.Value, server, now)
		cell.log(event.CellProbed(), logrus.Fields{
			"request_id": item.Value.request.ID, "server": server.Name, "queued": cell.queue.Len(),
		})
	}
}

// logChoice logs a dispatch with what it was chosen over.
func (cell *Cell) logChoice(call *call, chosen vacancy, vacant []vacancy, now time.Time) {
	if !cell.options.Logger.Enabled(event.CellDispatched()) {
		return
	}
	others := make([]string, 0, len(vacant))
	for _, vacancy := range vacant {
		if vacancy.server != chosen.server {
			others = append(others, fmt.Sprintf("%s:%.2f", vacancy.server.Name, cell.choiceCost(call, vacancy)))
		}
	}
	cell.log(event.CellDispatched(), logrus.Fields{
		"request_id": call.request.ID, "class": call.request.Class, "tier": call.request.Tier,
		"workspace": call.request.Workspace, "server": chosen.server.Name,
		"cost": fmt.Sprintf("%.2f", cell.choiceCost(call, chosen)), "weight": fmt.Sprintf("%.2f", chosen.weight),
		"over": strings.Join(others, " "), "waited_ms": now.Sub(call.enqueued).Milliseconds(),
		"queued": cell.queue.Len(), "why": "lowest load less cached prefix",
	})
}

// arm sees to it that the queue is looked at again when it holds work that only
// time can make eligible: a server's weight rises, a probe falls due, a short
// class is no longer present or a suspect's patience ends.
func (cell *Cell) arm() {
	waiting := cell.queue.Len() > 0 && (cell.reduced() || len(cell.vacant()) > 0) || len(cell.suspects) > 0
	if !waiting {
		if cell.recheck != nil {
			cell.recheck.Stop()
			cell.recheck = nil
		}
		return
	}
	if cell.recheck == nil {
		cell.recheck = time.AfterFunc(recheckInterval, cell.lookAgain)
	}
}

func (cell *Cell) lookAgain() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.recheck = nil
	cell.dispatch()
}

// reduced reports whether a server has less than its full weight.
func (cell *Cell) reduced() bool {
	return slices.ContainsFunc(cell.servers, func(server *server) bool {
		return !server.Leaving && cell.weight(server) < 1
	})
}

// forget takes a call that ended out of everything it waits for. The mutex is
// held.
func (cell *Cell) forget(call *call) {
	if call.queued {
		cell.queue.Remove(call.id)
		cell.unqueued(call)
	}
	cell.removeSuspect(call)
	select {
	case grant := <-call.grants:
		if grant.attempt != nil {
			cell.drop(grant.attempt)
		}
	default:
	}
	cell.unreserve(call)
	cell.dispatch()
}
