// Package fresh decides for how long a host may act on the configuration it
// holds without hearing from the store again. A workspace's key may have been
// taken away in the meantime.
package fresh

import (
	"sync"
	"time"
)

// Moment is a point on a clock that also counts the time for which the machine
// was suspended, as CLOCK_BOOTTIME does: a host that wakes up must not take its
// configuration for newer than it is.
type Moment time.Duration

// Proof is the latest moment at which the configuration held was known to be
// the newest one. It is safe for concurrent use.
type Proof struct {
	limit time.Duration
	mutex sync.Mutex
	known bool
	at    Moment
}

// New returns a proof that lapses after the limit; a limit of 0 never lapses
// once there was a confirmation.
func New(limit time.Duration) *Proof {
	return &Proof{limit: limit}
}

// Confirm records that the configuration held was the newest one at a moment.
// It is the moment before the store was asked, as the answer may be late.
func (proof *Proof) Confirm(at Moment) {
	proof.mutex.Lock()
	defer proof.mutex.Unlock()
	if !proof.known || at > proof.at {
		proof.known, proof.at = true, at
	}
}

// Age returns the time since the last confirmation, and false if there was none.
func (proof *Proof) Age(now Moment) (time.Duration, bool) {
	proof.mutex.Lock()
	defer proof.mutex.Unlock()
	return time.Duration(now - proof.at), proof.known
}

// Holds reports whether keys may still be trusted.
func (proof *Proof) Holds(now Moment) bool {
	age, known := proof.Age(now)
	return known && (proof.limit <= 0 || age < proof.limit)
}
