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

// holder is a host that competes for the lease.
type holder struct {
	*lease.Lease
	cancel context.CancelFunc
	done   chan struct{}
}

// startHolder starts a host that competes for the lease.
func startHolder(t require.TestingT, service store.Store, name string) *holder {
	contender, err := lease.New(lease.Options{
		Store: service, Key: leaseKey, Holder: name, TTL: 9 * time.Second,
		Random: rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	holder := &holder{Lease: contender, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(holder.done)
		contender.Hold(ctx)
	}()
	return holder
}

// stop stops a host and waits until it has released the lease.
func (holder *holder) stop() {
	holder.cancel()
	<-holder.done
}

// pausableStore is a store that can delay its replies, which simulates a paused
// host: the service has replied, but the host reads the reply late.
type pausableStore struct {
	*kv.Service
	mutex sync.Mutex
	until time.Time
}

func (pausableStore *pausableStore) pauseFor(span time.Duration) {
	pausableStore.mutex.Lock()
	defer pausableStore.mutex.Unlock()
	pausableStore.until = time.Now().Add(span)
}

func (pausableStore *pausableStore) wait() {
	pausableStore.mutex.Lock()
	span := time.Until(pausableStore.until)
	pausableStore.mutex.Unlock()
	time.Sleep(span)
}

func (pausableStore *pausableStore) KeepAlive(ctx context.Context, leaseID int64) (time.Duration, error) {
	ttl, err := pausableStore.Service.KeepAlive(ctx, leaseID)
	pausableStore.wait()
	return ttl, err
}

func (pausableStore *pausableStore) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	revision, err := pausableStore.Service.Swap(ctx, swap)
	pausableStore.wait()
	return revision, err
}

// TestFenceRises checks that the next holder acquires the lease soon after the
// previous one releases it, with a higher fencing token.
func TestFenceRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		first := startHolder(t, service, "a")
		fence, err := first.Wait(t.Context())
		require.NoError(t, err)
		entry, err := service.Get(t.Context(), leaseKey)
		require.NoError(t, err)
		require.Equal(t, entry.Created, fence)
		second := startHolder(t, service, "bb")
		time.Sleep(time.Minute)
		require.Equal(t, fence, first.Fence())
		require.Zero(t, second.Fence())
		require.Zero(t, second.Remaining())

		started := time.Now()
		first.stop()
		next, err := second.Wait(t.Context())
		require.NoError(t, err)
		require.Greater(t, next, fence)
		require.Zero(t, first.Fence())
		require.LessOrEqual(t, time.Since(started), 4*time.Second)
		second.stop()
	})
}

// TestPausedHolderNoticesLapse guards against counting the time to live from when a
// reply is read: a paused holder reads the reply to a renewal long after it was
// sent, and by then another host holds the lease.
func TestPausedHolderNoticesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		paused := &pausableStore{Service: service}
		first := startHolder(t, paused, "a")
		_, err := first.Wait(t.Context())
		require.NoError(t, err)
		paused.pauseFor(30 * time.Second)
		second := startHolder(t, service, "bb")
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

// TestOutage checks that a holder keeps the lease through an outage shorter than the
// time to live, and gives it up in a longer one.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		first := startHolder(t, service, "a")
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

// TestLostReplies checks that the lease is acquired when the reply to the write of
// the key is lost, whether or not the write took effect.
func TestLostReplies(t *testing.T) {
	for _, faults := range []kv.Faults{{LoseBefore: 2}, {LoseAfter: 2}, {LoseBefore: 1, LoseAfter: 2}} {
		synctest.Test(t, func(t *testing.T) {
			service := kv.New(kv.Options{Faults: faults})
			first := startHolder(t, service, "a")
			fence, err := first.Wait(t.Context())
			require.NoError(t, err)
			entry, err := service.Get(t.Context(), leaseKey)
			require.NoError(t, err)
			require.Equal(t, entry.Created, fence)
			first.stop()
		})
	}
}

// step is one injected fault of the model test.
type step struct {
	AfterMs, SpanMs int
	Host            int
	Kind            string
}

// TestModel checks under random pauses, outages and lost replies that two hosts never
// consider themselves holders at the same time.
func TestModel(t *testing.T) {
	stepGenerator := rapid.Custom(func(t *rapid.T) step {
		return step{
			AfterMs: rapid.IntRange(0, 10000).Draw(t, "after"),
			SpanMs:  rapid.IntRange(100, 30000).Draw(t, "span"),
			Host:    rapid.IntRange(0, 2).Draw(t, "host"),
			Kind:    rapid.SampledFrom([]string{"stall", "down", "lose_before", "lose_after"}).Draw(t, "kind"),
		}
	})
	rapid.Check(t, func(rapidT *rapid.T) {
		steps := rapid.SliceOfN(stepGenerator, 1, 10).Draw(rapidT, "steps")
		var overlaps, holderCount int
		synctest.Test(t, func(t *testing.T) { overlaps, holderCount = runSteps(t, steps) })
		require.Zero(rapidT, overlaps, "samples with more than one holder")
		require.Equal(rapidT, 1, holderCount, "holders after the faults")
	})
}

