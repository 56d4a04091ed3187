// Package ledger lets work that must not be repeated run at most once. It
// records an intent before a call is dispatched and the outcome after it, in the
// platform's key-value service.
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

// Kind is the sort of a ledger error.
type Kind string

// The kinds of ledger errors.
const (
	// NotRun: no intent could be recorded until the deadline; this call does not
	// run. An earlier call with the same key that this host does not know of
	// may have run.
	NotRun Kind = "not_run"
	// Full: the partition takes no new intents; this call does not run.
	Full Kind = "full"
	// Mismatch: the key was used with another body.
	Mismatch Kind = "mismatch"
	// Invalid: the key is empty or too long.
	Invalid Kind = "invalid"
	// Unrecorded: the outcome or the abandonment is not known to be recorded.
	// The ledger keeps trying; a repeated call may get Unknown.
	Unrecorded Kind = "unrecorded"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	defaultPartitions = 64
	defaultRetention  = 24 * time.Hour
	// defaultInterval and defaultPartitions bound the writes of the whole fleet:
	// 64 partitions / 250 ms = 256 writes a second, of several hundred that the
	// service takes.
	defaultInterval = 250 * time.Millisecond
	// defaultRunning is the longest time that a call is reported as in progress.
	defaultRunning = 15 * time.Minute
	defaultBody    = 2 << 10
	// defaultPending bounds the waiting changes of one partition.
	defaultPending = 4096
	// maximumBackoff bounds the pause between tries of a failing service.
	maximumBackoff = 2 * time.Second
	// serviceTimeout bounds one call to the service.
	serviceTimeout = 2 * time.Second
	// idleTime is how long a partition without calls is kept in memory.
	idleTime = time.Minute
	// rememberLimit bounds the attempts of one partition that are remembered
	// without the book, at about 100 bytes each.
	rememberLimit = 4096
	// keyLimit bounds a workspace name and an idempotency key, in bytes.
	keyLimit = 256
	// headerLimit bounds the kept headers of an outcome, in bytes.
	headerLimit = 512
)

// Options configure a Ledger.
type Options struct {
	Store       store.Store
	Environment string
	// Partitions is the number of key-value entries; 0: 64. All hosts of an
	// environment use the same number.
	Partitions int
	// Retention is how long outcomes are kept; 0: 24 hours.
	Retention time.Duration
	// Interval is the shortest time between two writes of one partition; 0: 250
	// ms. Partitions / Interval is the write budget.
	Interval time.Duration
	// Running is the longest time that a call of this process is reported as in
	// progress; later it is unknown. 0: 15 minutes.
	Running time.Duration
	// BodyBytes is the largest body that an outcome keeps; 0: 2 KiB.
	BodyBytes int
	// Headers are the names of the headers that an outcome keeps; nil:
	// Content-Type and Location.
	Headers []string
	// Pending bounds the waiting changes of one partition; 0: 4096.
	Pending int
	// Random draws the jitter; nil: seeded from the runtime.
	Random *rand.Rand
	// Logger gets the ledger's events; nil: none.
	Logger *event.Logger
}

// Key identifies a piece of work that must not be repeated.
type Key struct {
	Workspace   string   `cbor:"workspace"`
	Idempotency string   `cbor:"idempotency"`
	BodyHash    [32]byte `cbor:"body_hash"`
	// Attempt is the token of one Begin. Begin draws one if it is empty; a
	// caller that sets it must use a new one for each Begin. Finish and Abandon
	// get the token of the decision; if it is empty, they take the attempt that
	// runs in this process.
	Attempt string `cbor:"attempt"`
}

// Outcome is what became of a call.
type Outcome struct {
	Status  int               `cbor:"status"`
	Headers map[string]string `cbor:"headers,omitempty"`
	Body    []byte            `cbor:"body,omitempty"`
	// Trimmed says that the body or headers were too large to keep.
	Trimmed bool `cbor:"trimmed,omitempty"`
}

// Verdict says what to do with a call.
type Verdict string

// The verdicts.
const (
	// Run: the intent is recorded; the caller of Begin runs the call now.
	Run Verdict = "run"
	// Recorded: the call ran; the decision holds its outcome.
	Recorded Verdict = "recorded"
	// Unknown: the call was begun earlier and has no outcome; it is not run again.
	Unknown Verdict = "unknown"
	// InProgress: a call with the same key is running in this process.
	InProgress Verdict = "in_progress"
)

// Decision is the answer to Begin.
type Decision struct {
	Verdict Verdict `cbor:"verdict"`
	// Outcome is set for Recorded.
	Outcome Outcome `cbor:"outcome"`
	// Attempt is the token to finish or abandon a Run with.
	Attempt string `cbor:"attempt"`
	// Until is the time until which a Run may be dispatched. A host that was
	// paused checks it right before the dispatch.
	Until time.Time `cbor:"until"`
}

// Ledger decides and records for the partitions that this host is asked for. It
// needs no ownership to be safe: the revision of a partition is the fence.
type Ledger struct {
	options    Options
	ctx        context.Context
	stop       context.CancelFunc
	mutex      sync.Mutex
	random     *rand.Rand
	partitions []*partition
}

