// Package usage counts how many requests of each workspace backend servers began in each window of
// time, over all hosts, and decides what is reported of a window: each one once, or again with the same
// counts.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Counts holds the number of requests that servers began, by workspace.
type Counts map[string]int64

// Window is the number of a window: how many have passed since 1970.
type Window int64

// keptWindows is the number of windows that are kept, the current one included: a minute and more of
// windows of 5 s.
const keptWindows = 14

const (
	// finalDelay is the time from the end of a window until a host's counts of it are final: requests that servers
	// began are counted a moment later.
	finalDelay = 500 * time.Millisecond
	// closedWindows is the number of windows that have ended and are kept, also if clocks differ.
	closedWindows = keptWindows - 2
)

// WindowOf returns the window of a time.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns when a window ends.
func (window Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(window)+1)*int64(length))
}

// Statement is what a host has counted in a window so far. A later one of the same process replaces it.
type Statement struct {
	Window Window `cbor:"1,keyasint"`
	// Sequence rises with each change of the counts.
	Sequence int64  `cbor:"2,keyasint"`
	Counts   Counts `cbor:"3,keyasint"`
	// Final: the window has ended, and the counts do not change any more.
	Final bool `cbor:"4,keyasint,omitempty"`
}

// Confirmation says that a collector has a statement.
type Confirmation struct {
	Window   Window `cbor:"1,keyasint"`
	Sequence int64  `cbor:"2,keyasint"`
}

// Counter counts the requests of the local host. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	mutex  sync.Mutex
	// windows holds the statements of the kept windows.
	windows map[Window]*Statement
	// confirmed holds the sequences that collectors have confirmed, by collector and window.
	confirmed map[string]map[Window]int64
}

// NewCounter returns a counter of windows of a length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: make(map[Window]*Statement), confirmed: make(map[string]map[Window]int64)}
}

// Add counts a request of a workspace that a server began.
func (counter *Counter) Add(workspace string, begun time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	statement := counter.statement(WindowOf(begun, counter.length))
	statement.Counts[workspace]++
	statement.Sequence++
}

// Close makes the statements of the windows that have ended final, also of those in which nothing was counted, or
// which ended before the process started: the process has nothing to add to them.
func (counter *Counter) Close(now time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	current := WindowOf(now.Add(-finalDelay), counter.length)
	for window := current - closedWindows; window < current; window++ {
		if statement := counter.statement(window); !statement.Final {
			statement.Final = true
			statement.Sequence++
		}
	}
}

// statement returns the statement of a window. The mutex is held.
func (counter *Counter) statement(window Window) *Statement {
	statement := counter.windows[window]
	if statement == nil {
		statement = &Statement{Window: window, Counts: make(Counts)}
		counter.windows[window] = statement
		counter.removeOldest()
	}
	return statement
}

// removeOldest keeps the newest windows. The mutex is held.
func (counter *Counter) removeOldest() {
	for len(counter.windows) > keptWindows {
		oldest := slices.Min(slices.Collect(maps.Keys(counter.windows)))
		delete(counter.windows, oldest)
		for _, confirmed := range counter.confirmed {
			delete(confirmed, oldest)
		}
	}
}

// Pending returns the statements that a collector has not confirmed, oldest first.
func (counter *Counter) Pending(collector string) []Statement {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	var pending []Statement
	for window, statement := range counter.windows {
		if counter.confirmed[collector][window] < statement.Sequence {
			copied := *statement
			copied.Counts = maps.Clone(statement.Counts)
			pending = append(pending, copied)
		}
	}
	slices.SortFunc(pending, func(a, b Statement) int { return cmp.Compare(a.Window, b.Window) })
	return pending
}

// Confirm records which statements a collector has.
func (counter *Counter) Confirm(collector string, confirmations []Confirmation) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	known := counter.confirmed[collector]
	if known == nil {
		known = make(map[Window]int64)
		counter.confirmed[collector] = known
	}
	for _, confirmation := range confirmations {
		known[confirmation.Window] = max(known[confirmation.Window], confirmation.Sequence)
	}
}

// Retain forgets what collectors that are no longer in use have confirmed. A collector that has started
// again has nothing, so the names are to differ between its processes.
func (counter *Counter) Retain(collectors []string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	maps.DeleteFunc(counter.confirmed, func(collector string, _ map[Window]int64) bool {
		return !slices.Contains(collectors, collector)
	})
}
