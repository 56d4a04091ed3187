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

// view is what follows from the records; it is worked out again after a change.
type view struct {
	valid bool
	// relays are the relays by failure domain; counts the live hosts.
	relays map[string][]string
	counts map[string]int
	// digests cover the live hosts by failure domain, digest all of them.
	digests map[string]uint64
	digest  uint64
	// domains are the other failure domains, local the own domain's live hosts.
	domains []string
	local   []string
	live    int
}

// current returns the view of the present records.
func (member *Member) current() *view {
	if member.view.valid {
		return &member.view
	}
	next := view{valid: true, relays: map[string][]string{}, counts: map[string]int{}, digests: map[string]uint64{}}
	best := map[string]*podium{}
	add := func(entry host.Host, marks marks) {
		domain := entry.FailureDomain
		next.counts[domain]++
		next.digests[domain] ^= marks.fingerprint
		next.digest ^= marks.fingerprint
		next.live++
		if best[domain] == nil {
			best[domain] = &podium{}
		}
		best[domain].offer(entry, marks.score)
	}
	add(member.self, markOf(member.self))
	for _, entry := range member.order {
		if !entry.live() {
			continue
		}
		add(entry.host, entry.marks())
		if member.local(entry.host) {
			next.local = append(next.local, entry.host.Name)
		}
	}
	for domain, podium := range best {
		next.relays[domain] = podium.names()
		if domain != member.self.FailureDomain {
			next.domains = append(next.domains, domain)
		}
	}
	slices.Sort(next.domains)
	member.view = next
	return &member.view
}

// podium holds the best relayCount hosts of a failure domain, in the order of
// host.Rank. It saves sorting all hosts after each change.
type podium [relayCount]struct {
	name  string
	score uint64
}

// offer takes a host that may be a relay.
func (podium *podium) offer(entry host.Host, score uint64) {
	if entry.State != host.Alive && entry.State != host.Suspect {
		return
	}
	name := entry.Name
	for i := range podium {
		place := &podium[i]
		if place.name == "" || score > place.score || (score == place.score && name < place.name) {
			place.name, name = name, place.name
			place.score, score = score, place.score
		}
		if name == "" {
			return
		}
	}
}

// names returns the hosts, best first.
func (podium *podium) names() []string {
	names := make([]string, 0, relayCount)
	for _, place := range podium {
		if place.name != "" {
			names = append(names, place.name)
		}
	}
	return names
}

// marks are what the view needs of a host; they depend on its record only.
type marks struct {
	fingerprint uint64
	score       uint64
}

// markOf works out the marks of a host.
func markOf(entry host.Host) marks {
	return marks{fingerprint(entry), host.Score("relay/"+entry.FailureDomain, entry.Name)}
}

// marks returns the marks of a record, which are worked out again after a
// change of the host.
func (record *record) marks() marks {
	if record.marked != record.host {
		record.marked, record.kept = record.host, markOf(record.host)
	}
	return record.kept
}

// fingerprint returns the part of one host in the digest. A suspected host
// counts as alive: suspicions pass on their own and soon end.
func fingerprint(entry host.Host) uint64 {
	state := entry.State
	if state == host.Suspect {
		state = host.Alive
	}
	text := entry.Name + "\x00" + strconv.FormatUint(entry.Incarnation, 36) + "\x00" + string(state)
	return xxhash.Sum64String(text)
}

// local reports whether a host is of the own failure domain.
func (member *Member) local(other host.Host) bool {
	return other.FailureDomain == member.self.FailureDomain
}

// relayOf reports whether a host is a relay of its failure domain.
func (member *Member) relayOf(other host.Host) bool {
	return slices.Contains(member.current().relays[other.FailureDomain], other.Name)
}

// isRelay reports whether this host is a relay. A domain whose hosts are all
// leaving has none, and each of them acts as one.
func (member *Member) isRelay() bool {
	relays := member.current().relays[member.self.FailureDomain]
	return len(relays) == 0 || slices.Contains(relays, member.self.Name)
}

