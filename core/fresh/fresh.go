// Package fresh bounds the staleness of the configuration that a host holds. A host
// must stop trusting the keys of workspaces when it can't confirm the configuration,
// because a key may have been revoked in the meantime.
package fresh

import (
	"sync"
	"time"
)

// Instant is a reading of a clock that includes the time for which the machine was
// suspended, such as CLOCK_BOOTTIME. With another clock, a host that resumes would
// underestimate the age of its configuration.
type Instant time.Duration

// Proof records the latest instant at which the configuration held was known to be
// the current one. It is safe for concurrent use.
type Proof struct {
	maxAge      time.Duration
	mutex       sync.Mutex
	confirmed   bool
	confirmedAt Instant
}

// New returns a proof that lapses when its last confirmation is maxAge old. With a
// maxAge of 0 it never lapses after the first confirmation.
func New(maxAge time.Duration) *Proof {
	return &Proof{maxAge: maxAge}
}

// Confirm records that the configuration held was the current one at an instant.
// Callers pass the instant before they sent the request to the store, because the
// answer may be delayed. Confirmations older than the last one are ignored.
func (proof *Proof) Confirm(at Instant) {
	proof.mutex.Lock()
	defer proof.mutex.Unlock()
	if !proof.confirmed || at > proof.confirmedAt {
		proof.confirmed, proof.confirmedAt = true, at
	}
}

// Age returns the time since the last confirmation, and false if there was none.
func (proof *Proof) Age(now Instant) (time.Duration, bool) {
	proof.mutex.Lock()
	defer proof.mutex.Unlock()
	return time.Duration(now - proof.confirmedAt), proof.confirmed
}

// Valid reports whether keys may still be trusted.
func (proof *Proof) Valid(now Instant) bool {
	age, known := proof.Age(now)
	return known && (proof.maxAge <= 0 || age < proof.maxAge)
}
