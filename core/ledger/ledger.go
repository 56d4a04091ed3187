// Package ledger gives non-idempotent calls at-most-once execution. It records an
// intent in the platform's key-value service before a call is dispatched, and the
// outcome afterwards.
package ledger

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of ledger errors.
const (
	// NotRun: no intent could be recorded before the deadline; this call does not
	// run. An earlier call with the same key that is unknown to this host may have
	// run.
	NotRun Kind = "not_run"
	// Full: the partition accepts no new intents; this call does not run.
	Full Kind = "full"
	// Mismatch: the key was already used with a different body.
	Mismatch Kind = "mismatch"
	// Invalid: an option is missing, or a field of the key is empty or too long, or
	// no attempt to abandon is running in this process.
	Invalid Kind = "invalid"
	// Unrecorded: it is not confirmed that the outcome or the abandonment was
	// recorded. Changes that are already queued are retried; until one succeeds, a
	// repeated call may get Unknown.
	Unrecorded Kind = "unrecorded"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	defaultPartitions = 64
	defaultRetention  = 24 * time.Hour
	// defaultWriteInterval and defaultPartitions limit the writes of the whole
	// fleet: 64 partitions / 250 ms = 256 writes per second. The service handles
	// several hundred.
	defaultWriteInterval     = 250 * time.Millisecond
	defaultInProgressTimeout = 15 * time.Minute
	defaultMaximumBodyBytes  = 2 << 10
	defaultMaximumPending    = 4096
	// maximumBackoff bounds the delay between retries while the service fails.
	maximumBackoff = 2 * time.Second
	// storeCallTimeout bounds one call to the key-value service.
	storeCallTimeout = 2 * time.Second
	// idleTimeout is how long the records of an idle partition stay in memory.
	idleTimeout = time.Minute
	// maximumStartedAttempts bounds the started attempts that one partition keeps
	// in memory after its records are freed, at about 100 bytes each.
	maximumStartedAttempts = 4096
	// maximumKeyBytes bounds a workspace name and an idempotency key, each.
	maximumKeyBytes = 256
	// maximumHeaderBytes bounds the recorded headers of one outcome in total.
	maximumHeaderBytes = 512
)

// Options configure a Ledger.
type Options struct {
	Store       store.Store
	Environment string
	// Partitions is the number of key-value entries; 0: 64. All hosts of an
	// environment must use the same number.
	Partitions int
	// Retention is how long outcomes are kept; 0: 24 hours.
	Retention time.Duration
	// WriteInterval is the minimum time between two writes of one partition; 0:
	// 250 ms. The write rate is at most Partitions / WriteInterval.
	WriteInterval time.Duration
	// InProgressTimeout is how long a call of this process is reported as in
	// progress; after that it is reported as unknown. 0: 15 minutes.
	InProgressTimeout time.Duration
	// MaximumBodyBytes is the largest response body that is recorded; 0: 2 KiB.
	MaximumBodyBytes int
	// RecordedHeaders are the names of the response headers that are recorded;
	// nil: Content-Type and Location.
	RecordedHeaders []string
	// MaximumPending is the maximum number of queued changes of one partition; 0:
	// 4096.
	MaximumPending int
	// Random is the source of jitter; nil: seeded from the runtime.
	Random *rand.Rand
	// Logger receives the ledger's events; nil discards them.
	Logger *event.Logger
}

// Key identifies a call that must run at most once.
type Key struct {
	Workspace      string   `cbor:"workspace"`
	IdempotencyKey string   `cbor:"idempotency"`
	BodyHash       [32]byte `cbor:"body_hash"`
	// Attempt is the token of one call of Begin. Begin generates one if it is
	// empty; a caller that sets it must use a new one for each Begin. Finish and
	// Abandon take the token of the decision; if it is empty, they apply to the
	// attempt with this key that is running in this process.
	Attempt string `cbor:"attempt"`
}

