package order_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/fault"
	"primrosegw/core/lease"
	"primrosegw/core/order"
	"primrosegw/standin/kv"
)

// fleet is a set of servers that take orders.
type fleet struct {
	mutex  sync.Mutex
	states map[string]order.State
	// fences holds the highest number seen by the servers that check it.
	fences map[string]int64
	orders []order.Order
	reads  int
	// loadTime is how long a load takes after its order.
	loadTime time.Duration
}

func newFleet() *fleet {
	return &fleet{states: map[string]order.State{}, fences: map[string]int64{"checks": 0}}
}

// take applies an order.
func (fleet *fleet) take(server string, given order.Order) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if highest, checks := fleet.fences[server]; checks {
		if given.Fence < highest {
			return fault.New("fleet.take", order.Fenced, server)
		}
		fleet.fences[server] = given.Fence
	}
	state := fleet.states[server]
	loaded := order.Loaded{Model: given.Model, Version: given.Version, Adapter: given.Adapter}
	switch given.Action {
	case order.Load:
		if fleet.loadTime > 0 {
			time.AfterFunc(fleet.loadTime, func() { fleet.load(server, loaded) })
		} else if !slices.Contains(state.Loaded, loaded) {
			state.Loaded = append(slices.Clone(state.Loaded), loaded)
		}
	case order.Unload:
		state.Loaded = slices.DeleteFunc(slices.Clone(state.Loaded), func(held order.Loaded) bool { return held == loaded })
	case order.SetRole:
		state.Role = given.Role
	}
	fleet.states[server] = state
	fleet.orders = append(fleet.orders, given)
	return nil
}

// load puts something into a server's memory once.
func (fleet *fleet) load(server string, loaded order.Loaded) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	state := fleet.states[server]
	if !slices.Contains(state.Loaded, loaded) {
		state.Loaded = append(slices.Clone(state.Loaded), loaded)
	}
	fleet.states[server] = state
}

// remote is one host's way to the fleet and to the key-value service. Its host
// can be paused at its next read or its next order, and it can lose the reply to
// its next order.
type remote struct {
	*fleet
	*kv.Service
	pauseRead, pauseOrder time.Duration
	// until is the end of the pause.
	until     time.Time
	loseReply bool
	// check is called at the instant at which an order is sent.
	check func(server string, given order.Order)
}

// stop starts a pause that was set, and waits for the end of a pause.
func (remote *remote) stop(pause *time.Duration) {
	remote.mutex.Lock()
	if *pause > 0 {
		remote.until = time.Now().Add(*pause)
		*pause = 0
	}
	remote.mutex.Unlock()
	remote.wait()
}

// wait waits for the end of a pause.
func (remote *remote) wait() {
	remote.mutex.Lock()
	span := time.Until(remote.until)
	remote.mutex.Unlock()
	time.Sleep(span)
}

// pause sets a pause.
func (remote *remote) pause(pause *time.Duration, span time.Duration) {
	remote.mutex.Lock()
	defer remote.mutex.Unlock()
	*pause = span
}

// KeepAlive renews a lease, unless the host is paused.
func (remote *remote) KeepAlive(ctx context.Context, granted int64) (time.Duration, error) {
	remote.wait()
	return remote.Service.KeepAlive(ctx, granted)
}

func (remote *remote) State(_ context.Context, server string) (order.State, error) {
	remote.mutex.Lock()
	remote.reads++
	state := remote.states[server]
	remote.mutex.Unlock()
	remote.stop(&remote.pauseRead)
	return state, nil
}

func (remote *remote) Order(_ context.Context, server string, given order.Order) error {
	if remote.check != nil {
		remote.check(server, given)
	}
	remote.stop(&remote.pauseOrder)
	err := remote.take(server, given)
	if remote.loseReply {
		remote.loseReply = false
		return fault.New("remote.order", order.Unreachable, server)
	}
	return err
}

// fixed is a lease in a given state.
type fixed struct {
	fence     int64
	remaining time.Duration
}

func (fixed *fixed) Current() (int64, time.Duration) { return fixed.fence, fixed.remaining }

func desired(server, version string) order.Desired {
	return order.Desired{Server: server, ChecksFence: server == "checks", State: order.State{
		Role: "decode", Loaded: []order.Loaded{{Model: "m", Version: version, Adapter: "a"}, {Model: "m", Version: version}},
	}}
}

