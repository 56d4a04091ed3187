// Package limit enforces the limits of workspaces: request rate, token rate and calls
// in flight.
package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/fault"
)

// Kind identifies the limit that was reached.
type Kind string

// The kinds of limit errors.
const (
	// RequestRate: too many requests per second.
	RequestRate Kind = "request_rate"
	// TokenRate: too many tokens per second.
	TokenRate Kind = "token_rate"
	// InFlight: too many calls at the same time.
	InFlight Kind = "in_flight"
)

// Error is the error type of this package. Its Field is the field of the configuration
// document that sets the limit.
type Error = fault.Error[Kind]

// Limit holds the limits of one workspace, which apply to all hosts of the environment
// together. Zero means no limit.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	InFlight          int
}

// Options configures a limiter. A zero field takes its default.
type Options struct {
	// Limits holds the environment's limits by workspace.
	Limits map[string]Limit
	// Share is the fraction of each limit that this host may use, above 0 and at most
	// 1.
	Share float64
	// BurstWindow is the time whose allowance may be used in one burst.
	BurstWindow time.Duration
}

const (
	// DefaultBurstWindow admits demand that rises sharply within seconds.
	DefaultBurstWindow = 2 * time.Second
	// durationSmoothing is the weight of the newest call in the mean call duration.
	durationSmoothing = 0.1
	// minRetryAfter keeps callers from retrying in a busy loop.
	minRetryAfter = 10 * time.Millisecond
)

// Limiter enforces one host's share of the limits. It is safe for concurrent use.
//
// Each host enforces its share without communicating with the others. As a result, a
// workspace that calls through only a few hosts gets less than its limit. Every host
// admits at least one call in flight, so a limit below the number of hosts may be
// exceeded up to that number.
type Limiter struct {
	mutex       sync.Mutex
	share       float64
	burstWindow time.Duration
	workspaces  map[string]*workspaceLimiter
}

// workspaceLimiter holds the limits and counters of one workspace.
type workspaceLimiter struct {
	limit       Limit
	requests    bucket
	tokens      bucket
	inFlight    int
	maxInFlight int
	// meanDuration is a moving average of the duration of calls.
	meanDuration time.Duration
}

// New returns a limiter.
func New(options Options) *Limiter {
	if options.BurstWindow <= 0 {
		options.BurstWindow = DefaultBurstWindow
	}
	limiter := &Limiter{burstWindow: options.BurstWindow, share: clampShare(options.Share), workspaces: make(map[string]*workspaceLimiter)}
	limiter.SetLimits(options.Limits)
	return limiter
}

// clampShare returns the share if it is between 0 and 1, and otherwise 1, the whole
// limit.
func clampShare(share float64) float64 {
	if share > 0 && share < 1 {
		return share
	}
	return 1
}

// SetShare changes this host's share of each limit. It is called when the number of
// live hosts changes. Token debts and calls in flight are kept.
func (limiter *Limiter) SetShare(share float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share = clampShare(share)
	now := time.Now()
	for _, workspace := range limiter.workspaces {
		limiter.reconfigure(workspace, now)
	}
}

// SetLimits replaces the limits when a new configuration document takes effect. The
// counters of workspaces that are in both documents are kept.
func (limiter *Limiter) SetLimits(limits map[string]Limit) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := time.Now()
	for workspace := range limiter.workspaces {
		if _, stays := limits[workspace]; !stays {
			delete(limiter.workspaces, workspace)
		}
	}
	for workspace, limit := range limits {
		found, ok := limiter.workspaces[workspace]
		if !ok {
			found = &workspaceLimiter{}
			limiter.workspaces[workspace] = found
		}
		found.limit = limit
		limiter.reconfigure(found, now)
	}
}

// reconfigure recomputes a workspace's rates from its limit and the host's share.
func (limiter *Limiter) reconfigure(workspace *workspaceLimiter, now time.Time) {
	window := limiter.burstWindow.Seconds()
	workspace.requests.configure(now, workspace.limit.RequestsPerSecond*limiter.share, window)
	workspace.tokens.configure(now, workspace.limit.TokensPerSecond*limiter.share, window)
	workspace.maxInFlight = int(math.Ceil(float64(workspace.limit.InFlight) * limiter.share))
}

