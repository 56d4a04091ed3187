package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/host"
)

// view holds values derived from the records. It is recomputed after a change.
type view struct {
	valid bool
	// relays are the relays and liveCounts the numbers of live hosts, by failure domain.
	relays     map[string][]string
	liveCounts map[string]int
	// digests are the digests of the live hosts by failure domain; digest covers all of
	// them.
	digests map[string]uint64
	digest  uint64
	// remoteDomains are the other failure domains with live hosts; localNames are the
	// other live hosts of the own one.
	remoteDomains []string
	localNames    []string
	liveCount     int
}

// currentView returns the view of the current records.
func (member *Member) currentView() *view {
	if member.view.valid {
		return &member.view
	}
	next := view{valid: true, relays: map[string][]string{}, liveCounts: map[string]int{}, digests: map[string]uint64{}}
	best := map[string]*topRelays{}
	add := func(entry host.Host, hashes hostHashes) {
		domain := entry.FailureDomain
		next.liveCounts[domain]++
		next.digests[domain] ^= hashes.fingerprint
		next.digest ^= hashes.fingerprint
		next.liveCount++
		if best[domain] == nil {
			best[domain] = &topRelays{}
		}
		best[domain].insert(entry, hashes.score)
	}
	add(member.self, hashHost(member.self))
	for _, entry := range member.order {
		if !entry.live() {
			continue
		}
		add(entry.host, entry.hashes())
		if member.isLocal(entry.host) {
			next.localNames = append(next.localNames, entry.host.Name)
		}
	}
	for domain, relays := range best {
		next.relays[domain] = relays.names()
		if domain != member.self.FailureDomain {
			next.remoteDomains = append(next.remoteDomains, domain)
		}
	}
	slices.Sort(next.remoteDomains)
	member.view = next
	return &member.view
}

// topRelays holds the best relayCount hosts of a failure domain in the order of
// host.Rank. It avoids sorting all hosts after each change.
type topRelays [relayCount]struct {
	name  string
	score uint64
}

// insert adds a host if it can be a relay and ranks among the best.
func (relays *topRelays) insert(entry host.Host, score uint64) {
	if entry.State != host.Alive && entry.State != host.Suspect {
		return
	}
	name := entry.Name
	for i := range relays {
		slot := &relays[i]
		if slot.name == "" || score > slot.score || (score == slot.score && name < slot.name) {
			slot.name, name = name, slot.name
			slot.score, score = score, slot.score
		}
		if name == "" {
			return
		}
	}
}

// names returns the names of the hosts, best first.
func (relays *topRelays) names() []string {
	names := make([]string, 0, relayCount)
	for _, slot := range relays {
		if slot.name != "" {
			names = append(names, slot.name)
		}
	}
	return names
}

// hostHashes are the hashes of a host that the view needs. They depend only on its
// record.
type hostHashes struct {
	fingerprint uint64
	score       uint64
}

// hashHost computes the hashes of a host.
func hashHost(entry host.Host) hostHashes {
	return hostHashes{fingerprint(entry), host.Score("relay/"+entry.FailureDomain, entry.Name)}
}

// hashes returns the cached hashes of a record and recomputes them if the host has
// changed.
func (record *record) hashes() hostHashes {
	if record.hashedHost != record.host {
		record.hashedHost, record.cachedHashes = record.host, hashHost(record.host)
	}
	return record.cachedHashes
}

// fingerprint returns the hash of a host that is XORed into the digests. A suspected host
// counts as alive: suspicions are disseminated on their own and are short-lived.
func fingerprint(entry host.Host) uint64 {
	state := entry.State
	if state == host.Suspect {
		state = host.Alive
	}
	text := entry.Name + "\x00" + strconv.FormatUint(entry.Incarnation, 36) + "\x00" + string(state)
	return xxhash.Sum64String(text)
}

// isLocal reports whether a host is in the own failure domain.
func (member *Member) isLocal(other host.Host) bool {
	return other.FailureDomain == member.self.FailureDomain
}

// isDomainRelay reports whether a host is a relay of its failure domain.
func (member *Member) isDomainRelay(other host.Host) bool {
	return slices.Contains(member.currentView().relays[other.FailureDomain], other.Name)
}

// actsAsRelay reports whether this host acts as a relay. If all hosts of a domain are
// leaving it has no relays, and each host acts as one.
func (member *Member) actsAsRelay() bool {
	relays := member.currentView().relays[member.self.FailureDomain]
	return len(relays) == 0 || slices.Contains(relays, member.self.Name)
}

