// Package spread brings the generation in force, and its document, to all
// hosts. The relays of each failure domain watch the key-value service; other
// hosts learn from heartbeats that they are behind and are repaired by peers,
// also while the service is down.
//
// Repair is symmetric and randomised: each host that sees a peer behind sends
// what the peer lacks after a random delay, and drops the repair when it learns
// that another host was first. The idea is from "A Robust Causal Order
// Protocol" (Lima, Macedo).
package spread

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/heads"
	"primrosegw/core/host"
)

// Spread is one host's part in the dissemination. Its methods may be called at
// the same time.
type Spread struct {
	options Options
	// applying serialises Apply; it is taken before mutex.
	applying sync.Mutex

	mutex sync.Mutex
	// current is in force on this host; refused is the highest generation that
	// Apply rejected.
	current heads.Heads
	refused uint64
	// local is the number of live hosts in the own failure domain when current
	// was applied.
	local int
	// cache are the latest documents, the one in force last.
	cache []page
	// seen is what other hosts last told of themselves, by name.
	seen map[string]observation
	// repairs are the repairs that wait for their delay, by name.
	repairs map[string]repair
	// pending are newer heads whose document is missing here.
	pending *pending
	// asking is the generation that Confirmed waits for.
	asking              uint64
	askUntil, askNext   time.Time
	asked               map[string]time.Time
	lastPeer, lastStore time.Time
	outbox              []envelope
	wake                chan struct{}
}

// page is a document in the cache.
type page struct {
	digest string
	packed []byte
}

// observation is what a host last told of itself.
type observation struct {
	host       host.Host
	generation uint64
}

// repair is a repair to be sent, or one that was sent and is not confirmed.
type repair struct {
	due time.Time
	// tries counts the repairs of the present generation sent to the host.
	tries int
	// sent says that due is the end of the wait for a sign of success.
	sent bool
	// resting says that the wait is over and the next heartbeat decides.
	resting bool
}

// pending are heads that wait for their document.
type pending struct {
	heads heads.Heads
	// due is when the document is asked for again.
	due time.Time
}

// envelope is a message on its way out.
type envelope struct {
	to      host.Host
	message Message
}

// New returns a spread with nothing in force. It fails with Invalid, naming
// the option.
func New(options Options) (*Spread, error) {
	options, err := options.check()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Spread{
		options: options, seen: map[string]observation{}, repairs: map[string]repair{}, asked: map[string]time.Time{},
		lastPeer: now, lastStore: now, wake: make(chan struct{}, 1),
	}, nil
}

