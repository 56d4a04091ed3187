package roster

import (
	"slices"
	"time"

	"primrosegw/core/host"
)

// Recipients lists the other hosts that a host sends messages to.
type Recipients struct {
	// Loads are the hosts that receive reports of the requests in flight.
	Loads []host.Host
	// Proofs are the hosts that receive the proof of the configuration and the
	// position in the store's change history.
	Proofs []host.Host
}

/*
Recipients returns the hosts that this host sends its loads and proofs to. The meaning
of busiest is that of EntryHosts.

In small fleets every host sends everything to every other host. In larger ones only
the entry hosts route many requests, so only these exchange their requests in flight.
Proofs and positions go through the watchers, which relay between the hosts of their
failure domain and the other domains: a host without requests sends to two others and
receives from two, whatever the size of the fleet.
*/
func (roster *Roster) Recipients(now time.Time, busiest int) Recipients {
	live, own := roster.Live(now), roster.Own()
	others := slices.DeleteFunc(slices.Clone(live), func(other host.Host) bool { return other.Name == own.Name })
	if len(live) <= smallFleetHosts {
		return Recipients{Loads: others, Proofs: others}
	}
	isOwn := func(one host.Host) bool { return one.Name == own.Name }
	entryHosts, relayHosts := entryHosts(live, busiest), watchers(live)
	var recipients Recipients
	if slices.ContainsFunc(entryHosts, isOwn) {
		recipients.Loads = slices.DeleteFunc(entryHosts, isOwn)
	}
	isRelay := slices.ContainsFunc(relayHosts, isOwn)
	recipients.Proofs = slices.DeleteFunc(others, func(other host.Host) bool {
		sameDomain := other.FailureDomain == own.FailureDomain
		if isRelay && sameDomain {
			return false
		}
		relay := slices.ContainsFunc(relayHosts, func(one host.Host) bool { return one.Name == other.Name })
		return !relay || !sameDomain && !isRelay && recipients.Loads == nil
	})
	return recipients
}

// watchers returns the hosts that watch the store directly: watchersPerDomain hosts
// of each failure domain. All hosts choose the same ones, as rendezvous hashing
// orders them.
func watchers(live []host.Host) []host.Host {
	domains := map[string][]host.Host{}
	for _, one := range live {
		domains[one.FailureDomain] = append(domains[one.FailureDomain], one)
	}
	var chosen []host.Host
	for _, members := range domains {
		sortByScore(members, "watch")
		chosen = append(chosen, members[:min(watchersPerDomain, len(members))]...)
	}
	return chosen
}
