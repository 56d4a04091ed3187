package cell

import (
	"slices"
	"strings"
	"time"

	"primrosegw/core/event"
)

// Hedging (Dean and Barroso, "The Tail at Scale"): an idempotent call that waits
// for its first token longer than the 95th percentile of the cell and than twice
// the median gets a second attempt on another server. The first attempt to
// produce a token wins.

// hedgeQuantile is the quantile of the cell's times to the first token after
// which a hedge is started.
const hedgeQuantile = 0.95

// hedgeDelay returns the time after dispatch at which an attempt is hedged, and
// false if it must not be. The caller must hold the mutex.
func (cell *Cell) hedgeDelay(attempt *attempt) (time.Duration, bool) {
	call := attempt.call
	typical := cell.health.FirstTokenQuantile(hedgeQuantile)
	if cell.options.Switches.DisableHedge || !call.request.Idempotent || attempt.isolated || attempt.hedge || call.hedged {
		return 0, false
	}
	return max(typical, 2*cell.health.FirstTokenQuantile(0.5), minHedgeDelay), typical > 0
}

// hedge starts a second attempt, or schedules another try if no slot is
// available.
func (call *call) hedge(first *attempt, now time.Time) {
	if call.winner != nil || len(call.live) != 1 || call.hedged {
		return
	}
	second := call.cell.newHedgeAttempt(first, now)
	if second == nil {
		first.hedgeAt = now.Add(slotRetryInterval)
		return
	}
	call.hedged = true
	call.startAttempt(second)
}

// newHedgeAttempt assigns a second slot to a call, on a healthy server and
// within the hedge budget, unless calls of the same or a higher tier are
// queued.
func (cell *Cell) newHedgeAttempt(first *attempt, now time.Time) *attempt {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call := first.call
	if first.cancelling || !cell.copyAllowed(&call.request) {
		return nil
	}
	if items, _ := cell.queue.Ahead(call.request.Tier, time.Time{}); items > 0 {
		return nil
	}
	candidates := slices.DeleteFunc(cell.candidates(), func(candidate candidate) bool {
		return candidate.server == first.server || candidate.weight < slowServerWeight
	})
	if len(candidates) == 0 || !cell.hedges.TryWithdraw() {
		return nil
	}
	chosen := cell.chooseServer(call, candidates, now)
	attempt := cell.newAttempt(call, chosen.server, now)
	attempt.hedge = true
	cell.stats.Hedged++
	fields := first.fields()
	fields["second_server"] = chosen.server.Name
	fields["waited_ms"] = now.Sub(first.dispatched).Milliseconds()
	fields["over"] = serverNames(candidates)
	cell.log(event.CellHedged(), fields)
	return attempt
}

// recordHedgeResult records that one attempt of a hedge produced the first
// token before the other.
func (cell *Cell) recordHedgeResult(winner, loser *attempt) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.health.ObserveMissingFirstToken(loser.server.Name, time.Since(loser.dispatched))
	if winner.hedge {
		cell.stats.HedgesWon++
	}
	fields := winner.fields()
	fields["over"] = loser.server.Name
	cell.log(event.CellHedgeWon(), fields)
}

func serverNames(candidates []candidate) string {
	names := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		names = append(names, candidate.server.Name)
	}
	return strings.Join(names, " ")
}
