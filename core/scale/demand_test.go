package scale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/scale"
)

const boot = 4 * time.Second

func at(second int) time.Time { return time.Unix(int64(second), 0) }

// counted returns counters of one service.
func counted(requests, tokens, bulk int64) map[string]scale.Counters {
	return map[string]scale.Counters{"s": {Requests: requests, Tokens: tokens, Bulk: bulk}}
}

// Guards against a forecast that lags behind growth, a burst that is not reckoned with, and a peak that is
// forgotten too soon or never.
func TestDemandIsForecastAndHeld(t *testing.T) {
	tracker := scale.NewTracker()
	tokens, demand := int64(0), scale.Demand{}
	for second := range 20 {
		tokens += int64(1000 + 100*second)
		tracker.Observe("a", counted(int64(second+1), tokens, tokens/2), at(second))
		demand = tracker.Sample("s", scale.InFlight{}, boot, at(second))
	}
	require.InDelta(t, 2850, demand.Now.Tokens, 1)
	require.InDelta(t, 2850+0.75*2850, demand.Now.Burst, 1)
	require.InDelta(t, 3350, demand.Peak.Tokens, 60, "five seconds later")
	require.True(t, demand.Known)
	require.False(t, demand.Settled)
	for second := 20; second < 45; second++ {
		demand = tracker.Sample("s", scale.InFlight{}, boot, at(second))
	}
	require.Zero(t, demand.Now.Tokens)
	require.Greater(t, demand.Peak.Tokens, 3000.0)
	require.True(t, demand.Settled)
	demand = tracker.Sample("s", scale.InFlight{}, boot, at(80))
	require.Zero(t, demand.Peak.Tokens)
}

// Guards against demand that is counted although it was there before the collector listened, that is
// counted again when messages overtake each other, and that comes at once after a pause.
func TestCountersOfProcesses(t *testing.T) {
	tracker := scale.NewTracker()
	tracker.Sample("s", scale.InFlight{}, boot, at(0))
	tracker.Observe("old", counted(500, 500_000, 0), at(0))
	tracker.Observe("new", counted(0, 0, 0), at(0))
	tracker.Observe("new", counted(3, 3000, 0), at(1))
	tracker.Observe("new", counted(1, 1000, 0), at(1))
	tracker.Observe("old", counted(501, 501_000, 0), at(1))
	demand := tracker.Sample("s", scale.InFlight{}, boot, at(1))
	require.InDelta(t, 4000, demand.Now.Tokens, 1)
	tracker.Observe("old", counted(5000, 5_000_000, 0), at(20))
	demand = tracker.Sample("s", scale.InFlight{All: 7, Urgent: 2}, boot, at(20))
	require.Less(t, demand.Now.Tokens, 1000.0)
	require.InDelta(t, 7, demand.Now.InFlight, 0)
	require.InDelta(t, 2, demand.Now.UrgentInFlight, 0)
}

// Guards against an order that is sent again right after it was refused, one that is never sent again, a
// record of a restored store that replaces a later one, and orders that a new holder does not send.
func TestBookKeepsOrders(t *testing.T) {
	book := scale.NewBook()
	waits := map[string]time.Duration{"s": boot}
	orders := []scale.Order{{Domain: "a", Spot: true, Servers: 4}, {Domain: "b", Spot: true, Servers: 9}}
	record, isChanged := book.Next(map[string]scale.ServiceRecord{"s": {Start: 2, Orders: orders}})
	require.True(t, isChanged)
	require.Empty(t, book.Due(waits, at(1)), "nothing is sent that is not recorded")
	book.Adopt(record)
	book.Adopt(scale.Record{Sequence: record.Sequence, Services: map[string]scale.ServiceRecord{}})
	_, isChanged = book.Next(map[string]scale.ServiceRecord{"s": {Start: 2, Orders: orders}})
	require.False(t, isChanged)
	due := book.Due(waits, at(1))
	require.Equal(t, []scale.ServiceOrder{{Service: "s", Order: orders[1]}, {Service: "s", Order: orders[0]}}, due, "the largest growth is first")
	book.Refused(due[0], at(1))
	book.Accepted(due[1], at(1))
	require.Empty(t, book.Due(waits, at(3)))
	require.Len(t, book.Due(waits, at(4)), 1)
	book.Accepted(due[0], at(4))
	require.Empty(t, book.Due(waits, at(5)))
	book.BeginTerm()
	require.Len(t, book.Due(waits, at(5)), 2)
}

// Guards against servers that were reclaimed and are never ordered again.
func TestMissingServersAreOrderedAgain(t *testing.T) {
	book := scale.NewBook()
	waits := map[string]time.Duration{"s": boot}
	order := scale.Order{Domain: "a", Spot: true, Servers: 4}
	record, _ := book.Next(map[string]scale.ServiceRecord{"s": {Orders: []scale.Order{order}}})
	book.Adopt(record)
	book.Accepted(scale.ServiceOrder{Service: "s", Order: order}, at(1))
	for _, step := range []struct{ second, ready, due int }{{2, 0, 0}, {6, 4, 0}, {40, 0, 1}} {
		state := scale.State{Now: at(step.second), Domains: []scale.Domain{{Name: "a", Spot: scale.Group{Ready: step.ready}}}}
		book.Fill("s", &state)
		require.Equal(t, 4, state.Domains[0].Spot.Ordered)
		require.Len(t, book.Due(waits, at(step.second)), step.due, "second %d", step.second)
	}
}

// Guards against a number at first that is taken while servers are still registering, and against one that
// follows the servers once some were given up.
func TestServersAtFirst(t *testing.T) {
	book := scale.NewBook()
	start := func(ready int) int {
		state := scale.State{Now: at(1), Domains: []scale.Domain{{Name: "a", OnDemand: scale.Group{Ready: ready}}}}
		book.Fill("s", &state)
		return state.Start
	}
	adopt := func(start int, orders ...scale.Order) {
		record, _ := book.Next(map[string]scale.ServiceRecord{"s": {Start: start, Orders: orders}})
		book.Adopt(record)
	}
	require.Equal(t, 10, start(10))
	adopt(10, scale.Order{Domain: "a", Spot: true, Servers: 16})
	require.Equal(t, 30, start(30))
	adopt(30, scale.Order{Domain: "a", Servers: 4}, scale.Order{Domain: "a", Spot: true, Servers: 48})
	require.Equal(t, 30, start(4))
	require.Equal(t, 30, start(40))
}