// Run drives the timers until the context ends.
func (spread *Spread) Run(ctx context.Context) {
	for {
		spread.Tick()
		timer := time.NewTimer(min(idlePeriod, time.Until(spread.Next())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-spread.wake:
			timer.Stop()
		}
	}
}

// Tick sends what is due now.
func (spread *Spread) Tick() {
	now := time.Now()
	spread.mutex.Lock()
	spread.sendRepairs(now)
	spread.seekDocument(now)
	spread.sendAsks(now)
	spread.mutex.Unlock()
	spread.flush()
}

// Next returns when Tick has something to do again, an hour ahead if nothing
// is waiting.
func (spread *Spread) Next() time.Time {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	next := time.Now().Add(time.Hour)
	earlier := func(due time.Time) {
		if due.Before(next) {
			next = due
		}
	}
	for _, repair := range spread.repairs {
		if !repair.resting {
			earlier(repair.due)
		}
	}
	if spread.pending != nil {
		earlier(spread.pending.due)
	}
	if time.Now().Before(spread.askUntil) {
		earlier(spread.askNext)
	}
	return next
}

// Applied returns the generation in force and its document's digest, as they
// ride on heartbeats.
func (spread *Spread) Applied() (generation uint64, digest string) {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	return spread.current.Generation, spread.current.Production.Digest
}

// Current returns the heads in force, trimmed.
func (spread *Spread) Current() heads.Heads {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	return spread.current
}

// Holds reports whether a document is at hand, so that it need not be read
// from the service.
func (spread *Spread) Holds(digest string) bool {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	return spread.find(digest) != nil
}

// Reached notes that the key-value service answered.
func (spread *Spread) Reached() {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	spread.lastStore = time.Now()
}

// Isolated reports whether this host has heard neither from any peer nor from
// the key-value service for more than 60 s. It then takes no new work, because
// a recall may have passed it by.
func (spread *Spread) Isolated() bool {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	return time.Since(spread.lastPeer) > isolationBound && time.Since(spread.lastStore) > isolationBound
}

// Advance takes heads that were read from the service, with their document or
// nil if that could not be read; it is then asked of peers.
func (spread *Spread) Advance(next heads.Heads, document []byte) {
	spread.Reached()
	if document != nil && heads.Digest(document) == next.Production.Digest {
		spread.store(next.Production.Digest, document)
	} else {
		document = nil
	}
	spread.take(next.HostView(), host.Host{}, document)
	spread.flush()
}

// Observe takes what a heartbeat of another host tells.
func (spread *Spread) Observe(from host.Host, generation uint64) {
	spread.mutex.Lock()
	spread.observe(from, generation, time.Now())
	spread.mutex.Unlock()
	spread.flush()
}

// observe notes a host's generation and plans or drops its repair.
func (spread *Spread) observe(from host.Host, generation uint64, now time.Time) {
	spread.lastPeer = now
	spread.seen[from.Name] = observation{from, generation}
	if generation >= spread.current.Generation {
		delete(spread.repairs, from.Name)
		return
	}
	if spread.options.Policy == RelayOnly && !spread.IsRelay() {
		return
	}
	if spread.leaves(from) {
		return
	}
	spread.plan(from.Name, now)
}

// leaves reports whether this host leaves a repair to others this time. The
// more hosts a failure domain has, the more of them see the same host behind;
// about repairers of them plan its repair.
func (spread *Spread) leaves(behind host.Host) bool {
	if behind.FailureDomain != spread.options.Self().FailureDomain || spread.IsRelay() {
		return false
	}
	return spread.local > repairers && spread.options.Random.IntN(spread.local) >= repairers
}

// plan puts a repair into the queue unless it is there.
func (spread *Spread) plan(name string, now time.Time) {
	planned, found := spread.repairs[name]
	if found && !planned.resting {
		return
	}
	spread.repairs[name] = repair{due: now.Add(spread.delay()), tries: planned.tries}
	spread.notify()
}

// delay returns the delay before a repair. The first relay repairs at once.
// Where only relays repair, the others stand by; else the delay is random, and
// long enough that the first relay's repair cancels it as a rule.
func (spread *Spread) delay() time.Duration {
	self := spread.options.Self()
	relays := spread.options.Relays(self.FailureDomain)
	switch {
	case len(relays) > 0 && relays[0] == self.Name:
		return 0
	case spread.options.Policy == RelayOnly:
		return repairAgain
	default:
		return repairFloor + time.Duration(spread.options.Random.Int64N(int64(repairDelay)))
	}
}

// IsRelay reports whether this host is a relay of its failure domain, which
// watches the service.
func (spread *Spread) IsRelay() bool {
	self := spread.options.Self()
	return slices.Contains(spread.options.Relays(self.FailureDomain), self.Name)
}

// take puts newer heads in force, or has their document fetched. The sender is
// zero if the heads come from the service; document is nil unless it is at hand
// unpacked.
func (spread *Spread) take(next heads.Heads, sender host.Host, document []byte) {
	spread.applying.Lock()
	defer spread.applying.Unlock()
	spread.mutex.Lock()
	if next.Generation <= max(spread.current.Generation, spread.refused) {
		spread.mutex.Unlock()
		return
	}
	digest := next.Production.Digest
	packed := spread.find(digest)
	if digest != "" && packed == nil {
		spread.await(next, sender, time.Now())
		spread.mutex.Unlock()
		return
	}
	spread.mutex.Unlock()
	var err error
	if document == nil {
		document, err = unpack(packed, digest)
	}
	if err == nil {
		err = spread.options.Apply(next, document)
	}
	spread.enforce(next, err)
}

// enforce notes that a generation was applied, or why it was not, and announces
// it. The caller holds applying.
func (spread *Spread) enforce(next heads.Heads, err error) {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	if spread.pending != nil && spread.pending.heads.Generation <= next.Generation {
		spread.pending = nil
	}
	if err != nil {
		spread.refused = next.Generation
		spread.options.Log.Log(event.SpreadRejected(), logrus.Fields{
			"generation": next.Generation, "digest": next.Production.Digest, "error": err.Error(),
		})
		return
	}
	previous := spread.current.Generation
	spread.current = next
	spread.options.Log.Log(event.SpreadApplied(), logrus.Fields{
		"generation": next.Generation, "previous": previous, "digest": next.Production.Digest,
	})
	spread.announce(time.Now())
}

// announce tells the hosts that were seen ahead that their repair is not
// needed, and as a relay plans the repair of the own failure domain. Repairs
// planned for an older generation stay planned: those hosts are behind still.
// Tries count anew.
func (spread *Spread) announce(now time.Time) {
	self := spread.options.Self()
	relays := spread.options.Relays(self.FailureDomain)
	relay := slices.Contains(relays, self.Name)
	hosts := spread.options.Hosts()
	spread.forget(hosts)
	for name, planned := range spread.repairs {
		planned.tries = 0
		spread.repairs[name] = planned
	}
	spread.local = 0
	for _, other := range hosts {
		if other.State != host.Dead && other.FailureDomain == self.FailureDomain {
			spread.local++
		}
		if other.State == host.Dead || other.Name == self.Name {
			continue
		}
		observation := spread.seen[other.Name]
		ahead := observation.generation >= spread.current.Generation
		local := other.FailureDomain == self.FailureDomain
		if ahead || (local && slices.Contains(relays, other.Name)) {
			spread.send(other, Message{Kind: Receipt})
		}
		if relay && local && !ahead {
			spread.plan(other.Name, now)
		}
	}
}

// forget drops what is kept of hosts that the membership no longer knows.
func (spread *Spread) forget(hosts []host.Host) {
	known := make(map[string]bool, len(hosts))
	for _, other := range hosts {
		known[other.Name] = true
	}
	maps.DeleteFunc(spread.seen, func(name string, _ observation) bool { return !known[name] })
	maps.DeleteFunc(spread.repairs, func(name string, _ repair) bool { return !known[name] })
}

// notify makes Run look at its timers.
func (spread *Spread) notify() {
	select {
	case spread.wake <- struct{}{}:
	default:
	}
}
