package member_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/member"
)

// Guards against a member that starts without a required option, and against errors that
// do not name the invalid option.
func TestNewNamesInvalidOption(t *testing.T) {
	valid := member.Options{
		Self: testHost(0, 1), Send: func(host.Host, member.Message) {}, Random: rand.New(rand.NewPCG(1, 1)),
	}
	cases := map[string]func(*member.Options){
		"self.name":           func(options *member.Options) { options.Self.Name = "" },
		"self.failure_domain": func(options *member.Options) { options.Self.FailureDomain = "" },
		"send":                func(options *member.Options) { options.Send = nil },
		"random":              func(options *member.Options) { options.Random = nil },
		"fanout":              func(options *member.Options) { options.Fanout = -1 },
	}
	for field, invalidate := range cases {
		options := valid
		invalidate(&options)
		_, err := member.New(options)
		var found *member.Error
		require.ErrorAs(t, err, &found)
		require.Equal(t, field, found.Field)
		require.True(t, fault.Is(err, member.Invalid))
	}
}

// Guards against hosts that discover none or only some of the others.
func TestHostsJoinFromSeeds(t *testing.T) {
	for _, count := range []int{2, 8, 32, 100} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 1)
			network.startAll(count, 4)
			elapsed := network.runUntil(20*time.Second, "all hosts know each other", network.converged)
			t.Logf("hosts=%d joined after %s", count, elapsed)
		})
	}
}

// Guards against a death that is detected late, or not by every host of the failure
// domain.
func TestKilledHostIsFoundDeadInTime(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{8, 4}, {28, 1}, {84, 3}} {
		worst, everywhere := time.Duration(0), time.Duration(0)
		for seed := range uint64(8) {
			synctest.Test(t, func(t *testing.T) {
				network := newNetwork(t, seed)
				nodes := network.startAll(size.hosts, size.domains)
				network.runUntil(10*time.Second, "joined", network.converged)
				network.run(time.Duration(seed) * 77 * time.Millisecond)
				nodes[5].running = false
				elapsed := network.runUntil(3*time.Second, "death detected in its failure domain", func() bool {
					for _, node := range nodes {
						if node.running && node.host.FailureDomain == nodes[5].host.FailureDomain && node.state("entry-005") != host.Dead {
							return false
						}
					}
					return true
				})
				worst = max(worst, elapsed)
				everywhere = max(everywhere, elapsed+network.runUntil(4*time.Second, "death detected everywhere", network.converged))
			})
		}
		t.Logf("measure=death hosts=%d domains=%d value=%.1f everywhere=%.1f unit=s bound=3",
			size.hosts, size.domains, worst.Seconds(), everywhere.Seconds())
	}
}

// Guards against a leaving host that other hosts still list as alive, and against one
// that becomes alive again because of a stale record.
func TestLeavingHostIsUnlistedAtOnceAndStaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 3)
		nodes := network.startAll(12, 4)
		network.runUntil(10*time.Second, "joined", network.converged)
		changed := nodes[7].member.Changed()
		nodes[3].member.Leave()
		network.runUntil(2*time.Second, "all hosts see it leaving", func() bool {
			for _, node := range nodes {
				if node.state("entry-003") != host.Leaving {
					return false
				}
			}
			return true
		})
		select {
		case <-changed:
		default:
			t.Fatal("the channel of Changed was not closed")
		}
		network.run(10 * time.Second)
		require.Equal(t, host.Leaving, nodes[7].state("entry-003"), "a leaving host that still runs was declared dead")
		nodes[3].running = false
		network.runUntil(5*time.Second, "its death is detected", func() bool { return nodes[7].state("entry-003") == host.Dead })
	})
}

// Guards against a paused host that does not detect its pause, or that declares the
// others dead when it resumes.
func TestPausedHostResumesAlive(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 8 * time.Second, 5 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 4)
			network.encoded = true
			nodes := network.startAll(8, 4)
			network.runUntil(10*time.Second, "joined", network.converged)
			before := nodes[2].member.Self().Incarnation
			nodes[2].paused = true
			network.run(pause)
			network.resume(nodes[2])
			died := false
			network.runUntil(5*time.Second, "alive again", func() bool {
				for _, entry := range nodes[2].member.Hosts() {
					died = died || entry.State == host.Dead
				}
				return network.converged()
			})
			require.Greater(t, nodes[2].member.Self().Incarnation, before)
			require.False(t, died, "the resumed host declared others dead")
		})
	}
}