// send fills in the common fields of a message and appends it to the outbox.
func (member *Member) send(to host.Host, message Message, now time.Time) {
	message.From, message.To = member.self.Name, to.Name
	message.Incarnation, message.State = member.self.Incarnation, member.self.State
	message.MembersDigest = member.currentView().digest
	entry := member.records[to.Name]
	if entry != nil {
		message.KnownIncarnation = entry.host.Incarnation
	}
	if entry == nil || entry.ackedIncarnation != member.self.Incarnation || member.possiblyDown(to.Name) {
		self := member.self
		message.Sender = &self
	}
	if message.Kind != Records {
		message.Deltas = member.selectDeltas(to, now)
	}
	member.outbox = append(member.outbox, envelope{to: to, message: message})
}

// selectDeltas returns the deltas for a message to a host: first the one about the
// receiver if its own view of itself may differ, so that it can refute or adopt it, then
// this host's own record, then the least transmitted updates.
func (member *Member) selectDeltas(to host.Host, now time.Time) []Delta {
	var deltas []Delta
	if entry := member.records[to.Name]; entry != nil && entry.differsFromSelfReport() {
		deltas = append(deltas, member.deltaOf(entry))
	}
	local := member.isLocal(to)
	if left := member.selfTransmitsLeft(local); *left > 0 {
		*left--
		deltas = append(deltas, newDelta(member.self, "", true))
	}
	for _, entry := range member.leastTransmitted(to.Name, local, now) {
		*entry.transmitsLeft(local)--
		deltas = append(deltas, member.deltaOf(entry))
	}
	return deltas
}

// leastTransmitted returns up to deltasPerMessage updates with the most transmissions
// left. It maintains a short sorted list instead of sorting all updates, because every
// host has an update after a mass restart.
func (member *Member) leastTransmitted(to string, local bool, now time.Time) []*record {
	var selected []*record
	for _, entry := range member.updates {
		left := *entry.transmitsLeft(local)
		if left <= 0 || now.Sub(entry.changedAt) >= disseminationPeriod || entry.host.Name == to {
			continue
		}
		if len(selected) == deltasPerMessage && left <= *selected[deltasPerMessage-1].transmitsLeft(local) {
			continue
		}
		position := len(selected)
		for position > 0 && left > *selected[position-1].transmitsLeft(local) {
			position--
		}
		selected = slices.Insert(selected, position, entry)
		selected = selected[:min(deltasPerMessage, len(selected))]
	}
	return selected
}

// differsFromSelfReport reports whether the record may differ from the host's own view of
// itself: the host is dead, suspected, or leaving without having said so.
func (record *record) differsFromSelfReport() bool {
	unannounced := record.host.State == host.Leaving && record.reportedState != host.Leaving
	return unannounced || !record.live() || !record.suspectedAt.IsZero()
}

// transmitsLeft returns the counter of the record's remaining transmissions.
func (record *record) transmitsLeft(local bool) *int {
	if local {
		return &record.localTransmits
	}
	return &record.remoteTransmits
}

// selfTransmitsLeft returns the counter of the own record's remaining transmissions.
func (member *Member) selfTransmitsLeft(local bool) *int {
	if local {
		return &member.selfLocalTransmits
	}
	return &member.selfRemoteTransmits
}

// deltaOf returns a record as a delta. Its accuser is this host if it is among the
// accusers, otherwise the first one.
func (member *Member) deltaOf(entry *record) Delta {
	accuser := ""
	if len(entry.accusers) > 0 && !entry.suspectedAt.IsZero() {
		accuser = entry.accusers[0]
		if slices.Contains(entry.accusers, member.self.Name) {
			accuser = member.self.Name
		}
	}
	full := entry.host.State == host.Alive || entry.host.State == host.Leaving
	return newDelta(entry.host, accuser, full)
}

// flush passes the queued messages to Options.Send without holding the mutex.
func (member *Member) flush() {
	member.mutex.Lock()
	outbox := member.outbox
	member.outbox = nil
	member.mutex.Unlock()
	for _, queued := range outbox {
		member.options.Send(queued.to, member.piggyback(queued))
	}
}

