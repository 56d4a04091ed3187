package order

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"primrosegw/core/event"
	"primrosegw/core/fault"
)

const (
	// safetyFactor is the remaining lease time, in order timeouts, that a server
	// which ignores fencing numbers needs: a holder that is paused for less
	// than two timeouts between its check and its order still ends in time.
	safetyFactor = 3
	// defaultTimeout bounds an order; loading goes on after the server took it.
	defaultTimeout = 2 * time.Second
	// defaultSettle is how long a state is read back until it is the desired one.
	defaultSettle = 20 * time.Second
	// defaultRecheck is how long a verified state is trusted.
	defaultRecheck = time.Minute
	// defaultParallel bounds the servers worked on at a time. The weight store
	// limits the rate of loads.
	defaultParallel = 8
	// readPause is the pause between two reads of a state that is not settled.
	readPause = time.Second
)

// Options configure an Executor.
type Options struct {
	Controller Controller
	Lease      Lease
	// Timeout bounds one order and one read of a state; 0: 2 s.
	Timeout time.Duration
	// Settle bounds the wait for the desired state after orders; 0: 20 s.
	Settle time.Duration
	// Recheck is how long a verified state is trusted; 0: a minute.
	Recheck time.Duration
	// Parallel bounds the servers worked on at a time; 0: 8.
	Parallel int
	// Logger gets the events; nil: none.
	Logger *event.Logger
}

// Executor brings servers into their desired states while its host holds a lease.
//
// Servers that check fencing numbers get them and refuse a holder that was
// paused. Servers that ignore them are protected by time: they get orders only
// while the lease is safe for three order timeouts, so that the order ends long
// before another host may hold the lease. A holder paused for longer between
// the check and the order can still be late by that order; the next holder
// therefore reads each state when it comes, and again after three timeouts.
type Executor struct {
	options  Options
	mutex    sync.Mutex
	fence    int64
	since    time.Time
	verified map[string]verification
}

// verification is a state that was read and found to be the desired one.
type verification struct {
	state State
	at    time.Time
}

// Result is the end of one server's reconciliation.
type Result struct {
	Server string
	// Orders is the number of orders given.
	Orders int
	Err    error
}

