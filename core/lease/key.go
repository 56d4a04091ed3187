package lease

import (
	"context"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// keyClaimer claims one key, whose revision at its creation is the fencing token.
type keyClaimer struct {
	store store.Store
	key   string
	// holderID is unique to a Lease; it is the value of the key while held.
	holderID string
}

// IsFree implements Claimer. The check saves a grant and a failing swap while another host holds the
// lease.
func (claimer *keyClaimer) IsFree(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := claimer.store.Get(call, claimer.key)
	return fault.Is(err, store.Absent)
}

// Claim implements Claimer.
func (claimer *keyClaimer) Claim(ctx context.Context, leaseID int64) (int64, error) {
	swap := store.Swap{Key: claimer.key, Value: []byte(claimer.holderID), Lease: leaseID}
	fence, err := claimer.store.Swap(ctx, swap)
	if fault.Is(err, store.Uncertain) {
		return claimer.readBack(ctx, leaseID)
	}
	return fence, err
}

// Confirm implements Claimer. A lease whose key was deleted is renewed like any other. A key that is
// deleted later is noticed at the next renewal.
func (claimer *keyClaimer) Confirm(ctx context.Context, leaseID, fence int64) error {
	current, err := claimer.readBack(ctx, leaseID)
	if err == nil && current != fence {
		return fault.New("lease.confirm", store.Conflict, claimer.key)
	}
	return err
}

// readBack returns the fencing token if the key was written with the given lease. It fails
// with Absent or Conflict if it was not.
func (claimer *keyClaimer) readBack(ctx context.Context, leaseID int64) (int64, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := claimer.store.Get(call, claimer.key)
	if err != nil {
		return 0, err
	}
	if entry.Lease != leaseID || string(entry.Value) != claimer.holderID {
		return 0, fault.New("lease.read_back", store.Conflict, claimer.key)
	}
	return entry.Created, nil
}
