// Package roster tracks the hosts of the system, which register themselves in the
// platform's store under a lease, and assigns their roles.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"primrosegw/core/host"
)

// MissingHostGrace is how long a host stays listed after its entry disappeared
// during a store outage, when the leases of live hosts may lapse too.
const MissingHostGrace = 3 * time.Second

const (
	// smallFleetHosts is the number of hosts up to which every host watches the
	// store directly, is an entry host and exchanges messages with all others.
	smallFleetHosts = 12
	// entryHostRatio is the fraction of the high-capacity hosts that are entry
	// hosts, and minEntryHosts is their minimum number if there are that many.
	entryHostRatio = 0.25
	minEntryHosts  = 12
	// requestsPerEntryHost is the number of requests in flight at the busiest host that
	// adds entry hosts.
	requestsPerEntryHost = 600
	// minHighCapacityHosts is the smallest number of high-capacity hosts that may
	// carry all requests of the fleet.
	minHighCapacityHosts = 4
	// watchersPerDomain is the number of hosts per failure domain that watch the
	// store in fleets above smallFleetHosts.
	watchersPerDomain = 2
)

// Roster is the set of known hosts. It is safe for concurrent use.
type Roster struct {
	mutex sync.Mutex
	own   host.Host
	hosts map[string]trackedHost
	// left holds the latest incarnation of each host that has left.
	left map[string]uint64
}

// trackedHost is a host with the expiry of its listing.
type trackedHost struct {
	host.Host
	// expiresAt is when the host is removed; zero while its entry exists.
	expiresAt time.Time
}

// New returns a roster that contains only the local host.
func New(own host.Host) *Roster {
	return &Roster{own: own, hosts: make(map[string]trackedHost), left: make(map[string]uint64)}
}

// Put adds or updates a host and reports whether it is a new host or a new
// incarnation of a known one. An incarnation that was leaving stays so: its entry of
// before may come back when the store is restored from a copy.
func (roster *Roster) Put(put host.Host) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if incarnation, left := roster.left[put.Name]; left && incarnation == put.Incarnation {
		put.State = host.Leaving
	}
	known, ok := roster.hosts[put.Name]
	roster.hosts[put.Name] = trackedHost{Host: put}
	if put.State == host.Leaving {
		roster.left[put.Name] = put.Incarnation
	}
	return !ok || known.Incarnation != put.Incarnation
}

// Remove deletes a host whose entry disappeared. If the store was unavailable, an
// alive host stays listed for MissingHostGrace, and a repeated call does not extend
// that time.
func (roster *Roster) Remove(name string, storeWasUnavailable bool, now time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	known, ok := roster.hosts[name]
	if !ok {
		return
	}
	if storeWasUnavailable && known.State == host.Alive {
		if known.expiresAt.IsZero() {
			known.expiresAt = now.Add(MissingHostGrace)
			roster.hosts[name] = known
		}
		return
	}
	delete(roster.hosts, name)
}

// Names returns the names of all known hosts in no particular order.
func (roster *Roster) Names() []string {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	names := make([]string, 0, len(roster.hosts))
	for name := range roster.hosts {
		names = append(names, name)
	}
	return names
}

// MarkLeaving marks the local host as leaving.
func (roster *Roster) MarkLeaving() {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.own.State = host.Leaving
}

// Own returns the local host.
func (roster *Roster) Own() host.Host {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.own
}

