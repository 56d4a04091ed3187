package duty_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/duty"
	"primrosegw/core/host"
)

// fleet returns hosts of a number of failure domains.
func fleet(size, domains, seed int) []host.Host {
	var hosts []host.Host
	for index := range size {
		hosts = append(hosts, host.Host{Name: fmt.Sprint("host-", seed, "-", index), FailureDomain: fmt.Sprint(index % domains), State: host.Alive})
	}
	return hosts
}

// without returns the hosts without one.
func without(hosts []host.Host, lost host.Host) []host.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(one host.Host) bool { return one.Name == lost.Name })
}

// Guards against one host, or one failure domain, whose loss takes two duties, or a duty and all hosts that know its
// state: one host held both duties and went off.
func TestLossTakesOneDuty(t *testing.T) {
	duties := []string{"metering", "autoscaling"}
	for seed := range 50 {
		hosts := fleet(12, 3, seed)
		metering, autoscaling := duty.Candidates("metering", duties, hosts), duty.Candidates("autoscaling", duties, hosts)
		require.NotEqual(t, metering[0].FailureDomain, autoscaling[0].FailureDomain)
		for _, candidates := range [][]host.Host{metering, autoscaling} {
			require.Len(t, candidates, 3)
			isElsewhere := func(one host.Host) bool { return one.FailureDomain != candidates[0].FailureDomain }
			require.True(t, slices.ContainsFunc(candidates, isElsewhere))
		}
		for _, one := range metering {
			require.NotContains(t, autoscaling, one)
		}
		require.Equal(t, metering, duty.Candidates("metering", duties, without(hosts, autoscaling[0])), "the loss of another duty's host moves none")
	}
}

// Guards against a successor that knows nothing of the duty's state, because a loss makes a host the first candidate
// that was none before.
func TestSuccessorWasACandidate(t *testing.T) {
	duties := []string{"metering", "autoscaling"}
	for seed := range 50 {
		hosts := fleet(12, 3, seed)
		before := duty.Candidates("metering", duties, hosts)
		after := duty.Candidates("metering", duties, without(hosts, before[0]))
		require.Equal(t, before[1], after[0])
		before = duty.Candidates("autoscaling", duties, hosts)
		after = duty.Candidates("autoscaling", duties, without(hosts, before[0]))
		require.Equal(t, before[1], after[0])
	}
}

// Guards against fleets that are too small for different hosts and have no candidates.
func TestSmallFleetsHaveCandidates(t *testing.T) {
	duties := []string{"metering", "autoscaling"}
	for size, expected := range map[int]int{0: 0, 1: 1, 2: 2, 3: 3, 4: 3} {
		for _, name := range duties {
			require.Len(t, duty.Candidates(name, duties, fleet(size, 1, 0)), expected, "%d hosts", size)
		}
	}
	require.Len(t, duty.Candidates("autoscaling", duties[1:], fleet(3, 3, 0)), 3)
	require.Empty(t, duty.Candidates("unknown", duties, fleet(3, 3, 0)))
}
