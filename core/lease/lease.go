// Package lease holds a lease of the key-value service with a fencing number.
// At most one host holds a lease as long as clocks run at about the same rate;
// the fencing number lets others refuse a holder that was paused.
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

// Kind is the sort of a lease error.
type Kind string

// The kinds of lease errors.
const (
	// Invalid: an option is missing or bad.
	Invalid Kind = "invalid"
	// Ended: the context ended.
	Ended Kind = "ended"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// defaultTTL is short enough that another placer takes over within a minute
	// and long enough that renewals cost one call in 10 s.
	defaultTTL = 30 * time.Second
	// renewals is the number of renewals in a time to live: two may be lost.
	renewals = 3
	// marginShare is the part of the time to live that is not relied on, for
	// clocks that run at different rates.
	marginShare = 10
	// callTimeout bounds one call to the service.
	callTimeout = 2 * time.Second
)

// Options configure a Lease.
type Options struct {
	Store store.Store
	// Key is the key that the holder owns.
	Key string
	// Holder is the name of this host, for operators.
	Holder string
	// TTL is the time to live; 0: 30 s. It is at least a second, since the
	// service counts in whole seconds.
	TTL time.Duration
	// Random draws the jitter; nil: seeded from the runtime.
	Random *rand.Rand
	// Logger gets the events; nil: none.
	Logger *event.Logger
}

// Lease is one host's part in a lease that several hosts want. Hold works for
// it; the other methods may be called at any time.
type Lease struct {
	options Options
	token   string
	mutex   sync.Mutex
	holding holding
	// held is closed when the lease is gained, and replaced when it is lost.
	held chan struct{}
}

// holding is a hold on the lease.
type holding struct {
	lease int64
	fence int64
	// until is the time up to which the lease is safe, measured from before the
	// last renewal was sent.
	until time.Time
}

// New returns a lease that is not held. It fails with Invalid.
func New(options Options) (*Lease, error) {
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	if options.Store == nil || options.Key == "" || options.Holder == "" {
		return nil, fault.New("lease.new", Invalid, "store, key and holder are needed")
	}
	if options.TTL < time.Second {
		return nil, fault.Field("lease.new", Invalid, "ttl", "it is below a second")
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	lease := &Lease{options: options, held: make(chan struct{})}
	lease.token = options.Holder + "/" + uuid.NewString()
	return lease, nil
}

// Hold tries to get the lease, holds it and gets it again after a loss, until
// the context ends. Then it releases the lease.
func (lease *Lease) Hold(ctx context.Context) {
	for ctx.Err() == nil {
		if lease.acquire(ctx) {
			lease.renew(ctx)
		}
		lease.pause(ctx, lease.options.TTL/renewals)
	}
	lease.release()
}

// Fence returns the fencing number, or 0 if the lease is not safely held now.
func (lease *Lease) Fence() int64 {
	fence, _ := lease.Current()
	return fence
}

// Remaining returns how long the lease is safe from now on, or 0.
func (lease *Lease) Remaining() time.Duration {
	_, remaining := lease.Current()
	return remaining
}

// Current returns the fencing number with the remaining safe time. It reads the
// clock: a holder calls it right before each use, and so notices a pause.
func (lease *Lease) Current() (int64, time.Duration) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	remaining := left(lease.holding.until, time.Now())
	if lease.holding.fence == 0 || remaining <= 0 {
		return 0, 0
	}
	return lease.holding.fence, remaining
}

// left returns the time until an instant by the monotonic clock or the wall
// clock, whichever leaves less: the monotonic clock stands still while a machine
// is suspended.
func left(until, now time.Time) time.Duration {
	return min(until.Sub(now), until.Round(0).Sub(now.Round(0)))
}

// Wait waits until the lease is held and returns the fencing number.
func (lease *Lease) Wait(ctx context.Context) (int64, error) {
	for {
		lease.mutex.Lock()
		held := lease.held
		lease.mutex.Unlock()
		select {
		case <-held:
		case <-ctx.Done():
			return 0, fault.Wrap("lease.wait", Ended, ctx.Err())
		}
		if fence := lease.Fence(); fence != 0 {
			return fence, nil
		}
		lease.pause(ctx, callTimeout)
	}
}

