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

// record is the local knowledge of another host.
type record struct {
	host host.Host
	// changedAt is when the state or incarnation last changed in this record.
	changedAt time.Time
	// heardAt is when the last direct message from the host was received.
	heardAt time.Time
	// indirectAckAt is when the last IndirectAck for the host was received.
	indirectAckAt time.Time
	// reportedState is the host's own state in its last message.
	reportedState host.State
	// ackedIncarnation is the incarnation of this host that the other host reported to
	// know.
	ackedIncarnation uint64
	// suspectedAt is when the current suspicion began, or zero if there is none.
	suspectedAt time.Time
	accusers    []string
	// suspectPingedAt is when pingSuspect last ran for the host.
	suspectPingedAt time.Time
	// cachedHashes are the hashes of hashedHost, a copy of host at the time they were
	// computed.
	hashedHost   host.Host
	cachedHashes hostHashes
	// queued is set while the record is in Member.updates. localTransmits and
	// remoteTransmits are its remaining transmissions inside and outside the own failure
	// domain.
	queued                          bool
	localTransmits, remoteTransmits int
}

// live reports whether the host is not known to be dead.
func (record *record) live() bool { return record.host.State != host.Dead }

// statePrecedence orders the states of one incarnation: a state with a higher precedence
// overrides one with a lower.
func statePrecedence(state host.State) int {
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

// compareNames orders hosts by name.
func compareNames(a, b host.Host) int { return strings.Compare(a.Name, b.Name) }

// merge applies a report about a host, whichever host sent it.
func (member *Member) merge(delta Delta, now time.Time) {
	if delta.Name == member.self.Name {
		member.mergeSelf(delta)
		return
	}
	entry := member.records[delta.Name]
	switch {
	case entry == nil:
		member.mergeUnknown(delta, now)
	case delta.Incarnation > entry.host.Incarnation:
		member.mergeNewer(entry, delta, now)
	case delta.Incarnation == entry.host.Incarnation:
		member.mergeSame(entry, delta, now)
	}
}

// mergeSelf refutes reports that this host is suspected or dead, and adopts "leaving". A
// report with a higher incarnation is about an earlier process of this name whose clock
// was ahead.
func (member *Member) mergeSelf(delta Delta) {
	if delta.Incarnation < member.self.Incarnation {
		return
	}
	if delta.State == host.Leaving && delta.Incarnation == member.self.Incarnation {
		member.leave()
	}
	accused := delta.Accuser != "" || delta.State == host.Suspect || delta.State == host.Dead
	if accused || delta.Incarnation > member.self.Incarnation {
		member.raiseIncarnation(delta.Incarnation)
		member.options.Log.Log(event.MemberRefuted(), logrus.Fields{
			"reported": delta.State, "by": delta.Accuser, "incarnation": member.self.Incarnation,
		})
	}
}

// raiseIncarnation sets this host's incarnation above both its current value and the
// given one, and announces it.
func (member *Member) raiseIncarnation(above uint64) {
	member.self.Incarnation = max(above, member.self.Incarnation) + 1
	member.announceSelf()
}

// announceSelf queues this host's own record for dissemination.
func (member *Member) announceSelf() {
	member.selfLocalTransmits, member.selfRemoteTransmits = member.transmitLimit(), member.transmitLimit()
	member.invalidateView()
}

// mergeUnknown adds a host. A report of death adds a tombstone; any other report without
// an address is ignored because the host could not be contacted.
func (member *Member) mergeUnknown(delta Delta, now time.Time) {
	if delta.Name == "" || (delta.LinkAddress == "" && delta.State != host.Dead) {
		return
	}
	if !member.ensureCapacity() {
		member.options.Log.Log(event.MemberFull(), logrus.Fields{"name": delta.Name})
		return
	}
	entry := &record{host: delta.host(), changedAt: now}
	member.records[delta.Name] = entry
	position, _ := slices.BinarySearchFunc(member.order, delta.Name, func(other *record, name string) int {
		return strings.Compare(other.host.Name, name)
	})
	member.order = slices.Insert(member.order, position, entry)
	if entry.host.State == host.Suspect {
		member.suspect(entry, delta.Accuser, now)
	}
	member.logState(entry)
	member.invalidateView()
	if !delta.Stale {
		member.queueUpdate(entry)
	}
}

// mergeNewer replaces a record with one of a later incarnation.
func (member *Member) mergeNewer(entry *record, delta Delta, now time.Time) {
	next := delta.host()
	if next.LinkAddress == "" {
		old := entry.host
		next.Region, next.FailureDomain = old.Region, old.FailureDomain
		next.LinkAddress, next.EntryAddress = old.LinkAddress, old.EntryAddress
	}
	entry.host = next
	entry.changedAt = now
	entry.ackedIncarnation = 0
	entry.suspectedAt, entry.accusers = time.Time{}, nil
	if delta.State == host.Suspect || delta.Accuser != "" {
		member.suspect(entry, delta.Accuser, now)
	}
	member.logState(entry)
	member.invalidateView()
	member.queueUpdate(entry)
}

// mergeSame applies a report about the recorded incarnation. A report of death does not
// override a recent direct message from the host: it becomes a suspicion, which the host
// learns of and refutes.
func (member *Member) mergeSame(entry *record, delta Delta, now time.Time) {
	dead := delta.State == host.Dead
	if !entry.live() || delta.Stale {
		if entry.live() == dead {
			member.addConflict(entry)
		}
		return
	}
	if dead {
		if member.recentlyHeard(entry, now) {
			member.suspect(entry, delta.Accuser, now)
			return
		}
		member.declareDead(entry, now)
		return
	}
	if statePrecedence(delta.State) > statePrecedence(entry.host.State) && delta.State == host.Leaving {
		entry.host.State = host.Leaving
		entry.changedAt = now
		member.logState(entry)
		member.invalidateView()
		member.queueUpdate(entry)
	}
	if delta.State == host.Suspect || delta.Accuser != "" {
		member.suspect(entry, delta.Accuser, now)
	}
}

// recentlyHeard reports whether a direct message from the host arrived within
// recentContactPeriod, and since the start of any suspicion.
func (member *Member) recentlyHeard(entry *record, now time.Time) bool {
	if entry.heardAt.IsZero() || now.Sub(entry.heardAt) > recentContactPeriod {
		return false
	}
	return entry.suspectedAt.IsZero() || entry.heardAt.After(entry.suspectedAt)
}

// suspect records that a host did not answer the accuser. A leaving host keeps its state
// while it is suspected. The hosts of its failure domain ping it with the accusation at
// once, so that it can refute despite message loss.
func (member *Member) suspect(entry *record, accuser string, now time.Time) {
	if entry.suspectedAt.IsZero() {
		entry.suspectedAt = now
		entry.accusers = nil
		if entry.host.State == host.Alive {
			entry.host.State = host.Suspect
		}
		entry.changedAt = now
		member.options.Log.Log(event.MemberSuspected(), logrus.Fields{
			"name": entry.host.Name, "incarnation": entry.host.Incarnation, "by": accuser,
		})
		member.notifyWaiters()
		member.queueUpdate(entry)
		member.pingSuspect(entry, accuser, now)
	}
	if accuser == "" || slices.Contains(entry.accusers, accuser) || len(entry.accusers) >= accuserLimit {
		return
	}
	entry.accusers = append(entry.accusers, accuser)
	if len(entry.accusers) <= requiredAccusers {
		member.queueUpdate(entry)
	}
}

// pingSuspect pings a suspected host if it is in the own failure domain or this host is
// its accuser. The ping carries the accusation.
func (member *Member) pingSuspect(entry *record, accuser string, now time.Time) {
	entry.suspectPingedAt = now
	if member.isLocal(entry.host) || accuser == member.self.Name {
		member.ping(entry.host, now)
	}
}

// declareDead marks a host as dead. Its record remains as a tombstone.
func (member *Member) declareDead(entry *record, now time.Time) {
	entry.host.State = host.Dead
	entry.changedAt = now
	entry.suspectedAt = time.Time{}
	delete(member.probes, entry.host.Name)
	member.logState(entry)
	member.invalidateView()
	member.queueUpdate(entry)
}

// expireSuspicions declares dead the hosts that did not refute in time. A direct message
// from the host restarts the timeout: the host is alive, and its refutation is in
// transit.
func (member *Member) expireSuspicions(now time.Time) {
	for _, entry := range member.order {
		if entry.suspectedAt.IsZero() || !entry.live() {
			continue
		}
		if entry.heardAt.After(entry.suspectedAt) {
			entry.suspectedAt, entry.accusers = entry.heardAt, nil
		}
		switch {
		case now.Sub(entry.suspectedAt) >= member.suspicionTimeout(entry):
			member.declareDead(entry, now)
		case now.Sub(entry.suspectPingedAt) >= suspectPingPeriod:
			member.pingSuspect(entry, entry.firstAccuser(), now)
		}
	}
}

// firstAccuser returns the first accuser of the host, or "" if there is none.
func (record *record) firstAccuser() string {
	if len(record.accusers) == 0 {
		return ""
	}
	return record.accusers[0]
}

// suspicionTimeout returns how long a suspected host has to refute. The timeout is short
// once requiredAccusers hosts agree. If the failure domain has fewer other live hosts
// than that, one accuser suffices, with a longer timeout.
func (member *Member) suspicionTimeout(entry *record) time.Duration {
	observers := member.currentView().liveCounts[entry.host.FailureDomain] - 1
	switch {
	case len(entry.accusers) >= requiredAccusers:
		return confirmedTimeout
	case len(entry.accusers) > 0 && observers < requiredAccusers:
		return singleObserverTimeout
	default:
		return unconfirmedTimeout
	}
}

// expireTombstones removes the records of hosts that have been dead for longer than
// tombstonePeriod.
func (member *Member) expireTombstones(now time.Time) {
	member.removeRecords(func(entry *record) bool {
		return !entry.live() && now.Sub(entry.changedAt) > tombstonePeriod
	})
}

// ensureCapacity evicts the oldest tombstone if the table is full, and reports whether a
// record can be added.
func (member *Member) ensureCapacity() bool {
	if len(member.records) < hostLimit {
		return true
	}
	var oldest *record
	for _, entry := range member.order {
		if !entry.live() && (oldest == nil || entry.changedAt.Before(oldest.changedAt)) {
			oldest = entry
		}
	}
	if oldest == nil {
		return false
	}
	member.removeRecords(func(entry *record) bool { return entry == oldest })
	return true
}

// removeRecords removes the records that satisfy the predicate.
func (member *Member) removeRecords(predicate func(*record) bool) {
	member.order = slices.DeleteFunc(member.order, func(entry *record) bool {
		if !predicate(entry) {
			return false
		}
		delete(member.records, entry.host.Name)
		return true
	})
}

// queueUpdate queues a record for dissemination, or resets its transmission counters if
// it is queued.
func (member *Member) queueUpdate(entry *record) {
	if !entry.queued {
		entry.queued = true
		member.updates = append(member.updates, entry)
	}
	entry.localTransmits, entry.remoteTransmits = member.transmitLimit(), member.transmitLimit()
}

// expireUpdates drops the updates that have no transmissions left, are older than
// disseminationPeriod or whose record was removed.
func (member *Member) expireUpdates(now time.Time) {
	member.updates = slices.DeleteFunc(member.updates, func(entry *record) bool {
		fresh := now.Sub(entry.changedAt) < disseminationPeriod && member.records[entry.host.Name] == entry
		entry.queued = fresh && entry.localTransmits+entry.remoteTransmits > 0
		return !entry.queued
	})
}

// transmitLimit returns how often an update is transmitted: about twice the binary
// logarithm of the number of hosts. SWIM needs a logarithmic count for an update to reach
// all of them.
func (member *Member) transmitLimit() int {
	return 2 * bits.Len(uint(len(member.records)+1))
}

// logState logs the event for a record's new state.
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
