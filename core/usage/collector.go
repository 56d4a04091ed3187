package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Told is what a process of a host has told.
type Told struct {
	Process    string      `cbor:"1,keyasint"`
	Statements []Statement `cbor:"2,keyasint"`
}

// Collector holds what all hosts have counted. Each host that may have to report keeps one. It is safe for
// concurrent use.
type Collector struct {
	mutex sync.Mutex
	// statements holds the latest statement of each process of a host, by window.
	statements map[Window]map[string]Statement
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{statements: make(map[Window]map[string]Statement)} }

// Put takes the statements of a process of a host and returns the confirmations for it. Those of windows
// that begin later than the next one, of a host whose clock is ahead, are not taken.
func (collector *Collector) Put(process string, statements []Statement, now time.Time, length time.Duration) []Confirmation {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	confirmations := make([]Confirmation, 0, len(statements))
	for _, statement := range statements {
		if statement.Window > WindowOf(now, length)+1 {
			continue
		}
		known := collector.statements[statement.Window]
		if known == nil {
			known = make(map[string]Statement)
			collector.statements[statement.Window] = known
		}
		if known[process].Sequence < statement.Sequence {
			known[process] = statement
		}
		confirmations = append(confirmations, Confirmation{statement.Window, statement.Sequence})
	}
	for len(collector.statements) > keptWindows {
		delete(collector.statements, slices.Min(slices.Collect(maps.Keys(collector.statements))))
	}
	return confirmations
}

// Sum returns the counts of all hosts in a window.
func (collector *Collector) Sum(window Window) Counts {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	sum := make(Counts)
	for _, statement := range collector.statements[window] {
		for workspace, count := range statement.Counts {
			sum[workspace] += count
		}
	}
	return sum
}

// IsComplete reports whether all processes have told their final counts of a window.
func (collector *Collector) IsComplete(window Window, processes []string) bool {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	isMissing := func(process string) bool { return !collector.statements[window][process].Final }
	return !slices.ContainsFunc(processes, isMissing)
}

// Told returns what processes have told of the windows from one on, if isWanted selects the process, by name.
func (collector *Collector) Told(from Window, isWanted func(process string) bool) []Told {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	byProcess := make(map[string][]Statement)
	for window, statements := range collector.statements {
		for process, statement := range statements {
			if window >= from && isWanted(process) {
				byProcess[process] = append(byProcess[process], statement)
			}
		}
	}
	told := make([]Told, 0, len(byProcess))
	for _, process := range slices.Sorted(maps.Keys(byProcess)) {
		told = append(told, Told{process, byProcess[process]})
	}
	return told
}
