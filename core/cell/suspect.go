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

// Suspects. A request that was running on an engine when the engine crashed is
// run alone from then on, under a claim that is exclusive among all hosts. It
// waits outside the queue because it needs an entire server: the cell reserves a
// server, assigns no new calls to it and lets it drain.

// recordCrash adds a server crash to the crash records and withdraws other
// running attempts of the request. All attempts that were running on the server
// when it crashed share one crash ID. The caller must hold the mutex.
func (cell *Cell) recordCrash(attempt *attempt) []poison.Record {
	server := attempt.server
	if attempt.serial > server.lastCrashedSerial {
		server.lastCrashedSerial = cell.sequence
		server.crashID = xxhash.Sum64String(fmt.Sprint(cell.options.Name, "/", server.Name, "/", time.Now().UnixNano()))
	}
	cell.stats.Crashed++
	attempt.crashID = server.crashID
	fields := attempt.fields()
	fields["loss"] = server.crashID
	cell.log(event.CellCrashed(), fields)
	if cell.options.Switches.DisablePoison {
		return nil
	}
	request := &attempt.call.request
	cell.options.Crashes.ObserveCrash(server.crashID, request.features(), attempt.dispatched, time.Now())
	records := cell.options.Suspects.Crash(request.Fingerprint, server.crashID)
	cell.withdrawSuspects()
	return records
}

// handleCrash releases the claim on a suspect after its attempt crashed a
// server. It returns an error if the request is refused now, after its second
// crash.
func (call *call) handleCrash(attempt *attempt) error {
	if attempt.crashID == 0 {
		return nil
	}
	if call.holdsClaim {
		call.releaseClaim(poison.RunResult{Crash: attempt.crashID})
	}
	if call.cell.poisonVerdict(&call.request) == poison.Refused {
		return call.poisonError()
	}
	return nil
}

// poisonError counts and logs a request that is not run again and returns its
// error.
func (call *call) poisonError() error {
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.stats.Poison++
	cell.log(event.CellPoison(), logrus.Fields{
		"request_id": call.request.ID, "workspace": call.request.Workspace, "fingerprint": call.request.Fingerprint,
	})
	detail := fmt.Sprintf("the request, or others with a part of its prompt, crashed %d backend servers or more; it is not run again for %s", poison.CrashLimit, poison.CrashTTL)
	return fault.New("cell.Serve", Poison, detail)
}

// submitIsolated claims a suspect and adds it to the calls that wait for a
// server of their own. While the claim is held elsewhere or its owner is
// unreachable, the call retries later.
func (call *call) submitIsolated() error {
	if !call.holdsClaim {
		grant, err := call.cell.options.Claims.Claim(call.ctx, call.request.Fingerprint, call.claimHolder(), call.claimExpiry())
		if err == nil && grant.Verdict == poison.Refused {
			return call.poisonError()
		}
		if err != nil || !grant.Granted {
			call.retryAt = time.Now().Add(claimRetryInterval)
			return nil
		}
		call.holdsClaim = true
	}
	return call.cell.enqueueSuspect(call)
}

// claimHolder identifies the call among all hosts.
func (call *call) claimHolder() string { return call.cell.options.Name + "/" + call.id }

func (call *call) claimExpiry() time.Time {
	if call.request.Deadline.IsZero() {
		return time.Now().Add(defaultClaimTime)
	}
	return call.request.Deadline
}

// releaseClaim releases the claim on a suspect with the result of its run.
func (call *call) releaseClaim(result poison.RunResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.ctx), claimReleaseTimeout)
	defer cancel()
	call.holdsClaim = false
	// A claim that cannot be released expires.
	_ = call.cell.options.Claims.Release(ctx, call.request.Fingerprint, call.claimHolder(), result)
}

