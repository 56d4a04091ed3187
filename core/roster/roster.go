// Package roster lists the hosts of the system, which register themselves in
// the platform's store under a lease.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"primrosegw/core/host"
)

// Forget is how long a host stays listed after its entry vanished while the
// store was away: leases may lapse then though their hosts live.
const Forget = 3 * time.Second

const (
	// smallFleet is the number of hosts up to which each one waits for changes at
	// the store itself.
	smallFleet = 12
	// entryShare is the part of the strong hosts that callers are sent to, and
	// leastEntries the number of them at least if there are that many.
	entryShare   = 0.25
	leastEntries = 12
	// leastStrong is the number of strong hosts that carry the fleet's requests.
	leastStrong = 4
	// watchersPerDomain is the number of hosts of a failure domain that do so in
	// larger fleets.
	watchersPerDomain = 2
)

// Roster is the hosts that are known. It is safe for concurrent use.
type Roster struct {
	mutex sync.Mutex
	own   host.Host
	hosts map[string]listed
}

type listed struct {
	host.Host
	// until is when the host is forgotten; zero while its entry exists.
	until time.Time
}

// New returns a roster that holds the host itself.
func New(own host.Host) *Roster {
	return &Roster{own: own, hosts: make(map[string]listed)}
}

// Put adds a host or takes over its state, and reports whether it is a process
// that was not known.
func (roster *Roster) Put(host host.Host) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	known, ok := roster.hosts[host.Name]
	roster.hosts[host.Name] = listed{Host: host}
	return !ok || known.Incarnation != host.Incarnation
}

// Remove takes a host out whose entry vanished; a host that did not say it was
// leaving stays for a while when the store was away.
func (roster *Roster) Remove(name string, storeWasAway bool, now time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	known, ok := roster.hosts[name]
	if !ok {
		return
	}
	if storeWasAway && known.State == host.Alive {
		if known.until.IsZero() {
			known.until = now.Add(Forget)
			roster.hosts[name] = known
		}
		return
	}
	delete(roster.hosts, name)
}

// Names returns the names of all hosts known.
func (roster *Roster) Names() []string {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	names := make([]string, 0, len(roster.hosts))
	for name := range roster.hosts {
		names = append(names, name)
	}
	return names
}

// Leave marks the host itself as leaving.
func (roster *Roster) Leave() {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.own.State = host.Leaving
}

// Own returns the host itself.
func (roster *Roster) Own() host.Host {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.own
}

// Live returns the hosts that take requests, the host itself among them while
// it does not leave, in the order of their names.
func (roster *Roster) Live(now time.Time) []host.Host {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	live := make([]host.Host, 0, len(roster.hosts)+1)
	if roster.own.State == host.Alive {
		live = append(live, roster.own)
	}
	for name, known := range roster.hosts {
		if !known.until.IsZero() && now.After(known.until) {
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

// Watches reports whether the host waits for changes at the store for the others
// of its failure domain.
func (roster *Roster) Watches(now time.Time) bool {
	live := roster.Live(now)
	if len(live) <= smallFleet {
		return true
	}
	own := roster.Own()
	return slices.ContainsFunc(watchers(live), func(watcher host.Host) bool { return watcher.Name == own.Name })
}

// Neighbours returns the other hosts of the host's failure domain.
func (roster *Roster) Neighbours(now time.Time) []host.Host {
	own := roster.Own()
	return slices.DeleteFunc(roster.Live(now), func(other host.Host) bool {
		return other.Name == own.Name || other.FailureDomain != own.FailureDomain
	})
}

/*
Entries returns the hosts that callers are sent to.

A host decides best about requests when it sees many of them: what it does not see
itself it hears late. In large fleets callers are therefore sent to the strong
hosts, and of many strong ones to a part, spread evenly over the failure domains;
the others stand by. All hosts choose the same ones. Too few strong hosts, or a
busy one, mean all hosts.
*/
func (roster *Roster) Entries(now time.Time, busy bool) []host.Host {
	return entries(roster.Live(now), busy)
}

func entries(live []host.Host, busy bool) []host.Host {
	if busy || len(live) <= smallFleet {
		return slices.Clone(live)
	}
	strong := strongHosts(live)
	if len(strong) < leastStrong {
		return slices.Clone(live)
	}
	wanted := max(leastEntries, int(entryShare*float64(len(strong))+0.5))
	if wanted >= len(strong) {
		return strong
	}
	return spread(strong, wanted)
}

const (
	// connectionShare is the part of a server's connections that all hosts together
	// may use: hosts do not hear of each other at the same moment.
	connectionShare = 0.9
	// leastConnections is what each host may have open to a server at any size.
	leastConnections = 3
)

// Share is what a host needs to know of the fleet to take its part of what all hosts
// have in common.
type Share struct {
	// Named: callers are sent to the host.
	Named bool
	// NamedHosts is the number of hosts that callers are sent to, Hosts that of all.
	NamedHosts int
	Hosts      int
}

// Share returns the host's share at a moment.
func (roster *Roster) Share(now time.Time, busy bool) Share {
	live := roster.Live(now)
	chosen := entries(live, busy)
	own := roster.Own().Name
	named := slices.ContainsFunc(chosen, func(one host.Host) bool { return one.Name == own })
	return Share{Named: named, NamedHosts: len(chosen), Hosts: len(live)}
}

// Connections returns how many of a server's connections the host may use. Hosts
// that callers are not sent to need few; the others share the rest.
func (share Share) Connections(limit int) int {
	if !share.Named {
		return leastConnections
	}
	rest := connectionShare*float64(limit) - float64(leastConnections*(share.Hosts-share.NamedHosts))
	return max(leastConnections, int(rest/float64(share.NamedHosts)))
}

// strongHosts returns the hosts that carry at least half of what the strongest
// one does.
func strongHosts(hosts []host.Host) []host.Host {
	strongest := 0.0
	for _, one := range hosts {
		strongest = max(strongest, one.Capacity)
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(one host.Host) bool { return one.Capacity < strongest/2 })
}

// byScore orders hosts by a hash that all hosts share.
func byScore(hosts []host.Host, key string) {
	slices.SortFunc(hosts, func(a, b host.Host) int {
		return cmp.Compare(host.Score(key, b.Name), host.Score(key, a.Name))
	})
}

// spread returns a number of hosts, evenly by failure domain and else in the order
// of a hash that all hosts share.
func spread(hosts []host.Host, wanted int) []host.Host {
	domains := map[string][]host.Host{}
	for _, one := range hosts {
		domains[one.FailureDomain] = append(domains[one.FailureDomain], one)
	}
	for _, members := range domains {
		byScore(members, "entry")
	}
	var chosen []host.Host
	for turn := 0; len(chosen) < wanted; turn++ {
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			if members := domains[domain]; turn < len(members) {
				chosen = append(chosen, members[turn])
			}
		}
	}
	return chosen
}
