package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/mirror"
	"primrosegw/core/store"
)

// pagedSource is a source whose listings take a second from their first page to their last one.
type pagedSource struct {
	*source
	betweenPages func()
}

// Range returns the entries of the last page's time with the position of the first page.
func (paged *pagedSource) Range(ctx context.Context, prefix string, stale bool) ([]store.Entry, store.Position, error) {
	_, position, err := paged.source.Range(ctx, prefix, stale)
	if err != nil || stale {
		return nil, position, err
	}
	time.Sleep(time.Second)
	paged.betweenPages()
	entries, _, err := paged.source.Range(ctx, prefix, stale)
	return entries, position, err
}

// Guards against a standby host that misses a change for good: the watcher had it from a listing of several
// pages, finds no news in it afterwards and publishes a batch over its revision without it.
func TestChangeDuringAListingOfTheWatcherReachesStandbyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paged := &pagedSource{source: newSource(), betweenPages: func() {}}
		paged.put("config", "1")
		watcherSink, standbySink := &sink{values: map[string]string{}}, &sink{values: map[string]string{}}
		standby := newMirror(paged.source, standbySink, false, func(mirror.Batch) {})
		watcher := newMirror(paged, watcherSink, true, standby.ApplyBatch)
		runMirrors(t, standby, watcher)
		time.Sleep(3 * time.Second)
		var written time.Time
		paged.betweenPages = func() {
			paged.put("servers/b", "v2")
			written = time.Now()
		}
		// Both hosts list all keys.
		paged.restore(1)
		standby.ObserveEra(1)
		watcher.ObserveEra(1)
		time.Sleep(30 * time.Second)
		require.Equal(t, "v2", watcherSink.value("servers/b"))
		if standbySink.value("servers/b") == "" {
			require.False(t, standby.CurrentAsOf().After(written), "the standby host's copy lacks servers/b 29 s after it was written and counts as complete")
		}
		require.Equal(t, "v2", standbySink.value("servers/b"))
	})
}
