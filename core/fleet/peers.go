package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minReportTTL is the shortest time for which a report of another host is used,
// whatever TTL it carries.
const minReportTTL = 1500 * time.Millisecond

// expiryInterval is the time between two checks for expired reports.
const expiryInterval = 100 * time.Millisecond

// maxPeerLoads limits the servers in one message. Those with the most pending prompt
// tokens are kept.
const maxPeerLoads = 400

// PeerLoad is the work that a host has in flight at one backend server.
type PeerLoad struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	InFlight
}

// HostReport is what a host reports to another host about its requests in flight.
type HostReport struct {
	// Loads is the sender's work in flight by server.
	Loads []PeerLoad
	// Running is the number of the sender's requests in flight.
	Running int
	// MaxRunning is the highest number of requests in flight at one host, from the
	// reports that the sender received directly; 0 if not reported.
	MaxRunning int
	// TTL is how long the report is valid unless a newer one replaces it. Values
	// below minReportTTL are raised to it.
	TTL time.Duration
}

// receivedReport is the latest report of another host.
type receivedReport struct {
	expiresAt time.Time
	report    HostReport
}

// ServerHash returns the hash that identifies a server in messages between hosts.
func ServerHash(id string) uint64 { return xxhash.Sum64String(id) }

// ProcessHash identifies a process of the server, which starts without the state of the one
// before it.
func (server Server) ProcessHash() uint64 {
	return ServerHash(server.ID) ^ uint64(server.Started.UnixNano())
}

// UpdatePeer replaces the report of another host.
func (fleet *Fleet) UpdatePeer(host string, report HostReport, now time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.addReport(fleet.reports[host].report, -1)
	fleet.reports[host] = receivedReport{expiresAt: now.Add(max(report.TTL, minReportTTL)), report: report}
	fleet.addReport(report, 1)
	fleet.expireReports(now)
}

// addReport adds the loads of a report to the servers; a sign of -1 subtracts
// them. The mutex is held.
func (fleet *Fleet) addReport(report HostReport, sign int) {
	for _, load := range report.Loads {
		if member := fleet.byHash[load.Server]; member != nil {
			member.Peers.addScaled(load.InFlight, sign)
		}
	}
}

// expireReports subtracts and drops the reports that are past their TTL. The mutex
// is held.
func (fleet *Fleet) expireReports(now time.Time) {
	if now.Before(fleet.nextExpiry) {
		return
	}
	fleet.nextExpiry = now.Add(expiryInterval)
	for name, received := range fleet.reports {
		if now.After(received.expiresAt) {
			fleet.addReport(received.report, -1)
			delete(fleet.reports, name)
		}
	}
}

// addReportsFor adds the loads that hosts reported for a server before it
// registered here. The mutex is held.
func (fleet *Fleet) addReportsFor(member *Member) {
	for _, received := range fleet.reports {
		for _, load := range received.report.Loads {
			if load.Server == member.hash {
				member.Peers.addScaled(load.InFlight, 1)
			}
		}
	}
}

// LocalLoads returns the work that this host has in flight, for its report to
// other hosts.
func (fleet *Fleet) LocalLoads() []PeerLoad {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var loads []PeerLoad
	for _, member := range fleet.members {
		if member.Own.Running > 0 {
			loads = append(loads, PeerLoad{Server: member.hash, InFlight: member.Own})
		}
	}
	slices.SortFunc(loads, func(a, b PeerLoad) int { return cmp.Compare(b.TotalPrefill(), a.TotalPrefill()) })
	return loads[:min(len(loads), maxPeerLoads)]
}

// Running returns the number of this host's requests in flight.
func (fleet *Fleet) Running() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.running()
}

func (fleet *Fleet) running() int {
	running := 0
	for _, member := range fleet.members {
		running += member.Own.Running
	}
	return running
}

// MaxRunning returns the highest number of requests in flight at one host, from
// this host and the hosts that reported directly to it.
func (fleet *Fleet) MaxRunning(now time.Time) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.expireReports(now)
	highest := fleet.running()
	for _, received := range fleet.reports {
		highest = max(highest, received.report.Running)
	}
	return highest
}

// MaxRunningWithIndirect is MaxRunning including the hosts that reported to other
// hosts only. Hosts must not forward the result: an indirect value that is passed
// on as a direct one would never expire.
func (fleet *Fleet) MaxRunningWithIndirect(now time.Time) int {
	highest := fleet.MaxRunning(now)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, received := range fleet.reports {
		highest = max(highest, received.report.MaxRunning)
	}
	return highest
}
