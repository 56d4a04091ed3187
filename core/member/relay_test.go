package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/host"
)

// Guards against hosts that disagree on the relays, or choose others than the rendezvous
// ranking does.
func TestRelaysFollowRendezvousRanking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 13)
		nodes := network.startAll(24, 4)
		network.runUntil(10*time.Second, "joined", network.converged)
		nodes[5].member.Leave()
		nodes[9].running = false
		network.run(5 * time.Second)
		for _, node := range nodes {
			for _, domain := range []string{"domain-00", "domain-01", "domain-02", "domain-03"} {
				var hosts []host.Host
				for _, entry := range nodes[0].member.Hosts() {
					if entry.FailureDomain == domain {
						hosts = append(hosts, entry)
					}
				}
				ranked := host.Rank("relay/"+domain, hosts)
				if node.running {
					require.Equal(t, []string{ranked[0].Name, ranked[1].Name}, node.member.Relays(domain))
				}
			}
		}
	})
}
