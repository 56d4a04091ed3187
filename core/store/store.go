// Package store defines the interface to the platform's key-value service. All hosts
// share the service, every call to it is counted, and it has outages.
package store

import (
	"context"
	"time"

	"primrosegw/core/fault"
)

// Kind classifies store errors.
type Kind string

// The kinds of store errors.
const (
	// Absent: the key does not exist.
	Absent Kind = "absent"
	// Conflict: the key does not have the expected revision; nothing was written.
	Conflict Kind = "conflict"
	// Unavailable: the service did not accept the call; nothing was written.
	Unavailable Kind = "unavailable"
	// Uncertain: the write may have taken effect. The writer finds out by reading
	// the key back and looking for its own token.
	Uncertain Kind = "uncertain"
	// Expired: the lease no longer exists.
	Expired Kind = "expired"
	// Refused: the service rejected the call, for example because of its size.
	Refused Kind = "refused"
	// Oversized: the response is longer than the client reads.
	Oversized Kind = "oversized"
	// Compacted: the requested revision is no longer in the service's history.
	Compacted Kind = "compacted"
)

// Error is the error type of this package and of its backends.
type Error = fault.Error[Kind]

// MaximumValueBytes is the maximum size of a value.
const MaximumValueBytes = 1 << 20

// Entry is a key with its value and metadata.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the service's revision at the last write of the key.
	Revision int64
	// Created is the service's revision at the creation of the key.
	Created int64
	// Lease is the ID of the lease that the key is bound to, 0 if none.
	Lease int64
}

// Swap is a compare-and-swap operation on one key.
type Swap struct {
	Key string
	// Expect is the revision that the key must have; 0 if it must not exist.
	Expect int64
	Value  []byte
	// Lease is the ID of the lease to bind the key to, 0 for none.
	Lease int64
}

// Event is a change of a key. Events of deletions have no value.
type Event struct {
	Entry   Entry
	Deleted bool
	// Err is set in the last event of a watch that failed. The channel is closed
	// after it.
	Err error
}

// Store is a client of the key-value service.
type Store interface {
	// Get reads one key. It fails with Absent or Unavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Range reads all keys with a prefix and returns the service's revision.
	Range(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Swap writes a key if it has the expected revision and returns the new
	// revision. It fails with Conflict, Unavailable, Uncertain or Refused.
	Swap(ctx context.Context, swap Swap) (int64, error)
	// Delete removes a key if it has the expected revision.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its remaining time to live.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes the keys that are bound to it.
	Revoke(ctx context.Context, lease int64) error
	// Watch sends the changes of keys with a prefix, starting at a revision, until
	// the context ends or the watch fails with an event that has Err set.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
}
