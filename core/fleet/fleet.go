// Package fleet tracks the backend servers of all services: their registration,
// the requests in flight at each of them, their load reports and their failures.
package fleet

import (
	"slices"
	"sync"
	"time"
)

const (
	// suspensionBase and suspensionMax bound the exponential backoff during which
	// a failing server gets no requests.
	suspensionBase = 300 * time.Millisecond
	suspensionMax  = 2 * time.Second
	// suspendAfterBroken is the number of consecutive broken answers that suspend
	// a server.
	suspendAfterBroken = 3
	// failureRateAlpha is the weight of the newest answer in the moving average of
	// failures.
	failureRateAlpha = 0.15
	// baselineAlpha is the weight of a higher report in the moving average of the
	// baseline slowness.
	baselineAlpha = 0.02
)

// Server is the registration of a backend server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Version       string
	Slots         int
	Leaving       bool
	// Started is the start time of the server process. A restarted server
	// registers under the same ID with a later time.
	Started time.Time
	// Sequence rises with each write of the registration since Started.
	Sequence int64
	// Spot marks a server that its platform may take away. LeavesIn is the time from the write of
	// the registration until it is taken away; 0: not known.
	Spot     bool
	LeavesIn time.Duration
}

// Load is the latest load report of a server.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current processing time relative to the usual one, which
	// is 1.
	Slowness   float64
	ReportedAt time.Time
}

// Member is a backend server with the state that this host keeps about it. The
// fleet's mutex guards the fields; callers get copies.
type Member struct {
	Server
	// Own is the work that this host has in flight at the server. Peers is the
	// total that the other hosts last reported.
	Own   InFlight
	Peers InFlight
	Load  Load
	// PrefillSinceReport is the number of uncached prompt tokens that this host
	// has sent since the last load report.
	PrefillSinceReport int
	// BaselineSlowness is the slowness without transient slowdowns, 1 being the
	// service's norm. It differs between servers because their machines differ in
	// speed, while other load on a machine slows it for short periods only.
	BaselineSlowness float64
	// FailureRate is a moving average of the share of failed answers.
	FailureRate float64
	// ConsecutiveFailures counts the failed connections and broken answers since
	// the last success.
	ConsecutiveFailures int
	arrivals            arrivalRecord
	SuspendedUntil      time.Time
	// ExpiresAt is when a server is removed whose entry disappeared during a store
	// outage; zero while the entry exists.
	ExpiresAt time.Time
	// InDoubt is set when a connection ended unexpectedly, until the server has said that its
	// registered process still runs. Replaced is set if it said that another one does.
	InDoubt  bool
	Replaced bool
	// registeredAt is when this host learned of the process with its version, and tookOverAt when it
	// replaced another process of the ID; zero: it did not.
	registeredAt, tookOverAt time.Time
	// doubtedAt is when the latest doubt was raised.
	doubtedAt time.Time
	silence   silence

	// probationUntil is until when the server gets one request at a time, after a suspension by
	// RecordTrickle.
	probationUntil time.Time

	announcement announcement
	declineRate  float64
	declinedAt   time.Time
	framing      framingRecord

	hash uint64
}

// Hash returns the hash of the server's ID, which is the same on all hosts.
func (member *Member) Hash() uint64 {
	if member.hash == 0 {
		member.hash = ServerHash(member.ID)
	}
	return member.hash
}

// Suspended reports whether the server is suspended because of failures.
func (member *Member) Suspended(now time.Time) bool {
	return now.Before(member.SuspendedUntil) || now.Before(member.probationUntil) && member.Own.Running > 0
}

// usable reports whether the registration permits sending requests to the
// server. It ignores suspension.
func (member *Member) usable(now time.Time) bool {
	return !member.Leaving && !member.announcement.leaving && !member.Replaced && (member.ExpiresAt.IsZero() || now.Before(member.ExpiresAt))
}

// IsLeaving reports whether the server is leaving, by its registration or by what it said itself.
func (member *Member) IsLeaving() bool { return member.Leaving || member.announcement.leaving }

// Fleet is the set of all known backend servers. It is safe for concurrent use.
type Fleet struct {
	mutex     sync.Mutex
	members   map[string]*Member
	byService map[string][]*Member
	byHash    map[uint64]*Member
	// removed holds the servers that were removed lately, by ID.
	removed map[string]removedServer
	// pastVersions holds when a server last had a version that it has no more.
	pastVersions map[serviceVersion]time.Time
	// announcements holds what processes of servers have said of themselves, by process hash.
	announcements map[uint64]announcement
	// untold holds those of which other hosts are still to be told, by process hash. announced receives
	// a value when one is added.
	untold    map[uint64]untold
	announced chan struct{}
	// reports holds the latest report of each other host, by host name.
	reports map[string]receivedReport
	// nextExpiry is when the reports are next checked for expiry.
	nextExpiry time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		members: make(map[string]*Member), byService: make(map[string][]*Member), byHash: make(map[uint64]*Member), reports: make(map[string]receivedReport),
		removed: make(map[string]removedServer), pastVersions: make(map[serviceVersion]time.Time), announcements: make(map[uint64]announcement),
		untold: make(map[uint64]untold), announced: make(chan struct{}, 1),
	}
}

