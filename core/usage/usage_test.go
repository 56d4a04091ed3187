package usage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/usage"
)

const (
	window = 5 * time.Second
	late   = 10 * time.Second
)

// base is the start of a window.
var base = time.Unix(1_000_000, 0)

// complete says that all hosts have told their final counts.
func complete(usage.Window) bool { return true }

// Guards against requests that count in the wrong window, twice after a lost confirmation, or not at all
// at a host that takes the duty over.
func TestCountsOfAllHostsAreCollected(t *testing.T) {
	first, second := usage.NewCounter(window), usage.NewCounter(window)
	collector, successor := usage.NewCollector(), usage.NewCollector()
	tell := func(counter *usage.Counter, process string, to *usage.Collector, name string, confirmed bool) {
		confirmations := to.Put(process, counter.Pending(name), base.Add(window), window)
		if confirmed {
			counter.Confirm(name, confirmations)
		}
	}
	number := usage.WindowOf(base, window)
	first.Add("w", base)
	first.Add("w", base.Add(window-time.Nanosecond))
	first.Add("w", base.Add(window))
	second.Add("w", base.Add(time.Second))
	second.Add("v", base.Add(time.Second))
	tell(first, "host-a/1", collector, "holder", false)
	tell(first, "host-a/1", collector, "holder", true)
	tell(second, "host-b/1", collector, "holder", true)
	require.Equal(t, usage.Counts{"w": 3, "v": 1}, collector.Sum(number))
	require.Equal(t, usage.Counts{"w": 1}, collector.Sum(number+1))
	require.Empty(t, first.Pending("holder"))

	restarted := usage.NewCounter(window)
	restarted.Add("w", base.Add(4*time.Second))
	tell(restarted, "host-b/2", collector, "holder", true)
	require.Equal(t, usage.Counts{"w": 4, "v": 1}, collector.Sum(number), "what the process before had told counts")

	require.NotEmpty(t, first.Pending("successor"))
	tell(first, "host-a/1", successor, "successor", true)
	require.Equal(t, usage.Counts{"w": 2}, successor.Sum(number))
	first.Retain([]string{"holder"})
	require.NotEmpty(t, first.Pending("successor"), "a collector that is forgotten gets everything again")
}

// Guards against a counter that grows with time, or that forgets windows which are still due.
func TestOldWindowsAreForgotten(t *testing.T) {
	counter := usage.NewCounter(window)
	for index := range 100 {
		counter.Add("w", base.Add(time.Duration(index)*window))
	}
	pending := counter.Pending("holder")
	require.LessOrEqual(t, len(pending), 20)
	require.GreaterOrEqual(t, time.Duration(len(pending))*window, time.Minute)
	require.Equal(t, usage.WindowOf(base.Add(99*window), window), pending[len(pending)-1].Window)
}

// Guards against a window that is reported before what hosts have counted has arrived, after it is due, or
// twice by one holder.
func TestDueWindows(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number := usage.WindowOf(base, window)
	require.Empty(t, book.Due(base.Add(window+time.Second), complete))
	require.Equal(t, []usage.Window{number}, book.Due(base.Add(window+3*time.Second), complete))
	closed := base.Add(window + time.Second + book.UntilClose(base.Add(window+time.Second)))
	require.Equal(t, []usage.Window{number}, book.Due(closed, complete))
	require.Empty(t, book.Due(closed.Add(-time.Nanosecond), complete))
	require.Equal(t, window, book.UntilClose(closed))
	book.Observe([]usage.Report{{Window: number, Counts: usage.Counts{"w": 1}}})
	book.RecordSent(number)
	require.Empty(t, book.Due(base.Add(window+3*time.Second), complete))
	require.Empty(t, book.Due(base.Add(window+late+time.Second), complete)[1:], "later windows only")
}

