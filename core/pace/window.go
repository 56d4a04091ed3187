package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/host"
)

const (
	// firstWindow is the least window.
	firstWindow = 2
	// lateFactor reduces what a host's answers have added to a window when one of them is late.
	lateFactor = 0.5
	// liftFactor is the ratio of the window to the ordinary number in flight at which it is lifted though
	// the requests for it have not come.
	liftFactor = 1.5
	// maxWindowTime is the time after which a window is lifted. A server that is still slow then is
	// avoided for its speed.
	maxWindowTime = 15 * time.Second
	// turnTime is the time after which the hosts' order changes, so that a window below the number of
	// hosts comes to each of them.
	turnTime = 300 * time.Millisecond
	// lateStartTime is the age from which on a window is lifted if the other hosts have the ordinary number
	// in flight, whatever this host's answers say.
	lateStartTime = time.Second
	// choiceTime is the time for which a choice counts although the request may count as in flight by then:
	// others that chose meanwhile did not see it.
	choiceTime = 10 * time.Millisecond
	// maxLimitedShare is the share of a service's servers in slow start from which on windows do not apply:
	// the others would be overloaded, or there are none.
	maxLimitedShare = 0.5
	// slowPeriod is the reported slowness, relative to the server's usual one, from which on a server is
	// in a slow period, and longSlowPeriod the duration after which it begins anew with a window. After
	// shorter ones the window is what it carries.
	slowPeriod     = 1.5
	longSlowPeriod = 2 * time.Second
	// minLoadReports is the number of load reports from which on the usual slowness in them is believed.
	minLoadReports = 5
)

// Reason is why a server is in slow start.
type Reason string

// The reasons.
const (
	Started   Reason = "started"
	Recovered Reason = "recovered"
	Slow      Reason = "slow_period"
)

// Change is the begin or the end of a slow start, or another speed of a server.
type Change struct {
	ID, Service string
	Reason      Reason
	// Ended is set at the end, after Took, with the last Limit.
	Ended bool
	Took  time.Duration
	Limit int
	// Speed is the new estimate; nil for a slow start.
	Speed *Estimate
}

// window is the slow start of a server.
type window struct {
	reason  Reason
	beganAt time.Time
	first   int
	// gain is what this host's answers have added, answers and late their numbers.
	gain          float64
	answers, late int
	// peers holds what the other hosts' answers have added.
	peers map[string]float64
	// local: only the hosts in peers and this one have seen why the server is in slow start.
	local bool
	// chosenAt is when this host chose the server lately.
	chosenAt []time.Time
	// changedAt and reportedAt are when gain changed and when it was reported.
	changedAt, reportedAt time.Time
}

// answered records an answer.
func (window *window) answered(late bool, now time.Time) {
	window.answers++
	window.changedAt = now
	if late {
		window.late++
		window.gain *= lateFactor
		return
	}
	window.gain++
}

// limit returns the number of requests that all hosts together may have in flight.
func (window *window) limit() int {
	gain := window.gain
	for _, one := range window.peers {
		gain += one
	}
	return window.first + int(gain)
}

