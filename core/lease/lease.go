// Package lease implements a distributed lock on a lease of the key-value
// service, with a fencing token. At most one host holds the lock as long as the
// hosts' clocks run at about the same rate; the fencing token lets others reject
// a former holder that was paused and still acts.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of lease errors.
const (
	// Invalid: an option is missing or out of range.
	Invalid Kind = "invalid"
	// Ended: the context ended before the lease was acquired.
	Ended Kind = "ended"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// defaultTTL lets another placer take over within a minute at a cost of one
	// renewal every 5 to 10 s.
	defaultTTL = 30 * time.Second
	// renewalsPerTTL is the number of renewals per time to live, so that the
	// lease survives two lost renewals.
	renewalsPerTTL = 3
	// safetyMarginDivisor sets the safety margin: the holder treats the lease as
	// expired when 1/safetyMarginDivisor of its time to live remains, to allow for
	// clocks that run at different rates.
	safetyMarginDivisor = 10
	// callTimeout bounds one call to the key-value service.
	callTimeout = 2 * time.Second
)

// Granter grants and renews leases of the key-value service.
type Granter interface {
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its remaining time to live.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes the keys that are bound to it.
	Revoke(ctx context.Context, lease int64) error
}

// Claimer writes the key whose owner holds the lease.
type Claimer interface {
	// IsFree reports whether no host holds the lease as far as is known.
	IsFree(ctx context.Context) bool
	// Claim writes the key under a lease, unless it exists, and returns the fencing token.
	Claim(ctx context.Context, leaseID int64) (fence int64, err error)
	// Confirm checks that the key is still the one that was claimed. It fails with Absent or
	// Conflict if it is not.
	Confirm(ctx context.Context, leaseID, fence int64) error
}

// Options configure a Lease.
type Options struct {
	Store store.Store
	// Granter and Claimer replace Store, where the fencing token is not the revision of one key.
	Granter Granter
	Claimer Claimer
	// Elapsed is a clock that runs while the machine is suspended; nil: there is none. It is used
	// beside the clocks of the runtime, of which the wall clock may be set back.
	Elapsed func() time.Duration
	// Key is the key whose owner holds the lease.
	Key string
	// Holder is the name of this host. It is part of the key's value, where
	// operators can read it.
	Holder string
	// TTL is the time to live; 0: 30 s. The minimum is 1 s, because the service
	// counts in whole seconds.
	TTL time.Duration
	// Random is the source of jitter; nil: seeded from the runtime.
	Random *rand.Rand
	// Logger receives the events; nil discards them.
	Logger *event.Logger
}

// Lease is one host's contender for a lease that several hosts compete for. Hold
// acquires and renews it; the other methods may be called concurrently.
type Lease struct {
	options Options
	mutex   sync.Mutex
	grant   grant
	// unrevoked is a lease that was lost and could not be revoked, 0: none.
	unrevoked int64
	// acquired is closed when the lease is acquired, and replaced when it is lost.
	acquired chan struct{}
}

// grant is the lease as the service granted it; its zero value means not held.
type grant struct {
	leaseID int64
	// fence is the fencing token: the revision at which the key was created.
	fence int64
	// safeUntil is when the holder must stop relying on the lease. It counts from
	// before the last successful renewal was sent.
	safeUntil time.Time
	// safeElapsed is safeUntil on the clock Elapsed.
	safeElapsed time.Duration
}

