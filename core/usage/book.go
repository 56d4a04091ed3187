package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// closeDelay is the shortest time from the end of a window until it is reported: what hosts have counted
	// arrives within 0.5 s, and once more after a lost message.
	closeDelay = 2 * time.Second
	// reportMargin is how long before its report is due a window is closed though counts of hosts are missing.
	reportMargin = 2 * time.Second
	// recordedWindows is the number of reports that are kept in the store, and of windows that may still be
	// reported: one that is older than all of them may have been reported and dropped. Hosts keep the counts
	// of these windows, and of a later one if clocks differ.
	recordedWindows = keptWindows - 2
)

// Report is what is reported of a window.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Sent: the platform has accepted the report. A report may have been accepted without it.
	Sent bool `json:"sent,omitempty"`
}

/*
Book decides which reports are due. A window is closed once all hosts have told their final counts, or shortly before
its report is due: hosts that are cut off may tell theirs later. A report is recorded in the store before it is sent,
so that whoever sends it, or sends it again, uses the same counts.

All hosts remember the recorded reports that they see, for longer than the store keeps them: a store that is
restored from a copy may have lost the newest ones, which may have been sent. A window that ended before the
store was restored and that nobody remembers is left out for the same reason. Book is safe for concurrent
use.
*/
type Book struct {
	length time.Duration
	late   time.Duration
	mutex  sync.Mutex
	// recorded holds the reports that are or were in the store.
	recorded map[Window]Counts
	// sent marks those that are known to have been accepted.
	sent map[Window]bool
	// since is the first window of which the local host knows the counts, and notBefore the first one
	// that no holder of an earlier era of the store may have reported; 0: any. restored is the highest
	// notBefore so far.
	since     Window
	notBefore Window
	restored  Window
}

// NewBook returns a book of windows of a length, whose reports are due at a time after their end. The
// local host knows the counts of the windows from the given time on.
func NewBook(length, late time.Duration, from time.Time) *Book {
	return &Book{length: length, late: late, recorded: make(map[Window]Counts), sent: make(map[Window]bool), since: WindowOf(from, length)}
}

// Observe remembers the reports that the store holds. A report that is known stays as it is.
func (book *Book) Observe(reports []Report) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for _, report := range reports {
		if _, ok := book.recorded[report.Window]; !ok {
			book.recorded[report.Window] = report.Counts
		}
		if report.Sent {
			book.sent[report.Window] = true
		}
	}
	for len(book.recorded) > keptWindows {
		oldest := slices.Min(slices.Collect(maps.Keys(book.recorded)))
		delete(book.recorded, oldest)
		delete(book.sent, oldest)
	}
}

// RecordRestored records that the store was found restored from a copy at a time.
func (book *Book) RecordRestored(at time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.notBefore = max(book.notBefore, WindowOf(at.Add(-closeDelay), book.length))
	book.restored = max(book.restored, book.notBefore)
}

// KnownSince returns the first window of which the local host knows the counts, and that no holder of an earlier era
// of the store may have reported.
func (book *Book) KnownSince() Window {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return max(book.since, book.restored)
}

// LearnSince records that another host has passed on the counts of the windows from one on, the result of its
// KnownSince.
func (book *Book) LearnSince(since Window) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.since = min(book.since, max(since, book.restored))
}

// FirstOpen returns the first window that may still be reported.
func (book *Book) FirstOpen(now time.Time) Window {
	return WindowOf(now, book.length) - recordedWindows + 1
}

// BeginTerm begins a term of the local host. If it continues the one before it, the local host knows all
// reports that may have been sent since that began.
func (book *Book) BeginTerm(continues bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if !continues {
		book.since = max(book.since, book.notBefore)
	}
	book.notBefore = 0
}

// Due returns the windows that have to be sent now: those that are closed, not known to have been sent, and either
// recorded or known by their counts. They are in order, those that are late after the others. IsComplete reports
// whether all hosts have told their final counts of a window.
func (book *Book) Due(now time.Time, isComplete func(Window) bool) []Window {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var due, late []Window
	for window := book.FirstOpen(now); !now.Before(window.End(book.length).Add(closeDelay)); window++ {
		switch {
		case book.sent[window] || !book.isKnown(window) || !book.isClosed(window, now, isComplete):
		case now.After(window.End(book.length).Add(book.late)):
			late = append(late, window)
		default:
			due = append(due, window)
		}
	}
	return append(due, late...)
}

// isClosed reports whether a window that ended closeDelay ago may be reported. The mutex is held.
func (book *Book) isClosed(window Window, now time.Time, isComplete func(Window) bool) bool {
	if _, isRecorded := book.recorded[window]; isRecorded {
		return true
	}
	closesAt := window.End(book.length).Add(book.late - reportMargin)
	return !now.Before(closesAt) || isComplete(window)
}

// UntilClose returns the time until the next window may be closed.
func (book *Book) UntilClose(now time.Time) time.Duration {
	return WindowOf(now.Add(-closeDelay), book.length).End(book.length).Add(closeDelay).Sub(now)
}

// isKnown reports whether the local host knows what is to be reported of a window. The mutex is held.
func (book *Book) isKnown(window Window) bool {
	if _, ok := book.recorded[window]; ok {
		return true
	}
	newer := 0
	for recorded := range book.recorded {
		if recorded > window {
			newer++
		}
	}
	return window >= max(book.since, book.notBefore) && newer < recordedWindows
}

// Recorded returns the recorded report of a window.
func (book *Book) Recorded(window Window) (Report, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	counts, ok := book.recorded[window]
	return Report{Window: window, Counts: counts, Sent: book.sent[window]}, ok
}

// ToStore returns the reports that the store has to hold so that some may be sent: these and the newest
// ones that are remembered, oldest first.
func (book *Book) ToStore(added ...Report) []Report {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	reports := slices.Clone(added)
	for window, counts := range book.recorded {
		if !slices.ContainsFunc(added, func(one Report) bool { return one.Window == window }) {
			reports = append(reports, Report{Window: window, Counts: counts, Sent: book.sent[window]})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(a.Window - b.Window) })
	return reports[max(0, len(reports)-recordedWindows):]
}

// RecordSent records that a report was accepted.
func (book *Book) RecordSent(window Window) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.sent[window] = true
}
