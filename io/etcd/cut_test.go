package etcd_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/io/etcd"
	"primrosegw/standin/cutter"
)

// silentStep is every how many bytes a silent device cuts, since each cut takes its time.
const silentStep = 13

// eachCut calls test with a client behind a device, for each way, framing and cut of an answer up to its last byte.
func eachCut(t *testing.T, status, body string, test func(t *testing.T, client *etcd.Client, device *cutter.Device, cut, head, whole int)) {
	for _, way := range cutter.Ways() {
		for _, framing := range cutter.Framings() {
			t.Run(string(way)+" "+string(framing), func(t *testing.T) {
				t.Parallel()
				answer, whole := cutter.Answer(framing, status, body)
				head := strings.Index(string(answer), "\r\n\r\n") + len("\r\n\r\n")
				device, err := cutter.New(way, func(*http.Request) []byte { return answer })
				require.NoError(t, err)
				defer func() { _ = device.Close() }()
				step := 1
				if way == cutter.Silent {
					step = silentStep
				}
				for cut := 0; cut < len(answer); cut += step {
					device.CutAfter(cut)
					client, err := etcd.New(etcd.Options{Endpoints: []string{device.URL()}})
					require.NoError(t, err)
					test(t, client, device, cut, head, whole)
				}
			})
		}
	}
}

// Guards against a part of an answer that counts as the whole one, a write that is sent twice, and one that ran and counts as not run.
func TestCutAnswersOfTheStoreAreNotWhole(t *testing.T) {
	const header = `{"header":{"cluster_id":"7","revision":"9"},`
	pairs := `"kvs":[{"key":"YQ==","mod_revision":"8","create_revision":"8","value":"dg=="},{"key":"Yg==","mod_revision":"9","value":"dw=="}],"count":"2"}`
	calls := map[string]struct {
		body  string
		write bool
		run   func(ctx context.Context, client *etcd.Client) error
	}{
		"get": {header + pairs, false, func(ctx context.Context, client *etcd.Client) error {
			_, err := client.Get(ctx, "a")
			return err
		}},
		"absent": {header + `"count":"0"}`, false, func(ctx context.Context, client *etcd.Client) error {
			_, err := client.Get(ctx, "a")
			if fault.Is(err, store.Absent) {
				return nil
			}
			return err
		}},
		"range": {header + pairs, false, func(ctx context.Context, client *etcd.Client) error {
			_, _, err := client.Range(ctx, "")
			return err
		}},
		"swap": {header + `"succeeded":true}`, true, func(ctx context.Context, client *etcd.Client) error {
			_, err := client.Swap(ctx, store.Swap{Key: "a", Expect: 8})
			return err
		}},
		"conflict": {header + `"responses":[]}`, true, func(ctx context.Context, client *etcd.Client) error {
			err := client.Delete(ctx, "a", 8)
			if fault.Is(err, store.Conflict) {
				return nil
			}
			return err
		}},
		"keep alive": {`{"result":{"ID":"7","TTL":"9"}}`, true, func(ctx context.Context, client *etcd.Client) error {
			_, err := client.KeepAlive(ctx, 7)
			return err
		}},
		"expired": {`{"result":{"ID":"7"}}`, true, func(ctx context.Context, client *etcd.Client) error {
			_, err := client.KeepAlive(ctx, 7)
			if fault.Is(err, store.Expired) {
				return nil
			}
			return err
		}},
		"revoke": {header + `"x":1}`, true, func(ctx context.Context, client *etcd.Client) error { return client.Revoke(ctx, 7) }},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			kind := store.Unavailable
			if call.write {
				kind = store.Uncertain
			}
			eachCut(t, "200 OK", call.body, func(t *testing.T, client *etcd.Client, device *cutter.Device, cut, _, whole int) {
				before := device.Requests()
				err := call.run(t.Context(), client)
				// A reset may take back what has arrived.
				if cut < whole || err != nil {
					require.True(t, fault.Is(err, kind), "cut after %d of %d: %v", cut, whole, err)
				}
				require.Equal(t, int64(1), device.Requests()-before, "cut after %d", cut)
			})
		})
	}
}

// Guards against a write that counts as not run by an error of which only a part came, or that names no reason for it.
func TestCutErrorsOfTheStoreAreUncertain(t *testing.T) {
	for status, kind := range map[string]store.Kind{
		"400 Bad Request": store.Refused, "404 Not Found": store.Expired, "503 Service Unavailable": store.Uncertain, "500 Internal Server Error": store.Uncertain,
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			const body = `{"error":"etcdserver: no leader","code":14}`
			eachCut(t, status, body, func(t *testing.T, client *etcd.Client, device *cutter.Device, cut, head, _ int) {
				before := device.Requests()
				_, err := client.Swap(t.Context(), store.Swap{Key: "a"})
				if cut < head {
					require.True(t, fault.Is(err, store.Uncertain), "cut after %d of a head of %d: %v", cut, head, err)
				}
				require.True(t, fault.Is(err, kind) || fault.Is(err, store.Uncertain), "cut after %d: %v", cut, err)
				require.Equal(t, int64(1), device.Requests()-before)
			})
		})
	}
}

// Guards against a watch that ends without an error, or hands a part of a message on.
func TestCutWatchEndsWithAnError(t *testing.T) {
	message := func(key string) string {
		return `{"result":{"events":[{"kv":{"key":"` + key + `","mod_revision":"9"}}]}}` + "\n"
	}
	body := `{"result":{"created":true}}` + "\n" + message("YQ==") + message("Yg==")
	eachCut(t, "200 OK", body, func(t *testing.T, client *etcd.Client, _ *cutter.Device, cut, _, whole int) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		events, err := client.Watch(ctx, "", 1)
		if err != nil {
			require.True(t, fault.Is(err, store.Unavailable))
			return
		}
		keys, last := "", error(nil)
		for event := range events {
			require.NoError(t, last, "nothing follows the error")
			if last = event.Err; last == nil {
				keys += event.Entry.Key
			}
		}
		require.True(t, fault.Is(last, store.Unavailable), "cut after %d of %d: %v", cut, whole, last)
		require.True(t, strings.HasPrefix("ab", keys), "%q", keys)
	})
}

// Guards against a list that its own count shows to be a part.
func TestListShorterThanItsCountIsNotWhole(t *testing.T) {
	for _, end := range []string{`"count":"2"}`, `"more":true}`} {
		answer, whole := cutter.Answer(cutter.Length, "200 OK", `{"header":{"cluster_id":"7","revision":"9"},"kvs":[{"key":"YQ=="}],`+end)
		device, err := cutter.New(cutter.Close, func(*http.Request) []byte { return answer })
		require.NoError(t, err)
		device.CutAfter(whole)
		client, err := etcd.New(etcd.Options{Endpoints: []string{device.URL()}})
		require.NoError(t, err)
		_, _, err = client.Range(t.Context(), "")
		require.True(t, fault.Is(err, store.Unavailable), "%v", err)
		require.NoError(t, device.Close())
	}
}
