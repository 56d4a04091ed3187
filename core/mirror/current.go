package mirror

import (
	"time"

	"primrosegw/core/store"
)

// refreshInterval is the least time between two reads of the probed key that Refresh asks for.
const refreshInterval = 250 * time.Millisecond

// currency tracks as of when the copy is known to be complete.
type currency struct {
	asOf time.Time
	// position was the store's at a time when the copy lagged behind; reachedBy is that time.
	position  store.Position
	reachedBy time.Time
	// wanted is set if a later time is asked for; readAt is when the probed key was last read.
	wanted bool
	readAt time.Time
}

// CurrentAsOf returns a time before which every write to the store is in the copy. It is zero if
// that is not known, or if clients of a restored store may still be writing again what was lost, as
// they may when a host has just started.
func (mirror *Mirror) CurrentAsOf() time.Time {
	if !mirror.options.Grace.Over(time.Now()) {
		return time.Time{}
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.currency.asOf
}

// Refresh makes CurrentAsOf advance, with a read of the probed key if need be.
func (mirror *Mirror) Refresh() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.currency.wanted {
		return
	}
	mirror.currency.wanted = true
	// The read is not woken early: it is due at once while the proof is old.
	time.AfterFunc(time.Until(mirror.currency.readAt.Add(refreshInterval)), mirror.WakeProbe)
}

// untilRefresh returns the time until a read that Refresh has asked for, and false if none is.
func (mirror *Mirror) untilRefresh() (time.Duration, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return time.Until(mirror.currency.readAt.Add(refreshInterval)), mirror.currency.wanted
}

// startRead records that the probed key is read.
func (mirror *Mirror) startRead(now time.Time) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.currency.wanted, mirror.currency.readAt = false, now
}

// observeCurrency records that the store had not passed a position when a call was made. The mutex
// is held.
func (mirror *Mirror) observeCurrency(position store.Position, calledAt time.Time) {
	current := &mirror.currency
	if !mirror.position.Before(position) {
		current.advance(calledAt)
		return
	}
	// A lag that lasts keeps its first read, so that the copy reaches it.
	if !mirror.position.Before(current.position) || current.position.Era != position.Era {
		current.position, current.reachedBy = position, calledAt
	}
}

// reachCurrency is called after the position has advanced. The mutex is held.
func (mirror *Mirror) reachCurrency() {
	current := &mirror.currency
	if current.position.Revision > 0 && current.position.Era == mirror.position.Era && !mirror.position.Before(current.position) {
		current.advance(current.reachedBy)
		current.position = store.Position{}
	}
}

func (currency *currency) advance(asOf time.Time) {
	if asOf.After(currency.asOf) {
		currency.asOf = asOf
	}
}