func executor(t require.TestingT, controller order.Controller, held order.Lease) *order.Executor {
	executor, err := order.New(order.Options{Controller: controller, Lease: held, Parallel: 1})
	require.NoError(t, err)
	return executor
}

// Orders must lead to the desired state in an order that servers accept, and
// stop when it is reached.
func TestReconcile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := &remote{fleet: newFleet(), loseReply: true}
		held := &fixed{fence: 7, remaining: time.Minute}
		executor := executor(t, remote, held)
		results := executor.Reconcile(t.Context(), []order.Desired{desired("ignores", "1")})
		require.Equal(t, []order.Result{{Server: "ignores", Orders: 3}}, results)
		require.Equal(t, order.Loaded{Model: "m", Version: "1"}, remote.states["ignores"].Loaded[0])
		results = executor.Reconcile(t.Context(), []order.Desired{desired("ignores", "2")})
		require.Equal(t, []order.Result{{Server: "ignores", Orders: 4}}, results)
		last := remote.orders[len(remote.orders)-1]
		require.Equal(t, order.Order{Fence: 7, Action: order.Unload, Model: "m", Version: "1"}, last)
		require.Empty(t, order.Missing(desired("ignores", "2"), remote.states["ignores"]))
	})
}

// An adapter ordered before its model is there, or an old version unloaded before
// the new one is there, would leave the server without a model to run.
func TestStepsWaitForLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet()
		fleet.loadTime = 5 * time.Second
		remote := &remote{fleet: fleet}
		executor := executor(t, remote, &fixed{fence: 7, remaining: time.Minute})
		old := order.Loaded{Model: "m", Version: "1"}
		fleet.load("ignores", old)
		remote.check = func(_ string, given order.Order) {
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			loaded := fleet.states["ignores"].Loaded
			if given.Adapter != "" || given.Action == order.Unload {
				require.Contains(t, loaded, order.Loaded{Model: "m", Version: "2"})
			}
			if given.Action != order.SetRole {
				require.Contains(t, loaded, old)
			}
		}
		results := executor.Reconcile(t.Context(), []order.Desired{desired("ignores", "2")})
		require.NoError(t, results[0].Err)
		require.Equal(t, 4, results[0].Orders)
	})
}

// A verified state is read again after each change of holder, and once more when
// a late order of the last holder has had its time; between, reads are saved.
func TestVerifiedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := &remote{fleet: newFleet()}
		held := &fixed{fence: 7, remaining: time.Minute}
		executor := executor(t, remote, held)
		reads := func(after time.Duration) int {
			time.Sleep(after)
			before := remote.reads
			for _, result := range executor.Reconcile(t.Context(), []order.Desired{desired("ignores", "1")}) {
				require.NoError(t, result.Err)
			}
			return remote.reads - before
		}
		require.Equal(t, 4, reads(0))
		require.Equal(t, 1, reads(7*time.Second))
		require.Equal(t, 0, reads(time.Second))
		held.fence = 8
		require.Equal(t, 1, reads(time.Second))
		require.Equal(t, 1, reads(time.Second))
		require.Equal(t, 1, reads(7*time.Second))
		require.Equal(t, 0, reads(time.Second))
		require.Equal(t, 1, reads(time.Minute))
	})
}

// Servers that ignore fencing numbers rely on the remaining time, others on the
// number; neither gets an order without the lease.
func TestOrdersNeedTheLease(t *testing.T) {
	cases := map[string]struct {
		server string
		lease  fixed
		kind   order.Kind
	}{
		"not held":                {server: "checks", kind: order.Lapsed},
		"short, number ignored":   {server: "ignores", lease: fixed{fence: 7, remaining: 5999 * time.Millisecond}, kind: order.Lapsed},
		"short, number checked":   {server: "checks", lease: fixed{fence: 7, remaining: time.Millisecond}},
		"long, number ignored":    {server: "ignores", lease: fixed{fence: 7, remaining: 6 * time.Second}},
		"old number, and checked": {server: "checks", lease: fixed{fence: 3, remaining: time.Minute}, kind: order.Fenced},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet()
			fleet.fences["checks"] = 5
			executor := executor(t, &remote{fleet: fleet}, &test.lease)
			results := executor.Reconcile(t.Context(), []order.Desired{desired(test.server, "1")})
			require.Equal(t, test.kind, fault.KindOf[order.Kind](results[0].Err), "%v", results[0].Err)
			require.Equal(t, test.kind == "", len(fleet.orders) > 0)
		})
	}
}

