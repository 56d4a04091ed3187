// Package kv is a small stand-in of the platform's key-value service: revisions,
// leases on the runtime's clock, watches and compare-and-swap, in memory. It
// implements store.Store for tests and serves the published etcd v3 JSON gateway.
package kv

import (
	"context"
	"maps"
	"sync"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// Faults are the failures that the service shows.
type Faults struct {
	// Down makes each call fail and ends watches.
	Down bool `json:"down"`
	// SlowMs delays each call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseBefore is the number of coming writes that are dropped without effect
	// and without a reply.
	LoseBefore int `json:"lose_before"`
	// LoseAfter is the number of coming writes that take effect while their
	// reply is lost.
	LoseAfter int `json:"lose_after"`
}

// Options configure a Service.
type Options struct {
	// Faults are the failures at the start.
	Faults Faults
}

// Service is the stand-in.
type Service struct {
	mutex  sync.Mutex
	model  *model
	faults Faults
	// clusterID changes when the service is restored from a copy.
	clusterID uint64
	// altered is closed and replaced when the faults change, which ends the
	// watches of a service that goes down.
	altered chan struct{}
	calls   map[string]int
}

// New returns an empty service.
func New(options Options) *Service {
	return &Service{
		model: newModel(), faults: options.Faults, clusterID: 1,
		altered: make(chan struct{}), calls: map[string]int{},
	}
}

// Down makes the service fail all calls, or brings it back.
func (service *Service) Down(down bool) {
	faults := service.Faults()
	faults.Down = down
	service.SetFaults(faults)
}

// Faults returns the present failures, with the lost replies still to come.
func (service *Service) Faults() Faults {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.faults
}

// SetFaults replaces the failures.
func (service *Service) SetFaults(faults Faults) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = faults
	close(service.altered)
	service.altered = make(chan struct{})
}

// Calls returns the number of calls by kind. The kinds are those of the
// gateway: range, txn, put, deleterange, grant, keepalive, revoke and watch.
func (service *Service) Calls() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return maps.Clone(service.calls)
}

// enter counts a call and shows the faults that come before its effect.
func (service *Service) enter(ctx context.Context, kind string) error {
	service.mutex.Lock()
	service.calls[kind]++
	faults := service.faults
	service.mutex.Unlock()
	if faults.SlowMs > 0 {
		select {
		case <-time.After(time.Duration(faults.SlowMs) * time.Millisecond):
		case <-ctx.Done():
			return fault.Wrap("kv."+kind, store.Unavailable, ctx.Err())
		}
	}
	if faults.Down {
		return fault.New("kv."+kind, store.Unavailable, "the service is down")
	}
	return nil
}

// write runs a write under the lock, and loses it or its reply as the faults
// say.
func (service *Service) write(kind string, effect func() error) error {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.faults.LoseBefore > 0 {
		service.faults.LoseBefore--
		return fault.New("kv."+kind, store.Uncertain, "the request is lost")
	}
	err := effect()
	if service.faults.LoseAfter > 0 {
		service.faults.LoseAfter--
		return fault.New("kv."+kind, store.Uncertain, "the reply is lost")
	}
	return err
}

// Get reads one key.
func (service *Service) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := service.enter(ctx, "range"); err != nil {
		return store.Entry{}, err
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	held := service.model.records[key]
	if held == nil {
		return store.Entry{}, fault.New("kv.range", store.Absent, key)
	}
	return held.Entry, nil
}

