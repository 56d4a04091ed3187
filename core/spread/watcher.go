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
	// relayCheckInterval is how often a host that is not a relay checks whether
	// it has become one.
	relayCheckInterval = time.Second
	// rereadInterval is how often a relay reads the heads even if its watch
	// reports nothing: a watch that failed without an error would go unnoticed,
	// and a read proves that the service is reachable.
	rereadInterval = 20 * time.Second
	// minBackoff and maxBackoff limit the backoff after a failed call.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// readTimeout limits a single read.
	readTimeout = 3 * time.Second
)

// Watcher watches the heads in the key-value service while this host is a
// relay, and passes them to its Distributor.
type Watcher struct {
	options WatcherOptions
	backoff time.Duration
}

// WatcherOptions are the dependencies of a Watcher.
type WatcherOptions struct {
	Spread      *Distributor
	Client      *heads.Client
	Store       store.Store
	Environment string
	// Random adds jitter to the reads of relays after an outage.
	Random *rand.Rand
}

// NewWatcher returns a watcher. It fails with Invalid, naming the missing
// option.
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
	return &Watcher{options: options, backoff: minBackoff}, nil
}

// Run watches the heads until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !watcher.options.Spread.IsRelay() {
			sleep(ctx, relayCheckInterval)
			continue
		}
		if err := watcher.follow(ctx); err != nil {
			// The pause is random so that relays don't all reconnect at once.
			pause := watcher.backoff/2 + time.Duration(watcher.options.Random.Int64N(int64(watcher.backoff)))
			sleep(ctx, pause)
			watcher.backoff = min(2*watcher.backoff, maxBackoff)
		}
	}
}

// follow reads the heads and watches them until this host stops being a relay,
// the watch fails or the next read is due.
func (watcher *Watcher) follow(ctx context.Context) error {
	revision, err := watcher.readHeads(ctx)
	if err != nil {
		return err
	}
	watcher.backoff = minBackoff
	ctx, cancel := context.WithTimeout(ctx, rereadInterval)
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
			watcher.handleEvent(ctx, event)
		}
		if !watcher.options.Spread.IsRelay() {
			return nil
		}
	}
}

// readHeads reads and processes the heads and returns their revision.
func (watcher *Watcher) readHeads(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, revision, err := watcher.options.Client.Status(ctx)
	if err != nil {
		return 0, err
	}
	watcher.options.Spread.RecordStoreContact()
	if err := watcher.update(ctx, value); err != nil {
		return 0, err
	}
	return revision, watcher.reinstate(ctx, value)
}

// reinstate writes the heads in force again if the stored ones lack them, because the store
// was restored from a copy. The watch shows what was written.
func (watcher *Watcher) reinstate(ctx context.Context, stored heads.Heads) error {
	applied := watcher.options.Spread.Current()
	if applied.Generation == 0 || !stored.Lacks(applied) {
		return nil
	}
	_, err := watcher.options.Client.Reinstate(ctx, applied, watcher.options.Spread.Document(applied.Production.Digest))
	if fault.Is(err, heads.Conflict) {
		return nil
	}
	return err
}

// handleEvent processes one watch event. A value that cannot be parsed is
// ignored; the next read reports the error.
func (watcher *Watcher) handleEvent(ctx context.Context, event store.Event) {
	watcher.options.Spread.RecordStoreContact()
	if event.Deleted || event.Entry.Key != heads.Key(watcher.options.Environment) {
		return
	}
	if value, err := heads.Parse(event.Entry.Value); err == nil {
		_ = watcher.update(ctx, value)
	}
}

// update reads the document of newer heads and passes both to the distributor.
// If the document cannot be read, the heads are passed alone, because a peer
// may have the document.
func (watcher *Watcher) update(ctx context.Context, value heads.Heads) error {
	distributor := watcher.options.Spread
	generation, _ := distributor.Applied()
	digest := value.Production.Digest
	if value.Generation <= generation {
		return nil
	}
	if digest == "" || distributor.HasDocument(digest) {
		distributor.UpdateFromStore(value, nil)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	document, err := watcher.options.Client.Document(ctx, digest)
	distributor.UpdateFromStore(value, document)
	return err
}

// sleep waits for a period or until the context ends.
func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
