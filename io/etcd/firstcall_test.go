package etcd_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/io/etcd"
)

// Guards against a write that overwrites another host's value because no reply has told the client of the restoration yet.
func TestFirstWriteAfterARestorationIsAConflict(t *testing.T) {
	values := map[string][]byte{"empty": nil, "short": []byte("lost"), "long": bytes.Repeat([]byte("x"), 300<<10)}
	writes := map[string]func(ctx context.Context, client *etcd.Client, revision int64) error{
		"swap": func(ctx context.Context, client *etcd.Client, revision int64) error {
			_, err := client.Swap(ctx, store.Swap{Key: "a", Expect: revision, Value: []byte("new")})
			return err
		},
		"delete": func(ctx context.Context, client *etcd.Client, revision int64) error {
			return client.Delete(ctx, "a", revision)
		},
	}
	reads := map[string]func(ctx context.Context, client *etcd.Client) error{
		"written": func(context.Context, *etcd.Client) error { return nil },
		"read": func(ctx context.Context, client *etcd.Client) error {
			_, err := client.Get(ctx, "a")
			return err
		},
		"listed": func(ctx context.Context, client *etcd.Client) error {
			_, _, err := client.Range(ctx, "")
			return err
		},
	}
	for size, value := range values {
		for kind, write := range writes {
			for source, read := range reads {
				t.Run(size+" "+kind+" "+source, func(t *testing.T) {
					run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
						copied := rig.service.Copy()
						revision, err := rig.client.Swap(t.Context(), store.Swap{Key: "a", Value: value})
						require.NoError(t, err)
						require.NoError(t, read(t.Context(), rig.client))
						rig.service.Restore(copied)
						again, err := rig.service.Swap(t.Context(), store.Swap{Key: "a", Value: []byte("of another host")})
						require.NoError(t, err)
						require.Equal(t, revision, again, "the revision is given out again")
						require.True(t, fault.Is(write(t.Context(), rig.client, revision), store.Conflict))
						entry, err := rig.client.Get(t.Context(), "a")
						require.NoError(t, err)
						require.Equal(t, "of another host", string(entry.Value))
						require.NoError(t, write(t.Context(), rig.client, entry.Revision), "the new revision holds")
					})
				})
			}
		}
	}
}

// Guards against a write or a revocation under a lease of before the restoration, whose ID another host has.
func TestLeaseOfBeforeARestorationIsNobodyElses(t *testing.T) {
	calls := map[string]func(ctx context.Context, client *etcd.Client, lease int64) error{
		"swap": func(ctx context.Context, client *etcd.Client, lease int64) error {
			_, err := client.Swap(ctx, store.Swap{Key: "mine", Lease: lease})
			return err
		},
		"revoke": func(ctx context.Context, client *etcd.Client, lease int64) error { return client.Revoke(ctx, lease) },
		"keep alive": func(ctx context.Context, client *etcd.Client, lease int64) error {
			_, err := client.KeepAlive(ctx, lease)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
				other, err := etcd.New(etcd.Options{Endpoints: []string{"http://one:1"}, HTTP: rig.http})
				require.NoError(t, err)
				copied := rig.service.Copy()
				lease, err := rig.client.Grant(t.Context(), 10*time.Second)
				require.NoError(t, err)
				rig.service.Restore(copied)
				theirs, err := other.Grant(t.Context(), 10*time.Second)
				require.NoError(t, err)
				_, err = other.Swap(t.Context(), store.Swap{Key: "theirs", Lease: theirs})
				require.NoError(t, err)
				time.Sleep(5 * time.Second)
				require.True(t, fault.Is(call(t.Context(), rig.client, lease), store.Expired))
				_, err = rig.service.Get(t.Context(), "theirs")
				require.NoError(t, err)
				_, err = rig.service.Get(t.Context(), "mine")
				require.True(t, fault.Is(err, store.Absent))
				time.Sleep(6 * time.Second)
				_, err = rig.service.Get(t.Context(), "theirs")
				require.True(t, fault.Is(err, store.Absent), "nobody has renewed it")
			})
		})
	}
}

// Guards against an error in a stream's form, or a reply without a subject, that counts as proof that the lease is gone.
func TestReplyAboutNoLeaseProvesNoExpiry(t *testing.T) {
	for _, body := range []string{`{}`, `{"error":{"code":14,"message":"etcdserver: no leader"}}`, `{"result":{"ID":"8","TTL":"9"}}`} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, body)
		}))
		client, err := etcd.New(etcd.Options{Endpoints: []string{server.URL}})
		require.NoError(t, err)
		_, err = client.KeepAlive(t.Context(), 7)
		require.True(t, fault.Is(err, store.Uncertain), "%s: %v", body, err)
		server.Close()
	}
}