// runSteps injects faults and returns the number of samples with more than one
// holder, and the number of holders at the end.
func runSteps(t *testing.T, steps []step) (int, int) {
	service := kv.New(kv.Options{})
	stores, holders := []*pausableStore{}, []*holder{}
	for _, name := range []string{"a", "bb", "ccc"} {
		paused := &pausableStore{Service: service}
		stores = append(stores, paused)
		holders = append(holders, startHolder(t, paused, name))
	}
	overlaps := 0
	observe := func(span time.Duration) int {
		holding := 0
		for started := time.Now(); time.Since(started) < span; time.Sleep(97 * time.Millisecond) {
			holding = 0
			for _, holder := range holders {
				if holder.Fence() != 0 {
					holding++
				}
			}
			if holding > 1 {
				overlaps++
			}
		}
		return holding
	}
	for _, step := range steps {
		observe(time.Duration(step.AfterMs) * time.Millisecond)
		span := time.Duration(step.SpanMs) * time.Millisecond
		switch step.Kind {
		case "stall":
			stores[step.Host].pauseFor(span)
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
	holderCount := observe(40 * time.Second)
	for _, holder := range holders {
		holder.stop()
	}
	return overlaps, holderCount
}

// Guards against a holder that renews its lease although its key is gone or belongs to another host.
func TestHolderWhoseKeyIsGoneGivesTheLeaseUp(t *testing.T) {
	takeAway := map[string]func(t *testing.T, service *kv.Service, held store.Entry, copied kv.Copy){
		"deleted": func(t *testing.T, service *kv.Service, held store.Entry, _ kv.Copy) {
			require.NoError(t, service.Delete(t.Context(), leaseKey, held.Revision))
		},
		"overwritten": func(t *testing.T, service *kv.Service, held store.Entry, _ kv.Copy) {
			_, err := service.Swap(t.Context(), store.Swap{Key: leaseKey, Expect: held.Revision, Value: []byte("x"), Lease: held.Lease})
			require.NoError(t, err)
		},
		"restored without the key": func(_ *testing.T, service *kv.Service, _ store.Entry, copied kv.Copy) { service.Restore(copied) },
	}
	for name, takeAway := range takeAway {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := kv.New(kv.Options{})
				granting := &copyingStore{Service: service}
				first := startHolder(t, granting, "a")
				defer first.stop()
				_, err := first.Wait(t.Context())
				require.NoError(t, err)
				held, err := service.Get(t.Context(), leaseKey)
				require.NoError(t, err)
				takeAway(t, service, held, granting.granted)
				// A renewal comes every 1.5 to 3 s.
				time.Sleep(3*time.Second + time.Millisecond)
				for range 100 {
					if fence := first.Fence(); fence != 0 {
						entry, err := service.Get(t.Context(), leaseKey)
						require.NoError(t, err)
						require.Equal(t, entry.Created, fence)
						require.NotEqual(t, "x", string(entry.Value))
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.NotZero(t, first.Fence(), "acquired again")
			})
		})
	}
}

// Guards against two holders for longer than one renewal after an operator has deleted the key.
func TestOtherHolderAfterADeletedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		first := startHolder(t, service, "a")
		defer first.stop()
		_, err := first.Wait(t.Context())
		require.NoError(t, err)
		held, err := service.Get(t.Context(), leaseKey)
		require.NoError(t, err)
		require.NoError(t, service.Delete(t.Context(), leaseKey, held.Revision))
		second := startHolder(t, service, "bb")
		defer second.stop()
		_, err = second.Wait(t.Context())
		require.NoError(t, err)
		time.Sleep(3*time.Second + time.Millisecond)
		for range 100 {
			require.False(t, first.Fence() != 0 && second.Fence() != 0, "two holders")
			time.Sleep(100 * time.Millisecond)
		}
		require.NotZero(t, second.Fence())
	})
}

// copyingStore copies the service after each grant of a lease.
type copyingStore struct {
	*kv.Service
	granted kv.Copy
}

func (copyingStore *copyingStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	lease, err := copyingStore.Service.Grant(ctx, ttl)
	copyingStore.granted = copyingStore.Copy()
	return lease, err
}

// Guards against a holder that acts after its machine was suspended, and whose wall clock is wrong when it
// resumes: of its clocks, only the one that counts the suspension shows that the lease has ended.
func TestSuspensionEndsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, suspended := time.Now(), time.Duration(0)
		contender, err := lease.New(lease.Options{
			Store: kv.New(kv.Options{}), Key: leaseKey, Holder: "host-a", TTL: 9 * time.Second,
			Elapsed: func() time.Duration { return time.Second + time.Since(started) + suspended },
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			contender.Hold(ctx)
		}()
		_, err = contender.Wait(ctx)
		require.NoError(t, err)
		suspended = 7 * time.Second
		require.NotZero(t, contender.Fence(), "a tenth of the time to live is kept as a margin")
		suspended = 9 * time.Second
		require.Zero(t, contender.Fence())
		require.Zero(t, contender.Remaining())
		cancel()
		<-done
	})
}