// New returns a lease that is not held yet. It fails with Invalid.
func New(options Options) (*Lease, error) {
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	hasStore := options.Store != nil || options.Granter != nil && options.Claimer != nil
	if !hasStore || options.Key == "" || options.Holder == "" {
		return nil, fault.New("lease.new", Invalid, "store, key and holder are required")
	}
	if options.TTL < time.Second {
		return nil, fault.Field("lease.new", Invalid, "ttl", "is shorter than 1 s")
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	if options.Claimer == nil {
		options.Granter = options.Store
		options.Claimer = &keyClaimer{options.Store, options.Key, options.Holder + "/" + uuid.NewString()}
	}
	if options.Elapsed == nil {
		options.Elapsed = func() time.Duration { return 0 }
	}
	return &Lease{options: options, acquired: make(chan struct{})}, nil
}

// Hold acquires and renews the lease, and reacquires it after a loss, until the
// context ends. Then it releases the lease.
func (lease *Lease) Hold(ctx context.Context) {
	for ctx.Err() == nil {
		if lease.acquire(ctx) {
			lease.renew(ctx)
		}
		lease.sleepJittered(ctx, lease.options.TTL/renewalsPerTTL)
	}
	lease.release()
}

// Fence returns the fencing token, or 0 if the lease is not safely held now.
func (lease *Lease) Fence() int64 {
	fence, _ := lease.Current()
	return fence
}

// Remaining returns how much longer the lease is safely held, or 0.
func (lease *Lease) Remaining() time.Duration {
	_, remaining := lease.Current()
	return remaining
}

// Current returns the fencing token and the remaining safe time. It reads the
// clock on each call, so a holder that calls it right before each use detects
// that it was paused past the end of the lease.
func (lease *Lease) Current() (int64, time.Duration) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	remaining := remainingTime(lease.grant.safeUntil, time.Now())
	if lease.grant.safeElapsed > 0 {
		remaining = min(remaining, lease.grant.safeElapsed-lease.options.Elapsed())
	}
	if lease.grant.fence == 0 || remaining <= 0 {
		return 0, 0
	}
	return lease.grant.fence, remaining
}

// remainingTime returns the time left until safeUntil by the monotonic or the wall
// clock, whichever is less: the monotonic clock stops while a machine is
// suspended.
func remainingTime(safeUntil, now time.Time) time.Duration {
	return min(safeUntil.Sub(now), safeUntil.Round(0).Sub(now.Round(0)))
}

// Wait blocks until the lease is held and returns the fencing token.
func (lease *Lease) Wait(ctx context.Context) (int64, error) {
	for {
		lease.mutex.Lock()
		acquired := lease.acquired
		lease.mutex.Unlock()
		select {
		case <-acquired:
		case <-ctx.Done():
			return 0, fault.Wrap("lease.wait", Ended, ctx.Err())
		}
		if fence := lease.Fence(); fence != 0 {
			return fence, nil
		}
		lease.sleepJittered(ctx, callTimeout)
	}
}

// acquire tries once to acquire the lease. If it cannot confirm that the key was
// written, it revokes the granted lease, so that a delayed write cannot take
// effect later.
func (lease *Lease) acquire(ctx context.Context) bool {
	lease.revokeLost(ctx)
	if !lease.options.Claimer.IsFree(ctx) {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, sentElapsed := time.Now(), lease.options.Elapsed()
	leaseID, err := lease.options.Granter.Grant(call, lease.options.TTL)
	if err != nil {
		return false
	}
	fence, err := lease.options.Claimer.Claim(call, leaseID)
	if err != nil {
		lease.revoke(leaseID)
		return false
	}
	lease.recordAcquired(lease.newGrant(leaseID, fence, sent, sentElapsed, lease.options.TTL))
	return true
}

// newGrant returns a lease that was granted or renewed for a time by a request sent at the given time.
// The service starts to count when it receives the request, which is later, so the result is
// conservative.
func (lease *Lease) newGrant(leaseID, fence int64, sent time.Time, sentElapsed, ttl time.Duration) grant {
	safe := ttl - ttl/safetyMarginDivisor
	granted := grant{leaseID: leaseID, fence: fence, safeUntil: sent.Add(safe)}
	if sentElapsed > 0 {
		granted.safeElapsed = sentElapsed + safe
	}
	return granted
}

// renew renews the lease until it is lost or the context ends.
func (lease *Lease) renew(ctx context.Context) {
	interval := lease.options.TTL / renewalsPerTTL
	for {
		if !lease.sleepJittered(ctx, interval) {
			return
		}
		held := lease.current()
		sent, sentElapsed := time.Now(), lease.options.Elapsed()
		ttl, err := lease.sendKeepAlive(ctx, held.leaseID)
		if err == nil {
			err = lease.options.Claimer.Confirm(ctx, held.leaseID, held.fence)
		}
		if err == nil {
			lease.extend(lease.newGrant(held.leaseID, held.fence, sent, sentElapsed, min(ttl, lease.options.TTL)))
			interval = lease.options.TTL / renewalsPerTTL
		}
		if hasEnded(err) || lease.Remaining() == 0 {
			lease.recordLost(err)
			return
		}
		if err != nil {
			interval = lease.options.TTL / (4 * renewalsPerTTL)
		}
	}
}

// hasEnded reports whether an error of a renewal shows that the lease or its key is gone.
func hasEnded(err error) bool {
	return fault.Is(err, store.Expired) || fault.Is(err, store.Absent) || fault.Is(err, store.Conflict)
}

// sendKeepAlive sends one renewal and returns the new time to live.
func (lease *Lease) sendKeepAlive(ctx context.Context, leaseID int64) (time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return lease.options.Granter.KeepAlive(call, leaseID)
}

// current returns the held lease, or the zero value.
func (lease *Lease) current() grant {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.grant
}

// recordAcquired stores the grant and wakes the callers of Wait.
func (lease *Lease) recordAcquired(grant grant) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.grant = grant
	close(lease.acquired)
	lease.log(event.LeaseHeld(), logrus.Fields{"fence": grant.fence})
}

