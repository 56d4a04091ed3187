package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/roster"
)

// Guards against hosts of low capacity that get as many callers as the others when a busy fleet has added
// them: at a load of 6 of 7.4 cores, 18 hosts of 0.144 of a core would each get work for 0.25.
func TestCallersAreSpreadByCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	hosts := newRoster(67, 6).EntryHosts(time.Now(), 1000)
	require.Greater(t, len(hosts), 20)
	const answers = 20_000
	work := map[string]float64{}
	for range answers {
		sampled := roster.Sample(hosts, random.Float64)
		require.GreaterOrEqual(t, len(sampled), 6, "hosts of the highest capacity are in each answer")
		for _, one := range sampled {
			work[one.Name] += 1 / float64(len(sampled)) / one.Capacity
		}
	}
	for _, one := range hosts {
		require.InDelta(t, work[hosts[0].Name], work[one.Name], 0.15*work[hosts[0].Name], "%s: work relative to its capacity", one.Name)
	}
}

// Guards against answers that leave hosts out where callers need them all: small fleets, and fleets with
// too few hosts of high capacity.
func TestAllHostsAreListedWithoutHighCapacity(t *testing.T) {
	never := func() float64 { return 1 }
	for _, fleet := range []struct{ size, strong int }{{8, 2}, {8, 8}, {60, 3}} {
		hosts := newRoster(fleet.size, fleet.strong).EntryHosts(time.Now(), 0)
		require.Len(t, roster.Sample(hosts, never), len(hosts), "%+v", fleet)
	}
}
