package spread_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/heads"
	"primrosegw/core/spread"
	"primrosegw/standin/kv"
)

// Guards against a recall that hosts have applied and that a restored store has lost.
func TestRestoredStoreGetsTheLostGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newGroup(t, 1)
		service := kv.New(kv.Options{})
		random := rand.New(rand.NewPCG(1, 1))
		client, err := heads.New(heads.Options{Store: service, Environment: "test", Host: "host", Random: random})
		require.NoError(t, err)
		watcher, err := spread.NewWatcher(spread.WatcherOptions{
			Spread: group.distributor(0), Client: client, Store: service, Environment: "test", Random: random,
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		defer cancel()
		_, err = client.Recall(ctx, "lot-1", "ana", "faulty")
		require.NoError(t, err)
		copied := service.Copy()
		_, err = client.Recall(ctx, "lot-2", "ana", "faulty")
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		generation, _ := group.distributor(0).Applied()
		require.Equal(t, uint64(2), generation)
		service.Restore(copied)
		time.Sleep(30 * time.Second)
		stored, _, err := client.Status(ctx)
		require.NoError(t, err)
		require.Equal(t, uint64(2), stored.Generation)
		require.Len(t, stored.RecalledLots, 2)
	})
}
