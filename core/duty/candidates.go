package duty

import (
	"cmp"
	"slices"

	"primrosegw/core/host"
)

// MaxCandidates is the number of hosts that may take a duty over, its holder included.
const MaxCandidates = 3

/*
Candidates returns the hosts that are to hold a duty, in the order in which they take it over. Duties are all duties
of the fleet, in an order that is the same on all hosts.

The candidates of the duties are different hosts, and their first ones are in different failure domains, as far as the
hosts suffice, so that one loss takes one duty. Those of a duty are in at least two failure domains. If one is lost, the
others stay candidates in their order: they know what the lost one knew.
*/
func Candidates(duty string, duties []string, hosts []host.Host) []host.Host {
	var firsts, taken []host.Host
	for _, name := range duties {
		candidates := candidatesBeside(name, hosts, firsts, taken)
		if name == duty || len(candidates) == 0 {
			return candidates
		}
		firsts, taken = append(firsts, candidates[0]), append(taken, candidates...)
	}
	return nil
}

// candidatesBeside returns the candidates of a duty beside those that other duties have.
func candidatesBeside(duty string, hosts, firsts, taken []host.Host) []host.Host {
	ranked := host.Rank(duty, hosts)
	penalty := func(one host.Host) int {
		switch {
		case slices.ContainsFunc(taken, func(other host.Host) bool { return other.Name == one.Name }):
			return 2
		case slices.ContainsFunc(firsts, func(other host.Host) bool { return other.FailureDomain == one.FailureDomain }):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ranked, func(a, b host.Host) int { return cmp.Compare(penalty(a), penalty(b)) })
	return withOtherDomain(ranked)
}

// withOtherDomain returns the first MaxCandidates of ranked hosts. If all are in one failure domain, the last one gives
// way to the highest-ranked one of another.
func withOtherDomain(ranked []host.Host) []host.Host {
	candidates := slices.Clone(ranked[:min(MaxCandidates, len(ranked))])
	if len(candidates) == 0 {
		return nil
	}
	isOther := func(one host.Host) bool { return one.FailureDomain != candidates[0].FailureDomain }
	if slices.ContainsFunc(candidates, isOther) {
		return candidates
	}
	if index := slices.IndexFunc(ranked, isOther); index >= 0 {
		candidates[len(candidates)-1] = ranked[index]
	}
	return candidates
}
