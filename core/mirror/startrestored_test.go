package mirror_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/core/fresh"
	"primrosegw/core/mirror"
)

// newMirror returns a mirror of a source.
func newMirror(source mirror.Source, sink mirror.Sink, watcher bool, publish func(batch mirror.Batch)) *mirror.Mirror {
	start := time.Now()
	return mirror.New(mirror.Options{
		Source: source, Sink: sink, ProbeKey: "config", ProbeInterval: time.Second, Proof: fresh.New(4 * time.Second),
		Now: func() fresh.Instant { return fresh.Instant(time.Since(start)) }, Logger: event.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
		IsWatcher: func() bool { return watcher }, Publish: publish,
	})
}

// runMirrors runs mirrors until the test ends, also if it fails.
func runMirrors(t *testing.T, hosts ...*mirror.Mirror) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, host := range hosts {
		group.Go(func() { host.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// Guards against a host that starts beside a store which was restored a moment ago and takes its copy for
// complete while a server has not registered again. A host that ran before knows that it has to wait.
func TestCopyOfAHostThatStartsBesideARestoredStoreIsNotCurrent(t *testing.T) {
	for _, name := range []string{"a host that ran before", "a host that starts"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, sink := newSource(), &sink{values: map[string]string{}}
				source.put("config", "1")
				host := newMirror(source, sink, true, func(mirror.Batch) {})
				if name == "a host that ran before" {
					runMirrors(t, host)
				}
				time.Sleep(time.Second)
				source.put("servers/a", "v2")
				registered := time.Now()
				time.Sleep(time.Second)
				source.restore(1)
				host.ObserveEra(1)
				if name == "a host that starts" {
					runMirrors(t, host)
				}
				for range 15 {
					time.Sleep(100 * time.Millisecond)
					host.Refresh()
					require.False(t, host.CurrentAsOf().After(registered),
						"%v after the restoration the copy lacks servers/a and counts as complete as of %v after it was written",
						time.Since(registered)-time.Second, host.CurrentAsOf().Sub(registered))
				}
				source.put("servers/a", "v2")
				time.Sleep(5 * time.Second)
				require.Equal(t, "v2", sink.value("servers/a"))
				require.True(t, host.CurrentAsOf().After(registered))
			})
		})
	}
}