// piggyback adds the applied generation, the document digest and the extra payload to a
// message.
func (member *Member) piggyback(queued envelope) Message {
	message := queued.message
	if member.options.Applied != nil {
		message.Generation, message.Document = member.options.Applied()
	}
	if member.options.Extra != nil && message.Kind == Ping && member.isLocal(queued.to) {
		message.Extra = member.options.Extra(queued.to)
	}
	return message
}

// Receive processes a message. from is the sender's name as authenticated by the link; a
// message under another name is dropped. An empty from is not checked.
func (member *Member) Receive(from string, message Message) {
	if from != "" && from != message.From {
		return
	}
	member.mutex.Lock()
	sender, known := member.receive(message, time.Now())
	member.mutex.Unlock()
	if known && member.options.OnMessage != nil {
		member.options.OnMessage(sender, message)
	}
	member.flush()
}

// receive processes a message and returns the sender's record.
func (member *Member) receive(message Message, now time.Time) (host.Host, bool) {
	if (message.To != "" && message.To != member.self.Name) || message.From == member.self.Name {
		return host.Host{}, false
	}
	if message.KnownIncarnation > member.self.Incarnation {
		// An earlier process under this name had a clock that was ahead.
		member.raiseIncarnation(message.KnownIncarnation)
	}
	if message.Sender != nil && message.Sender.Name == message.From {
		member.merge(newDelta(*message.Sender, "", true), now)
	}
	member.merge(Delta{Name: message.From, Incarnation: message.Incarnation, State: message.State}, now)
	for _, delta := range message.Deltas {
		member.merge(delta, now)
	}
	sender := member.records[message.From]
	if sender == nil {
		return host.Host{}, false
	}
	sender.ackedIncarnation, sender.reportedState = message.KnownIncarnation, message.State
	if message.Incarnation == sender.host.Incarnation {
		sender.heardAt = now
	}
	member.respond(sender, message, now)
	member.syncIfDifferent(sender, message, now)
	return sender.host, true
}

// respond performs the action that the kind of a message requires.
func (member *Member) respond(sender *record, message Message, now time.Time) {
	switch message.Kind {
	case Ping:
		member.send(sender.host, Message{Kind: Ack, Requester: message.Requester}, now)
	case Ack:
		if requester := member.records[message.Requester]; requester != nil {
			member.send(requester.host, Message{Kind: IndirectAck, Target: message.From}, now)
		}
	case PingRequest:
		if target := member.records[message.Target]; target != nil {
			member.send(target.host, Message{Kind: Ping, Requester: message.From}, now)
		}
	case IndirectAck:
		if target := member.records[message.Target]; target != nil {
			target.indirectAckAt = now
		}
	case Sync:
		member.sendRecords(sender.host, message.DomainDigests, now)
	}
}

// syncIfDifferent requests records if the sender's digest differs. The first sync is not
// delayed, so that a new host learns of the others from the first answer it gets.
func (member *Member) syncIfDifferent(sender *record, message Message, now time.Time) {
	if message.Kind != Ping && message.Kind != Ack {
		return
	}
	view := member.currentView()
	if message.MembersDigest == view.digest || now.Sub(member.lastSync) < syncPeriod {
		return
	}
	member.lastSync = now
	member.options.Log.Log(event.MemberSynced(), logrus.Fields{"with": sender.host.Name})
	member.send(sender.host, Message{Kind: Sync, DomainDigests: view.digests}, now)
}

// sendRecords sends the records of the failure domains whose digests differ, including
// those of dead hosts. A death that is no longer disseminated is marked as stale, and the
// receiver probes the host itself: a region that was partitioned must not declare its own
// hosts dead because the other side reports it.
func (member *Member) sendRecords(to host.Host, digests map[string]uint64, now time.Time) {
	view := member.currentView()
	differs := func(domain string) bool { return digests[domain] != view.digests[domain] }
	var deltas []Delta
	if differs(member.self.FailureDomain) {
		deltas = append(deltas, newDelta(member.self, "", true))
	}
	for _, entry := range member.order {
		if entry.host.Name == to.Name || !differs(entry.host.FailureDomain) {
			continue
		}
		delta := newDelta(entry.host, "", true)
		delta.Stale = !entry.live() && now.Sub(entry.changedAt) >= disseminationPeriod
		deltas = append(deltas, delta)
	}
	for batch := range slices.Chunk(deltas, recordsPerMessage) {
		member.send(to, Message{Kind: Records, Deltas: batch}, now)
	}
}