// send completes a message and puts it into the outbox.
func (member *Member) send(to host.Host, message Message, now time.Time) {
	message.From, message.To = member.self.Name, to.Name
	message.Incarnation, message.State = member.self.Incarnation, member.self.State
	message.Members = member.current().digest
	entry := member.records[to.Name]
	if entry != nil {
		message.Known = entry.host.Incarnation
	}
	if entry == nil || entry.known != member.self.Incarnation || member.doubted(to.Name) {
		self := member.self
		message.Sender = &self
	}
	if message.Kind != Records {
		message.Deltas = member.pickDeltas(to, now)
	}
	member.outbox = append(member.outbox, envelope{to: to, message: message})
}

// pickDeltas returns the reports to pass on to a host: first the one about the
// host itself if it sees itself differently, so that it can refute or adopt
// it, then the least told.
func (member *Member) pickDeltas(to host.Host, now time.Time) []Delta {
	var deltas []Delta
	if entry := member.records[to.Name]; entry != nil && entry.disputed() {
		deltas = append(deltas, member.report(entry))
	}
	local := member.local(to)
	if left := member.selfLeft(local); *left > 0 {
		*left--
		deltas = append(deltas, describe(member.self, "", true))
	}
	for _, entry := range member.leastTold(to.Name, local, now) {
		*entry.left(local)--
		deltas = append(deltas, member.report(entry))
	}
	return deltas
}

// leastTold returns the news that were passed on least, at most deltaLimit. It
// keeps a short ordered list, because all hosts are news after a mass restart.
func (member *Member) leastTold(to string, local bool, now time.Time) []*record {
	var picked []*record
	for _, entry := range member.news {
		left := *entry.left(local)
		if left <= 0 || now.Sub(entry.changed) >= newsPeriod || entry.host.Name == to {
			continue
		}
		if len(picked) == deltaLimit && left <= *picked[deltaLimit-1].left(local) {
			continue
		}
		at := len(picked)
		for at > 0 && left > *picked[at-1].left(local) {
			at--
		}
		picked = slices.Insert(picked, at, entry)
		picked = picked[:min(deltaLimit, len(picked))]
	}
	return picked
}

// disputed reports whether the host would not say of itself what the record
// says.
func (record *record) disputed() bool {
	unaware := record.host.State == host.Leaving && record.said != host.Leaving
	return unaware || !record.live() || !record.suspected.IsZero()
}

// left returns the counter of how often the record is still passed on.
func (record *record) left(local bool) *int {
	if local {
		return &record.local
	}
	return &record.foreign
}

// selfLeft returns the counter of how often the own record is still sent.
func (member *Member) selfLeft(local bool) *int {
	if local {
		return &member.selfLocal
	}
	return &member.selfForeign
}

// report returns a record as a delta, with this host as the accuser if it is
// one of them.
func (member *Member) report(entry *record) Delta {
	by := ""
	if len(entry.accusers) > 0 && !entry.suspected.IsZero() {
		by = entry.accusers[0]
		if slices.Contains(entry.accusers, member.self.Name) {
			by = member.self.Name
		}
	}
	whole := entry.host.State == host.Alive || entry.host.State == host.Leaving
	return describe(entry.host, by, whole)
}

// flush hands the outbox to the options' Send, without the lock.
func (member *Member) flush() {
	member.mutex.Lock()
	outbox := member.outbox
	member.outbox = nil
	member.mutex.Unlock()
	for _, letter := range outbox {
		member.options.Send(letter.to, member.load(letter))
	}
}

// load adds what rides on a message.
func (member *Member) load(letter envelope) Message {
	message := letter.message
	if member.options.Applied != nil {
		message.Generation, message.Document = member.options.Applied()
	}
	if member.options.Extra != nil && message.Kind == Ping && member.local(letter.to) {
		message.Extra = member.options.Extra(letter.to)
	}
	return message
}

