package cell

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/poison"
)

// Suspects. A request that was on an engine when it died runs alone from then
// on, under a claim that is exclusive among all hosts. It waits apart from the
// queue, because it needs a whole server: the cell stops giving new work to one
// server and lets it drain.

// crashed records the loss of a server in the suspects, and withdraws other
// running copies of the request. All attempts that a server ran when it died
// record the same loss. The mutex is held.
func (cell *Cell) crashed(attempt *attempt) []poison.Record {
	server := attempt.server
	if attempt.serial > server.lost {
		server.lost = cell.sequence
		server.loss = xxhash.Sum64String(fmt.Sprint(cell.options.Name, "/", server.Name, "/", time.Now().UnixNano()))
	}
	cell.stats.Crashed++
	attempt.crash = server.loss
	fields := attempt.fields()
	fields["loss"] = server.loss
	cell.log(event.CellCrashed(), fields)
	if cell.options.Switches.DisablePoison {
		return nil
	}
	records := cell.options.Suspects.Crash(attempt.call.request.Fingerprint, server.loss)
	cell.review()
	return records
}

// convict gives the claim on a suspect back after it crashed a server, and
// refuses the call when that was the second one.
func (call *call) convict(attempt *attempt) error {
	if attempt.crash == 0 {
		return nil
	}
	if call.claimed {
		call.unclaim(poison.RunResult{Crash: attempt.crash})
	}
	if call.cell.suspicion(&call.request) == poison.Refused {
		return call.poisoned()
	}
	return nil
}

// poisoned returns the error of a request that is not run again.
func (call *call) poisoned() error {
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.stats.Poison++
	cell.log(event.CellPoison(), logrus.Fields{
		"request_id": call.request.ID, "workspace": call.request.Workspace, "fingerprint": call.request.Fingerprint,
	})
	detail := fmt.Sprintf("the request crashed %d backend servers and is not run again for %s", poison.DefaultCrashLimit, poison.CrashTTL)
	return fault.New("cell.Serve", Poison, detail)
}

// enterAlone claims a suspect and puts it among those that wait for a server of
// their own. While the claim is held elsewhere, or its owner cannot be reached,
// the call waits.
func (call *call) enterAlone() error {
	if !call.claimed {
		grant, err := call.cell.options.Claims.Claim(call.ctx, call.request.Fingerprint, call.holder(), call.claimUntil())
		if err == nil && grant.Verdict == poison.Refused {
			return call.poisoned()
		}
		if err != nil || !grant.Granted {
			call.retryAt = time.Now().Add(claimInterval)
			return nil
		}
		call.claimed = true
	}
	return call.cell.enqueueSuspect(call)
}

// holder identifies the call among all hosts.
func (call *call) holder() string { return call.cell.options.Name + "/" + call.id }

func (call *call) claimUntil() time.Time {
	if call.request.Deadline.IsZero() {
		return time.Now().Add(claimTime)
	}
	return call.request.Deadline
}

// unclaim gives the claim back.
func (call *call) unclaim(result poison.RunResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.ctx), releaseTimeout)
	defer cancel()
	call.claimed = false
	// A claim that cannot be given back ends by itself.
	_ = call.cell.options.Claims.Release(ctx, call.request.Fingerprint, call.holder(), result)
}

// release ends what the call means to the suspects: a request that ran to its
// end is not the cause of the crashes that it was held to.
func (call *call) release(err error) {
	if call.claimed {
		call.unclaim(poison.RunResult{Completed: err == nil})
	}
	if err != nil || call.cell.suspicion(&call.request) != poison.Exclusive {
		return
	}
	if record, changed := call.cell.options.Suspects.Clear(call.request.Fingerprint); changed {
		call.cell.options.Announce([]poison.Record{record})
	}
}

// enqueueSuspect puts a call among the suspects, in the order of tiers and
// targets.
func (cell *Cell) enqueueSuspect(waiting *call) error {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.closed && waiting.fresh() {
		return closed()
	}
	if waiting.enqueued.IsZero() {
		waiting.enqueued = time.Now()
	}
	waiting.suspected = true
	position, _ := slices.BinarySearchFunc(cell.suspects, waiting, func(a, b *call) int {
		order := cmp.Or(cmp.Compare(a.request.Tier, b.request.Tier), a.request.FirstToken.Compare(b.request.FirstToken))
		return cmp.Or(order, -1)
	})
	cell.suspects = slices.Insert(cell.suspects, position, waiting)
	cell.dispatch()
	return nil
}

// removeSuspect takes a call from among the suspects.
func (cell *Cell) removeSuspect(call *call) {
	if !call.suspected {
		return
	}
	call.suspected = false
	if position := slices.Index(cell.suspects, call); position >= 0 {
		cell.suspects = slices.Delete(cell.suspects, position, position+1)
	}
}