// PutResult describes what Put changed.
type PutResult struct {
	// Added is set if the server, or this process of it, was unknown.
	Added bool
	// Leaving is set if the server was not known to be leaving.
	Leaving bool
	// Changed is set if any part of the registration but its sequence changed.
	Changed bool
}

// Put adds a server or updates its registration. A server that restarted or
// changed its address loses its load and failure history.
func (fleet *Fleet) Put(server Server) PutResult {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.put(server)
}

// put implements Put. The mutex is held.
func (fleet *Fleet) put(server Server) PutResult {
	known := fleet.members[server.ID]
	if known == nil || known.Address != server.Address || !known.Started.Equal(server.Started) {
		if known != nil {
			fleet.delete(server.ID)
		}
		member := &Member{Server: server, hash: ServerHash(server.ID), registeredAt: time.Now(), announcement: fleet.announcements[server.ProcessHash()]}
		if known != nil && !known.Started.IsZero() {
			member.tookOverAt = member.registeredAt
		}
		fleet.members[server.ID] = member
		fleet.addReportsFor(member)
		fleet.rebuildIndex()
		return PutResult{Added: true, Leaving: server.Leaving, Changed: true}
	}
	known.Sequence = server.Sequence
	result := PutResult{Leaving: server.Leaving && !known.Leaving, Changed: known.Server != server || !known.ExpiresAt.IsZero()}
	serviceChanged := known.Service != server.Service
	if known.Version != server.Version {
		known.registeredAt = time.Now()
	}
	if known.Version != server.Version || serviceChanged {
		fleet.rememberVersion(known.Server, time.Now())
	}
	known.Server, known.ExpiresAt = server, time.Time{}
	if serviceChanged {
		fleet.rebuildIndex()
	}
	return result
}

// Remove deletes a server and reports whether it was known.
func (fleet *Fleet) Remove(id string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.members[id] == nil {
		return false
	}
	fleet.delete(id)
	fleet.rebuildIndex()
	return true
}

// MarkMissing records that the entry of a server disappeared, possibly because
// its lease lapsed during a store outage. The server stays in use until expiresAt
// and is kept if its entry is written again before.
func (fleet *Fleet) MarkMissing(id string, expiresAt time.Time) {
	fleet.update(id, func(member *Member) {
		if member.ExpiresAt.IsZero() {
			member.ExpiresAt = expiresAt
		}
	})
}

// IDs returns the IDs of all servers.
func (fleet *Fleet) IDs() []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	ids := make([]string, 0, len(fleet.members))
	for id := range fleet.members {
		ids = append(ids, id)
	}
	return ids
}

// RemoveExpired removes the servers whose entries were not written again in time
// and returns their IDs in order.
func (fleet *Fleet) RemoveExpired(now time.Time) []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var removed []string
	for id, member := range fleet.members {
		if !member.ExpiresAt.IsZero() && !now.Before(member.ExpiresAt) {
			removed = append(removed, id)
			fleet.delete(id)
		}
	}
	if len(removed) > 0 {
		slices.Sort(removed)
		fleet.rebuildIndex()
	}
	return removed
}

// rebuildIndex rebuilds the lookups by hash and by service, the latter sorted by
// ID. The mutex is held.
func (fleet *Fleet) rebuildIndex() {
	clear(fleet.byService)
	clear(fleet.byHash)
	for _, member := range fleet.members {
		fleet.byHash[member.hash] = member
		fleet.byService[member.Service] = append(fleet.byService[member.Service], member)
	}
	for _, members := range fleet.byService {
		slices.SortFunc(members, func(a, b *Member) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// Members returns copies of the usable servers of a service, sorted by ID.
func (fleet *Fleet) Members(service string, now time.Time) []Member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.expireReports(now)
	members := make([]Member, 0, len(fleet.byService[service]))
	for _, member := range fleet.byService[service] {
		if member.usable(now) {
			members = append(members, *member)
		}
	}
	return members
}

// Registered returns copies of all servers of a service, also those that are leaving, except processes
// that were replaced.
func (fleet *Fleet) Registered(service string, now time.Time) []Member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.expireReports(now)
	members := make([]Member, 0, len(fleet.byService[service]))
	for _, member := range fleet.byService[service] {
		if !member.Replaced && (member.ExpiresAt.IsZero() || now.Before(member.ExpiresAt)) {
			members = append(members, *member)
		}
	}
	return members
}

// Usable reports whether a server may be sent requests for a service now.
func (fleet *Fleet) Usable(id, service string, now time.Time) bool {
	member := fleet.find(id)
	return member.ID != "" && member.Service == service && member.usable(now) && member.AwayFor(now) == 0
}

// Size returns the number of servers.
func (fleet *Fleet) Size() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return len(fleet.members)
}

