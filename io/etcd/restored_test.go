package etcd_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/io/etcd"
)

// Guards against a write that overwrites what others wrote after a restoration, because its
// revision was given out again.
func TestRevisionOfBeforeARestorationIsAConflict(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		copied := rig.service.Copy()
		revision, err := rig.client.Swap(t.Context(), store.Swap{Key: "a", Value: []byte("lost")})
		require.NoError(t, err)
		rig.service.Restore(copied)
		again, err := rig.service.Swap(t.Context(), store.Swap{Key: "a", Value: []byte("of another host")})
		require.NoError(t, err)
		require.Equal(t, revision, again, "the revision is given out again")
		_, err = rig.client.Get(t.Context(), "b")
		require.True(t, fault.Is(err, store.Absent))
		_, err = rig.client.Swap(t.Context(), store.Swap{Key: "a", Expect: revision, Value: []byte("new")})
		require.True(t, fault.Is(err, store.Conflict))
		require.True(t, fault.Is(rig.client.Delete(t.Context(), "a", revision), store.Conflict))
		entry, err := rig.client.Get(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, "of another host", string(entry.Value))
		_, err = rig.client.Swap(t.Context(), store.Swap{Key: "a", Expect: entry.Revision, Value: []byte("new")})
		require.NoError(t, err)
	})
}

// Guards against two holders of a lock: one renews a lease whose ID was given to the other.
func TestLeaseOfBeforeARestorationHasExpired(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		copied := rig.service.Copy()
		lease, err := rig.client.Grant(t.Context(), 10*time.Second)
		require.NoError(t, err)
		rig.service.Restore(copied)
		grant := fmt.Sprintf(`{"ID":"%d","TTL":"10"}`, lease)
		response, err := rig.http.Post("http://one:1/v3/lease/grant", "application/json", strings.NewReader(grant))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode, "the ID is given out again")
		_, err = rig.client.KeepAlive(t.Context(), lease)
		require.True(t, fault.Is(err, store.Expired))
		require.True(t, fault.Is(rig.client.Revoke(t.Context(), lease), store.Expired))
		_, err = rig.service.KeepAlive(t.Context(), lease)
		require.NoError(t, err, "the lease of the other host goes on")
	})
}

// Guards against a watch that waits for a revision which a restored service has not reached.
func TestWatchAfterALostRevisionIsRefused(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		copied := rig.service.Copy()
		for _, key := range []string{"a", "b", "c"} {
			_, err := rig.client.Swap(t.Context(), store.Swap{Key: key})
			require.NoError(t, err)
		}
		_, revision, err := rig.client.Range(t.Context(), "")
		require.NoError(t, err)
		rig.service.Restore(copied)
		for _, held := range []store.Store{rig.service, rig.client} {
			events, err := held.Watch(t.Context(), "", revision+1)
			require.NoError(t, err)
			require.True(t, fault.Is((<-events).Err, store.Compacted))
		}
	})
}