// clearSuspicion releases the claim at the end of a call. A request that
// completed did not cause the crashes recorded for it, so its record is
// cleared.
func (call *call) clearSuspicion(err error) {
	if call.holdsClaim {
		call.releaseClaim(poison.RunResult{Completed: err == nil})
	}
	if crashes := call.cell.options.Crashes; err == nil && crashes.HasSuspects() {
		crashes.ObserveCompletion(call.request.features(), time.Now())
	}
	if err != nil || call.cell.poisonVerdict(&call.request) != poison.Exclusive {
		return
	}
	if record, changed := call.cell.options.Suspects.Clear(call.request.Fingerprint); changed {
		call.cell.options.Announce([]poison.Record{record})
	}
}

// enqueueSuspect adds a call to the waiting suspects, ordered by tier and
// target.
func (cell *Cell) enqueueSuspect(waiting *call) error {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.closed && waiting.neverRan() {
		return closedError()
	}
	if waiting.enqueued.IsZero() {
		waiting.enqueued = time.Now()
	}
	waiting.inSuspects = true
	index, _ := slices.BinarySearchFunc(cell.suspects, waiting, func(a, b *call) int {
		order := cmp.Or(cmp.Compare(a.request.Tier, b.request.Tier), a.request.FirstToken.Compare(b.request.FirstToken))
		return cmp.Or(order, -1)
	})
	cell.suspects = slices.Insert(cell.suspects, index, waiting)
	cell.dispatch()
	return nil
}

// removeSuspect removes a call from the waiting suspects.
func (cell *Cell) removeSuspect(call *call) {
	if !call.inSuspects {
		return
	}
	call.inSuspects = false
	if index := slices.Index(cell.suspects, call); index >= 0 {
		cell.suspects = slices.Delete(cell.suspects, index, index+1)
	}
}

// unreserveServer cancels the reservation of a server for a call that does not
// run on it.
func (cell *Cell) unreserveServer(call *call) {
	for _, server := range cell.servers {
		running := slices.ContainsFunc(server.attempts, func(attempt *attempt) bool { return attempt.isolated })
		if server.reservedFor == call && !running {
			server.reservedFor = nil
		}
	}
}

// dispatchSuspects starts suspects whose reserved server has drained. A suspect
// does not start while another attempt at the same request runs in the cell,
// because that attempt might crash a server too. Calls that are no longer
// suspects, or are refused now, are sent back to their goroutines.
func (cell *Cell) dispatchSuspects(now time.Time) {
	for _, call := range slices.Clone(cell.suspects) {
		if cell.poisonVerdict(&call.request) != poison.Exclusive {
			cell.removeSuspect(call)
			cell.unreserveServer(call)
			call.decisions <- decision{}
			continue
		}
		server := cell.reserveServer(call, now)
		if server == nil {
			cell.preemptSuspect(call, now)
		}
		if server != nil && cell.mayStartIsolated(call, server) {
			cell.startIsolated(call, server, now)
		}
	}
}

// mayStartIsolated reports whether nothing else runs on a server and no other
// attempt at a suspect runs in the cell.
func (cell *Cell) mayStartIsolated(call *call, server *server) bool {
	return len(server.attempts) == 0 && cell.attemptsByFingerprint[call.request.Fingerprint] == 0
}

// startIsolated runs a suspect on the server that is reserved for it.
func (cell *Cell) startIsolated(call *call, server *server, now time.Time) {
	cell.removeSuspect(call)
	attempt := cell.newAttempt(call, server, now)
	attempt.isolated = true
	call.decisions <- decision{attempt: attempt}
	fields := attempt.fields()
	fields["waited_ms"] = now.Sub(call.enqueued).Milliseconds()
	cell.log(event.CellSuspect(), fields)
}

// probeWithSuspect probes a server with the first waiting suspect that may run
// alone on it. It is used when no server has capacity and no other call can probe:
// after a crash of all servers every unfinished call is a suspect, and the weight of
// a server rises only after a call succeeds on it.
func (cell *Cell) probeWithSuspect(server *server, now time.Time) {
	for _, call := range cell.suspects {
		if cell.poisonVerdict(&call.request) == poison.Exclusive && cell.mayStartIsolated(call, server) {
			server.reservedFor = call
			cell.startIsolated(call, server, now)
			cell.recordProbe(call, server)
			return
		}
	}
}