// Live returns the hosts that accept requests, sorted by name. It includes the
// local host unless that is leaving.
func (roster *Roster) Live(now time.Time) []host.Host {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	live := make([]host.Host, 0, len(roster.hosts)+1)
	if roster.own.State == host.Alive {
		live = append(live, roster.own)
	}
	for name, known := range roster.hosts {
		if !known.expiresAt.IsZero() && now.After(known.expiresAt) {
			delete(roster.hosts, name)
			continue
		}
		if name != roster.own.Name && known.State == host.Alive {
			live = append(live, known.Host)
		}
	}
	slices.SortFunc(live, func(a, b host.Host) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// IsWatcher reports whether the local host watches the store directly and relays
// changes to the other hosts of its failure domain.
func (roster *Roster) IsWatcher(now time.Time) bool {
	live := roster.Live(now)
	if len(live) <= smallFleetHosts {
		return true
	}
	own := roster.Own()
	return slices.ContainsFunc(watchers(live), func(watcher host.Host) bool { return watcher.Name == own.Name })
}

// IsIdle reports whether the local host neither watches the store nor is an entry host.
// The meaning of busiest is that of EntryHosts.
func (roster *Roster) IsIdle(now time.Time, busiest int) bool {
	own := roster.Own().Name
	isOwn := func(one host.Host) bool { return one.Name == own }
	live := roster.Live(now)
	return len(live) > smallFleetHosts && !slices.ContainsFunc(watchers(live), isOwn) && !slices.ContainsFunc(entryHosts(live, busiest), isOwn)
}

// DomainPeers returns the other live hosts of the local host's failure domain.
func (roster *Roster) DomainPeers(now time.Time) []host.Host {
	own := roster.Own()
	return slices.DeleteFunc(roster.Live(now), func(other host.Host) bool {
		return other.Name == own.Name || other.FailureDomain != own.FailureDomain
	})
}

/*
EntryHosts returns the hosts that callers are sent to.

A host routes best when it sees many requests itself, because it learns of requests at
other hosts only with a delay. In large fleets callers are therefore sent to the
high-capacity hosts, and if there are many of these, to a subset that is spread evenly
over the failure domains; the other hosts are standbys. Busiest is the highest number of
requests in flight at one host. Each requestsPerEntryHost of them adds as many entry hosts
again, so that a busy fleet grows in steps: callers that moved to hundreds of hosts at
once would leave each of these with too few requests to route by. All hosts compute nearly
the same set, and a larger set contains the smaller ones. All live hosts are entry hosts
if there are too few high-capacity hosts.
*/
func (roster *Roster) EntryHosts(now time.Time, busiest int) []host.Host {
	return entryHosts(roster.Live(now), busiest)
}

// entryHosts implements EntryHosts for the given live hosts.
func entryHosts(live []host.Host, busiest int) []host.Host {
	if len(live) <= smallFleetHosts {
		return slices.Clone(live)
	}
	highCapacity := highCapacityHosts(live)
	if len(highCapacity) < minHighCapacityHosts {
		return slices.Clone(live)
	}
	steps := 1 + busiest/requestsPerEntryHost
	wanted := steps * max(minEntryHosts, int(entryHostRatio*float64(len(highCapacity))+0.5))
	if wanted < len(highCapacity) {
		return selectAcrossDomains(highCapacity, wanted)
	}
	if steps == 1 {
		return highCapacity
	}
	others := slices.DeleteFunc(slices.Clone(live), func(one host.Host) bool {
		return slices.ContainsFunc(highCapacity, func(high host.Host) bool { return high.Name == one.Name })
	})
	wanted = min(wanted, len(live)) - len(highCapacity)
	return append(highCapacity, selectAcrossDomains(others, wanted)...)
}

const (
	// connectionUseRatio is the fraction of a server's connections that all hosts
	// together may use. The rest covers the time in which hosts have different views
	// of the fleet.
	connectionUseRatio = 0.9
	// minConnections is the number of connections to a server that each host may
	// have open in a fleet of any size.
	minConnections = 3
)

// Quota holds the figures from which a host computes its part of limits that apply to
// all hosts together.
type Quota struct {
	// IsEntryHost is set if callers are sent to the host.
	IsEntryHost bool
	// EntryHosts is the number of entry hosts.
	EntryHosts int
	// Hosts is the number of live hosts.
	Hosts int
}

// Quota returns the local host's quota. The meaning of busiest is that of EntryHosts.
func (roster *Roster) Quota(now time.Time, busiest int) Quota {
	live := roster.Live(now)
	chosen := entryHosts(live, busiest)
	own := roster.Own().Name
	isEntryHost := slices.ContainsFunc(chosen, func(one host.Host) bool { return one.Name == own })
	return Quota{IsEntryHost: isEntryHost, EntryHosts: len(chosen), Hosts: len(live)}
}

// Connections returns how many of a server's connections the host may use, given the
// server's limit. Standby hosts get minConnections each; entry hosts divide the rest.
func (quota Quota) Connections(limit int) int {
	if !quota.IsEntryHost {
		return minConnections
	}
	available := connectionUseRatio*float64(limit) - float64(minConnections*(quota.Hosts-quota.EntryHosts))
	return max(minConnections, int(available/float64(quota.EntryHosts)))
}

// highCapacityHosts returns the hosts with at least half of the highest capacity.
func highCapacityHosts(hosts []host.Host) []host.Host {
	highest := 0.0
	for _, one := range hosts {
		highest = max(highest, one.Capacity)
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(one host.Host) bool { return one.Capacity < highest/2 })
}

// sortByScore sorts hosts by their rendezvous weight for a key, highest first. The
// order is the same on all hosts.
func sortByScore(hosts []host.Host, key string) {
	slices.SortFunc(hosts, func(a, b host.Host) int {
		return cmp.Compare(host.Score(key, b.Name), host.Score(key, a.Name))
	})
}

// selectAcrossDomains returns at least the wanted number of hosts. It takes hosts from
// each failure domain in turn, within a domain in rendezvous order. The last round is
// completed, so that the domains stay even.
func selectAcrossDomains(hosts []host.Host, wanted int) []host.Host {
	domains := map[string][]host.Host{}
	for _, one := range hosts {
		domains[one.FailureDomain] = append(domains[one.FailureDomain], one)
	}
	for _, members := range domains {
		sortByScore(members, "entry")
	}
	var chosen []host.Host
	for round := 0; len(chosen) < wanted; round++ {
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			if members := domains[domain]; round < len(members) {
				chosen = append(chosen, members[round])
			}
		}
	}
	return chosen
}
