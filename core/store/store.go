// Package store is the interface to the platform's key-value service. The
// service is shared by all hosts, counts each call and has outages.
package store

import (
	"context"
	"time"

	"primrosegw/core/fault"
)

// Kind is the sort of a store error.
type Kind string

// The kinds of store errors.
const (
	// Absent: the key does not exist.
	Absent Kind = "absent"
	// Conflict: the key's revision is not the expected one; nothing was written.
	Conflict Kind = "conflict"
	// Unavailable: the service did not take the call; nothing was written.
	Unavailable Kind = "unavailable"
	// Uncertain: the write may have taken effect. The writer settles it by
	// reading back a token of its own.
	Uncertain Kind = "uncertain"
	// Expired: the lease does not exist any more.
	Expired Kind = "expired"
	// Refused: the service refused the call, for its size say.
	Refused Kind = "refused"
	// Compacted: the watch asked for a revision that is no longer kept.
	Compacted Kind = "compacted"
)

// Error is the error type of this package and of its backends.
type Error = fault.Error[Kind]

// MaximumValueBytes is the largest value that the service holds.
const MaximumValueBytes = 1 << 20

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the service's revision at the key's last write.
	Revision int64
	// Created is the revision at which the key came into being.
	Created int64
	// Lease is the lease the key is bound to, 0 if none.
	Lease int64
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key string
	// Expect is the revision the key must have; 0: the key must not exist.
	Expect int64
	Value  []byte
	// Lease binds the key to a lease; 0: none.
	Lease int64
}

// Event is a change seen by a watch. Deleted events have no value.
type Event struct {
	Entry   Entry
	Deleted bool
	// Err ends the watch; the channel is closed after it.
	Err error
}

// Store is the key-value service.
type Store interface {
	// Get reads one key. It fails with Absent or Unavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Range reads all keys with a prefix, with the service's revision.
	Range(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Swap writes a key if it is at the expected revision and returns the new
	// revision. It fails with Conflict, Unavailable, Uncertain or Refused.
	Swap(ctx context.Context, swap Swap) (int64, error)
	// Delete removes a key if it is at the expected revision.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its time to live.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch reports changes to keys with a prefix from a revision on, until the
	// context ends or an event with Err.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
}