// reserveServer returns the server reserved for a suspect. If there is none, it
// tries to reserve one, and returns nil if that is not possible.
func (cell *Cell) reserveServer(call *call, now time.Time) *server {
	for _, server := range cell.servers {
		if server.reservedFor != call {
			continue
		}
		if cell.allowedSlots(server) > 0 {
			return server
		}
		server.reservedFor = nil
	}
	chosen, drainTime := cell.soonestIdle(call, now)
	if chosen == nil || !cell.mayReserve(call, chosen, now) {
		return nil
	}
	chosen.reservedFor = call
	if target := call.request.FirstToken; !target.IsZero() && now.Add(drainTime+cell.typicalFirstToken()).After(target) {
		cell.preemptServer(chosen, call, now)
	}
	return chosen
}

// preemptSuspect preempts a running suspect of a lower tier when the first
// token of the call is at risk. Otherwise a long suspect would block the few
// servers that suspects may use for its entire run.
func (cell *Cell) preemptSuspect(call *call, now time.Time) {
	target := call.request.FirstToken
	if cell.options.Switches.DisablePreempt || target.IsZero() || now.Add(cell.typicalFirstToken()+preemptMargin).Before(target) {
		return
	}
	// A call that could not reserve the freed server must not preempt, or two
	// suspects would preempt each other without end.
	if cell.outranked(call, now) || now.Sub(call.lastSuspectPreemption) < suspectPriorityDelay {
		return
	}
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			if attempt.isolated && cell.preemptible(attempt, call, now) {
				call.lastSuspectPreemption = now
				cell.preempt(attempt, call, now)
				return
			}
		}
	}
}

// preemptServer preempts the lower-tier attempts on a server that is reserved
// for a suspect whose first token is at risk.
func (cell *Cell) preemptServer(server *server, call *call, now time.Time) {
	if cell.options.Switches.DisablePreempt {
		return
	}
	for _, attempt := range server.attempts {
		if cell.preemptibleShared(attempt, call, now) {
			cell.preempt(attempt, call, now)
		}
	}
}

// soonestIdle returns the schedulable server that is expected to drain first,
// and the time that takes. Among servers that drain equally soon, the one on
// which the call failed before comes last.
func (cell *Cell) soonestIdle(call *call, now time.Time) (*server, time.Duration) {
	var chosen *server
	var soonest time.Duration
	for _, server := range cell.servers {
		if !server.schedulable() || cell.allowedSlots(server) == 0 {
			continue
		}
		drainTime := time.Duration(0)
		for _, attempt := range server.attempts {
			drainTime = max(drainTime, cell.remainingTime(attempt, now))
		}
		if chosen == nil || drainTime < soonest || chosen == call.avoidServer && drainTime == soonest {
			chosen, soonest = server, drainTime
		}
	}
	return chosen, soonest
}

// outranked reports whether a suspect has to yield to queued calls of a higher
// tier.
func (cell *Cell) outranked(call *call, now time.Time) bool {
	higher, _ := cell.queue.Ahead(call.request.Tier-1, time.Time{})
	return higher > 0 && now.Sub(call.enqueued) < suspectPriorityDelay
}

// mayReserve reports whether a suspect may reserve a server: any idle one while
// the queue is empty, otherwise only while fewer than a quarter of the servers,
// and at least one, are reserved. Queued calls of higher tiers go first until
// the suspect has waited for suspectPriorityDelay.
func (cell *Cell) mayReserve(call *call, chosen *server, now time.Time) bool {
	if len(chosen.attempts) == 0 && cell.queue.Len() == 0 {
		return true
	}
	if cell.outranked(call, now) {
		return false
	}
	reserved := 0
	for _, server := range cell.servers {
		if server.reservedFor != nil {
			reserved++
		}
	}
	return reserved < max(1, len(cell.servers)/4)
}