// unreserve gives up the server that is kept free for a call.
func (cell *Cell) unreserve(call *call) {
	for _, server := range cell.servers {
		running := slices.ContainsFunc(server.attempts, func(attempt *attempt) bool { return attempt.alone })
		if server.alone == call && !running {
			server.alone = nil
		}
	}
}

// isolate starts the suspects for which a server has been drained, once no other
// copy of the request runs in the cell: that copy may be about to crash a server
// too. Calls that are no longer suspects, or are refused now, go back to their
// goroutines.
func (cell *Cell) isolate(now time.Time) {
	for _, call := range slices.Clone(cell.suspects) {
		if cell.suspicion(&call.request) != poison.Exclusive {
			cell.removeSuspect(call)
			cell.unreserve(call)
			call.grants <- grant{}
			continue
		}
		server := cell.quarters(call, now)
		if server == nil {
			cell.evict(call, now)
		}
		if server == nil || len(server.attempts) > 0 || cell.copies[call.request.Fingerprint] > 0 {
			continue
		}
		cell.removeSuspect(call)
		attempt := cell.newAttempt(call, server, now)
		attempt.alone = true
		call.grants <- grant{attempt: attempt}
		fields := attempt.fields()
		fields["waited_ms"] = now.Sub(call.enqueued).Milliseconds()
		cell.log(event.CellSuspect(), fields)
	}
}

// quarters returns the server that is kept free for a suspect, and chooses one
// if the suspect has none.
func (cell *Cell) quarters(call *call, now time.Time) *server {
	for _, server := range cell.servers {
		if server.alone != call {
			continue
		}
		if cell.slots(server) > 0 {
			return server
		}
		server.alone = nil
	}
	chosen, drained := cell.soonestEmpty(call, now)
	if chosen == nil || !cell.mayIsolate(call, chosen, now) {
		return nil
	}
	chosen.alone = call
	if target := call.request.FirstToken; !target.IsZero() && now.Add(drained+cell.firstToken()).After(target) {
		cell.clearOut(chosen, call, now)
	}
	return chosen
}

// evict preempts a suspect of a lower tier that has a server for itself, when
// the first token of the call is at risk: a long one would hold the few servers
// that suspects may have for all its length.
func (cell *Cell) evict(call *call, now time.Time) {
	target := call.request.FirstToken
	if cell.options.Switches.DisablePreempt || target.IsZero() || now.Add(cell.firstToken()+reliefMargin).Before(target) {
		return
	}
	// A call that would not get the server leaves it alone, or the two would take
	// it from each other without end.
	if cell.outranked(call, now) || now.Sub(call.evicted) < firmAfter {
		return
	}
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if attempt.alone && cell.mayYield(attempt, call, now) {
				call.evicted = now
				cell.preempt(attempt, call, now)
				return
			}
		}
	}
}

// clearOut preempts the lower-tier work of a server that is kept free for a
// suspect whose first token is at risk.
func (cell *Cell) clearOut(server *server, call *call, now time.Time) {
	if cell.options.Switches.DisablePreempt {
		return
	}
	for _, attempt := range server.attempts {
		if cell.preemptible(attempt, call, now) {
			cell.preempt(attempt, call, now)
		}
	}
}

// soonestEmpty returns the open server whose calls are expected to end first,
// and when. The server on which the suspect was lost before comes last.
func (cell *Cell) soonestEmpty(call *call, now time.Time) (*server, time.Duration) {
	var chosen *server
	var soonest time.Duration
	for _, server := range cell.servers {
		if !server.open() || cell.slots(server) == 0 {
			continue
		}
		drained := time.Duration(0)
		for _, attempt := range server.attempts {
			drained = max(drained, cell.remaining(attempt, now))
		}
		if chosen == nil || drained < soonest || chosen == call.avoid && drained == soonest {
			chosen, soonest = server, drained
		}
	}
	return chosen, soonest
}

// outranked reports whether a suspect has to let queued work of a higher tier go
// first.
func (cell *Cell) outranked(call *call, now time.Time) bool {
	higher, _ := cell.queue.Ahead(call.request.Tier-1, time.Time{})
	return higher > 0 && now.Sub(call.enqueued) < firmAfter
}

// mayIsolate reports whether a suspect may take a server out of ordinary work:
// up to a quarter of the servers, or any idle one while nothing is queued. Work
// of a higher tier goes first until the suspect has waited for long.
func (cell *Cell) mayIsolate(call *call, chosen *server, now time.Time) bool {
	if len(chosen.attempts) == 0 && cell.queue.Len() == 0 {
		return true
	}
	if cell.outranked(call, now) {
		return false
	}
	taken := 0
	for _, server := range cell.servers {
		if server.alone != nil {
			taken++
		}
	}
	return taken < max(1, len(cell.servers)/4)
}
