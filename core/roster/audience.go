package roster

import (
	"slices"
	"time"

	"primrosegw/core/host"
)

// Audience is the other hosts that a host sends messages to.
type Audience struct {
	// Loads get the requests that the host has in flight.
	Loads []host.Host
	// Words get the host's proof of the configuration and its place in the store's
	// changes.
	Words []host.Host
}

/*
Audience returns whom the host tells what.

In small fleets all hosts tell each other everything. In larger ones only the hosts
that callers are sent to decide about many requests, so these tell each other their
requests in flight. Proofs and places go through the hosts that wait at the store,
which stand between the hosts of their failure domain and the rest: a host without
requests sends to two others and hears from two, whatever the size of the fleet.
*/
func (roster *Roster) Audience(now time.Time, busy bool) Audience {
	live, own := roster.Live(now), roster.Own()
	others := slices.DeleteFunc(slices.Clone(live), func(other host.Host) bool { return other.Name == own.Name })
	if len(live) <= smallFleet {
		return Audience{Loads: others, Words: others}
	}
	isOwn := func(one host.Host) bool { return one.Name == own.Name }
	entries, relays := entries(live, busy), watchers(live)
	var audience Audience
	if slices.ContainsFunc(entries, isOwn) {
		audience.Loads = slices.DeleteFunc(entries, isOwn)
	}
	relaying := slices.ContainsFunc(relays, isOwn)
	audience.Words = slices.DeleteFunc(others, func(other host.Host) bool {
		near := other.FailureDomain == own.FailureDomain
		if relaying && near {
			return false
		}
		relay := slices.ContainsFunc(relays, func(one host.Host) bool { return one.Name == other.Name })
		return !relay || !near && !relaying && audience.Loads == nil
	})
	return audience
}

// watchers returns the hosts that wait at the store: some of each failure domain,
// chosen by a hash that all hosts share.
func watchers(live []host.Host) []host.Host {
	domains := map[string][]host.Host{}
	for _, one := range live {
		domains[one.FailureDomain] = append(domains[one.FailureDomain], one)
	}
	var chosen []host.Host
	for _, members := range domains {
		byScore(members, "watch")
		chosen = append(chosen, members[:min(watchersPerDomain, len(members))]...)
	}
	return chosen
}