// Permit allows one call to run. The caller must release it.
type Permit struct {
	limiter   *Limiter
	workspace *workspaceLimiter
	started   time.Time
	released  bool
}

// Acquire admits one call of a workspace. All limits are checked before any is
// charged, so a refused call consumes nothing. A workspace without limits is always
// admitted. RetryAfter returns when to retry after an error.
func (limiter *Limiter) Acquire(workspace string) (*Permit, error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := time.Now()
	found, limited := limiter.workspaces[workspace]
	if !limited {
		return &Permit{limiter: limiter, workspace: &workspaceLimiter{}, started: now}, nil
	}
	if err := found.check(now); err != nil {
		return nil, err
	}
	found.requests.take(1)
	found.inFlight++
	return &Permit{limiter: limiter, workspace: found, started: now}, nil
}

// check returns an error if any limit is reached. If several are, it is the error of the
// one with the longest retry delay.
func (workspace *workspaceLimiter) check(now time.Time) error {
	var worst error
	longest := time.Duration(0)
	consider := func(reached bool, wait time.Duration, kind Kind, field string, limit float64) {
		wait = max(wait, minRetryAfter)
		if reached && wait > longest {
			longest, worst = wait, limitError(kind, field, limit, wait)
		}
	}
	wait := workspace.requests.wait(now, 1)
	consider(wait > 0, wait, RequestRate, "requests_per_second", workspace.limit.RequestsPerSecond)
	// Tokens are debited after the call, so the level only must not be negative.
	wait = workspace.tokens.wait(now, 0)
	consider(wait > 0, wait, TokenRate, "tokens_per_second", workspace.limit.TokensPerSecond)
	reached := workspace.limit.InFlight > 0 && workspace.inFlight >= workspace.maxInFlight
	consider(reached, workspace.estimateRelease(), InFlight, "in_flight", float64(workspace.limit.InFlight))
	return worst
}

// estimateRelease estimates the time until one of the calls in flight ends.
func (workspace *workspaceLimiter) estimateRelease() time.Duration {
	return workspace.meanDuration / time.Duration(max(1, workspace.inFlight))
}

// Debit charges tokens that the call used. The token level may become negative; new
// calls are then refused until it has refilled at the workspace's rate.
func (permit *Permit) Debit(tokens int) {
	permit.limiter.mutex.Lock()
	defer permit.limiter.mutex.Unlock()
	permit.workspace.tokens.refill(time.Now())
	permit.workspace.tokens.take(float64(tokens))
}

// Release ends the call. Only the first Release has an effect.
func (permit *Permit) Release() {
	permit.limiter.mutex.Lock()
	defer permit.limiter.mutex.Unlock()
	if permit.released {
		return
	}
	permit.released = true
	workspace := permit.workspace
	workspace.inFlight--
	duration := time.Since(permit.started)
	if workspace.meanDuration == 0 {
		workspace.meanDuration = duration
	}
	workspace.meanDuration += time.Duration(durationSmoothing * float64(duration-workspace.meanDuration))
}

// retryDelay is the wrapped cause of a limit error: the time until a retry can succeed.
type retryDelay time.Duration

// Error implements the error interface.
func (delay retryDelay) Error() string {
	return "retry after " + time.Duration(delay).String()
}

// limitError returns the error for a limit that was reached.
func limitError(kind Kind, field string, limit float64, wait time.Duration) error {
	err := fault.Field("limit.acquire", kind, field, fmt.Sprintf("the limit of %g is reached", limit))
	err.Err = retryDelay(wait)
	return err
}

// RetryAfter returns the time after which a refused call may be retried. It returns 0
// if err is not an error of this package.
func RetryAfter(err error) time.Duration {
	var found retryDelay
	if errors.As(err, &found) {
		return time.Duration(found)
	}
	return 0
}