// Outcome is the recorded response of a call.
type Outcome struct {
	Status  int               `cbor:"status"`
	Headers map[string]string `cbor:"headers,omitempty"`
	Body    []byte            `cbor:"body,omitempty"`
	// Trimmed says that the body or some headers were dropped: they were too large,
	// or the partition needed the space.
	Trimmed bool `cbor:"trimmed,omitempty"`
}

// Verdict tells the caller of Begin how to handle a call.
type Verdict string

// The verdicts.
const (
	// Run: the intent is recorded; the caller of Begin may dispatch the call.
	Run Verdict = "run"
	// Recorded: the call ran; the decision holds its outcome.
	Recorded Verdict = "recorded"
	// Unknown: the call was started earlier and no outcome is known; it must not
	// run again.
	Unknown Verdict = "unknown"
	// InProgress: a call with the same key is running in this process.
	InProgress Verdict = "in_progress"
)

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict `cbor:"verdict"`
	// Outcome is set for Recorded.
	Outcome Outcome `cbor:"outcome"`
	// Attempt is the token to pass to Finish or Abandon after Run.
	Attempt string `cbor:"attempt"`
	// DispatchUntil is the time until which the call may be dispatched after Run.
	// Hosts check it right before the dispatch, because they may have been paused.
	DispatchUntil time.Time `cbor:"until"`
}

// Ledger decides whether calls may run and records their outcomes. Several hosts
// may use the same partition: compare-and-swap on its revision keeps them
// consistent, so that correctness does not depend on ownership.
type Ledger struct {
	options    Options
	ctx        context.Context
	stop       context.CancelFunc
	mutex      sync.Mutex
	random     *rand.Rand
	partitions []*partition
}

// New returns a ledger. It fails with Invalid if a required option is missing.
func New(options Options) (*Ledger, error) {
	if options.Store == nil {
		return nil, fault.Field("ledger.new", Invalid, "store", "is missing")
	}
	if options.Environment == "" {
		return nil, fault.Field("ledger.new", Invalid, "environment", "is empty")
	}
	options = options.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	ledger := &Ledger{options: options, ctx: ctx, stop: stop, random: options.Random}
	for number := range options.Partitions {
		ledger.partitions = append(ledger.partitions, newPartition(ledger, number))
	}
	return ledger, nil
}