// Guards against a paused host that keeps a dead host as alive because the death is no
// longer disseminated when it resumes.
func TestPausedHostLearnsOfDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 5)
		nodes := network.startAll(12, 4)
		network.runUntil(10*time.Second, "joined", network.converged)
		nodes[2].paused = true
		network.run(5 * time.Second)
		nodes[7].running = false
		network.run(5 * time.Minute)
		nodes[2].buffered = nil
		network.resume(nodes[2])
		network.runUntil(10*time.Second, "the resumed host learns of the death", func() bool {
			return nodes[2].state("entry-007") == host.Dead && network.converged()
		})
	})
}

// Guards against a restarted host that is mistaken for its dead predecessor.
func TestRestartOnTheSameAddressIsANewIncarnation(t *testing.T) {
	for _, gap := range []time.Duration{50 * time.Millisecond, 10 * time.Second, time.Hour / 2} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 6)
			nodes := network.startAll(8, 4)
			network.runUntil(10*time.Second, "joined", network.converged)
			before := nodes[4].member.Self().Incarnation
			nodes[4].running = false
			network.run(gap)
			restarted := network.startNode(testHost(4, 4), []host.Host{testHost(0, 4)})
			network.runUntil(6*time.Second, "the new process is a member", func() bool {
				for _, entry := range nodes[1].member.Hosts() {
					if entry.Name == "entry-004" && entry.Incarnation != restarted.member.Self().Incarnation {
						return false
					}
				}
				return network.converged()
			})
			require.Greater(t, restarted.member.Self().Incarnation, before)
		})
	}
}

// Guards against a restarted host that is ignored because its clock was set back and its
// incarnation is below that of its predecessor.
func TestRestartWithEarlierClockIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 14)
		network.startAll(8, 4)
		network.runUntil(10*time.Second, "joined", network.converged)
		self := testHost(4, 4)
		self.Incarnation = 1
		network.startNode(self, []host.Host{testHost(0, 4)})
		network.run(6 * time.Second)
		require.True(t, network.converged())
	})
}

// Guards against data races between the timers, the link and readers.
func TestMemberIsSafeForConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 15)
		nodes := network.startAll(3, 1)
		network.runUntil(5*time.Second, "joined", network.converged)
		subject, err := member.New(member.Options{
			Self: testHost(9, 1), Seeds: []host.Host{testHost(0, 1)}, Random: rand.New(rand.NewPCG(1, 1)),
			Send: func(host.Host, member.Message) {},
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { subject.Run(ctx) })
		for _, node := range nodes {
			self := node.member.Self()
			group.Go(func() {
				for range 50 {
					time.Sleep(10 * time.Millisecond)
					subject.Receive(self.Name, member.Message{
						Kind: member.Ping, From: self.Name, Incarnation: self.Incarnation, State: host.Alive, Sender: &self,
					})
					_ = subject.Alive()
					subject.ApplyHostList([]host.Host{self})
				}
			})
		}
		time.Sleep(5 * time.Second)
		cancel()
		group.Wait()
	})
}

// Guards against another host on a dead host's address that answers for it.
func TestReusedAddressDoesNotKeepOldHostAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 7)
		nodes := network.startAll(8, 4)
		network.runUntil(10*time.Second, "joined", network.converged)
		other := testHost(4, 4)
		other.Name = "entry-900"
		network.startNode(other, []host.Host{testHost(0, 4)})
		network.runUntil(6*time.Second, "old host dead, new host alive", func() bool {
			return nodes[0].state("entry-004") == host.Dead && nodes[0].state("entry-900") == host.Alive
		})
	})
}