// New returns a ledger. It fails with Invalid when an option is missing.
func New(options Options) (*Ledger, error) {
	if options.Store == nil {
		return nil, fault.Field("ledger.new", Invalid, "store", "it is missing")
	}
	if options.Environment == "" {
		return nil, fault.Field("ledger.new", Invalid, "environment", "it is empty")
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
	setDefault(&options.Interval, defaultInterval)
	setDefault(&options.Running, defaultRunning)
	setDefault(&options.BodyBytes, defaultBody)
	setDefault(&options.Pending, defaultPending)
	if options.Headers == nil {
		options.Headers = []string{"Content-Type", "Location"}
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

// Close stops the writers. Changes that are not written are lost.
func (ledger *Ledger) Close() { ledger.stop() }

// Begin decides whether a call may run. It waits for the service until the
// context ends. Its errors are of kinds NotRun, Full, Mismatch and Invalid; after
// each of them the call has not run and may not be run.
func (ledger *Ledger) Begin(ctx context.Context, key Key) (Decision, error) {
	if err := check(key); err != nil {
		return Decision{}, err
	}
	if key.Attempt == "" {
		key.Attempt = NewAttempt()
	}
	change := newChange(begin, key)
	partition := ledger.partition(change.id)
	if !partition.add(change) {
		return Decision{}, fault.New("ledger.begin", Full, "too many calls wait for the ledger")
	}
	select {
	case <-change.done:
		return partition.claim(ctx, change)
	case <-ctx.Done():
	case <-ledger.ctx.Done():
	}
	return partition.cancel(change)
}

// Finish records the outcome of a call that ran. Its error is of kind
// Unrecorded when the context ends first; the ledger then keeps trying.
func (ledger *Ledger) Finish(ctx context.Context, key Key, outcome Outcome) error {
	if err := check(key); err != nil {
		return err
	}
	change := newChange(finish, key)
	change.outcome = ledger.keep(outcome)
	return ledger.settle(ctx, change)
}

// Abandon removes the intent of a call that certainly did not run, so that its
// key may be used again. Without a token it fails with Invalid when no call with
// the key runs in this process.
func (ledger *Ledger) Abandon(ctx context.Context, key Key) error {
	if err := check(key); err != nil {
		return err
	}
	change := newChange(abandon, key)
	if key.Attempt == "" {
		attempt, running := ledger.partition(change.id).attempt(change.id)
		if !running {
			return fault.Field("ledger.abandon", Invalid, "attempt", "no call with this key runs here")
		}
		change.attempt = attempt
	}
	return ledger.settle(ctx, change)
}

// settle waits until a change is recorded.
func (ledger *Ledger) settle(ctx context.Context, change *change) error {
	if !ledger.partition(change.id).add(change) {
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

// keep returns the part of an outcome that is recorded.
func (ledger *Ledger) keep(outcome Outcome) *Outcome {
	kept := &Outcome{Status: outcome.Status, Headers: map[string]string{}, Trimmed: outcome.Trimmed}
	size := 0
	for _, name := range ledger.options.Headers {
		value, present := outcome.Headers[name]
		if !present {
			continue
		}
		if size += len(name) + len(value); size > headerLimit {
			kept.Trimmed = true
			break
		}
		kept.Headers[name] = value
	}
	if len(outcome.Body) > ledger.options.BodyBytes {
		kept.Trimmed = true
		return kept
	}
	kept.Body = outcome.Body
	return kept
}

// Partition returns the name of the partition of a key, for the choice of the
// host that owns it.
func (ledger *Ledger) Partition(key Key) string {
	return ledger.partition(identify(key)).key
}

// partition returns the partition of an identity.
func (ledger *Ledger) partition(id identity) *partition {
	return ledger.partitions[binary.BigEndian.Uint64(id[:8])%uint64(len(ledger.partitions))]
}

// jitter returns a random time between half of a span and the whole.
func (ledger *Ledger) jitter(span time.Duration) time.Duration {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return span/2 + time.Duration(ledger.random.Int64N(int64(span/2)+1))
}

// NewAttempt returns a token that no other call has.
func NewAttempt() string {
	var token [16]byte
	// The reader of crypto/rand never fails.
	_, _ = crand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// identify hashes a workspace and an idempotency key. The length keeps the two
// apart.
func identify(key Key) identity {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(key.Workspace), key.Workspace, key.Idempotency))
	return identity(sum[:16])
}

// check refuses keys that cannot be recorded.
func check(key Key) error {
	fields := []struct{ name, value string }{{"workspace", key.Workspace}, {"idempotency", key.Idempotency}}
	for _, field := range fields {
		if field.value == "" {
			return fault.Field("ledger.check", Invalid, field.name, "it is empty")
		}
		if len(field.value) > keyLimit {
			return fault.Field("ledger.check", Invalid, field.name, "it is longer than 256 bytes")
		}
	}
	if len(key.Attempt) > attemptBytes {
		return fault.Field("ledger.check", Invalid, "attempt", "it is longer than 64 bytes")
	}
	return nil
}
