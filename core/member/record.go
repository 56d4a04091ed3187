package member

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/host"
)

// record is what is known of another host.
type record struct {
	host host.Host
	// changed is when the state or incarnation last changed here.
	changed time.Time
	// heard is when the last message straight from the host came in.
	heard time.Time
	// vouched is when another host last reported an answer from it.
	vouched time.Time
	// said is the host's state in its own last message.
	said host.State
	// known is the incarnation of this host that the other says it knows.
	known uint64
	// suspected is when the present suspicion began, zero if there is none.
	suspected time.Time
	accusers  []string
	// reminded is when this host last pinged the suspected host because of it.
	reminded time.Time
	// kept are the marks of marked, which is the host when they were worked out.
	marked host.Host
	kept   marks
	// queued says that the record is among the news; local and foreign count how often the record is still passed on.
	queued         bool
	local, foreign int
}

// live reports whether the host is not known to be dead.
func (record *record) live() bool { return record.host.State != host.Dead }

// rank orders states of one incarnation: a later one replaces an earlier one.
func rank(state host.State) int {
	switch state {
	case host.Suspect:
		return 1
	case host.Leaving:
		return 2
	case host.Dead:
		return 3
	default:
		return 0
	}
}

// byName orders hosts.
func byName(a, b host.Host) int { return strings.Compare(a.Name, b.Name) }

// merge takes a report about a host from anywhere.
func (member *Member) merge(delta Delta, now time.Time) {
	if delta.Name == member.self.Name {
		member.mergeSelf(delta)
		return
	}
	known := member.records[delta.Name]
	switch {
	case known == nil:
		member.mergeUnknown(delta, now)
	case delta.Incarnation > known.host.Incarnation:
		member.mergeNewer(known, delta, now)
	case delta.Incarnation == known.host.Incarnation:
		member.mergeSame(known, delta, now)
	}
}

// mergeSelf refutes reports that this host is suspected or dead, and adopts
// "leaving". A report with a higher incarnation is of an earlier process under
// this name whose clock was ahead.
func (member *Member) mergeSelf(delta Delta) {
	if delta.Incarnation < member.self.Incarnation {
		return
	}
	if delta.State == host.Leaving && delta.Incarnation == member.self.Incarnation {
		member.leave()
	}
	accused := delta.By != "" || delta.State == host.Suspect || delta.State == host.Dead
	if accused || delta.Incarnation > member.self.Incarnation {
		member.raise(delta.Incarnation)
		member.options.Log.Log(event.MemberRefuted(), logrus.Fields{
			"reported": delta.State, "by": delta.By, "incarnation": member.self.Incarnation,
		})
	}
}

// raise moves this host to an incarnation above the given one.
func (member *Member) raise(above uint64) {
	member.self.Incarnation = max(above, member.self.Incarnation) + 1
	member.announceSelf()
}

// announceSelf queues the own record for everybody.
func (member *Member) announceSelf() {
	member.selfLocal, member.selfForeign = member.transmits(), member.transmits()
	member.notify()
}

// mergeUnknown adds a host. A report of death leaves a tombstone; a suspicion
// of a host whose address is unknown is of no use.
func (member *Member) mergeUnknown(delta Delta, now time.Time) {
	if delta.Name == "" || (delta.LinkAddress == "" && delta.State != host.Dead) {
		return
	}
	if !member.makeRoom() {
		member.options.Log.Log(event.MemberFull(), logrus.Fields{"name": delta.Name})
		return
	}
	entry := &record{host: delta.host(), changed: now}
	member.records[delta.Name] = entry
	at, _ := slices.BinarySearchFunc(member.order, delta.Name, func(other *record, name string) int {
		return strings.Compare(other.host.Name, name)
	})
	member.order = slices.Insert(member.order, at, entry)
	if entry.host.State == host.Suspect {
		member.suspect(entry, delta.By, now)
	}
	member.logState(entry)
	member.notify()
	if !delta.Stale {
		member.pass(entry)
	}
}

// mergeNewer replaces a record by one of a later incarnation.
func (member *Member) mergeNewer(known *record, delta Delta, now time.Time) {
	next := delta.host()
	if next.LinkAddress == "" {
		old := known.host
		next.Region, next.FailureDomain = old.Region, old.FailureDomain
		next.LinkAddress, next.EntryAddress = old.LinkAddress, old.EntryAddress
	}
	known.host = next
	known.changed = now
	known.known = 0
	known.suspected, known.accusers = time.Time{}, nil
	if delta.State == host.Suspect || delta.By != "" {
		member.suspect(known, delta.By, now)
	}
	member.logState(known)
	member.notify()
	member.pass(known)
}

// mergeSame takes a report about the incarnation that is known. Reports of
// death do not outweigh a message straight from the host: they become a
// suspicion, which the host hears of and refutes.
func (member *Member) mergeSame(known *record, delta Delta, now time.Time) {
	dead := delta.State == host.Dead
	if !known.live() || delta.Stale {
		if known.live() == dead {
			member.contest(known)
		}
		return
	}
	if dead {
		if member.trusted(known, now) {
			member.suspect(known, delta.By, now)
			return
		}
		member.declareDead(known, now)
		return
	}
	if rank(delta.State) > rank(known.host.State) && delta.State == host.Leaving {
		known.host.State = host.Leaving
		known.changed = now
		member.logState(known)
		member.notify()
		member.pass(known)
	}
	if delta.State == host.Suspect || delta.By != "" {
		member.suspect(known, delta.By, now)
	}
}

