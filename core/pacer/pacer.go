// Package pacer keeps the requests to a backend server within the rate that the server
// accepts from all hosts together.
package pacer

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/host"
)

// MinRate is the lowest limit, in requests per second: a server that accepts none is asked
// again from time to time.
const MinRate = 0.1

const (
	// burst is the number of requests that a sender may send at once.
	burst = 1
	// perSenderRate is the rate, in requests per second, for which another sender is added.
	perSenderRate = 1
	// idleTimeout, and idleRequests intervals between requests, are the time without a
	// response after which other hosts become the senders.
	idleTimeout  = 5 * time.Second
	idleRequests = 2
	// otherSenderWait is the wait of a host that is not a sender: the senders may change.
	otherSenderWait = 500 * time.Millisecond
	// changeReportTime is the time for which a change is reported in every round, as messages
	// may be lost. reportInterval is the interval of reports that confirm a limit.
	changeReportTime = time.Second
	reportInterval   = time.Second
	// forgetTimeout is the time without a response after which a server is forgotten, and
	// maxServers the number of servers up to which none are.
	forgetTimeout = 10 * time.Minute
	maxServers    = 256
)

/*
Pacer divides the rate that a server accepts among hosts without asking them for each
request. A few hosts, the senders, may send to the server; each has an equal part of the
rate and a token bucket for a single request, which is empty when a host becomes a sender.
All hosts derive the senders by rendezvous hashing from the same list of hosts, so while
hosts disagree for a moment, a limit is exceeded by few requests. One request per second is
worth a sender: more senders than that would have to wait long for their first token.

A limit ends when a request that was sent after the limit was last named gets a response
without one. If no sender has requests, other hosts take their turn.

A Pacer is safe for concurrent use.
*/
type Pacer struct {
	own     string
	mutex   sync.Mutex
	hosts   []string
	servers map[uint64]*server
}

// server is the state of a server's process that has named a limit.
type server struct {
	// perSecond is the limit in requests per second; 0: none.
	perSecond float64
	// observedAt is when the newest response was received that named it or named none, by
	// any host. Own is set if this host received it.
	observedAt time.Time
	own        bool
	changedAt  time.Time
	reportedAt time.Time
	// tokens is the level of the bucket at refilledAt.
	tokens     float64
	refilledAt time.Time
	// rank is the position of this host among the hosts, -1 if it is not one of them.
	rank int
}

// Report is what a host tells other hosts about a limit.
type Report struct {
	// Process is the hash of the server's process.
	Process   uint64  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint"`
	AgeMs     int64   `cbor:"3,keyasint"`
}

// New returns a pacer for a host, which knows of no limits and no other hosts.
func New(own string) *Pacer {
	return &Pacer{own: own, hosts: []string{own}, servers: make(map[uint64]*server)}
}

// SetHosts sets the hosts that may be senders. It keeps the slice.
func (pacer *Pacer) SetHosts(hosts []string) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	if slices.Equal(hosts, pacer.hosts) {
		return
	}
	pacer.hosts = hosts
	for process, server := range pacer.servers {
		server.rank = pacer.rank(process)
	}
}

// rank returns the position of this host in the rendezvous order for a server's process.
func (pacer *Pacer) rank(process uint64) int {
	return host.Position("pacer/"+strconv.FormatUint(process, 16), pacer.own, pacer.hosts)
}

// Observe records the limit that a server named in the response to a request that was sent
// at sentAt, in requests per second; 0: none. It reports whether the limit changed.
func (pacer *Pacer) Observe(process fleet.Server, perSecond float64, sentAt, now time.Time) bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	key := process.ProcessHash()
	known := pacer.servers[key]
	if perSecond == 0 && (known == nil || !sentAt.After(known.observedAt)) {
		return false
	}
	return pacer.set(key, perSecond, true, now)
}

// set records an observation. It reports whether the limit changed.
func (pacer *Pacer) set(process uint64, perSecond float64, own bool, observedAt time.Time) bool {
	known := pacer.servers[process]
	if known == nil {
		pacer.forget(observedAt)
		known = &server{rank: pacer.rank(process), refilledAt: observedAt}
		pacer.servers[process] = known
	}
	known.observedAt, known.own = observedAt, own
	if known.perSecond == perSecond {
		return false
	}
	known.perSecond, known.changedAt = perSecond, observedAt
	return true
}