// extend replaces the grant after a renewal, unless the lease was replaced.
func (lease *Lease) extend(renewed grant) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.grant.leaseID == renewed.leaseID {
		lease.grant = renewed
	}
}

// recordLost records that the lease is no longer held, and revokes it in case the
// service still keeps it.
func (lease *Lease) recordLost(cause error) {
	previous := lease.clear()
	fields := logrus.Fields{"fence": previous.fence}
	if cause != nil {
		fields["error"] = cause.Error()
	}
	lease.log(event.LeaseLost(), fields)
	if !lease.revoke(previous.leaseID) {
		lease.setUnrevoked(previous.leaseID)
	}
}

// revokeLost revokes a lease that was lost while the service was away. A service that comes back may keep
// its leases for a whole time to live, and nobody could acquire this one meanwhile.
func (lease *Lease) revokeLost(ctx context.Context) {
	lease.mutex.Lock()
	lost := lease.unrevoked
	lease.mutex.Unlock()
	if lost != 0 && ctx.Err() == nil && lease.revoke(lost) {
		lease.setUnrevoked(0)
	}
}

func (lease *Lease) setUnrevoked(leaseID int64) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.unrevoked = leaseID
}

// clear marks the lease as not held and returns the previous grant.
func (lease *Lease) clear() grant {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	previous := lease.grant
	lease.grant = grant{}
	if previous.leaseID != 0 {
		lease.acquired = make(chan struct{})
	}
	return previous
}

// release revokes the lease at the end of Hold, if it is held.
func (lease *Lease) release() {
	previous := lease.clear()
	if previous.leaseID == 0 {
		return
	}
	lease.revoke(previous.leaseID)
	lease.log(event.LeaseReleased(), logrus.Fields{"fence": previous.fence})
}

// revoke revokes a lease of the service, and reports whether the service answered. If not, the lease
// expires at the end of its time to live.
func (lease *Lease) revoke(leaseID int64) bool {
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := lease.options.Granter.Revoke(call, leaseID)
	return err == nil || hasEnded(err)
}

// sleepJittered sleeps for a random time between half of span and span, and
// reports whether the context is still active.
func (lease *Lease) sleepJittered(ctx context.Context, span time.Duration) bool {
	lease.mutex.Lock()
	wait := span/2 + time.Duration(lease.options.Random.Int64N(int64(span/2)+1))
	lease.mutex.Unlock()
	select {
	case <-time.After(wait):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// log writes an event with the key of this lease.
func (lease *Lease) log(event event.Event, fields logrus.Fields) {
	fields["key"] = lease.options.Key
	lease.options.Logger.Log(event, fields)
}
