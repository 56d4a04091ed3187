package lease_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/lease"
	"primrosegw/core/store"
	"primrosegw/standin/kv"
)

const leaseKey = "primrosegw/test/placers/p"

// holder is a host that wants the lease.
type holder struct {
	*lease.Lease
	leave context.CancelFunc
	done  chan struct{}
}

// join starts a host.
func join(t require.TestingT, held store.Store, name string) *holder {
	wanted, err := lease.New(lease.Options{
		Store: held, Key: leaseKey, Holder: name, TTL: 9 * time.Second, Random: rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	holder := &holder{Lease: wanted, leave: cancel, done: make(chan struct{})}
	go func() {
		defer close(holder.done)
		wanted.Hold(ctx)
	}()
	return holder
}

// stop ends a host and waits for it.
func (holder *holder) stop() {
	holder.leave()
	<-holder.done
}

// stalling is a store whose calls stand still for a while, as those of a paused
// host do: the reply is there, but its host reads it late.
type stalling struct {
	*kv.Service
	mutex sync.Mutex
	until time.Time
}

func (stalling *stalling) stall(span time.Duration) {
	stalling.mutex.Lock()
	defer stalling.mutex.Unlock()
	stalling.until = time.Now().Add(span)
}

func (stalling *stalling) wait() {
	stalling.mutex.Lock()
	span := time.Until(stalling.until)
	stalling.mutex.Unlock()
	time.Sleep(span)
}

func (stalling *stalling) KeepAlive(ctx context.Context, granted int64) (time.Duration, error) {
	ttl, err := stalling.Service.KeepAlive(ctx, granted)
	stalling.wait()
	return ttl, err
}

func (stalling *stalling) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	revision, err := stalling.Service.Swap(ctx, swap)
	stalling.wait()
	return revision, err
}

// The next holder must come soon after the last one leaves or dies, with a
// higher fencing number.
func TestFenceRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		first := join(t, service, "a")
		fence, err := first.Wait(t.Context())
		require.NoError(t, err)
		entry, err := service.Get(t.Context(), leaseKey)
		require.NoError(t, err)
		require.Equal(t, entry.Created, fence)
		second := join(t, service, "bb")
		time.Sleep(time.Minute)
		require.Equal(t, fence, first.Fence())
		require.Zero(t, second.Fence())
		require.Zero(t, second.Remaining())

		begun := time.Now()
		first.stop()
		next, err := second.Wait(t.Context())
		require.NoError(t, err)
		require.Greater(t, next, fence)
		require.Zero(t, first.Fence())
		require.LessOrEqual(t, time.Since(begun), 4*time.Second)
		second.stop()
	})
}

// A paused holder wakes up with a reply in its hands that was sent long ago; it
// must not count from when it reads it.
func TestPausedHolderNoticesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		paused := &stalling{Service: service}
		first := join(t, paused, "a")
		_, err := first.Wait(t.Context())
		require.NoError(t, err)
		paused.stall(30 * time.Second)
		second := join(t, service, "bb")
		_, err = second.Wait(t.Context())
		require.NoError(t, err)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, first.Fence() != 0 && second.Fence() != 0, "two holders")
		}
		first.stop()
		second.stop()
	})
}

// Short outages must not cost the lease, and long ones must.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		first := join(t, service, "a")
		fence, err := first.Wait(t.Context())
		require.NoError(t, err)
		service.Down(true)
		time.Sleep(3 * time.Second)
		service.Down(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, fence, first.Fence())
		service.Down(true)
		time.Sleep(10 * time.Second)
		require.Zero(t, first.Fence())
		service.Down(false)
		next, err := first.Wait(t.Context())
		require.NoError(t, err)
		require.Greater(t, next, fence)
		first.stop()
	})
}

// The reply to the write of the key may be lost with and without its effect.
func TestLostReplies(t *testing.T) {
	for _, faults := range []kv.Faults{{LoseBefore: 2}, {LoseAfter: 2}, {LoseBefore: 1, LoseAfter: 2}} {
		synctest.Test(t, func(t *testing.T) {
			service := kv.New(kv.Options{Faults: faults})
			first := join(t, service, "a")
			fence, err := first.Wait(t.Context())
			require.NoError(t, err)
			entry, err := service.Get(t.Context(), leaseKey)
			require.NoError(t, err)
			require.Equal(t, entry.Created, fence)
			first.stop()
		})
	}
}

// step is a disturbance of the model test.
type step struct {
	AfterMs, SpanMs int
	Host            int
	Kind            string
}

// At no instant may two hosts believe that they hold the lease, whatever pauses,
// outages and lost replies come.
func TestModel(t *testing.T) {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			AfterMs: rapid.IntRange(0, 10000).Draw(t, "after"),
			SpanMs:  rapid.IntRange(100, 30000).Draw(t, "span"),
			Host:    rapid.IntRange(0, 2).Draw(t, "host"),
			Kind:    rapid.SampledFrom([]string{"stall", "down", "lose_before", "lose_after"}).Draw(t, "kind"),
		}
	})
	rapid.Check(t, func(rapidT *rapid.T) {
		steps := rapid.SliceOfN(one, 1, 10).Draw(rapidT, "steps")
		var doubled, held int
		synctest.Test(t, func(t *testing.T) { doubled, held = play(t, steps) })
		require.Zero(rapidT, doubled, "instants with two holders")
		require.Equal(rapidT, 1, held, "holders after the disturbances")
	})
}

// play runs disturbances and returns the number of instants with two holders
// and the number of holders at the end.
func play(t *testing.T, steps []step) (int, int) {
	service := kv.New(kv.Options{})
	stores, holders := []*stalling{}, []*holder{}
	for _, name := range []string{"a", "bb", "ccc"} {
		paused := &stalling{Service: service}
		stores = append(stores, paused)
		holders = append(holders, join(t, paused, name))
	}
	doubled := 0
	observe := func(span time.Duration) int {
		believers := 0
		for begun := time.Now(); time.Since(begun) < span; time.Sleep(97 * time.Millisecond) {
			believers = 0
			for _, holder := range holders {
				if holder.Fence() != 0 {
					believers++
				}
			}
			if believers > 1 {
				doubled++
			}
		}
		return believers
	}
	for _, step := range steps {
		observe(time.Duration(step.AfterMs) * time.Millisecond)
		span := time.Duration(step.SpanMs) * time.Millisecond
		switch step.Kind {
		case "stall":
			stores[step.Host].stall(span)
		case "down":
			service.Down(true)
			time.AfterFunc(span, func() { service.Down(false) })
		case "lose_before":
			service.SetFaults(kv.Faults{LoseBefore: 3})
		case "lose_after":
			service.SetFaults(kv.Faults{LoseAfter: 3})
		}
	}
	service.SetFaults(kv.Faults{})
	observe(40 * time.Second)
	service.SetFaults(kv.Faults{})
	held := observe(40 * time.Second)
	for _, holder := range holders {
		holder.stop()
	}
	return doubled, held
}
