package engine_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/health"
	"primrosegw/core/order"
	"primrosegw/io/engine"
	standin "primrosegw/standin/engine"
)

// startEngine starts a stand-in engine and returns it with its control.
func startEngine(t *testing.T) (*standin.Model, *engine.Control, *httptest.Server) {
	model := standin.New(standin.Options{Name: "e1", Model: "m", Version: "1", Slots: 4, ChecksFence: true})
	server := httptest.NewServer(model.Handler())
	t.Cleanup(server.Close)
	return model, engine.NewControl(server.URL, engine.NewClient()), server
}

// held is a lease that does not end.
type held int64

func (held held) Current() (int64, time.Duration) { return int64(held), time.Hour }

// The executor must bring an engine to its desired state over the published
// endpoints, and a holder with an old fencing number must change nothing.
func TestOrders(t *testing.T) {
	_, control, _ := startEngine(t)
	controls := engine.Controls{"e1": control}
	wanted := order.Desired{Server: "e1", ChecksFence: true, State: order.State{Role: "prefill", Loaded: []order.Loaded{
		{Model: "m", Version: "2"}, {Model: "m", Version: "2", Adapter: "a"},
	}}}
	executor, err := order.New(order.Options{Controller: controls, Lease: held(9)})
	require.NoError(t, err)
	require.Equal(t, []order.Result{{Server: "e1", Orders: 4}}, executor.Reconcile(t.Context(), []order.Desired{wanted}))
	state, err := control.State(t.Context())
	require.NoError(t, err)
	require.Equal(t, wanted.State, state)

	old, err := order.New(order.Options{Controller: controls, Lease: held(8)})
	require.NoError(t, err)
	wanted.State.Role = "both"
	results := old.Reconcile(t.Context(), []order.Desired{wanted})
	require.True(t, fault.Is(results[0].Err, order.Fenced), "%v", results[0].Err)
	after, err := control.State(t.Context())
	require.NoError(t, err)
	require.Equal(t, state, after)
}

// Each failure must have the kind that the executor branches on.
func TestControlErrors(t *testing.T) {
	model, control, server := startEngine(t)
	err := control.Order(t.Context(), order.Order{Fence: 9, Action: "paint"})
	require.True(t, fault.Is(err, order.Rejected), "%v", err)
	_, err = engine.Controls{}.State(t.Context(), "e2")
	require.ErrorContains(t, err, "e2")
	model.Crash()
	_, err = control.Load(t.Context())
	require.True(t, fault.Is(err, order.Unreachable), "%v", err)
	server.Close()
	err = control.Order(t.Context(), order.Order{Fence: 9, Action: order.Load, Model: "m", Version: "3"})
	require.True(t, fault.Is(err, order.Unreachable), "%v", err)
}

// Reports must arrive with the engine's slots and leaving state, and the polling
// must end with its context.
func TestPoll(t *testing.T) {
	model, control, _ := startEngine(t)
	model.Leave()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reports := 0
	control.Poll(ctx, time.Millisecond, rand.New(rand.NewPCG(1, 2)), func(load health.Load, err error) {
		require.NoError(t, err)
		require.Equal(t, 4, load.Slots)
		require.True(t, load.Leaving)
		if reports++; reports == 3 {
			cancel()
		}
	})
	require.Equal(t, 3, reports)
	events, err := control.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, events)
}