// trusted reports whether this host heard from another so lately that a report
// of its death needs more evidence.
func (member *Member) trusted(known *record, now time.Time) bool {
	if known.heard.IsZero() || now.Sub(known.heard) > trustPeriod {
		return false
	}
	return known.suspected.IsZero() || known.heard.After(known.suspected)
}

// suspect notes that a host does not answer an accuser. A leaving host stays
// leaving while it is suspected. Hosts of its failure domain tell it at once, so
// that it can refute although messages get lost.
func (member *Member) suspect(known *record, accuser string, now time.Time) {
	if known.suspected.IsZero() {
		known.suspected = now
		known.accusers = nil
		if known.host.State == host.Alive {
			known.host.State = host.Suspect
		}
		known.changed = now
		member.options.Log.Log(event.MemberSuspected(), logrus.Fields{
			"name": known.host.Name, "incarnation": known.host.Incarnation, "by": accuser,
		})
		member.wake()
		member.pass(known)
		member.remind(known, accuser, now)
	}
	if accuser == "" || slices.Contains(known.accusers, accuser) || len(known.accusers) >= accuserLimit {
		return
	}
	known.accusers = append(known.accusers, accuser)
	if len(known.accusers) <= confirmations {
		member.pass(known)
	}
}

// remind pings a suspected host of the own failure domain, or one that this
// host accuses itself. The ping carries the accusation.
func (member *Member) remind(known *record, accuser string, now time.Time) {
	known.reminded = now
	if member.local(known.host) || accuser == member.self.Name {
		member.ping(known.host, now)
	}
}

// declareDead takes a host for dead and leaves a tombstone.
func (member *Member) declareDead(known *record, now time.Time) {
	known.host.State = host.Dead
	known.changed = now
	known.suspected = time.Time{}
	delete(member.probes, known.host.Name)
	member.logState(known)
	member.notify()
	member.pass(known)
}

// expireSuspicions buries the hosts that did not refute in time. A message
// straight from the host restarts the time: it lives, and its refutation is
// under way.
func (member *Member) expireSuspicions(now time.Time) {
	for _, known := range member.order {
		if known.suspected.IsZero() || !known.live() {
			continue
		}
		if known.heard.After(known.suspected) {
			known.suspected, known.accusers = known.heard, nil
		}
		switch {
		case now.Sub(known.suspected) >= member.suspicionTime(known):
			member.declareDead(known, now)
		case now.Sub(known.reminded) >= remindPeriod:
			member.remind(known, known.firstAccuser(), now)
		}
	}
}

// firstAccuser returns the first host that found this one silent, empty if none.
func (record *record) firstAccuser() string {
	if len(record.accusers) == 0 {
		return ""
	}
	return record.accusers[0]
}

// suspicionTime returns how long a host may take to refute. It is short once
// enough hosts have found the same. Where the failure domain has one observer
// only, that one is enough, but waits longer.
func (member *Member) suspicionTime(known *record) time.Duration {
	observers := member.current().counts[known.host.FailureDomain] - 1
	switch {
	case len(known.accusers) >= confirmations:
		return suspicionShort
	case len(known.accusers) > 0 && observers < confirmations:
		return suspicionSingle
	default:
		return suspicionLong
	}
}

// expireTombstones forgets hosts that have been dead for long.
func (member *Member) expireTombstones(now time.Time) {
	member.forget(func(entry *record) bool {
		return !entry.live() && now.Sub(entry.changed) > tombstonePeriod
	})
}

// makeRoom drops the oldest tombstone when the table is full and reports
// whether there is room.
func (member *Member) makeRoom() bool {
	if len(member.records) < hostLimit {
		return true
	}
	var oldest *record
	for _, entry := range member.order {
		if !entry.live() && (oldest == nil || entry.changed.Before(oldest.changed)) {
			oldest = entry
		}
	}
	if oldest == nil {
		return false
	}
	member.forget(func(entry *record) bool { return entry == oldest })
	return true
}

// forget removes the records that a test picks.
func (member *Member) forget(test func(*record) bool) {
	member.order = slices.DeleteFunc(member.order, func(entry *record) bool {
		if !test(entry) {
			return false
		}
		delete(member.records, entry.host.Name)
		return true
	})
}

// pass queues a record for the next messages.
func (member *Member) pass(entry *record) {
	if !entry.queued {
		entry.queued = true
		member.news = append(member.news, entry)
	}
	entry.local, entry.foreign = member.transmits(), member.transmits()
}

// expireNews drops the records that were passed on often or long enough.
func (member *Member) expireNews(now time.Time) {
	member.news = slices.DeleteFunc(member.news, func(entry *record) bool {
		fresh := now.Sub(entry.changed) < newsPeriod && member.records[entry.host.Name] == entry
		entry.queued = fresh && entry.local+entry.foreign > 0
		return !entry.queued
	})
}

// transmits returns how often a change is passed on: twice the logarithm of
// the number of hosts, as SWIM needs for a report to reach all of them.
func (member *Member) transmits() int {
	return 2 * bits.Len(uint(len(member.records)+1))
}

// logState writes the event of a record's new state.
func (member *Member) logState(entry *record) {
	fields := logrus.Fields{
		"name": entry.host.Name, "incarnation": entry.host.Incarnation,
		"failure_domain": entry.host.FailureDomain, "accusers": len(entry.accusers),
	}
	switch entry.host.State {
	case host.Alive:
		member.options.Log.Log(event.MemberJoined(), fields)
	case host.Leaving:
		member.options.Log.Log(event.MemberLeaving(), fields)
	case host.Dead:
		member.options.Log.Log(event.MemberDied(), fields)
	}
}
