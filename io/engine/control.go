package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"

	"primrosegw/core/fault"
	"primrosegw/core/health"
	"primrosegw/core/order"
)

const (
	// controlTimeout bounds a report; one that comes later is of no use.
	controlTimeout = time.Second
	// maximumControlBytes bounds a report. A state lists a few models, and cache
	// events come in batches of at most some thousands.
	maximumControlBytes = 4 << 20
)

// Control reads the reports of one engine and gives it orders. Its errors are of
// the kinds of package order.
type Control struct {
	address string
	client  *http.Client
}

// NewControl returns the control of the engine at an address.
func NewControl(address string, client *http.Client) *Control {
	return &Control{address: address, client: client}
}

// CacheEvent says that prompt prefixes came into an engine's cache or left it.
type CacheEvent struct {
	// Sequence rises by one from event to event; lost events leave gaps.
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "removed" or "cleared".
	Kind   string   `json:"kind"`
	Hashes []uint64 `json:"hashes"`
}

// load is the wire form of a load report.
type load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"`
	AgeMs   int64   `json:"age_ms"`
	Leaving bool    `json:"leaving"`
}

// state is the wire form of what an engine has loaded.
type state struct {
	Models   []order.Loaded `json:"models"`
	Adapters []order.Loaded `json:"adapters"`
	Role     string         `json:"role"`
}

// Load reads the load report.
func (control *Control) Load(ctx context.Context) (health.Load, error) {
	var report load
	if err := control.read(ctx, "/control/load", &report); err != nil {
		return health.Load{}, err
	}
	return health.Load{
		Running: report.Running, Waiting: report.Waiting, Slots: report.Slots, CacheUsed: report.KVUsed,
		Age: time.Duration(report.AgeMs) * time.Millisecond, Leaving: report.Leaving,
	}, nil
}

// Poll reads the load report every interval, jittered by a quarter so that hosts
// do not ask at the same time, and hands each result on, until the context ends.
func (control *Control) Poll(
	ctx context.Context, interval time.Duration, random *rand.Rand, report func(health.Load, error),
) {
	for ctx.Err() == nil {
		load, err := control.Load(ctx)
		if ctx.Err() != nil {
			return
		}
		report(load, err)
		jitter := time.Duration(random.Int64N(int64(interval)/2 + 1))
		select {
		case <-time.After(interval*3/4 + jitter):
		case <-ctx.Done():
		}
	}
}

// CacheEvents reads the cache events past a sequence number.
func (control *Control) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var report struct {
		Events []CacheEvent `json:"events"`
	}
	err := control.read(ctx, fmt.Sprintf("/control/cache_events?after=%d", after), &report)
	return report.Events, err
}

// State reads what the engine has loaded.
func (control *Control) State(ctx context.Context) (order.State, error) {
	var report state
	if err := control.read(ctx, "/control/state", &report); err != nil {
		return order.State{}, err
	}
	return order.State{Loaded: slices.Concat(report.Models, report.Adapters), Role: report.Role}, nil
}

// Order gives the engine an order. It fails with Fenced when the engine has seen
// a higher fencing number, with Rejected when the order is bad, and else with
// Unreachable: the order may have arrived.
func (control *Control) Order(ctx context.Context, given order.Order) error {
	request, err := sling.New().Base(control.address).Post("/control/orders").BodyJSON(given).Request()
	if err != nil {
		return fault.Wrap("engine.order", order.Rejected, err)
	}
	_, err = control.exchange(ctx, "engine.order", request)
	return err
}

// read reads a report.
func (control *Control) read(ctx context.Context, path string, report any) error {
	const op = "engine.read"
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := sling.New().Base(control.address).Get(path).Request()
	if err != nil {
		return fault.Wrap(op, order.Unreachable, err)
	}
	body, err := control.exchange(ctx, op, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, report); err != nil {
		return fault.Wrap(op, order.Unreachable, err)
	}
	return nil
}

// exchange sends a request and returns the body of the answer.
func (control *Control) exchange(ctx context.Context, op string, request *http.Request) ([]byte, error) {
	response, err := control.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, fault.Wrap(op, order.Unreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumControlBytes))
	if err != nil {
		return nil, fault.Wrap(op, order.Unreachable, err)
	}
	kind := order.Unreachable
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return body, nil
	case status == http.StatusConflict:
		kind = order.Fenced
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		kind = order.Rejected
	}
	text := bytes.TrimSpace(body[:min(len(body), maximumErrorBytes)])
	return nil, fault.New(op, kind, fmt.Sprintf("status %d: %s", response.StatusCode, text))
}

// Controls are the controls of engines by the name of their backend server. They
// implement order.Controller.
type Controls map[string]*Control

// Order gives a server an order.
func (controls Controls) Order(ctx context.Context, server string, given order.Order) error {
	control, known := controls[server]
	if !known {
		return fault.Field("engine.order", order.Invalid, "server", "no such backend server: "+server)
	}
	return control.Order(ctx, given)
}

// State reads what a server has loaded.
func (controls Controls) State(ctx context.Context, server string) (order.State, error) {
	control, known := controls[server]
	if !known {
		return order.State{}, fault.Field("engine.state", order.Invalid, "server", "no such backend server: "+server)
	}
	return control.State(ctx)
}
