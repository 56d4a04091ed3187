package heads_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// outcome is what the service does with one call.
type outcome int

const (
	fine        outcome = iota
	down                // refused, nothing written
	lostBefore          // reply lost, nothing written
	lostAfter           // reply lost, written
	lostDelayed         // reply lost, written a while later if the revision still fits
)

// planned is the service's behaviour at one call.
type planned struct {
	wait    time.Duration
	outcome outcome
}

// lateness is how long a delayed write takes to arrive. It is odd so that it
// never falls on the instant of another call.
const lateness = 701 * time.Millisecond

// memory is the key-value service in memory, with faults by plan.
type memory struct {
	store.Store

	mutex    sync.Mutex
	entries  map[string]store.Entry
	revision int64
	// values are the values written to watched, in order.
	watched string
	values  [][]byte
	// unfenced drops the revision check; blind reports a lost reply as if
	// nothing had been written. Both show that the tests notice.
	unfenced, blind bool
}

func newMemory(watched string) *memory {
	return &memory{entries: map[string]store.Entry{}, watched: watched}
}

func (memory *memory) get(key string) (store.Entry, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	entry, found := memory.entries[key]
	if !found {
		return entry, fault.New("memory.get", store.Absent, key)
	}
	return entry, nil
}

func (memory *memory) swap(swap store.Swap) (int64, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.entries[swap.Key].Revision != swap.Expect && !memory.unfenced {
		return 0, fault.New("memory.swap", store.Conflict, swap.Key)
	}
	memory.revision++
	memory.entries[swap.Key] = store.Entry{Key: swap.Key, Value: swap.Value, Revision: memory.revision}
	if swap.Key == memory.watched {
		memory.values = append(memory.values, swap.Value)
	}
	return memory.revision, nil
}

// written returns the values written to the watched key, in order.
func (memory *memory) written() [][]byte {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return slices.Clone(memory.values)
}

// session is one client's connection to the service, with its own plan.
type session struct {
	*memory

	plan []planned
}

// next waits as planned and returns the planned outcome; past the plan the
// service works.
func (session *session) next(ctx context.Context) (outcome, error) {
	if len(session.plan) == 0 {
		return fine, ctx.Err()
	}
	step := session.plan[0]
	session.plan = session.plan[1:]
	select {
	case <-time.After(step.wait):
		return step.outcome, ctx.Err()
	case <-ctx.Done():
		return fine, ctx.Err()
	}
}

func (session *session) Get(ctx context.Context, key string) (store.Entry, error) {
	outcome, err := session.next(ctx)
	if err != nil || outcome != fine {
		return store.Entry{}, fault.New("memory.get", store.Unavailable, key)
	}
	return session.get(key)
}

func (session *session) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	outcome, err := session.next(ctx)
	if err != nil || outcome == down {
		return 0, fault.New("memory.swap", store.Unavailable, swap.Key)
	}
	lost := fault.New("memory.swap", store.Uncertain, swap.Key)
	if session.blind {
		lost = fault.New("memory.swap", store.Unavailable, swap.Key)
	}
	switch outcome {
	case lostBefore:
		return 0, lost
	case lostAfter:
		_, _ = session.swap(swap)
		return 0, lost
	case lostDelayed:
		time.AfterFunc(lateness, func() { _, _ = session.swap(swap) })
		return 0, lost
	default:
		return session.swap(swap)
	}
}
