package reach

import (
	"cmp"
	"slices"
	"time"

	"primrosegw/core/host"
)

const (
	// MaxHelpers is the number of hosts that are asked for a connection, one after the other.
	MaxHelpers = 3
	// cutOffTTL is how long another host counts as cut off after it last said so.
	cutOffTTL = 2500 * time.Millisecond
	// failureTTL is how long a host that could not help comes after the others.
	failureTTL = time.Second
	// maxUnlistedShare is the largest part of the entry hosts that is left out of lists of addresses: the
	// others must be able to take their callers.
	maxUnlistedShare = 0.25
)

// Helpers returns the hosts that may open a connection to a server for the own host, best first: those
// that have not failed to help lately, of them those in the server's failure domain, each group in an order
// that shuffle changes.
func (peers *Peers) Helpers(live []host.Host, own, failureDomain string, now time.Time, shuffle func(n int, swap func(a, b int))) []host.Host {
	helpers := slices.DeleteFunc(slices.Clone(live), func(one host.Host) bool { return one.Name == own || peers.IsCutOff(one.Name, now) })
	shuffle(len(helpers), func(a, b int) { helpers[a], helpers[b] = helpers[b], helpers[a] })
	slices.SortStableFunc(helpers, func(a, b host.Host) int {
		return cmp.Or(compareBool(!peers.failedLately(a.Name, now), !peers.failedLately(b.Name, now)),
			compareBool(a.FailureDomain == failureDomain, b.FailureDomain == failureDomain))
	})
	return helpers[:min(len(helpers), MaxHelpers)]
}

// MayCarry reports whether a connection through a host may take another request: not if the host is leaving,
// as it ends with its connections, nor if it is cut off itself.
func (peers *Peers) MayCarry(name string, live []host.Host, now time.Time) bool {
	isNamed := func(one host.Host) bool { return one.Name == name }
	return slices.ContainsFunc(live, isNamed) && !peers.IsCutOff(name, now)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Listed returns the entry hosts that callers are sent to: all but those that are cut off, or all if those
// are more than maxUnlistedShare of them.
func Listed(entryHosts []host.Host, isCutOff func(name string) bool) []host.Host {
	listed := slices.DeleteFunc(slices.Clone(entryHosts), func(one host.Host) bool { return isCutOff(one.Name) })
	if float64(len(entryHosts)-len(listed)) > maxUnlistedShare*float64(len(entryHosts)) {
		return entryHosts
	}
	return listed
}