// Guards against a second report of a window with different counts: a recorded one is sent as it is, and
// what a store that was restored from a copy may have lost is not made up again.
func TestRecordedReportsStay(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number := usage.WindowOf(base, window)
	book.Observe([]usage.Report{{Window: number, Counts: usage.Counts{"w": 1}}})
	book.Observe([]usage.Report{{Window: number, Counts: usage.Counts{"w": 2}}})
	report, ok := book.Recorded(number)
	require.True(t, ok)
	require.Equal(t, usage.Counts{"w": 1}, report.Counts)
	require.Equal(t, []usage.Window{number}, book.Due(base.Add(8*time.Second), complete), "a successor sends it again")
	require.Len(t, book.ToStore(usage.Report{Window: number + 1}), 2, "the store gets it back")

	other := usage.NewBook(window, late, base)
	other.RecordRestored(base.Add(8 * time.Second))
	require.Empty(t, other.Due(base.Add(9*time.Second), complete), "it may have been reported")
	require.Equal(t, []usage.Window{number + 1}, other.Due(base.Add(13*time.Second), complete))
	other.BeginTerm(true)
	require.Equal(t, []usage.Window{number}, other.Due(base.Add(9*time.Second), complete), "the holder before was this host")
}

// Guards against windows that are never reported because the store, or the platform, was away until after
// they were due, and against windows that are due and wait for these.
func TestLateWindowsAreReportedAfterTheOthers(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number := usage.WindowOf(base, window)
	require.Equal(t, []usage.Window{number + 1, number}, book.Due(base.Add(window+late+time.Second), complete))
	require.Contains(t, book.Due(base.Add(50*time.Second), complete), number)
}

// Guards against different counts for a window whose record the store no longer holds, as newer ones have
// taken its place, at a host that has not seen it and whose clock is behind.
func TestWindowsBeforeTheRecordsAreLeftOut(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number, now := usage.WindowOf(base, window), base.Add(20*time.Second)
	var reports []usage.Report
	for next := number + 1; len(book.ToStore(reports...)) == len(reports); next++ {
		require.Contains(t, book.Due(now, complete), number)
		book.Observe(reports)
		reports = append(reports, usage.Report{Window: next})
	}
	require.NotContains(t, book.Due(now, complete), number)
}

// Guards against a host that regains the duty and reports windows which the holder before its own first
// term may have reported in a former era of the store.
func TestWindowsOfAFormerEraStayOut(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number := usage.WindowOf(base, window)
	book.RecordRestored(base.Add(8 * time.Second))
	book.BeginTerm(false)
	book.BeginTerm(true)
	require.NotContains(t, book.Due(base.Add(13*time.Second), complete), number)
}

// Guards against a host whose clock is minutes ahead and whose windows take the place of the current ones.
func TestWindowsOfAClockAheadDisplaceNone(t *testing.T) {
	collector, ahead := usage.NewCollector(), usage.NewCounter(window)
	number := usage.WindowOf(base, window)
	collector.Put("host-a/1", []usage.Statement{{Window: number, Sequence: 1, Counts: usage.Counts{"w": 1}}}, base, window)
	for index := range 20 {
		ahead.Add("w", base.Add(time.Duration(20+index)*window))
	}
	require.Empty(t, collector.Put("host-b/1", ahead.Pending("holder"), base, window), "they come again when they are due")
	require.Equal(t, usage.Counts{"w": 1}, collector.Sum(number))
}