func (options Options) withDefaults() Options {
	setDefault(&options.Partitions, defaultPartitions)
	setDefault(&options.Retention, defaultRetention)
	setDefault(&options.WriteInterval, defaultWriteInterval)
	setDefault(&options.InProgressTimeout, defaultInProgressTimeout)
	setDefault(&options.MaximumBodyBytes, defaultMaximumBodyBytes)
	setDefault(&options.MaximumPending, defaultMaximumPending)
	if options.RecordedHeaders == nil {
		options.RecordedHeaders = []string{"Content-Type", "Location"}
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	return options
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close stops the writers. Changes that are not written yet are lost.
func (ledger *Ledger) Close() { ledger.stop() }

// Begin decides whether a call may run. It waits for the service until the
// context ends. Its errors are of kinds NotRun, Full, Mismatch and Invalid; after
// any of them, this call has not run and must not be dispatched.
func (ledger *Ledger) Begin(ctx context.Context, key Key) (Decision, error) {
	if err := validateKey(key); err != nil {
		return Decision{}, err
	}
	if key.Attempt == "" {
		key.Attempt = NewAttempt()
	}
	change := newChange(begin, key)
	partition := ledger.partitionOf(change.keyHash)
	if !partition.enqueue(change) {
		return Decision{}, fault.New("ledger.begin", Full, "too many calls wait for the ledger")
	}
	select {
	case <-change.done:
		return partition.takeDecision(ctx, change)
	case <-ctx.Done():
	case <-ledger.ctx.Done():
	}
	return partition.cancel(change)
}

// Finish records the outcome of a call that ran. It fails with Unrecorded if the
// context ends first, and the ledger then keeps trying, or if too many changes
// are queued.
func (ledger *Ledger) Finish(ctx context.Context, key Key, outcome Outcome) error {
	if err := validateKey(key); err != nil {
		return err
	}
	change := newChange(finish, key)
	change.outcome = ledger.truncateOutcome(outcome)
	return ledger.submit(ctx, change)
}

// Abandon removes the intent of a call that is certain not to have run, so that
// its key may be used again. Without a token it fails with Invalid if no call with
// the key is running in this process.
func (ledger *Ledger) Abandon(ctx context.Context, key Key) error {
	if err := validateKey(key); err != nil {
		return err
	}
	change := newChange(abandon, key)
	if key.Attempt == "" {
		attempt, running := ledger.partitionOf(change.keyHash).runningAttempt(change.keyHash)
		if !running {
			return fault.Field("ledger.abandon", Invalid, "attempt", "no call with this key runs here")
		}
		change.attempt = attempt
	}
	return ledger.submit(ctx, change)
}

// submit queues a change and waits until it is recorded.
func (ledger *Ledger) submit(ctx context.Context, change *change) error {
	if !ledger.partitionOf(change.keyHash).enqueue(change) {
		return fault.New("ledger.settle", Unrecorded, "too many changes wait for the ledger")
	}
	select {
	case <-change.done:
		return change.err
	case <-ctx.Done():
		return fault.Wrap("ledger.settle", Unrecorded, ctx.Err())
	case <-ledger.ctx.Done():
		return fault.Wrap("ledger.settle", Unrecorded, ledger.ctx.Err())
	}
}

// truncateOutcome returns the part of an outcome that fits the limits for
// recording.
func (ledger *Ledger) truncateOutcome(outcome Outcome) *Outcome {
	recorded := &Outcome{Status: outcome.Status, Headers: map[string]string{}, Trimmed: outcome.Trimmed}
	size := 0
	for _, name := range ledger.options.RecordedHeaders {
		value, present := outcome.Headers[name]
		if !present {
			continue
		}
		if size += len(name) + len(value); size > maximumHeaderBytes {
			recorded.Trimmed = true
			break
		}
		recorded.Headers[name] = value
	}
	if len(outcome.Body) > ledger.options.MaximumBodyBytes {
		recorded.Trimmed = true
		return recorded
	}
	recorded.Body = outcome.Body
	return recorded
}

// Partition returns the name of the key's partition. Callers use it to choose the
// host that owns the partition.
func (ledger *Ledger) Partition(key Key) string {
	return ledger.partitionOf(hashKey(key)).key
}

// partitionOf returns the partition that stores a key.
func (ledger *Ledger) partitionOf(id keyHash) *partition {
	return ledger.partitions[binary.BigEndian.Uint64(id[:8])%uint64(len(ledger.partitions))]
}

// jitter returns a random duration between half of span and span.
func (ledger *Ledger) jitter(span time.Duration) time.Duration {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return span/2 + time.Duration(ledger.random.Int64N(int64(span/2)+1))
}

// NewAttempt returns a random token that identifies one attempt.
func NewAttempt() string {
	var token [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// hashKey hashes a workspace and an idempotency key. The length prefix prevents
// different pairs from giving the same input.
func hashKey(key Key) keyHash {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(key.Workspace), key.Workspace, key.IdempotencyKey))
	return keyHash(sum[:16])
}

// validateKey rejects keys with empty or oversized fields.
func validateKey(key Key) error {
	fields := []struct{ name, value string }{{"workspace", key.Workspace}, {"idempotency", key.IdempotencyKey}}
	for _, field := range fields {
		if field.value == "" {
			return fault.Field("ledger.check", Invalid, field.name, "it is empty")
		}
		if len(field.value) > maximumKeyBytes {
			return fault.Field("ledger.check", Invalid, field.name, "it is longer than 256 bytes")
		}
	}
	if len(key.Attempt) > maximumAttemptBytes {
		return fault.Field("ledger.check", Invalid, "attempt", "it is longer than 64 bytes")
	}
	return nil
}
