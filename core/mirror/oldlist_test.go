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

// slowSource is a source whose listing is read at once and arrives later.
type slowSource struct {
	*source
	delay time.Duration
}

// Range returns what the store held a time ago.
func (slow *slowSource) Range(ctx context.Context, prefix string, stale bool) ([]store.Entry, store.Position, error) {
	entries, position, err := slow.source.Range(ctx, prefix, stale)
	time.Sleep(slow.delay)
	return entries, position, err
}

// Guards against a copy that counts as complete after a listing has brought it back to an earlier state than a
// batch of another host had: the listing was on its way meanwhile.
func TestCopyIsNotCurrentAfterAListingThatIsOlderThanIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, sink := &slowSource{source: newSource()}, &sink{values: map[string]string{}}
		slow.put("config", "1")
		standby := newMirror(slow, sink, false, func(mirror.Batch) {})
		runMirrors(t, standby)
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(1), standby.Position().Revision)
		// A batch was lost, and the store keeps no changes as old as that. The listing is on its way for a second.
		slow.put("servers/a", "v1")
		slow.set(func() { slow.oldest = 2 })
		slow.delay = time.Second
		standby.ExpectPosition(store.Position{Revision: 2})
		for before := slow.callsOf("range"); slow.callsOf("range") == before; {
			time.Sleep(10 * time.Millisecond)
		}
		// Meanwhile a watcher sends what it still keeps.
		slow.put("servers/b", "v2")
		written := time.Now()
		standby.ApplyBatch(mirror.Batch{After: 1, Until: 3, Events: slow.changes()})
		require.Equal(t, "v2", sink.value("servers/b"))
		for range 100 {
			standby.Refresh()
			time.Sleep(50 * time.Millisecond)
			if sink.value("servers/b") == "" {
				require.False(t, standby.CurrentAsOf().After(written), "%v after servers/b was written the copy at position %d lacks it and counts as complete as of %v after that",
					time.Since(written), standby.Position().Revision, standby.CurrentAsOf().Sub(written))
			}
		}
		require.Equal(t, "v2", sink.value("servers/b"))
	})
}

// callsOf returns the number of calls with a name.
func (source *source) callsOf(name string) int {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.calls[name]
}

// changes returns all changes.
func (source *source) changes() []store.Event {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return append([]store.Event{}, source.history...)
}
