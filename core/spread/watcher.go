package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/store"
)

const (
	// relayPeriod is how often a host that is no relay looks whether it has
	// become one.
	relayPeriod = time.Second
	// recheckPeriod is how often a relay reads the heads although its watch is
	// silent: a watch that broke without an error would go unnoticed, and a
	// read proves that the service is there.
	recheckPeriod = 20 * time.Second
	// backoffLeast and backoffMost bound the pause after a failed call.
	backoffLeast = 250 * time.Millisecond
	backoffMost  = 5 * time.Second
	// callTimeout bounds one read.
	callTimeout = 3 * time.Second
)

// Watcher follows the heads in the key-value service while this host is a
// relay, and hands them to its Spread.
type Watcher struct {
	options WatcherOptions
	backoff time.Duration
}

// WatcherOptions are the dependencies of a Watcher.
type WatcherOptions struct {
	Spread      *Spread
	Client      *heads.Client
	Store       store.Store
	Environment string
	// Random spreads the reads of relays after an outage.
	Random *rand.Rand
}

// NewWatcher returns a watcher. It fails with Invalid, naming the option.
func NewWatcher(options WatcherOptions) (*Watcher, error) {
	missing := ""
	switch {
	case options.Spread == nil:
		missing = "spread"
	case options.Client == nil:
		missing = "client"
	case options.Store == nil:
		missing = "store"
	case options.Environment == "":
		missing = "environment"
	case options.Random == nil:
		missing = "random"
	}
	if missing != "" {
		return nil, fault.Field("spread.new_watcher", Invalid, missing, "is missing")
	}
	return &Watcher{options: options, backoff: backoffLeast}, nil
}

// Run follows the heads until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !watcher.options.Spread.IsRelay() {
			wait(ctx, relayPeriod)
			continue
		}
		if err := watcher.follow(ctx); err != nil {
			// The pause is random so that relays don't return all at once.
			pause := watcher.backoff/2 + time.Duration(watcher.options.Random.Int64N(int64(watcher.backoff)))
			wait(ctx, pause)
			watcher.backoff = min(2*watcher.backoff, backoffMost)
		}
	}
}

// follow reads the heads and watches them until this host stops being a relay,
// the watch breaks or it is time to read again.
func (watcher *Watcher) follow(ctx context.Context) error {
	revision, err := watcher.read(ctx)
	if err != nil {
		return err
	}
	watcher.backoff = backoffLeast
	ctx, cancel := context.WithTimeout(ctx, recheckPeriod)
	defer cancel()
	events, err := watcher.options.Store.Watch(ctx, heads.Key(watcher.options.Environment), revision+1)
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, open := <-events:
			if !open {
				return nil
			}
			if event.Err != nil {
				return event.Err
			}
			watcher.accept(ctx, event)
		}
		if !watcher.options.Spread.IsRelay() {
			return nil
		}
	}
}

// read reads the heads and returns their revision.
func (watcher *Watcher) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, revision, err := watcher.options.Client.Status(ctx)
	if err != nil {
		return 0, err
	}
	watcher.options.Spread.Reached()
	return revision, watcher.advance(ctx, value)
}

// accept takes one event of the watch. A value that cannot be read is left to
// the next read, which reports it.
func (watcher *Watcher) accept(ctx context.Context, event store.Event) {
	watcher.options.Spread.Reached()
	if event.Deleted || event.Entry.Key != heads.Key(watcher.options.Environment) {
		return
	}
	if value, err := heads.Parse(event.Entry.Value); err == nil {
		_ = watcher.advance(ctx, value)
	}
}

// advance reads the document of newer heads and hands both over. Without the
// document the heads are handed over too: a peer may have it.
func (watcher *Watcher) advance(ctx context.Context, value heads.Heads) error {
	spread := watcher.options.Spread
	generation, _ := spread.Applied()
	digest := value.Production.Digest
	if value.Generation <= generation {
		return nil
	}
	if digest == "" || spread.Holds(digest) {
		spread.Advance(value, nil)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	document, err := watcher.options.Client.Document(ctx, digest)
	spread.Advance(value, document)
	return err
}

// wait sleeps for a time or until the context ends.
func wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
