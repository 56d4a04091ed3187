package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/standin/kv"
)

// A lease that outlives its time, or that ends early after a renewal, would
// make all tests of holders meaningless.
func TestLeaseEndsAtItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		service := kv.New(kv.Options{})
		lease, err := service.Grant(ctx, 3*time.Second)
		require.NoError(t, err)
		_, err = service.Swap(ctx, store.Swap{Key: "a", Value: []byte("1"), Lease: lease})
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = service.KeepAlive(ctx, lease)
		require.NoError(t, err)
		time.Sleep(2900 * time.Millisecond)
		_, err = service.Get(ctx, "a")
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
		_, err = service.Get(ctx, "a")
		require.True(t, fault.Is(err, store.Absent))
		_, err = service.KeepAlive(ctx, lease)
		require.True(t, fault.Is(err, store.Expired))
	})
}

// The two kinds of lost reply differ only in the effect.
func TestLostReplies(t *testing.T) {
	ctx := context.Background()
	service := kv.New(kv.Options{Faults: kv.Faults{LoseBefore: 1}})
	_, err := service.Swap(ctx, store.Swap{Key: "a"})
	require.True(t, fault.Is(err, store.Uncertain))
	_, err = service.Get(ctx, "a")
	require.True(t, fault.Is(err, store.Absent))
	service.SetFaults(kv.Faults{LoseAfter: 1})
	_, err = service.Swap(ctx, store.Swap{Key: "a"})
	require.True(t, fault.Is(err, store.Uncertain))
	_, err = service.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, map[string]int{"txn": 2, "range": 2}, service.Calls())
}

// A watch that starts below the kept history must say so instead of leaving
// changes out.
func TestWatchReportsCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		service := kv.New(kv.Options{})
		expect := int64(0)
		for range 5000 {
			revision, err := service.Swap(ctx, store.Swap{Key: "a", Expect: expect})
			require.NoError(t, err)
			expect = revision
		}
		events, err := service.Watch(ctx, "", 2)
		require.NoError(t, err)
		event := <-events
		require.True(t, fault.Is(event.Err, store.Compacted))
		_, open := <-events
		require.False(t, open)
	})
}
