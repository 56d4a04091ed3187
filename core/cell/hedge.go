package cell

import (
	"slices"
	"strings"
	"time"

	"primrosegw/core/event"
)

// Hedging (Dean and Barroso, "The Tail at Scale"): a call that may be repeated
// and whose first token is later than 95 in 100 of the cell, and than twice the
// median, gets a second attempt on another server. The first one to give a token
// wins.

// hedgeQuantile is the share of the cell's first tokens that come before a
// second attempt is made.
const hedgeQuantile = 0.95

// hedgeDelay returns the time after dispatch at which an attempt is hedged. The
// mutex is held.
func (cell *Cell) hedgeDelay(attempt *attempt) (time.Duration, bool) {
	call := attempt.call
	usual := cell.health.FirstTokenQuantile(hedgeQuantile)
	if cell.options.Switches.DisableHedge || !call.request.Idempotent || attempt.alone || attempt.hedge || call.hedged {
		return 0, false
	}
	return max(usual, 2*cell.health.FirstTokenQuantile(0.5), leastHedgeDelay), usual > 0
}

// hedge starts a second attempt, or sets the time of another look when there is
// no slot for one.
func (call *call) hedge(first *attempt, now time.Time) {
	if call.winner != nil || len(call.live) != 1 || call.hedged {
		return
	}
	second := call.cell.second(first, now)
	if second == nil {
		first.hedgeAt = now.Add(reliefInterval)
		return
	}
	call.hedged = true
	call.start(second)
}

// second gives a call another slot: on a healthy server, within the budget, and
// not in the place of queued work of its tier or above.
func (cell *Cell) second(first *attempt, now time.Time) *attempt {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	call := first.call
	if first.yielding || !cell.copyAllowed(&call.request) {
		return nil
	}
	if items, _ := cell.queue.Ahead(call.request.Tier, time.Time{}); items > 0 {
		return nil
	}
	vacant := slices.DeleteFunc(cell.vacant(), func(vacancy vacancy) bool {
		return vacancy.server == first.server || vacancy.weight < slowWeight
	})
	if len(vacant) == 0 || !cell.hedges.TryWithdraw() {
		return nil
	}
	chosen := cell.choose(call, vacant, now)
	attempt := cell.newAttempt(call, chosen.server, now)
	attempt.hedge = true
	cell.stats.Hedged++
	fields := first.fields()
	fields["second_server"] = chosen.server.Name
	fields["waited_ms"] = now.Sub(first.dispatched).Milliseconds()
	fields["over"] = names(vacant)
	cell.log(event.CellHedged(), fields)
	return attempt
}

// outrun records that an attempt gave the first token before another one.
func (cell *Cell) outrun(winner, loser *attempt) {
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

func names(vacant []vacancy) string {
	names := make([]string, 0, len(vacant))
	for _, vacancy := range vacant {
		names = append(names, vacancy.server.Name)
	}
	return strings.Join(names, " ")
}
