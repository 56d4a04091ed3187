// Package order brings backend servers into their desired states by orders that
// are idempotent, carry a fencing number and are verified by reading the state
// back.
package order

import (
	"context"
	"slices"
	"time"

	"primrosegw/core/fault"
)

// Kind is the sort of an order error.
type Kind string

// The kinds of order errors.
const (
	// Invalid: an option is missing or bad.
	Invalid Kind = "invalid"
	// Lapsed: this host does not hold the lease for long enough; no order was
	// sent, or the lease ended while one was under way.
	Lapsed Kind = "lapsed"
	// Fenced: the server has taken orders with a higher fencing number.
	Fenced Kind = "fenced"
	// Rejected: the server cannot carry out the order.
	Rejected Kind = "rejected"
	// Unreachable: the server did not answer; an order may have arrived.
	Unreachable Kind = "unreachable"
	// Unverified: the server's state is still not the desired one.
	Unverified Kind = "unverified"
)

// Error is the error type of this package and of controllers.
type Error = fault.Error[Kind]

// Action says what an order does.
type Action string

// The actions.
const (
	Load    Action = "load"
	Unload  Action = "unload"
	SetRole Action = "role"
)

// Order is one instruction to a server. A repeated order changes nothing more.
type Order struct {
	// Fence is the holder's fencing number.
	Fence   int64  `json:"fence"`
	Action  Action `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Loaded is a version of a model, or an adapter on top of it.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
}

// State is what a server has loaded and the role it plays.
type State struct {
	Loaded []Loaded `json:"loaded"`
	Role   string   `json:"role"`
}

// Desired is the state that a server should be in.
type Desired struct {
	Server string
	State  State
	// ChecksFence says that the server refuses orders with an old number.
	ChecksFence bool
	// UnloadFirst says that the server cannot hold old and new versions at once.
	UnloadFirst bool
}

// Controller gives orders to servers and reads their states.
type Controller interface {
	// Order returns when the server has taken the order. It fails with Fenced,
	// Rejected or Unreachable.
	Order(ctx context.Context, server string, order Order) error
	// State fails with Unreachable.
	State(ctx context.Context, server string) (State, error)
}

// Lease tells the fencing number and how long it is safe from now on; both are
// zero when the lease is not held.
type Lease interface {
	Current() (fence int64, remaining time.Duration)
}

// Missing returns the orders that lead from a state to the desired one, without
// fencing numbers. Models come before their adapters, and are unloaded after
// them; the role comes last.
func Missing(desired Desired, state State) []Order {
	loads := difference(Load, desired.State.Loaded, state.Loaded)
	unloads := difference(Unload, state.Loaded, desired.State.Loaded)
	slices.Reverse(unloads)
	orders := slices.Concat(loads, unloads)
	if desired.UnloadFirst {
		orders = slices.Concat(unloads, loads)
	}
	if desired.State.Role != state.Role {
		orders = append(orders, Order{Action: SetRole, Role: desired.State.Role})
	}
	return orders
}

// difference returns orders for what is wanted and not there, models first.
func difference(action Action, wanted, there []Loaded) []Order {
	models, adapters := []Order{}, []Order{}
	for _, loaded := range wanted {
		if slices.Contains(there, loaded) {
			continue
		}
		order := Order{Action: action, Model: loaded.Model, Version: loaded.Version, Adapter: loaded.Adapter}
		if loaded.Adapter == "" {
			models = append(models, order)
		} else {
			adapters = append(adapters, order)
		}
	}
	return append(models, adapters...)
}

// step returns the first orders of a list that may be given together: those of
// one action, for models or for adapters.
func step(orders []Order) []Order {
	first := orders[0]
	for index, order := range orders {
		if order.Action != first.Action || (order.Adapter == "") != (first.Adapter == "") {
			return orders[:index]
		}
	}
	return orders
}