// RequestStarted counts a request that is about to be sent to a server.
func (fleet *Fleet) RequestStarted(id string, request RequestLoad) {
	fleet.update(id, func(member *Member) {
		member.Own.addRequest(request, 1)
		member.PrefillSinceReport += request.PrefillTokens
	})
}

// PrefillDone subtracts the prompt tokens of a request that got its first event
// or ended.
func (fleet *Fleet) PrefillDone(id string, request RequestLoad) {
	fleet.update(id, func(member *Member) { member.Own.removePrefill(request) })
}

// RequestEnded subtracts a request that has ended at a server.
func (fleet *Fleet) RequestEnded(id string, request RequestLoad) {
	fleet.update(id, func(member *Member) { member.Own.addRequest(RequestLoad{DecodeHeavy: request.DecodeHeavy}, -1) })
}

// ReportLoad stores a load report of a server.
func (fleet *Fleet) ReportLoad(id string, load Load) {
	fleet.update(id, func(member *Member) {
		member.Load = load
		member.PrefillSinceReport = 0
		member.updateBaseline(load.Slowness)
	})
}

// updateBaseline follows a fall of the slowness immediately and a rise slowly, so
// that short slowdowns hardly change the baseline.
func (member *Member) updateBaseline(slowness float64) {
	switch {
	case slowness <= 0:
	case member.BaselineSlowness == 0 || slowness < member.BaselineSlowness:
		member.BaselineSlowness = slowness
	default:
		member.BaselineSlowness += baselineAlpha * (slowness - member.BaselineSlowness)
	}
}

// RecordSuccess records a correct answer. It ends a suspension.
func (fleet *Fleet) RecordSuccess(id string) {
	fleet.update(id, func(member *Member) {
		member.ConsecutiveFailures, member.arrivals = 0, arrivalRecord{}
		member.SuspendedUntil, member.probationUntil = time.Time{}, time.Time{}
		member.FailureRate *= 1 - failureRateAlpha
		member.declineRate *= 1 - declineRateAlpha
	})
}

// RecordFailure records an error answer of the server or a missing answer. It
// raises the failure rate but does not suspend the server.
func (fleet *Fleet) RecordFailure(id string) {
	fleet.update(id, func(member *Member) {
		member.FailureRate += failureRateAlpha * (1 - member.FailureRate)
	})
}

// RecordUnreachable records a failed connection attempt and suspends the server,
// for longer with each consecutive failure.
func (fleet *Fleet) RecordUnreachable(id string, now time.Time) {
	fleet.update(id, func(member *Member) {
		member.restoreFailures()
		member.recordSuspendingFailure(now, 1)
	})
}

// RecordBrokenAnswer records an answer that the server broke off. Only several
// consecutive failures suspend the server, so that one which loses single answers
// still gets requests.
func (fleet *Fleet) RecordBrokenAnswer(id string, now time.Time) {
	fleet.update(id, func(member *Member) { member.recordSuspendingFailure(now, suspendAfterBroken) })
}

// RecordTrickle records that a server kept a request until its deadline without serving it, and
// suspends it for a time, unless that is 0. For as long afterwards, until a success, it gets one
// request at a time: each one shows only at its deadline whether the server serves again.
func (fleet *Fleet) RecordTrickle(id string, pause time.Duration, now time.Time) {
	fleet.update(id, func(member *Member) {
		member.FailureRate += failureRateAlpha * (1 - member.FailureRate)
		if pause > 0 {
			member.SuspendedUntil, member.probationUntil = now.Add(pause), now.Add(2*pause)
		}
	})
}

// recordSuspendingFailure counts a failure and suspends the server once the
// number of consecutive failures reaches the threshold.
func (member *Member) recordSuspendingFailure(now time.Time, threshold int) {
	member.ConsecutiveFailures++
	member.FailureRate += failureRateAlpha * (1 - member.FailureRate)
	if member.ConsecutiveFailures < threshold {
		return
	}
	pause := suspensionBase << min(member.ConsecutiveFailures-threshold, 8)
	if until := now.Add(min(pause, suspensionMax)); until.After(member.SuspendedUntil) {
		member.SuspendedUntil = until
	}
}

// update calls change for a server under the mutex. Unknown servers are ignored.
func (fleet *Fleet) update(id string, change func(*Member)) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if member := fleet.members[id]; member != nil {
		change(member)
	}
}

// SuspendedFor returns the remaining suspension of a server, 0 if it is not
// suspended or unknown.
func (fleet *Fleet) SuspendedFor(id string, now time.Time) time.Duration {
	return max(0, fleet.find(id).SuspendedUntil.Sub(now))
}

// find returns a copy of a server, which is empty if the server is unknown.
func (fleet *Fleet) find(id string) Member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if member := fleet.members[id]; member != nil {
		return *member
	}
	return Member{}
}
