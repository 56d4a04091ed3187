package heads_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// faultMode is the fault that the service injects into one call.
type faultMode int

const (
	noFault         faultMode = iota
	unavailable               // refused without writing
	lostNotWritten            // reply lost, value not written
	lostWritten               // reply lost, value written
	lostWrittenLate           // reply lost; written after delayedWriteLatency if the revision still matches
)

// callPlan is the delay and the fault injected into one call.
type callPlan struct {
	wait time.Duration
	mode faultMode
}

// delayedWriteLatency is the delay of a write that arrives after its reply was
// lost. It is an odd number of milliseconds so that the write never coincides with
// another call.
const delayedWriteLatency = 701 * time.Millisecond

// memoryStore is an in-memory key-value service.
type memoryStore struct {
	store.Store

	mutex    sync.Mutex
	entries  map[string]store.Entry
	revision int64
	// recordedValues are the values written to recordedKey, in order.
	recordedKey    string
	recordedValues [][]byte
	// skipRevisionCheck disables the revision check. misreportLostReply reports a
	// lost reply as Unavailable, which means that nothing was written. Both are
	// used to verify that the model test detects such faults.
	skipRevisionCheck, misreportLostReply bool
}

func newMemoryStore(recordedKey string) *memoryStore {
	return &memoryStore{entries: map[string]store.Entry{}, recordedKey: recordedKey}
}

func (memory *memoryStore) get(key string) (store.Entry, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	entry, found := memory.entries[key]
	if !found {
		return entry, fault.New("memory.get", store.Absent, key)
	}
	return entry, nil
}

func (memory *memoryStore) swap(swap store.Swap) (int64, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.entries[swap.Key].Revision != swap.Expect && !memory.skipRevisionCheck {
		return 0, fault.New("memory.swap", store.Conflict, swap.Key)
	}
	memory.revision++
	memory.entries[swap.Key] = store.Entry{Key: swap.Key, Value: swap.Value, Revision: memory.revision}
	if swap.Key == memory.recordedKey {
		memory.recordedValues = append(memory.recordedValues, swap.Value)
	}
	return memory.revision, nil
}

// recorded returns the values written to recordedKey, in order.
func (memory *memoryStore) recorded() [][]byte {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return slices.Clone(memory.recordedValues)
}

// connection is one client's connection to the service. It injects the faults of
// its plan.
type connection struct {
	*memoryStore

	plan []callPlan
}

// nextFault waits for the planned delay and returns the planned fault. After the
// end of the plan there are no faults.
func (connection *connection) nextFault(ctx context.Context) (faultMode, error) {
	if len(connection.plan) == 0 {
		return noFault, ctx.Err()
	}
	call := connection.plan[0]
	connection.plan = connection.plan[1:]
	select {
	case <-time.After(call.wait):
		return call.mode, ctx.Err()
	case <-ctx.Done():
		return noFault, ctx.Err()
	}
}

func (connection *connection) Get(ctx context.Context, key string) (store.Entry, error) {
	mode, err := connection.nextFault(ctx)
	if err != nil || mode != noFault {
		return store.Entry{}, fault.New("memory.get", store.Unavailable, key)
	}
	return connection.get(key)
}

func (connection *connection) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	mode, err := connection.nextFault(ctx)
	if err != nil || mode == unavailable {
		return 0, fault.New("memory.swap", store.Unavailable, swap.Key)
	}
	lost := fault.New("memory.swap", store.Uncertain, swap.Key)
	if connection.misreportLostReply {
		lost = fault.New("memory.swap", store.Unavailable, swap.Key)
	}
	switch mode {
	case lostNotWritten:
		return 0, lost
	case lostWritten:
		_, _ = connection.swap(swap)
		return 0, lost
	case lostWrittenLate:
		time.AfterFunc(delayedWriteLatency, func() { _, _ = connection.swap(swap) })
		return 0, lost
	default:
		return connection.swap(swap)
	}
}