// Guards against a window that is reported while the counts of hosts that are cut off are missing, though its report
// is not due yet, and against one that waits for them until it is late: 1,140 of 2,902 requests were
// missing as 25 hosts were cut off.
func TestWindowWaitsForMissingCounts(t *testing.T) {
	book, collector := usage.NewBook(window, late, base), usage.NewCollector()
	counters := map[string]*usage.Counter{"host-a/1": usage.NewCounter(window), "host-b/1": usage.NewCounter(window)}
	number := usage.WindowOf(base, window)
	isComplete := func(window usage.Window) bool { return collector.IsComplete(window, []string{"host-a/1", "host-b/1"}) }
	tell := func(process string, now time.Time) {
		counters[process].Close(now)
		counters[process].Confirm("holder", collector.Put(process, counters[process].Pending("holder"), now, window))
	}
	counters["host-a/1"].Add("w", base)
	counters["host-b/1"].Add("w", base)
	end := base.Add(window)
	tell("host-a/1", end.Add(time.Second))
	tell("host-b/1", end)
	require.Empty(t, book.Due(end.Add(4*time.Second), isComplete), "host-b has told nothing since the end")
	require.Equal(t, []usage.Window{number}, book.Due(end.Add(late-2*time.Second), isComplete), "the report is due soon")
	tell("host-b/1", end.Add(4*time.Second))
	require.Equal(t, []usage.Window{number}, book.Due(end.Add(4*time.Second), isComplete))
	require.Equal(t, usage.Counts{"w": 2}, collector.Sum(number))
	require.Empty(t, counters["host-b/1"].Pending("holder"))

	started := usage.NewCounter(window)
	started.Close(end.Add(4 * time.Second))
	collector.Put("host-c/2", started.Pending("holder"), end.Add(4*time.Second), window)
	require.True(t, collector.IsComplete(number, []string{"host-a/1", "host-c/2"}), "a host that has started since has nothing to add")
}

// Guards against a holder that takes the duty over and first sends again what was accepted long ago.
func TestAcceptedReportsAreNotSentAgain(t *testing.T) {
	number := usage.WindowOf(base, window)
	first, successor := usage.NewBook(window, late, base), usage.NewBook(window, late, base)
	first.Observe([]usage.Report{{Window: number}})
	first.RecordSent(number)
	successor.Observe(first.ToStore(usage.Report{Window: number + 1}))
	now := base.Add(2*window + 3*time.Second)
	require.Equal(t, []usage.Window{number + 1}, successor.Due(now, complete), "it may not have been sent")
	successor.BeginTerm(false)
	require.Equal(t, []usage.Window{number + 1}, successor.Due(now, complete))
	first.BeginTerm(false)
	require.NotContains(t, first.Due(now, complete), number)
}

// Guards against windows that are never reported because all hosts that counted, and all that had their counts, have
// started again one after another while the store was away.
func TestCountsOutliveRestartsOfAllHosts(t *testing.T) {
	number, now := usage.WindowOf(base, window), base.Add(window+time.Second)
	counter, holder, holderBook := usage.NewCounter(window), usage.NewCollector(), usage.NewBook(window, late, base)
	counter.Add("w", base)
	holder.Put("host-a/1", counter.Pending("holder"), now, window)

	live := map[string]bool{"host-a/2": true}
	var successor *usage.Collector
	var book *usage.Book
	for range 3 {
		successor, book = usage.NewCollector(), usage.NewBook(window, late, now)
		require.Empty(t, book.Due(now.Add(2*time.Second), complete), "it knows no counts from before its start")
		for _, told := range holder.Told(holderBook.FirstOpen(now), func(process string) bool { return !live[process] }) {
			successor.Put(told.Process, told.Statements, now, window)
		}
		book.LearnSince(holderBook.KnownSince())
		holder, holderBook = successor, book
		now = now.Add(time.Second)
	}
	require.Contains(t, book.Due(now.Add(window), complete), number)
	require.Equal(t, usage.Counts{"w": 1}, successor.Sum(number))
}

// Guards against windows that a holder in a former era of the store may have reported, and that a host takes for
// its own because another one passes their counts on.
func TestPassedCountsOfAFormerEraStayOut(t *testing.T) {
	number := usage.WindowOf(base, window)
	restored, passing := usage.NewBook(window, late, base.Add(2*window)), usage.NewBook(window, late, base)
	restored.RecordRestored(base.Add(window + 3*time.Second))
	restored.BeginTerm(true)
	restored.LearnSince(passing.KnownSince())
	require.NotContains(t, restored.Due(base.Add(window+8*time.Second), complete), number)
	passing.RecordRestored(base.Add(window + 3*time.Second))
	passing.BeginTerm(true)
	require.Greater(t, passing.KnownSince(), number)
}