// Guards against regions that never rejoin after a network partition, and against hosts
// that declare others of their own region dead when they do.
func TestPartitionedRegionRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 8)
		nodes := network.startAll(12, 4)
		network.runUntil(10*time.Second, "joined", network.converged)
		network.partitioned = func(from, to host.Host) bool { return from.Region != to.Region }
		network.runUntil(20*time.Second, "other region declared dead", func() bool {
			return len(nodes[0].member.Alive()) == 6 && len(nodes[2].member.Alive()) == 6
		})
		network.run(time.Hour)
		network.partitioned = nil
		elapsed := network.runUntil(30*time.Second, "regions rejoined", func() bool {
			for _, entry := range nodes[0].member.Hosts() {
				if entry.Region == "region-0" {
					require.NotEqual(t, host.Dead, entry.State, "a host of its own region was declared dead")
				}
			}
			return network.converged()
		})
		t.Logf("regions rejoined after %s", elapsed)
	})
}

// Guards against a lost failure domain that is detected two hosts at a time, as its dead
// relays are replaced.
func TestLostFailureDomainIsDetectedAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 9)
		nodes := network.startAll(48, 4)
		network.runUntil(20*time.Second, "joined", network.converged)
		for _, node := range nodes {
			node.running = node.host.FailureDomain != "domain-03"
		}
		elapsed := network.runUntil(20*time.Second, "the domain is dead", network.converged)
		t.Logf("a domain of 12 hosts declared dead after %s", elapsed)
	})
}

// Guards against hosts declared dead because of message loss alone, and against real
// deaths that message loss hides.
func TestMessageLossCausesNoFalseDeaths(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{16, 4}, {28, 1}} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				network := newNetwork(t, seed)
				network.loss = 0.2
				nodes := network.startAll(size.hosts, size.domains)
				network.runUntil(30*time.Second, "joined", func() bool {
					return len(nodes[0].member.Alive()) == size.hosts && len(nodes[9].member.Alive()) == size.hosts
				})
				for range 600 {
					network.run(tick)
					require.Zero(t, network.countState(host.Dead), "live hosts were declared dead")
				}
				nodes[9].running = false
				elapsed := network.runUntil(8*time.Second, "real death detected", func() bool {
					return nodes[1].state("entry-009") == host.Dead && nodes[5].state("entry-009") == host.Dead
				})
				t.Logf("hosts=%d seed=%d death detected after %s", size.hosts, seed, elapsed)
			})
		}
	}
}

// Guards against a host that is listed as leaving but continues to take calls, and
// against a lagging list that is applied to its successor process.
func TestHostListLeavingIsFinalForTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 10)
		nodes := network.startAll(8, 4)
		network.run(time.Minute)
		listed := testHost(4, 4)
		listed.State = host.Leaving
		nodes[0].member.ApplyHostList([]host.Host{listed})
		network.runUntil(3*time.Second, "all hosts, including itself, see it leaving", func() bool {
			for _, node := range nodes {
				if node.state("entry-004") != host.Leaving {
					return false
				}
			}
			return true
		})
		nodes[4].running = false
		network.run(10 * time.Second)
		network.startNode(testHost(4, 4), []host.Host{testHost(0, 4)})
		for range 60 {
			network.run(time.Second)
			nodes[0].member.ApplyHostList([]host.Host{listed})
		}
		require.True(t, network.converged(), "the lagging list was applied to the new process")
	})
}

// Guards against a message under a name other than its sender's.
func TestMessageUnderAnotherNameIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 11)
		nodes := network.startAll(3, 1)
		network.runUntil(5*time.Second, "joined", network.converged)
		nodes[0].member.Receive("entry-001", member.Message{
			Kind: member.Ping, From: "entry-002", To: "entry-000", Incarnation: 1 << 60, State: host.Leaving,
		})
		require.Equal(t, host.Alive, nodes[0].state("entry-002"))
	})
}

// Guards against per-host traffic that grows with the fleet. The membership may use a
// third of the target of 13 KB/s.
func TestBytesPerHostStayWithinTheBudget(t *testing.T) {
	const bound = 13000 / 3
	for _, count := range []int{8, 32, 100} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 12)
			nodes := network.startAll(count, 12)
			network.runUntil(30*time.Second, "joined", network.converged)
			// The updates of so many simultaneous joins are transmitted for a while.
			network.run(time.Minute)
			network.encoded = true
			const period = 10
			network.run(period * time.Second)
			total, most := 0, 0
			for _, node := range nodes {
				total += node.bytes
				most = max(most, node.bytes)
			}
			t.Logf("measure=member hosts=%d value=%d most=%d unit=B/s", count, total/count/period, most/period)
			require.Less(t, most/period, bound)
		})
	}
}
