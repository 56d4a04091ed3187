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
	require.Empty(t, book.Due(base.Add(window+time.Second)))
	require.Equal(t, []usage.Window{number}, book.Due(base.Add(window+3*time.Second)))
	closed := base.Add(window + time.Second + book.UntilClose(base.Add(window+time.Second)))
	require.Equal(t, []usage.Window{number}, book.Due(closed))
	require.Empty(t, book.Due(closed.Add(-time.Nanosecond)))
	require.Equal(t, window, book.UntilClose(closed))
	book.Observe([]usage.Report{{Window: number, Counts: usage.Counts{"w": 1}}})
	book.RecordSent(number)
	require.Empty(t, book.Due(base.Add(window+3*time.Second)))
	require.Empty(t, book.Due(base.Add(window + late + time.Second))[1:], "later windows only")
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
	require.Equal(t, []usage.Window{number}, book.Due(base.Add(8*time.Second)), "a successor sends it again")
	require.Len(t, book.ToStore(usage.Report{Window: number + 1}), 2, "the store gets it back")

	other := usage.NewBook(window, late, base)
	other.RecordRestored(base.Add(8 * time.Second))
	require.Empty(t, other.Due(base.Add(9*time.Second)), "it may have been reported")
	require.Equal(t, []usage.Window{number + 1}, other.Due(base.Add(13*time.Second)))
	other.BeginTerm(true)
	require.Equal(t, []usage.Window{number}, other.Due(base.Add(9*time.Second)), "the holder before was this host")
}

// Guards against windows that are never reported because the store, or the platform, was away until after
// they were due, and against windows that are due and wait for these.
func TestLateWindowsAreReportedAfterTheOthers(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number := usage.WindowOf(base, window)
	require.Equal(t, []usage.Window{number + 1, number}, book.Due(base.Add(window+late+time.Second)))
	require.Contains(t, book.Due(base.Add(50*time.Second)), number)
}

// Guards against different counts for a window whose record the store no longer holds, as newer ones have
// taken its place, at a host that has not seen it and whose clock is behind.
func TestWindowsBeforeTheRecordsAreLeftOut(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number, now := usage.WindowOf(base, window), base.Add(20*time.Second)
	var reports []usage.Report
	for next := number + 1; len(book.ToStore(reports...)) == len(reports); next++ {
		require.Contains(t, book.Due(now), number)
		book.Observe(reports)
		reports = append(reports, usage.Report{Window: next})
	}
	require.NotContains(t, book.Due(now), number)
}

// Guards against a host that regains the duty and reports windows which the holder before its own first
// term may have reported in a former era of the store.
func TestWindowsOfAFormerEraStayOut(t *testing.T) {
	book := usage.NewBook(window, late, base)
	number := usage.WindowOf(base, window)
	book.RecordRestored(base.Add(8 * time.Second))
	book.BeginTerm(false)
	book.BeginTerm(true)
	require.NotContains(t, book.Due(base.Add(13*time.Second)), number)
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
