package etcd_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/io/etcd"
	"primrosegw/standin/kv"
)

// pipes is a network in memory, so that the clock of a test can be paused while
// HTTP runs over it.
type pipes struct{ conns chan net.Conn }

func (pipes pipes) Accept() (net.Conn, error) {
	conn, open := <-pipes.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipes pipes) Close() error   { return nil }
func (pipes pipes) Addr() net.Addr { return &net.TCPAddr{} }

// rig is a stand-in served over pipes and a client of it.
type rig struct {
	service *kv.Service
	client  *etcd.Client
	http    *http.Client
	// refuse lists endpoint hosts that refuse connections.
	refuse map[string]bool
	dials  int
}

// run runs a test on the paused clock against a served stand-in.
func run(t *testing.T, options etcd.Options, test func(t *testing.T, rig *rig)) {
	synctest.Test(t, func(t *testing.T) {
		rig := &rig{service: kv.New(kv.Options{}), refuse: map[string]bool{}}
		pipes := pipes{conns: make(chan net.Conn)}
		server := &http.Server{Handler: rig.service.Handler()}
		go func() { _ = server.Serve(pipes) }()
		transport := &http.Transport{DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			rig.dials++
			if rig.refuse[address] {
				return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
			}
			near, far := net.Pipe()
			pipes.conns <- far
			return near, nil
		}}
		options.HTTP = &http.Client{Transport: transport}
		if options.Endpoints == nil {
			options.Endpoints = []string{"http://one:1"}
		}
		client, err := etcd.New(options)
		require.NoError(t, err)
		rig.client, rig.http = client, options.HTTP
		defer func() {
			transport.CloseIdleConnections()
			close(pipes.conns)
			_ = server.Close()
		}()
		test(t, rig)
	})
}

// The client over the gateway must behave as the stand-in does directly, on
// which the tests of the other packages rely.
func TestStoreContract(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		for name, held := range map[string]store.Store{"direct": kv.New(kv.Options{}), "gateway": rig.client} {
			t.Log(name)
			contract(t, held)
		}
	})
}

func contract(t *testing.T, held store.Store) {
	ctx := t.Context()
	_, err := held.Get(ctx, "p/a")
	require.True(t, fault.Is(err, store.Absent))
	first, err := held.Swap(ctx, store.Swap{Key: "p/a", Value: []byte{0, 255, 1}})
	require.NoError(t, err)
	_, err = held.Swap(ctx, store.Swap{Key: "p/a", Value: []byte("lost")})
	require.True(t, fault.Is(err, store.Conflict))
	second, err := held.Swap(ctx, store.Swap{Key: "p/a", Expect: first, Value: []byte("new")})
	require.NoError(t, err)
	entry, err := held.Get(ctx, "p/a")
	require.NoError(t, err)
	require.Equal(t, store.Entry{Key: "p/a", Value: []byte("new"), Revision: second, Created: first}, entry)
	_, err = held.Swap(ctx, store.Swap{Key: "q", Value: bytes.Repeat([]byte("x"), store.MaximumValueBytes+1)})
	require.True(t, fault.Is(err, store.Refused))
	_, err = held.Swap(ctx, store.Swap{Key: "q", Lease: 1})
	require.True(t, fault.Is(err, store.Expired))

	lease, err := held.Grant(ctx, 2*time.Second)
	require.NoError(t, err)
	third, err := held.Swap(ctx, store.Swap{Key: "p/b", Lease: lease})
	require.NoError(t, err)
	ttl, err := held.KeepAlive(ctx, lease)
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, ttl)
	watching, stop := context.WithCancel(ctx)
	events, err := held.Watch(watching, "p/", second)
	require.NoError(t, err)
	require.Equal(t, "new", string((<-events).Entry.Value))
	require.Equal(t, lease, (<-events).Entry.Lease)
	time.Sleep(3 * time.Second)
	gone := <-events
	require.True(t, gone.Deleted)
	require.Equal(t, "p/b", gone.Entry.Key)
	stop()
	_, err = held.KeepAlive(ctx, lease)
	require.True(t, fault.Is(err, store.Expired))
	require.True(t, fault.Is(held.Revoke(ctx, lease), store.Expired))

	entries, revision, err := held.Range(ctx, "p/")
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, third+1, revision)
	require.True(t, fault.Is(held.Delete(ctx, "p/a", first), store.Conflict))
	require.NoError(t, held.Delete(ctx, "p/a", second))
	_, err = held.Get(ctx, "p/a")
	require.True(t, fault.Is(err, store.Absent))
}