// Range reads all keys with a prefix, in order.
func (service *Service) Range(ctx context.Context, prefix string) ([]store.Entry, int64, error) {
	if err := service.enter(ctx, "range"); err != nil {
		return nil, 0, err
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	entries := []store.Entry{}
	for _, held := range service.model.span(prefix, prefixEnd(prefix)) {
		entries = append(entries, held.Entry)
	}
	return entries, service.model.revision, nil
}

// Swap writes a key if it is at the expected revision.
func (service *Service) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	if err := service.enter(ctx, "txn"); err != nil {
		return 0, err
	}
	var revision int64
	err := service.write("txn", func() error {
		if len(swap.Value) > store.MaximumValueBytes {
			return fault.New("kv.txn", store.Refused, "the value is too large")
		}
		if swap.Lease != 0 && service.model.leases[swap.Lease] == nil {
			return fault.New("kv.txn", store.Expired, "the lease does not exist")
		}
		if service.model.modified(swap.Key) != swap.Expect {
			return fault.New("kv.txn", store.Conflict, swap.Key)
		}
		revision = service.model.revision + 1
		service.model.put(revision, swap.Key, swap.Value, swap.Lease)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete removes a key if it is at the expected revision.
func (service *Service) Delete(ctx context.Context, key string, expect int64) error {
	if err := service.enter(ctx, "txn"); err != nil {
		return err
	}
	return service.write("txn", func() error {
		if service.model.modified(key) != expect {
			return fault.New("kv.txn", store.Conflict, key)
		}
		service.model.remove(service.model.revision+1, key)
		return nil
	})
}

// Grant makes a lease.
func (service *Service) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := service.enter(ctx, "grant"); err != nil {
		return 0, err
	}
	var lease int64
	err := service.write("grant", func() error {
		lease = service.grant(0, ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// grant makes a lease with the requested ID, or with one of its own for 0. The lock is held.
func (service *Service) grant(lease int64, ttl time.Duration) int64 {
	if lease == 0 {
		service.model.nextLease++
		lease = service.model.nextLease
	}
	service.model.leases[lease] = service.startLease(lease, ttl)
	return lease
}

// expire ends a lease whose time is over, unless it was renewed meanwhile.
func (service *Service) expire(lease int64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	held := service.model.leases[lease]
	if held == nil || time.Now().Before(held.until) {
		return
	}
	service.model.end(lease)
}

// KeepAlive renews a lease and returns its time to live.
func (service *Service) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	if err := service.enter(ctx, "keepalive"); err != nil {
		return 0, err
	}
	var ttl time.Duration
	err := service.write("keepalive", func() error {
		held := service.model.leases[lease]
		if held == nil {
			return fault.New("kv.keepalive", store.Expired, "the lease does not exist")
		}
		held.until = time.Now().Add(held.ttl)
		held.timer.Reset(held.ttl)
		ttl = held.ttl
		return nil
	})
	return ttl, err
}

// Revoke ends a lease and deletes its keys.
func (service *Service) Revoke(ctx context.Context, lease int64) error {
	if err := service.enter(ctx, "revoke"); err != nil {
		return err
	}
	return service.write("revoke", func() error {
		if service.model.leases[lease] == nil {
			return fault.New("kv.revoke", store.Expired, "the lease does not exist")
		}
		service.model.end(lease)
		return nil
	})
}

// Watch reports changes to keys with a prefix from a revision on. A revision of
// 0 means changes from now on.
func (service *Service) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	if err := service.enter(ctx, "watch"); err != nil {
		return nil, err
	}
	events := make(chan store.Event)
	begin := service.begin(from)
	go func() {
		defer close(events)
		err := service.follow(ctx, prefix, prefixEnd(prefix), begin, func(batch []change) error {
			for _, past := range batch {
				if err := send(ctx, events, past.event); err != nil {
					return err
				}
			}
			return nil
		})
		_ = send(ctx, events, store.Event{Err: err})
	}()
	return events, nil
}

// begin returns the first revision that a watch reports.
func (service *Service) begin(from int64) int64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if from == 0 {
		return service.model.revision + 1
	}
	return from
}

// follow hands the changes of a span to emit, until emit fails, the context ends
// or the service goes down.
func (service *Service) follow(ctx context.Context, key, end string, from int64, emit func([]change) error) error {
	for {
		service.mutex.Lock()
		batch, kept := service.model.since(from, key, end)
		changed, altered, down := service.model.changed, service.altered, service.faults.Down
		service.mutex.Unlock()
		if down {
			return fault.New("kv.watch", store.Unavailable, "the service is down")
		}
		if !kept {
			return fault.New("kv.watch", store.Compacted, "the revision is compacted away")
		}
		if len(batch) > 0 {
			if err := emit(batch); err != nil {
				return err
			}
			from = batch[len(batch)-1].revision + 1
			continue
		}
		select {
		case <-changed:
		case <-altered:
		case <-ctx.Done():
			return fault.Wrap("kv.watch", store.Unavailable, ctx.Err())
		}
	}
}

// send passes an event on unless the context ends first.
func send(ctx context.Context, events chan<- store.Event, event store.Event) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
