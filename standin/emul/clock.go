// Package emul plays days of a deployment in simulated time: model engines with
// batches, prompt caches and memory, plain servers, callers that wait, come back
// and give up, and hosts that decide with the code of the project's core. It has
// no sockets, and the same seed gives the same day.
package emul

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of simulated time.
type clock struct {
	now    time.Duration
	count  uint64
	events events
}

// event is a function that runs at a time; the number keeps the order of events of
// one moment.
type event struct {
	at     time.Duration
	number uint64
	run    func()
}

// epoch is the simulated time at which a day begins.
func epoch() time.Time { return time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC) }

// time returns the simulated time of day.
func (clock *clock) time() time.Time { return epoch().Add(clock.now) }

// after runs a function later.
func (clock *clock) after(delay time.Duration, run func()) {
	clock.count++
	heap.Push(&clock.events, event{clock.now + max(0, delay), clock.count, run})
}

// run runs all functions up to a time.
func (clock *clock) run(until time.Duration) {
	for len(clock.events) > 0 && clock.events[0].at <= until {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.run()
	}
	clock.now = until
}

// events is a heap ordered by time. It implements heap.Interface.
type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(a, b int) bool {
	if events[a].at != events[b].at {
		return events[a].at < events[b].at
	}
	return events[a].number < events[b].number
}

func (events events) Swap(a, b int) { events[a], events[b] = events[b], events[a] }

// Push adds an event.
func (events *events) Push(added any) { *events = append(*events, added.(event)) }

// Pop removes the last event.
func (events *events) Pop() any {
	last := len(*events) - 1
	removed := (*events)[last]
	*events = (*events)[:last]
	return removed
}