// acquire tries once to get the lease. A lease of the service whose key could
// not be written for certain is revoked, so that the write cannot take effect
// later.
func (lease *Lease) acquire(ctx context.Context) bool {
	if !lease.free(ctx) {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	granted, err := lease.options.Store.Grant(call, lease.options.TTL)
	if err != nil {
		return false
	}
	swap := store.Swap{Key: lease.options.Key, Value: []byte(lease.token), Lease: granted}
	fence, err := lease.options.Store.Swap(call, swap)
	if fault.Is(err, store.Uncertain) {
		fence, err = lease.readBack(ctx, granted)
	}
	if err != nil {
		lease.revoke(granted)
		return false
	}
	lease.gain(holding{lease: granted, fence: fence, until: lease.safe(sent, lease.options.TTL)})
	return true
}

// free reports whether nobody holds the lease. It saves a grant and a failing
// swap while another host holds it.
func (lease *Lease) free(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := lease.options.Store.Get(call, lease.options.Key)
	return fault.Is(err, store.Absent)
}

// readBack returns the fencing number if the key was written with the granted
// lease.
func (lease *Lease) readBack(ctx context.Context, granted int64) (int64, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := lease.options.Store.Get(call, lease.options.Key)
	if err != nil {
		return 0, err
	}
	if entry.Lease != granted || string(entry.Value) != lease.token {
		return 0, fault.New("lease.read_back", store.Conflict, lease.options.Key)
	}
	return entry.Created, nil
}

// renew keeps the lease until it is lost or the context ends.
func (lease *Lease) renew(ctx context.Context) {
	interval := lease.options.TTL / renewals
	for {
		if !lease.pause(ctx, interval) {
			return
		}
		granted := lease.granted()
		sent := time.Now()
		ttl, err := lease.keepAlive(ctx, granted)
		if err == nil {
			lease.extend(granted, lease.safe(sent, min(ttl, lease.options.TTL)))
			interval = lease.options.TTL / renewals
		}
		if fault.Is(err, store.Expired) || lease.Remaining() == 0 {
			lease.lose(err)
			return
		}
		if err != nil {
			interval = lease.options.TTL / (4 * renewals)
		}
	}
}

// keepAlive sends one renewal.
func (lease *Lease) keepAlive(ctx context.Context, granted int64) (time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return lease.options.Store.KeepAlive(call, granted)
}

// safe returns the instant up to which a lease renewed by a message sent at an
// instant is safe. The service counts from when it got the message, which is
// later.
func (lease *Lease) safe(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - ttl/marginShare)
}

// granted returns the service's lease.
func (lease *Lease) granted() int64 {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.holding.lease
}

// gain records that the lease is held.
func (lease *Lease) gain(holding holding) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.holding = holding
	close(lease.held)
	lease.log(event.LeaseHeld(), logrus.Fields{"fence": holding.fence})
}

// extend moves the safe time on.
func (lease *Lease) extend(granted int64, until time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.holding.lease == granted {
		lease.holding.until = until
	}
}

// lose records that the lease is not held any more, and revokes what may be left
// of it.
func (lease *Lease) lose(cause error) {
	lost := lease.drop()
	fields := logrus.Fields{"fence": lost.fence}
	if cause != nil {
		fields["error"] = cause.Error()
	}
	lease.log(event.LeaseLost(), fields)
	lease.revoke(lost.lease)
}

// drop clears the holding and returns what it was.
func (lease *Lease) drop() holding {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lost := lease.holding
	lease.holding = holding{}
	if lost.lease != 0 {
		lease.held = make(chan struct{})
	}
	return lost
}

// release gives the lease back at the end of Hold.
func (lease *Lease) release() {
	lost := lease.drop()
	if lost.lease == 0 {
		return
	}
	lease.revoke(lost.lease)
	lease.log(event.LeaseReleased(), logrus.Fields{"fence": lost.fence})
}

// revoke ends a lease of the service. If it fails, the lease ends with its time.
func (lease *Lease) revoke(granted int64) {
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = lease.options.Store.Revoke(call, granted)
}

// pause waits for half to all of a span and reports whether the context goes on.
func (lease *Lease) pause(ctx context.Context, span time.Duration) bool {
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

// log writes an event of this lease.
func (lease *Lease) log(event event.Event, fields logrus.Fields) {
	fields["key"] = lease.options.Key
	lease.options.Logger.Log(event, fields)
}
