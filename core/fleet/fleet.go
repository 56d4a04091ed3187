// Package fleet knows the backend servers of all services: who they are, how
// busy this host has made them and how they have behaved.
package fleet

import (
	"slices"
	"sync"
	"time"
)

const (
	// suspendBase and suspendCeiling bound the time for which a server that
	// could not be reached gets no requests.
	suspendBase    = 300 * time.Millisecond
	suspendCeiling = 2 * time.Second
	// brokenInRow is the number of broken answers in a row that suspend a server.
	brokenInRow = 3
	// failureDecay is the weight of the newest answer in the failure rate.
	failureDecay = 0.15
	// usualDecay is the weight of a report in the usual slowness.
	usualDecay = 0.02
)

// Server is a backend server as it registered itself.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Version       string
	Slots         int
	Leaving       bool
	// Started is when this process of the server began; an ID may come back
	// with a later start.
	Started time.Time
}

// Load is what a server last said of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at the moment, 1 being usual.
	Slowness float64
	At       time.Time
}

// Member is a backend server with this host's view of it. The fields are
// guarded by the fleet; callers get copies.
type Member struct {
	Server
	// Own is what this host has in flight at the server, Peers what the other
	// hosts have as they last told.
	Own   InFlight
	Peers InFlight
	Load  Load
	// SentSince is the prompt tokens that this host has sent since the last
	// report of the load.
	SentSince int
	// Usual is how long work usually takes at the server, 1 being the service's
	// norm: machines differ in speed, and are slowed by others for moments.
	Usual float64
	// FailureRate is a moving average of the share of failed answers.
	FailureRate float64
	// Failures is the number of failures in a row.
	Failures       int
	SuspendedUntil time.Time
	// GoneAt is when a server whose entry vanished while the store was away is
	// taken for gone; zero while it has an entry.
	GoneAt time.Time

	hash uint64
}

// Hash returns the hash of the server's ID, which all hosts share.
func (member *Member) Hash() uint64 {
	if member.hash == 0 {
		member.hash = ServerHash(member.ID)
	}
	return member.hash
}

// Suspended reports whether the server gets no requests for now.
func (member *Member) Suspended(now time.Time) bool { return now.Before(member.SuspendedUntil) }

// usable reports whether the server may be sent requests as far as its entry
// says.
func (member *Member) usable(now time.Time) bool {
	return !member.Leaving && (member.GoneAt.IsZero() || now.Before(member.GoneAt))
}

// Fleet is all backend servers. It is safe for concurrent use.
type Fleet struct {
	mutex     sync.Mutex
	members   map[string]*Member
	byService map[string][]*Member
	byHash    map[uint64]*Member
	peers     map[string]peer
	// expiry is when to look again whose word no longer counts.
	expiry time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		members: make(map[string]*Member), byService: make(map[string][]*Member), byHash: make(map[uint64]*Member), peers: make(map[string]peer),
	}
}

// News is what an entry of a server says that was not known.
type News struct {
	// Added: the server, or this process of it, was unknown.
	Added bool
	// Leaving: that the server leaves was not known.
	Leaving bool
	// Any: the entry says something new.
	Any bool
}

// Put adds a server or takes over what it says of itself now. A server that
// started anew under its ID begins without a history. It returns what is new.
func (fleet *Fleet) Put(server Server) News {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	known := fleet.members[server.ID]
	if known == nil || known.Address != server.Address || !known.Started.Equal(server.Started) {
		member := &Member{Server: server, hash: ServerHash(server.ID)}
		fleet.members[server.ID] = member
		fleet.recount(member)
		fleet.index()
		return News{Added: true, Leaving: server.Leaving, Any: true}
	}
	news := News{Leaving: server.Leaving && !known.Leaving, Any: known.Server != server || !known.GoneAt.IsZero()}
	moved := known.Service != server.Service
	known.Server, known.GoneAt = server, time.Time{}
	if moved {
		fleet.index()
	}
	return news
}

// Remove takes a server out and reports whether it was known.
func (fleet *Fleet) Remove(id string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.members[id] == nil {
		return false
	}
	delete(fleet.members, id)
	fleet.index()
	return true
}

