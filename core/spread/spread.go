// Package spread distributes the generation in force, and its document, to all
// hosts. The relays of each failure domain watch the key-value service. Other
// hosts learn from heartbeats that they are behind and are repaired by peers,
// even while the service is unavailable.
//
// Repair is symmetric and randomised: each host that sees a peer behind sends
// the missing heads and document after a random delay, and cancels the repair
// when it learns that another host was first. The idea is from "A Robust Causal
// Order Protocol" (Lima, Macedo).
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

// Distributor is one host's part in the dissemination. Its methods are safe for
// concurrent use.
type Distributor struct {
	options Options
	// applyMutex serialises calls of Apply. It is acquired before mutex.
	applyMutex sync.Mutex

	mutex sync.Mutex
	// current is in force on this host. rejected is the highest generation that
	// was rejected on this host.
	current  heads.Heads
	rejected uint64
	// localLiveHosts is the number of live hosts in this host's failure domain
	// when current was applied.
	localLiveHosts int
	// cache holds recent documents, oldest first. The one in force is never
	// evicted.
	cache []cachedDocument
	// reports holds the latest report of each host, by name.
	reports map[string]hostReport
	// repairs holds the repairs that are scheduled or not yet confirmed, by
	// host name.
	repairs map[string]repairState
	// pending holds newer heads whose document is missing on this host.
	pending *pendingHeads
	// queriedGeneration is the generation that Confirmed waits for.
	queriedGeneration                 uint64
	queryUntil, nextQuery             time.Time
	lastQueried                       map[string]time.Time
	lastPeerContact, lastStoreContact time.Time
	outbox                            []outgoingMessage
	wake                              chan struct{}
}

// cachedDocument is a compressed document in the cache.
type cachedDocument struct {
	digest     string
	compressed []byte
}

// hostReport is the host record and applied generation last reported by a host.
type hostReport struct {
	host       host.Host
	generation uint64
}

// repairState is a repair that is scheduled, or was sent and is not confirmed.
type repairState struct {
	due time.Time
	// attempts counts the repairs sent to the host for the current generation.
	attempts int
	// awaitingResult reports that a repair was sent, and due is the end of the
	// wait for its confirmation.
	awaitingResult bool
	// awaitingHeartbeat reports that the wait timed out. The next heartbeat
	// that shows the host behind schedules a new repair.
	awaitingHeartbeat bool
}

// pendingHeads are heads that wait for their document.
type pendingHeads struct {
	heads heads.Heads
	// due is when the document is requested again.
	due time.Time
}

// outgoingMessage is a message queued for sending.
type outgoingMessage struct {
	to      host.Host
	message Message
}

// New returns a distributor with nothing in force. It fails with Invalid,
// naming the missing option.
func New(options Options) (*Distributor, error) {
	options, err := options.validate()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Distributor{
		options: options, reports: map[string]hostReport{}, repairs: map[string]repairState{}, lastQueried: map[string]time.Time{},
		lastPeerContact: now, lastStoreContact: now, wake: make(chan struct{}, 1),
	}, nil
}