// Receive takes a message. The link's authenticated name of the sender is
// from; a message under another name is dropped. An empty from is not checked.
func (member *Member) Receive(from string, message Message) {
	if from != "" && from != message.From {
		return
	}
	member.mutex.Lock()
	sender, known := member.receive(message, time.Now())
	member.mutex.Unlock()
	if known && member.options.Heard != nil {
		member.options.Heard(sender, message)
	}
	member.flush()
}

// receive takes a message and returns the sender's record.
func (member *Member) receive(message Message, now time.Time) (host.Host, bool) {
	if (message.To != "" && message.To != member.self.Name) || message.From == member.self.Name {
		return host.Host{}, false
	}
	if message.Known > member.self.Incarnation {
		// An earlier process under this name had a clock that was ahead.
		member.raise(message.Known)
	}
	if message.Sender != nil && message.Sender.Name == message.From {
		member.merge(describe(*message.Sender, "", true), now)
	}
	member.merge(Delta{Name: message.From, Incarnation: message.Incarnation, State: message.State}, now)
	for _, delta := range message.Deltas {
		member.merge(delta, now)
	}
	sender := member.records[message.From]
	if sender == nil {
		return host.Host{}, false
	}
	sender.known, sender.said = message.Known, message.State
	if message.Incarnation == sender.host.Incarnation {
		sender.heard = now
	}
	member.answer(sender, message, now)
	member.compare(sender, message, now)
	return sender.host, true
}

// answer does what a message asks for.
func (member *Member) answer(sender *record, message Message, now time.Time) {
	switch message.Kind {
	case Ping:
		member.send(sender.host, Message{Kind: Ack, For: message.For}, now)
	case Ack:
		if asker := member.records[message.For]; asker != nil {
			member.send(asker.host, Message{Kind: Checked, Target: message.From}, now)
		}
	case Check:
		if target := member.records[message.Target]; target != nil {
			member.send(target.host, Message{Kind: Ping, For: message.From}, now)
		}
	case Checked:
		if target := member.records[message.Target]; target != nil {
			target.vouched = now
		}
	case Sync:
		member.sendRecords(sender.host, message.Domains, now)
	}
}

// compare asks for records when a digest differs. The first sync follows at
// once, so that a new host learns the others from its first answer.
func (member *Member) compare(sender *record, message Message, now time.Time) {
	if message.Kind != Ping && message.Kind != Ack {
		return
	}
	view := member.current()
	if message.Members == view.digest || now.Sub(member.lastSync) < syncPeriod {
		return
	}
	member.lastSync = now
	member.options.Log.Log(event.MemberSynced(), logrus.Fields{"with": sender.host.Name})
	member.send(sender.host, Message{Kind: Sync, Domains: view.digests}, now)
}

// sendRecords sends the records of the failure domains whose digests differ:
// the live hosts and the dead, whose death is marked once it is no news. The
// receiver then checks those itself: a region that was cut off must not take
// its own hosts for dead on the word of the other side.
func (member *Member) sendRecords(to host.Host, digests map[string]uint64, now time.Time) {
	view := member.current()
	differs := func(domain string) bool { return digests[domain] != view.digests[domain] }
	var deltas []Delta
	if differs(member.self.FailureDomain) {
		deltas = append(deltas, describe(member.self, "", true))
	}
	for _, entry := range member.order {
		if entry.host.Name == to.Name || !differs(entry.host.FailureDomain) {
			continue
		}
		delta := describe(entry.host, "", true)
		delta.Stale = !entry.live() && now.Sub(entry.changed) >= newsPeriod
		deltas = append(deltas, delta)
	}
	for batch := range slices.Chunk(deltas, recordLimit) {
		member.send(to, Message{Kind: Records, Deltas: batch}, now)
	}
}