// Vanish marks a server whose entry is gone though that may be the store's
// doing. It is used until the time given unless its entry comes back.
func (fleet *Fleet) Vanish(id string, goneAt time.Time) {
	fleet.with(id, func(member *Member) {
		if member.GoneAt.IsZero() {
			member.GoneAt = goneAt
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

// Gone removes the servers whose time to come back is over and returns them.
func (fleet *Fleet) Gone(now time.Time) []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var removed []string
	for id, member := range fleet.members {
		if !member.GoneAt.IsZero() && !now.Before(member.GoneAt) {
			removed = append(removed, id)
			delete(fleet.members, id)
		}
	}
	if len(removed) > 0 {
		slices.Sort(removed)
		fleet.index()
	}
	return removed
}

// index lists the members by service, in the order of their IDs.
func (fleet *Fleet) index() {
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

// Members returns copies of the servers of a service that may be used, in the
// order of their IDs.
func (fleet *Fleet) Members(service string, now time.Time) []Member {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.expire(now)
	members := make([]Member, 0, len(fleet.byService[service]))
	for _, member := range fleet.byService[service] {
		if member.usable(now) {
			members = append(members, *member)
		}
	}
	return members
}

// Usable reports whether a server may be sent requests of a service now.
func (fleet *Fleet) Usable(id, service string, now time.Time) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	member := fleet.members[id]
	return member != nil && member.Service == service && member.usable(now)
}

// Size returns the number of servers.
func (fleet *Fleet) Size() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return len(fleet.members)
}

// Begin counts a request that is about to be sent to a server.
func (fleet *Fleet) Begin(id string, share Share) {
	fleet.with(id, func(member *Member) {
		member.Own.add(share, 1)
		member.SentSince += share.Unread
	})
}

// Read counts a request whose prompt has been read: it has its first event, or
// it has ended.
func (fleet *Fleet) Read(id string, share Share) {
	fleet.with(id, func(member *Member) { member.Own.read(share) })
}

// End counts a request that has ended at a server.
func (fleet *Fleet) End(id string, share Share) {
	fleet.with(id, func(member *Member) { member.Own.add(Share{Talk: share.Talk}, -1) })
}

// Report takes over what a server says of its load.
func (fleet *Fleet) Report(id string, load Load) {
	fleet.with(id, func(member *Member) {
		member.Load = load
		member.SentSince = 0
		member.learn(load.Slowness)
	})
}

// learn follows a fall of the slowness at once and a rise slowly, so that moments
// of trouble do not count as usual.
func (member *Member) learn(slowness float64) {
	switch {
	case slowness <= 0:
	case member.Usual == 0 || slowness < member.Usual:
		member.Usual = slowness
	default:
		member.Usual += usualDecay * (slowness - member.Usual)
	}
}

// Good records a proper answer.
func (fleet *Fleet) Good(id string) {
	fleet.with(id, func(member *Member) {
		member.Failures = 0
		member.SuspendedUntil = time.Time{}
		member.FailureRate *= 1 - failureDecay
	})
}

// Failed records an answer that was a failure of the server, or none.
func (fleet *Fleet) Failed(id string) {
	fleet.with(id, func(member *Member) {
		member.FailureRate += failureDecay * (1 - member.FailureRate)
	})
}

// Unreachable records that a server took no connection, and suspends it for
// longer each time.
func (fleet *Fleet) Unreachable(id string, now time.Time) {
	fleet.with(id, func(member *Member) { member.fail(now, 1) })
}

// Broke records that a server broke off an answer. One that loses single answers
// goes on to get requests: only several in a row suspend it.
func (fleet *Fleet) Broke(id string, now time.Time) {
	fleet.with(id, func(member *Member) { member.fail(now, brokenInRow) })
}

// fail counts a failure and suspends the server from a number of them in a row.
func (member *Member) fail(now time.Time, from int) {
	member.Failures++
	member.FailureRate += failureDecay * (1 - member.FailureRate)
	if member.Failures < from {
		return
	}
	pause := suspendBase << min(member.Failures-from, 8)
	member.SuspendedUntil = now.Add(min(pause, suspendCeiling))
}

func (fleet *Fleet) with(id string, change func(*Member)) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if member := fleet.members[id]; member != nil {
		change(member)
	}
}

// SuspendedFor returns how long a server gets no requests.
func (fleet *Fleet) SuspendedFor(id string, now time.Time) time.Duration {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if member := fleet.members[id]; member != nil {
		return max(0, member.SuspendedUntil.Sub(now))
	}
	return 0
}