// Run drives the timers until the context ends.
func (distributor *Distributor) Run(ctx context.Context) {
	for {
		distributor.Tick()
		timer := time.NewTimer(min(maxIdleWait, time.Until(distributor.NextDeadline())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-distributor.wake:
			timer.Stop()
		}
	}
}

// Tick sends all messages that are due.
func (distributor *Distributor) Tick() {
	now := time.Now()
	distributor.mutex.Lock()
	distributor.sendRepairs(now)
	distributor.retryDocumentRequest(now)
	distributor.sendStatusRequests(now)
	distributor.mutex.Unlock()
	distributor.flushOutbox()
}

// NextDeadline returns when Tick has to run again, or one hour from now if
// nothing is scheduled.
func (distributor *Distributor) NextDeadline() time.Time {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	next := time.Now().Add(time.Hour)
	earlier := func(due time.Time) {
		if due.Before(next) {
			next = due
		}
	}
	for _, repair := range distributor.repairs {
		if !repair.awaitingHeartbeat {
			earlier(repair.due)
		}
	}
	if distributor.pending != nil {
		earlier(distributor.pending.due)
	}
	if time.Now().Before(distributor.queryUntil) {
		earlier(distributor.nextQuery)
	}
	return next
}

// Applied returns the generation in force and its document's digest, which
// heartbeats carry.
func (distributor *Distributor) Applied() (generation uint64, digest string) {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	return distributor.current.Generation, distributor.current.Production.Digest
}

// Current returns the heads in force, trimmed.
func (distributor *Distributor) Current() heads.Heads {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	return distributor.current
}

// HasDocument reports whether a document is cached, so that it need not be read
// from the key-value service.
func (distributor *Distributor) HasDocument(digest string) bool {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	return distributor.findCompressed(digest) != nil
}

// RecordStoreContact records that the key-value service responded.
func (distributor *Distributor) RecordStoreContact() {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	distributor.lastStoreContact = time.Now()
}

// Isolated reports whether this host has had no contact with any peer or with
// the key-value service for more than 60 s. An isolated host accepts no new
// work, because it may have missed a recall.
func (distributor *Distributor) Isolated() bool {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	return time.Since(distributor.lastPeerContact) > isolationTimeout && time.Since(distributor.lastStoreContact) > isolationTimeout
}

// UpdateFromStore processes heads that were read from the key-value service and
// their document. If the document is nil or doesn't match its digest, it is
// requested from peers unless it is cached.
func (distributor *Distributor) UpdateFromStore(next heads.Heads, document []byte) {
	distributor.RecordStoreContact()
	if document != nil && heads.Digest(document) == next.Production.Digest {
		distributor.cacheDocument(next.Production.Digest, document)
	} else {
		document = nil
	}
	distributor.applyOrFetch(next.HostView(), host.Host{}, document)
	distributor.flushOutbox()
}

// RecordHeartbeat processes the generation reported in another host's
// heartbeat.
func (distributor *Distributor) RecordHeartbeat(from host.Host, generation uint64) {
	distributor.mutex.Lock()
	distributor.recordGeneration(from, generation, time.Now())
	distributor.mutex.Unlock()
	distributor.flushOutbox()
}

// recordGeneration records a host's applied generation and schedules or cancels
// its repair.
func (distributor *Distributor) recordGeneration(from host.Host, generation uint64, now time.Time) {
	distributor.lastPeerContact = now
	distributor.reports[from.Name] = hostReport{from, generation}
	if generation >= distributor.current.Generation {
		delete(distributor.repairs, from.Name)
		return
	}
	if distributor.options.Policy == RelayOnly && !distributor.IsRelay() {
		return
	}
	if distributor.skipsRepair(from) {
		return
	}
	distributor.scheduleRepair(from.Name, now)
}

// skipsRepair reports whether this host leaves a repair to other hosts this
// time. In a large failure domain many hosts see the same host behind. Besides
// the relays, each schedules the repair with a probability that makes about
// expectedRepairers of them do so.
func (distributor *Distributor) skipsRepair(behind host.Host) bool {
	if behind.FailureDomain != distributor.options.Self().FailureDomain || distributor.IsRelay() {
		return false
	}
	return distributor.localLiveHosts > expectedRepairers &&
		distributor.options.Random.IntN(distributor.localLiveHosts) >= expectedRepairers
}

// scheduleRepair schedules a repair unless one is scheduled or awaiting its
// result.
func (distributor *Distributor) scheduleRepair(name string, now time.Time) {
	scheduled, found := distributor.repairs[name]
	if found && !scheduled.awaitingHeartbeat {
		return
	}
	distributor.repairs[name] = repairState{due: now.Add(distributor.repairDelay()), attempts: scheduled.attempts}
	distributor.wakeRun()
}

// repairDelay returns the delay before a repair. The first relay sends repairs
// immediately. Under RelayOnly the other relays are standbys that wait for
// initialRepairTimeout. Otherwise the delay is random, and usually long enough
// for the first relay's repair to cancel this one.
func (distributor *Distributor) repairDelay() time.Duration {
	self := distributor.options.Self()
	relays := distributor.options.Relays(self.FailureDomain)
	switch {
	case len(relays) > 0 && relays[0] == self.Name:
		return 0
	case distributor.options.Policy == RelayOnly:
		return initialRepairTimeout
	default:
		return minRepairDelay + time.Duration(distributor.options.Random.Int64N(int64(maxRepairJitter)))
	}
}

// IsRelay reports whether this host is a relay of its failure domain. Relays
// watch the key-value service.
func (distributor *Distributor) IsRelay() bool {
	self := distributor.options.Self()
	return slices.Contains(distributor.options.Relays(self.FailureDomain), self.Name)
}

// applyOrFetch applies newer heads, or requests their document if it is
// missing. The sender is zero if the heads come from the key-value service. The
// document is nil unless the caller has it decompressed.
func (distributor *Distributor) applyOrFetch(next heads.Heads, sender host.Host, document []byte) {
	distributor.applyMutex.Lock()
	defer distributor.applyMutex.Unlock()
	distributor.mutex.Lock()
	if next.Generation <= max(distributor.current.Generation, distributor.rejected) {
		distributor.mutex.Unlock()
		return
	}
	digest := next.Production.Digest
	compressed := distributor.findCompressed(digest)
	if digest != "" && compressed == nil {
		distributor.awaitDocument(next, sender, time.Now())
		distributor.mutex.Unlock()
		return
	}
	distributor.mutex.Unlock()
	var err error
	if document == nil {
		document, err = decompress(compressed, digest)
	}
	if err == nil {
		err = distributor.options.Apply(next, document)
	}
	distributor.recordResult(next, err)
}

// recordResult records that a generation was applied or rejected, and announces
// an applied one. The caller holds applyMutex.
func (distributor *Distributor) recordResult(next heads.Heads, err error) {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	if distributor.pending != nil && distributor.pending.heads.Generation <= next.Generation {
		distributor.pending = nil
	}
	if err != nil {
		distributor.rejected = next.Generation
		distributor.options.Log.Log(event.SpreadRejected(), logrus.Fields{
			"generation": next.Generation, "digest": next.Production.Digest, "error": err.Error(),
		})
		return
	}
	previous := distributor.current.Generation
	distributor.current = next
	distributor.options.Log.Log(event.SpreadApplied(), logrus.Fields{
		"generation": next.Generation, "previous": previous, "digest": next.Production.Digest,
	})
	distributor.announceApplied(time.Now())
}

// announceApplied sends a status report to the hosts known to have this
// generation and to the local relays, so that they cancel the repair of this
// host. A relay also schedules repairs for its failure domain. Repairs
// scheduled for an older generation remain, because those hosts are still
// behind, but their attempt counts are reset.
func (distributor *Distributor) announceApplied(now time.Time) {
	self := distributor.options.Self()
	relays := distributor.options.Relays(self.FailureDomain)
	relay := slices.Contains(relays, self.Name)
	hosts := distributor.options.Hosts()
	distributor.pruneUnknownHosts(hosts)
	for name, scheduled := range distributor.repairs {
		scheduled.attempts = 0
		distributor.repairs[name] = scheduled
	}
	distributor.localLiveHosts = 0
	for _, other := range hosts {
		if other.State != host.Dead && other.FailureDomain == self.FailureDomain {
			distributor.localLiveHosts++
		}
		if other.State == host.Dead || other.Name == self.Name {
			continue
		}
		report := distributor.reports[other.Name]
		ahead := report.generation >= distributor.current.Generation
		local := other.FailureDomain == self.FailureDomain
		if ahead || (local && slices.Contains(relays, other.Name)) {
			distributor.enqueue(other, Message{Kind: StatusReport})
		}
		if relay && local && !ahead {
			distributor.scheduleRepair(other.Name, now)
		}
	}
}

// pruneUnknownHosts removes the state of hosts that are no longer in the
// membership.
func (distributor *Distributor) pruneUnknownHosts(hosts []host.Host) {
	known := make(map[string]bool, len(hosts))
	for _, other := range hosts {
		known[other.Name] = true
	}
	maps.DeleteFunc(distributor.reports, func(name string, _ hostReport) bool { return !known[name] })
	maps.DeleteFunc(distributor.repairs, func(name string, _ repairState) bool { return !known[name] })
}

// wakeRun makes Run check its timers.
func (distributor *Distributor) wakeRun() {
	select {
	case distributor.wake <- struct{}{}:
	default:
	}
}
