package reach

import (
	"slices"
	"time"

	"primrosegw/core/host"
)

const (
	// MaxHelpers is the number of hosts that are asked for a connection, one after the other.
	MaxHelpers = 3
	// cutOffTTL is how long another host counts as cut off after it last said so.
	cutOffTTL = 2500 * time.Millisecond
	// maxUnlistedShare is the largest part of the entry hosts that is left out of lists of addresses: the
	// others must be able to take their callers.
	maxUnlistedShare = 0.25
)

// Helpers returns the hosts that may open a connection to a server for the own host, best first: those
// in the server's failure domain, then the others, each in an order that shuffle changes.
func Helpers(live []host.Host, own, failureDomain string, isCutOff func(name string) bool, shuffle func(n int, swap func(a, b int))) []host.Host {
	helpers := slices.DeleteFunc(slices.Clone(live), func(one host.Host) bool { return one.Name == own || isCutOff(one.Name) })
	shuffle(len(helpers), func(a, b int) { helpers[a], helpers[b] = helpers[b], helpers[a] })
	slices.SortStableFunc(helpers, func(a, b host.Host) int {
		return compareBool(a.FailureDomain == failureDomain, b.FailureDomain == failureDomain)
	})
	return helpers[:min(len(helpers), MaxHelpers)]
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
