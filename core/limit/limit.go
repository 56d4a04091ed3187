// Package limit holds workspaces to their limits: request rate, token rate and
// calls in flight.
package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/fault"
)

// Kind is the sort of a limit error: which limit was reached.
type Kind string

// The kinds of errors of a limiter.
const (
	// RequestRate: too many requests per second.
	RequestRate Kind = "request_rate"
	// TokenRate: too many tokens per second.
	TokenRate Kind = "token_rate"
	// InFlight: too many calls at the same time.
	InFlight Kind = "in_flight"
)

// Error is the error type of this package. Its Field is the document's field
// that sets the limit.
type Error = fault.Error[Kind]

// Limit is what one workspace may use in the whole environment. Zero: no limit.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	InFlight          int
}

// Options configures a limiter. A zero field takes its default.
type Options struct {
	// Limits is the environment's limits by workspace.
	Limits map[string]Limit
	// Share is this host's part of each limit, above 0 and at most 1.
	Share float64
	// Window is the time whose allowance may be used at once.
	Window time.Duration
}

const (
	// DefaultWindow admits demand that jumps within seconds.
	DefaultWindow = 2 * time.Second
	// holdGain is the weight of the newest call in the mean time of a call.
	holdGain = 0.1
	// shortestRetry keeps callers from retrying in a loop.
	shortestRetry = 10 * time.Millisecond
)

// Limiter holds the counters of one host. It is safe for concurrent use.
//
// Each host enforces its share of a limit by itself. A workspace that calls
// through few hosts gets less than its limit for that reason; in exchange
// nothing is exchanged between hosts. Every host admits at least one call in
// flight, so limits below the number of hosts may be exceeded up to that number.
type Limiter struct {
	mutex  sync.Mutex
	share  float64
	window time.Duration
	meters map[string]*meter
}

// meter is the state of one workspace.
type meter struct {
	limit    Limit
	requests bucket
	tokens   bucket
	inFlight int
	allowed  int
	// hold is the mean time of a call.
	hold time.Duration
}

// New returns a limiter.
func New(options Options) *Limiter {
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	limiter := &Limiter{window: options.Window, share: clampShare(options.Share), meters: make(map[string]*meter)}
	limiter.SetLimits(options.Limits)
	return limiter
}

// clampShare returns a usable share; anything else means the whole limit.
func clampShare(share float64) float64 {
	if share > 0 && share < 1 {
		return share
	}
	return 1
}

// SetShare changes this host's part of each limit, when the number of live hosts
// changes. Debts and calls in flight stay counted.
func (limiter *Limiter) SetShare(share float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share = clampShare(share)
	now := time.Now()
	for _, meter := range limiter.meters {
		limiter.apply(meter, now)
	}
}

// SetLimits replaces the limits when a new document comes into force. The
// counters of workspaces that stay are kept.
func (limiter *Limiter) SetLimits(limits map[string]Limit) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := time.Now()
	for workspace := range limiter.meters {
		if _, stays := limits[workspace]; !stays {
			delete(limiter.meters, workspace)
		}
	}
	for workspace, limit := range limits {
		found, ok := limiter.meters[workspace]
		if !ok {
			found = &meter{}
			limiter.meters[workspace] = found
		}
		found.limit = limit
		limiter.apply(found, now)
	}
}

// apply sets a meter's rates from its limit and the share.
func (limiter *Limiter) apply(meter *meter, now time.Time) {
	window := limiter.window.Seconds()
	meter.requests.configure(now, meter.limit.RequestsPerSecond*limiter.share, window)
	meter.tokens.configure(now, meter.limit.TokensPerSecond*limiter.share, window)
	meter.allowed = int(math.Ceil(float64(meter.limit.InFlight) * limiter.share))
}

// Permit is the right to run one call. Its holder must release it.
type Permit struct {
	limiter  *Limiter
	meter    *meter
	started  time.Time
	released bool
}

// Acquire admits one call of a workspace. The limits are checked together, and a
// refused call uses up nothing. A workspace without limits is always admitted.
// RetryAfter of the error says when to try again.
func (limiter *Limiter) Acquire(workspace string) (*Permit, error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := time.Now()
	found, limited := limiter.meters[workspace]
	if !limited {
		return &Permit{limiter: limiter, meter: &meter{}, started: now}, nil
	}
	if err := found.check(now); err != nil {
		return nil, err
	}
	found.requests.take(1)
	found.inFlight++
	return &Permit{limiter: limiter, meter: found, started: now}, nil
}

// check returns the error of the limit that is free again last.
func (meter *meter) check(now time.Time) error {
	var worst error
	longest := time.Duration(0)
	consider := func(reached bool, wait time.Duration, kind Kind, field string, limit float64) {
		wait = max(wait, shortestRetry)
		if reached && wait > longest {
			longest, worst = wait, refuse(kind, field, limit, wait)
		}
	}
	wait := meter.requests.wait(now, 1)
	consider(wait > 0, wait, RequestRate, "requests_per_second", meter.limit.RequestsPerSecond)
	// Tokens are debited after the fact, so a call needs only a level above 0.
	wait = meter.tokens.wait(now, 0)
	consider(wait > 0, wait, TokenRate, "tokens_per_second", meter.limit.TokensPerSecond)
	reached := meter.limit.InFlight > 0 && meter.inFlight >= meter.allowed
	consider(reached, meter.freed(), InFlight, "in_flight", float64(meter.limit.InFlight))
	return worst
}

// freed estimates the time until one of the calls in flight ends.
func (meter *meter) freed() time.Duration {
	return meter.hold / time.Duration(max(1, meter.inFlight))
}

// Debit counts tokens that the call used. It may put the workspace in debt; new
// calls then wait until the debt is paid at the workspace's rate.
func (permit *Permit) Debit(tokens int) {
	permit.limiter.mutex.Lock()
	defer permit.limiter.mutex.Unlock()
	permit.meter.tokens.refill(time.Now())
	permit.meter.tokens.take(float64(tokens))
}

// Release ends the call. Calls after the first do nothing.
func (permit *Permit) Release() {
	permit.limiter.mutex.Lock()
	defer permit.limiter.mutex.Unlock()
	if permit.released {
		return
	}
	permit.released = true
	meter := permit.meter
	meter.inFlight--
	held := time.Since(permit.started)
	if meter.hold == 0 {
		meter.hold = held
	}
	meter.hold += time.Duration(holdGain * float64(held-meter.hold))
}

// delay is the cause of a limit error: the time until a retry makes sense.
type delay time.Duration

// Error returns the delay in words.
func (delay delay) Error() string {
	return "retry after " + time.Duration(delay).String()
}

// refuse returns the error of a reached limit.
func refuse(kind Kind, field string, limit float64, wait time.Duration) error {
	err := fault.Field("limit.acquire", kind, field, fmt.Sprintf("the limit of %g is reached", limit))
	err.Err = delay(wait)
	return err
}

// RetryAfter returns the time after which a refused call may be tried again; 0
// if err is not an error of this package.
func RetryAfter(err error) time.Duration {
	var found delay
	if errors.As(err, &found) {
		return time.Duration(found)
	}
	return 0
}