// Full looks at the servers of a service and returns those that this host is to send nothing now, because
// they are in slow start and its share of their windows is in use; nil if there are none.
func (tracker *Tracker) Full(name string, members []fleet.Member, now time.Time) map[string]bool {
	if tracker == nil {
		return nil
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.service(name)
	isFirst := known.seenAt.IsZero()
	known.seenAt = now
	limited := 0
	for index := range members {
		member := &members[index]
		one := tracker.look(member, isFirst, now)
		begins, first := one.observeState(member, now)
		if begins != "" {
			ordinary := tracker.ordinary(members, one)
			if ordinary <= firstWindow || begins != Started && len(members) < largeService {
				// A window would limit nothing, or hold back what the service needs.
				one.lifted = true
			} else {
				tracker.begin(one, begins, max(first, int(math.Ceil(ordinary*firstShare(begins)))), now)
			}
		}
		if one.window != nil {
			limited++
		}
	}
	if limited == 0 {
		return nil
	}
	return tracker.full(members, tracker.ordinary(members, nil), limited, now)
}

// look returns the state of a server, which it adds. The mutex is held.
func (tracker *Tracker) look(member *fleet.Member, isKnown bool, now time.Time) *server {
	hash := member.Hash()
	process := hash ^ uint64(member.Started.UnixNano())
	one := tracker.servers[hash]
	if one == nil {
		one = &server{id: member.ID}
		tracker.servers[hash] = one
	}
	one.service, one.seenAt = member.Service, now
	one.observeLoad(member)
	one.inFlight = member.Own.Running + member.Peers.Running
	if one.process != process {
		one.process = process
		one.isDown, one.downReason, one.lifted = !isKnown, Started, isKnown
		if one.window != nil {
			tracker.limited--
			one.window = nil
		}
	}
	return one
}

// observeLoad follows the server's usual slowness by its load reports. The first ones may be of a slow period.
func (server *server) observeLoad(member *fleet.Member) {
	if member.Load.Slowness <= 0 || member.Load.ReportedAt.Equal(server.reportedAt) {
		return
	}
	server.reportedAt = member.Load.ReportedAt
	server.reports++
	if server.reports >= minLoadReports {
		server.baseline = member.BaselineSlowness
	}
}

// observeState follows a server's state and returns why it begins a slow start, if it does, and the least
// first window.
func (server *server) observeState(member *fleet.Member, now time.Time) (Reason, int) {
	if member.Suspended(now) && member.ConsecutiveFailures > 0 || member.AwayFor(now) > 0 {
		if !server.isDown {
			server.isDown, server.downReason = true, Recovered
		}
		return "", 0
	}
	wasDown := server.isDown
	server.isDown = false
	if wasDown {
		return cmp.Or(server.downReason, Recovered), firstWindow
	}
	isSlow := server.baseline > 0 && member.Load.Slowness >= slowPeriod*server.baseline
	switch {
	case isSlow && !server.isSlow:
		server.isSlow, server.slowSince = true, member.Load.ReportedAt
	case !isSlow && server.isSlow:
		server.isSlow = false
		if member.Load.ReportedAt.Sub(server.slowSince) >= longSlowPeriod {
			return Slow, max(firstWindow, server.inFlight)
		}
	}
	return "", 0
}

// firstShare is the share of the ordinary number in flight that a window begins with. A process that was away
// for a time has some of its cache left.
func firstShare(reason Reason) float64 {
	if reason == Started {
		return 0.25
	}
	return 0.5
}

// ordinary returns the mean number of requests in flight at the servers that are not in slow start, except
// one.
func (tracker *Tracker) ordinary(members []fleet.Member, except *server) float64 {
	sum, count := 0, 0
	for index := range members {
		if one := tracker.servers[members[index].Hash()]; one != nil && one != except && one.window == nil && !one.isDown {
			sum += one.inFlight
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(sum) / float64(count)
}

// begin begins a slow start. The mutex is held.
func (tracker *Tracker) begin(one *server, reason Reason, first int, now time.Time) {
	if one.window == nil {
		tracker.limited++
	}
	one.window = &window{reason: reason, beganAt: now, first: first, local: reason != Started, peers: make(map[string]float64)}
	tracker.changes = append(tracker.changes, Change{ID: one.id, Service: one.service, Reason: reason, Limit: first})
}

// full returns the servers whose windows are full, and lifts windows. The mutex is held.
func (tracker *Tracker) full(members []fleet.Member, ordinary float64, limited int, now time.Time) map[string]bool {
	applies := float64(limited) <= maxLimitedShare*float64(len(members))
	full := make(map[string]bool)
	for index := range members {
		member := &members[index]
		one := tracker.servers[member.Hash()]
		if one.window == nil {
			continue
		}
		limit := one.window.limit()
		hasCarried := float64(one.inFlight) >= ordinary && float64(limit) >= ordinary
		// The other hosts have lifted their windows: this one has learned of the server late.
		hasCarried = hasCarried || float64(member.Peers.Running) >= ordinary && now.Sub(one.window.beganAt) >= lateStartTime
		if !applies || hasCarried || float64(limit) >= liftFactor*ordinary || now.Sub(one.window.beganAt) >= maxWindowTime {
			tracker.lift(one, now)
			continue
		}
		if one.inFlight >= limit || !tracker.hasRoom(member, one.window, now) {
			full[member.ID] = true
		}
	}
	return full
}

// hasRoom reports whether this host may send a server one more request, by the state of it that the host had
// when it began to choose. The mutex is held.
func (tracker *Tracker) hasRoom(member *fleet.Member, window *window, now time.Time) bool {
	window.chosenAt = slices.DeleteFunc(window.chosenAt, func(at time.Time) bool { return now.Sub(at) >= choiceTime })
	return member.Own.Running+len(window.chosenAt) < tracker.share(member.Hash(), window, now)
}

// Take counts a request for a server that was chosen. It returns false if the server is in slow start and
// other requests of this host have been faster.
func (tracker *Tracker) Take(member *fleet.Member, now time.Time) bool {
	if tracker == nil {
		return true
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	one := tracker.servers[member.Hash()]
	if one == nil || one.window == nil {
		return true
	}
	if !tracker.hasRoom(member, one.window, now) {
		return false
	}
	one.window.chosenAt = append(one.window.chosenAt, now)
	return true
}

// lift ends a slow start. The mutex is held.
func (tracker *Tracker) lift(one *server, now time.Time) {
	tracker.changes = append(tracker.changes, Change{
		ID: one.id, Service: one.service, Reason: one.window.reason, Ended: true, Took: now.Sub(one.window.beganAt), Limit: one.window.limit(),
	})
	one.window = nil
	one.lifted = true
	tracker.limited--
}

// share returns this host's part of a window. The order of the hosts changes with time.
func (tracker *Tracker) share(server uint64, window *window, now time.Time) int {
	hosts := tracker.hosts
	if window.local {
		hosts = append(slices.Sorted(maps.Keys(window.peers)), tracker.own)
	}
	limit, count := window.limit(), len(hosts)
	if !slices.Contains(hosts, tracker.own) {
		return 0
	}
	part, rest := limit/count, limit%count
	if rest > 0 {
		turn := now.UnixMilli() / turnTime.Milliseconds()
		key := "pace/" + strconv.FormatUint(server, 16) + "/" + strconv.FormatInt(turn, 10)
		if host.Position(key, tracker.own, hosts) < rest {
			part++
		}
	}
	return part
}

// Window returns the number of requests that all hosts together may have in flight at a server, and whether
// there is no limit.
func (tracker *Tracker) Window(registered fleet.Server, _ time.Time) (limit int, open bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	one := tracker.servers[fleet.ServerHash(registered.ID)]
	if one == nil || one.window == nil {
		return 0, true
	}
	return one.window.limit(), false
}

// Limited returns the number of servers in slow start.
func (tracker *Tracker) Limited() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.limited
}

// TakeChanges returns what changed since the last call.
func (tracker *Tracker) TakeChanges() []Change {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	changes := tracker.changes
	tracker.changes = nil
	return changes
}

const (
	// reportInterval is the least time between two reports on a server that did not change.
	reportInterval = time.Second
	// maxReports is the number of reports in a message, which then has about 1 kB.
	maxReports = 32
	// maxGain bounds what another host may add to a window.
	maxGain = 1024
)

// Report is what a host tells others about a server in slow start.
type Report struct {
	// Process is the process hash of the server.
	Process uint64 `cbor:"1,keyasint"`
	// Gain is what the host's answers have added to the window, Answers and Late are their numbers, and
	// InFlight the host's requests at the server.
	Gain     int `cbor:"2,keyasint,omitempty"`
	Answers  int `cbor:"3,keyasint,omitempty"`
	Late     int `cbor:"4,keyasint,omitempty"`
	InFlight int `cbor:"5,keyasint,omitempty"`
	// First is what the window began with. Local is set if the server did not start, but recovered as far
	// as the sender has seen.
	First int  `cbor:"6,keyasint,omitempty"`
	Local bool `cbor:"7,keyasint,omitempty"`
}

// PendingReports returns what is to be sent to other hosts now, those that were reported longest ago first.
func (tracker *Tracker) PendingReports(now time.Time) []Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.limited == 0 {
		return nil
	}
	var due []*server
	for _, one := range tracker.servers {
		if one.window == nil {
			continue
		}
		if one.window.changedAt.After(one.window.reportedAt) || now.Sub(one.window.reportedAt) >= reportInterval {
			due = append(due, one)
		}
	}
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(a.window.reportedAt.Compare(b.window.reportedAt), cmp.Compare(a.process, b.process))
	})
	var reports []Report
	for _, one := range due[:min(len(due), maxReports)] {
		one.window.reportedAt = now
		reports = append(reports, Report{
			Process: one.process, Gain: int(one.window.gain), Answers: one.window.answers, Late: one.window.late, InFlight: one.inFlight,
			First: one.window.first, Local: one.window.local,
		})
	}
	return reports
}

// ApplyReports records what another host has told. Servers that are not in slow start here are ignored, and
// so is what does not come from one of the hosts among which windows are divided.
func (tracker *Tracker) ApplyReports(name string, reports []Report, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !slices.Contains(tracker.hosts, name) {
		return
	}
	processes := make(map[uint64]*server, len(tracker.servers))
	for _, one := range tracker.servers {
		processes[one.process] = one
	}
	for _, report := range reports {
		one := processes[report.Process]
		if one == nil {
			continue
		}
		first := min(maxGain, max(firstWindow, report.First))
		if one.window == nil && !report.Local && !one.lifted {
			tracker.begin(one, Started, first, now)
		}
		if one.window != nil {
			one.window.peers[name] = float64(min(maxGain, max(0, report.Gain)))
			if !report.Local && !one.window.local {
				one.window.first = min(one.window.first, first)
			}
		}
	}
}