// A write that may have reached the service must never be reported as not
// written, and one that certainly did not must not be reported as uncertain.
func TestWriteErrors(t *testing.T) {
	cases := map[string]struct {
		faults  kv.Faults
		refuse  bool
		kind    store.Kind
		written bool
	}{
		"reply lost before the effect": {faults: kv.Faults{LoseBefore: 1}, kind: store.Uncertain},
		"reply lost after the effect":  {faults: kv.Faults{LoseAfter: 1}, kind: store.Uncertain, written: true},
		"the service says unavailable": {faults: kv.Faults{Down: true}, kind: store.Uncertain},
		"no reply within the timeout":  {faults: kv.Faults{SlowMs: 5000}, kind: store.Uncertain},
		"the connection is refused":    {refuse: true, kind: store.Unavailable},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
				rig.service.SetFaults(test.faults)
				rig.refuse["one:1"] = test.refuse
				_, err := rig.client.Swap(t.Context(), store.Swap{Key: "a"})
				require.Equal(t, test.kind, fault.KindOf[store.Kind](err), "%v", err)
				rig.service.SetFaults(kv.Faults{})
				rig.refuse["one:1"] = false
				time.Sleep(10 * time.Second)
				_, err = rig.client.Get(t.Context(), "a")
				require.Equal(t, !test.written, fault.Is(err, store.Absent), "%v", err)
			})
		})
	}
}

// A client that tried a failed service at each call would add to the load of a
// service that comes back.
func TestBackOffBoundsTries(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		rig.refuse["one:1"] = true
		for range 1000 {
			_, err := rig.client.Get(t.Context(), "a")
			require.True(t, fault.Is(err, store.Unavailable))
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, rig.dials, 15, "calls in 10 s of failure")
		require.Greater(t, rig.dials, 5)
		rig.refuse["one:1"] = false
		time.Sleep(2 * time.Second)
		_, err := rig.client.Get(t.Context(), "a")
		require.True(t, fault.Is(err, store.Absent))
	})
}

// Reads, and writes that were not sent, must survive the loss of one endpoint.
func TestOtherEndpointTakesOver(t *testing.T) {
	options := etcd.Options{Endpoints: []string{"http://one:1", "http://two:1"}}
	run(t, options, func(t *testing.T, rig *rig) {
		rig.refuse["one:1"] = true
		for range 3 {
			_, err := rig.client.Swap(t.Context(), store.Swap{Key: "a"})
			require.False(t, fault.Is(err, store.Unavailable), "%v", err)
		}
	})
}

// One host must not take more than its part of the service, whatever it is
// asked to do.
func TestBudgetBoundsCalls(t *testing.T) {
	run(t, etcd.Options{CallsPerSecond: 5, Burst: 10}, func(t *testing.T, rig *rig) {
		begin := time.Now()
		for time.Since(begin) < 10*time.Second {
			_, _ = rig.client.Get(t.Context(), "a")
		}
		require.InDelta(t, 60, rig.service.Calls()["range"], 2)
		require.Equal(t, rig.service.Calls()["range"], rig.client.Calls()["range"])
	})
}

// A host of a small fleet needs more calls for its ledger partitions than one of
// 340 hosts may make, and a busy ledger must not cost the host its leases.
func TestShareOfTheBudget(t *testing.T) {
	run(t, etcd.Options{Burst: 1}, func(t *testing.T, rig *rig) {
		lease, err := rig.client.Grant(t.Context(), time.Minute)
		require.NoError(t, err)
		for hosts, most := range map[int]int{0: 50, 8: 50, 100: 17, 340: 5} {
			rig.client.Share(hosts)
			before, begin := rig.client.Calls()["range"], time.Now()
			for time.Since(begin) < 10*time.Second {
				_, _ = rig.client.Get(t.Context(), "a")
			}
			require.InDelta(t, 10*most, rig.client.Calls()["range"]-before, 3)
		}
		begin := time.Now()
		for range 3 {
			_, err = rig.client.KeepAlive(t.Context(), lease)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(begin))
	})
}

// A watch of a service that goes down must end with an error, or its host would
// never learn of later changes.
func TestWatchEndsWithTheService(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		events, err := rig.client.Watch(t.Context(), "a", 0)
		require.NoError(t, err)
		rig.service.Down(true)
		event := <-events
		require.True(t, fault.Is(event.Err, store.Unavailable))
		_, open := <-events
		require.False(t, open)
		require.Equal(t, 1, rig.service.Calls()["watch"])
	})
}

// Separate processes set faults and read counts over HTTP.
func TestControl(t *testing.T) {
	run(t, etcd.Options{}, func(t *testing.T, rig *rig) {
		writer := httptest.NewRecorder()
		post, err := http.NewRequest(http.MethodPost, "/control/faults", strings.NewReader(`{"slow_ms":7}`))
		require.NoError(t, err)
		rig.service.Handler().ServeHTTP(writer, post)
		require.Equal(t, kv.Faults{SlowMs: 7}, rig.service.Faults())
		_, _ = rig.client.Get(t.Context(), "a")
		get, err := http.NewRequest(http.MethodGet, "/control/calls", nil)
		require.NoError(t, err)
		rig.service.Handler().ServeHTTP(writer, get)
		require.JSONEq(t, `{"range":1}`, writer.Body.String())
	})
}