// New returns an executor. It fails with Invalid.
func New(options Options) (*Executor, error) {
	if options.Controller == nil || options.Lease == nil {
		return nil, fault.New("order.new", Invalid, "controller and lease are needed")
	}
	setDefault(&options.Timeout, defaultTimeout)
	setDefault(&options.Settle, defaultSettle)
	setDefault(&options.Recheck, defaultRecheck)
	setDefault(&options.Parallel, defaultParallel)
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	executor := &Executor{options: options, verified: map[string]verification{}}
	return executor, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Reconcile brings servers into their desired states. It returns one result for
// each server. A placer calls it after each plan and at least once in Recheck.
func (executor *Executor) Reconcile(ctx context.Context, desired []Desired) []Result {
	executor.follow()
	results := make([]Result, len(desired))
	var group errgroup.Group
	group.SetLimit(executor.options.Parallel)
	for index, one := range desired {
		group.Go(func() error {
			results[index] = executor.reconcile(ctx, one)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// follow forgets what was verified under another fencing number.
func (executor *Executor) follow() {
	fence, _ := executor.options.Lease.Current()
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if fence != executor.fence {
		executor.fence, executor.since = fence, time.Now()
		clear(executor.verified)
	}
}

// reconcile works on one server.
func (executor *Executor) reconcile(ctx context.Context, desired Desired) Result {
	result := Result{Server: desired.Server}
	fence, _ := executor.options.Lease.Current()
	if fence == 0 {
		result.Err = fault.New("order.reconcile", Lapsed, "the lease is not held")
		return result
	}
	if executor.trusted(desired) {
		return result
	}
	result.Orders, result.Err = executor.bring(ctx, fence, desired)
	executor.report(fence, result)
	return result
}

// bring leads a server to its desired state and returns the number of orders. It
// works in steps, one kind of order at a time, and reads the state back after
// each: an adapter is ordered when its model is there, and an old version goes
// when the new one is there. No order is given twice.
func (executor *Executor) bring(ctx context.Context, fence int64, desired Desired) (int, error) {
	given := map[Order]bool{}
	limit := time.Now().Add(executor.options.Settle)
	for {
		begun := time.Now()
		state, err := executor.read(ctx, desired.Server)
		if current, _ := executor.options.Lease.Current(); current != fence {
			return len(given), fault.New("order.bring", Lapsed, "the lease ended before the state was verified")
		}
		if err != nil && len(given) == 0 {
			return 0, err
		}
		if err == nil {
			missing := Missing(desired, state)
			if len(missing) == 0 {
				executor.note(fence, desired, begun)
				return len(given), nil
			}
			sent, failure := executor.give(ctx, fence, desired, step(missing), given)
			if failure != nil {
				return len(given), failure
			}
			if sent {
				limit = time.Now().Add(executor.options.Settle)
				continue
			}
			err = fault.New("order.bring", Unverified, desired.Server)
		}
		if err := executor.pause(ctx, limit, err); err != nil {
			return len(given), err
		}
	}
}

// pause waits before the next read of a state. It returns the given error when
// the time is over.
func (executor *Executor) pause(ctx context.Context, limit time.Time, err error) error {
	if time.Now().Add(readPause).After(limit) {
		return err
	}
	select {
	case <-time.After(readPause):
		return nil
	case <-ctx.Done():
		return fault.Wrap("order.pause", Unverified, ctx.Err())
	}
}

// give sends the orders of a step that were not given yet, and reports whether
// there were any. An order whose reply is lost counts as given: the state that
// is read back decides.
func (executor *Executor) give(
	ctx context.Context, fence int64, desired Desired, orders []Order, given map[Order]bool,
) (bool, error) {
	sent := false
	for _, order := range orders {
		order.Fence = fence
		if given[order] {
			continue
		}
		ordered, err := executor.send(ctx, desired, order)
		if !ordered {
			return sent, err
		}
		sent, given[order] = true, true
		executor.options.Logger.Log(event.OrderGiven(), logrus.Fields{
			"server": desired.Server, "fence": fence, "action": order.Action, "model": order.Model,
			"version": order.Version, "adapter": order.Adapter, "role": order.Role,
		})
		if err != nil && !fault.Is(err, Unreachable) {
			return sent, err
		}
	}
	return sent, nil
}

// trusted reports whether the desired state was verified not long ago, and late
// enough after the change of holder.
func (executor *Executor) trusted(desired Desired) bool {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	last, present := executor.verified[desired.Server]
	settled := executor.since.Add(safetyFactor * executor.options.Timeout)
	return present && reflect.DeepEqual(last.state, desired.State) &&
		time.Since(last.at) < executor.options.Recheck && !last.at.Before(settled)
}

// read reads a server's state within the timeout.
func (executor *Executor) read(ctx context.Context, server string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, executor.options.Timeout)
	defer cancel()
	return executor.options.Controller.State(ctx, server)
}

// send gives one order, and reports whether it was sent. The clock is read right
// before.
func (executor *Executor) send(ctx context.Context, desired Desired, order Order) (bool, error) {
	call, cancel := context.WithTimeout(ctx, executor.options.Timeout)
	defer cancel()
	if err := executor.permit(order.Fence, desired); err != nil {
		return false, err
	}
	return true, executor.options.Controller.Order(call, desired.Server, order)
}

// permit reports whether an order may be sent now.
func (executor *Executor) permit(fence int64, desired Desired) error {
	current, remaining := executor.options.Lease.Current()
	if current != fence {
		return fault.New("order.permit", Lapsed, "the lease is not held any more")
	}
	if !desired.ChecksFence && remaining < safetyFactor*executor.options.Timeout {
		return fault.New("order.permit", Lapsed, "the lease is too short for a server that ignores fencing numbers")
	}
	return nil
}

// note records a verified state, unless the holder has changed meanwhile.
func (executor *Executor) note(fence int64, desired Desired, at time.Time) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if executor.fence == fence {
		executor.verified[desired.Server] = verification{state: desired.State, at: at}
	}
}

// report logs the end of one server's reconciliation.
func (executor *Executor) report(fence int64, result Result) {
	fields := logrus.Fields{"server": result.Server, "fence": fence, "orders": result.Orders}
	outcome := event.OrderVerified()
	if result.Err != nil {
		outcome = event.OrderFailed()
		fields["error"] = result.Err.Error()
	}
	if fault.Is(result.Err, Lapsed) {
		outcome = event.OrderWithheld()
	}
	executor.options.Logger.Log(outcome, fields)
}