// A server that takes an order and does not follow it must not count as done.
func TestUnverified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := executor(t, deaf{}, &fixed{fence: 7, remaining: time.Minute})
		results := executor.Reconcile(t.Context(), []order.Desired{desired("ignores", "1")})
		require.True(t, fault.Is(results[0].Err, order.Unverified))
	})
}

type deaf struct{}

func (deaf) Order(context.Context, string, order.Order) error   { return nil }
func (deaf) State(context.Context, string) (order.State, error) { return order.State{}, nil }

// pause is a disturbance: a pause of a host, an outage of the key-value service,
// or servers that restart and forget what they loaded.
type pause struct {
	Host, AfterMs, SpanMs int
	Where                 string
}

// placer is a host with a lease and an executor that wants a version of its own.
type placer struct {
	remote  *remote
	lease   *lease.Lease
	version string
}

// Two placers with real leases are paused at any point. No order may be sent by
// a host whose lease lapsed, a server that checks numbers must end with the last
// holder's state, and so must one that ignores them, even if an order was
// delayed on its way.
func TestModel(t *testing.T) {
	one := rapid.Custom(func(t *rapid.T) pause {
		return pause{
			Host:    rapid.IntRange(0, 1).Draw(t, "host"),
			AfterMs: rapid.IntRange(0, 40000).Draw(t, "after"),
			SpanMs:  rapid.IntRange(100, 60000).Draw(t, "span"),
			Where:   rapid.SampledFrom([]string{"read", "order", "reset", "reset", "down"}).Draw(t, "where"),
		}
	})
	rapid.Check(t, func(rapidT *rapid.T) {
		pauses := rapid.SliceOfN(one, 1, 10).Draw(rapidT, "pauses")
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = play(t, pauses) })
		require.Empty(rapidT, faults)
	})
}

// play runs two placers through pauses and returns what went wrong.
func play(t *testing.T, pauses []pause) []string {
	service, fleet, faults := kv.New(kv.Options{}), newFleet(), []string{}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	placers := []*placer{}
	for number, version := range []string{"1", "2"} {
		remote := &remote{fleet: fleet, Service: service}
		held, err := lease.New(lease.Options{
			Store: remote, Key: "k", Holder: version, Random: rand.New(rand.NewPCG(5, uint64(number))),
		})
		require.NoError(t, err)
		placer := &placer{remote: remote, lease: held, version: version}
		placer.remote.check = func(server string, given order.Order) {
			fence, remaining := held.Current()
			if fence != given.Fence || (server == "ignores" && remaining < 6*time.Second) {
				fleet.mutex.Lock()
				defer fleet.mutex.Unlock()
				faults = append(faults, "an order without the lease to "+server)
			}
		}
		placers = append(placers, placer)
		group.Go(func() { held.Hold(ctx) })
		group.Go(func() { placer.run(ctx, t) })
	}
	for _, pause := range pauses {
		time.Sleep(time.Duration(pause.AfterMs) * time.Millisecond)
		span := time.Duration(pause.SpanMs) * time.Millisecond
		remote := placers[pause.Host].remote
		switch pause.Where {
		case "read":
			remote.pause(&remote.pauseRead, span)
		case "order":
			remote.pause(&remote.pauseOrder, span)
		case "reset":
			fleet.mutex.Lock()
			clear(fleet.states)
			fleet.mutex.Unlock()
		case "down":
			service.Down(true)
			time.AfterFunc(span, func() { service.Down(false) })
		}
	}
	time.Sleep(5 * time.Minute)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, placer := range placers {
		if placer.lease.Fence() == 0 {
			continue
		}
		for _, server := range []string{"checks", "ignores"} {
			if len(order.Missing(desired(server, placer.version), fleet.states[server])) > 0 {
				faults = append(faults, server+" is not in the holder's state")
			}
		}
	}
	return faults
}

// run reconciles every few seconds.
func (placer *placer) run(ctx context.Context, t require.TestingT) {
	executor := executor(t, placer.remote, placer.lease)
	for ctx.Err() == nil {
		executor.Reconcile(ctx, []order.Desired{desired("checks", placer.version), desired("ignores", placer.version)})
		select {
		case <-time.After(3 * time.Second):
		case <-ctx.Done():
		}
	}
}