// forget drops the servers that have not responded for forgetTimeout.
func (pacer *Pacer) forget(now time.Time) {
	if len(pacer.servers) < maxServers {
		return
	}
	for process, server := range pacer.servers {
		if now.Sub(server.observedAt) > forgetTimeout {
			delete(pacer.servers, process)
		}
	}
}

// HasLimits reports whether any server has named a limit.
func (pacer *Pacer) HasLimits() bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	return len(pacer.servers) > 0
}

// Wait returns the time after which this host may send a request to the server; 0: now.
func (pacer *Pacer) Wait(process fleet.Server, now time.Time) time.Duration {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	if limited := pacer.limited(process); limited != nil {
		return limited.wait(len(pacer.hosts), now)
	}
	return 0
}

// Take takes the permission to send one request to the server now. It returns false if
// Wait would not return 0.
func (pacer *Pacer) Take(process fleet.Server, now time.Time) bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	limited := pacer.limited(process)
	if limited == nil {
		return true
	}
	if limited.wait(len(pacer.hosts), now) > 0 {
		return false
	}
	limited.tokens--
	return true
}

// limited returns the state of a server's process that has a limit, nil if it has none.
func (pacer *Pacer) limited(process fleet.Server) *server {
	if len(pacer.servers) == 0 {
		return nil
	}
	known := pacer.servers[process.ProcessHash()]
	if known == nil || known.perSecond == 0 {
		return nil
	}
	return known
}

// wait returns the time until this host has a token; otherSenderWait if it is not a sender.
func (server *server) wait(hosts int, now time.Time) time.Duration {
	rate := server.refill(hosts, now)
	switch {
	case rate == 0:
		return otherSenderWait
	case server.tokens >= 1:
		return 0
	}
	return time.Duration((1 - server.tokens) / rate * float64(time.Second))
}

// refill adds the tokens for the time since the last call, and returns this host's part of
// the rate, which is 0 unless it is a sender.
func (server *server) refill(hosts int, now time.Time) float64 {
	elapsed := now.Sub(server.refilledAt).Seconds()
	server.refilledAt = now
	senders := min(max(1, int(server.perSecond/perSenderRate)), hosts)
	rate := server.perSecond / float64(senders)
	idle := idleTimeout + time.Duration(idleRequests/rate*float64(time.Second))
	turn := int(max(0, now.Sub(server.observedAt)) / idle)
	if server.rank < 0 || positionInTurn(server.rank, turn, hosts) >= senders {
		server.tokens = 0
		return 0
	}
	server.tokens = min(burst, server.tokens+elapsed*rate)
	return rate
}

// positionInTurn returns the position of a host after the hosts have moved up by one in each
// turn; the first ones are the senders.
func positionInTurn(rank, turn, hosts int) int { return (rank + turn*(hosts-1)) % hosts }

// PendingReports returns what is to be sent to other hosts now: the changes that this host
// observed, and limits that it has observed again.
func (pacer *Pacer) PendingReports(now time.Time) []Report {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	var reports []Report
	for process, server := range pacer.servers {
		isNew := now.Sub(server.changedAt) < changeReportTime
		isDue := now.Sub(server.reportedAt) >= reportInterval && server.observedAt.After(server.reportedAt)
		if server.own && (isNew || isDue) {
			server.reportedAt = now
			reports = append(reports, Report{Process: process, PerSecond: server.perSecond, AgeMs: now.Sub(server.observedAt).Milliseconds()})
		}
	}
	return reports
}

// ApplyReports records what another host has observed, unless newer responses are known. It
// returns the number of limits that changed.
func (pacer *Pacer) ApplyReports(reports []Report, now time.Time) int {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	changed := 0
	for _, report := range reports {
		observedAt := now.Add(-time.Duration(max(0, report.AgeMs)) * time.Millisecond)
		known := pacer.servers[report.Process]
		isStale := known != nil && !observedAt.After(known.observedAt) || now.Sub(observedAt) > forgetTimeout
		if isStale || !(report.PerSecond >= 0) || known == nil && report.PerSecond == 0 {
			continue
		}
		if pacer.set(report.Process, report.PerSecond, false, observedAt) {
			changed++
		}
	}
	return changed
}
