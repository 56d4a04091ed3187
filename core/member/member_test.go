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

// Guards against a member that starts without what it needs, and against
// errors that do not name the option.
func TestNewNamesTheBadOption(t *testing.T) {
	whole := member.Options{
		Self: describe(0, 1), Send: func(host.Host, member.Message) {}, Random: rand.New(rand.NewPCG(1, 1)),
	}
	cases := map[string]func(*member.Options){
		"self.name":           func(options *member.Options) { options.Self.Name = "" },
		"self.failure_domain": func(options *member.Options) { options.Self.FailureDomain = "" },
		"send":                func(options *member.Options) { options.Send = nil },
		"random":              func(options *member.Options) { options.Random = nil },
		"fanout":              func(options *member.Options) { options.Fanout = -1 },
	}
	for field, spoil := range cases {
		options := whole
		spoil(&options)
		_, err := member.New(options)
		var found *member.Error
		require.ErrorAs(t, err, &found)
		require.Equal(t, field, found.Field)
		require.True(t, fault.Is(err, member.Invalid))
	}
}

// Guards against hosts that never find each other, or only some of them.
func TestHostsJoinFromSeeds(t *testing.T) {
	for _, count := range []int{2, 8, 32, 100} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 1)
			network.startAll(count, 4)
			took := network.until(20*time.Second, "all hosts know each other", network.agree)
			t.Logf("hosts=%d joined after %s", count, took)
		})
	}
}

// Guards against deaths found late or not by everybody in the failure domain.
func TestKilledHostIsFoundDeadInTime(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{8, 4}, {28, 1}, {84, 3}} {
		worst, everybody := time.Duration(0), time.Duration(0)
		for seed := range uint64(8) {
			synctest.Test(t, func(t *testing.T) {
				network := newNetwork(t, seed)
				nodes := network.startAll(size.hosts, size.domains)
				network.until(10*time.Second, "joined", network.agree)
				network.run(time.Duration(seed) * 77 * time.Millisecond)
				nodes[5].running = false
				took := network.until(3*time.Second, "its failure domain knows", func() bool {
					for _, node := range nodes {
						if node.running && node.host.FailureDomain == nodes[5].host.FailureDomain && node.state("entry-005") != host.Dead {
							return false
						}
					}
					return true
				})
				worst = max(worst, took)
				everybody = max(everybody, took+network.until(4*time.Second, "everybody knows", network.agree))
			})
		}
		t.Logf("measure=death hosts=%d domains=%d value=%.1f everywhere=%.1f unit=s bound=3",
			size.hosts, size.domains, worst.Seconds(), everybody.Seconds())
	}
}

// Guards against a leaving host that is still listed, and against one that
// comes back because a stale record says it is alive.
func TestLeavingHostIsUnlistedAtOnceAndStaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 3)
		nodes := network.startAll(12, 4)
		network.until(10*time.Second, "joined", network.agree)
		changed := nodes[7].member.Changed()
		nodes[3].member.Leave()
		network.until(2*time.Second, "all hosts see it leaving", func() bool {
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
			t.Fatal("the change was not announced")
		}
		network.run(10 * time.Second)
		require.Equal(t, host.Leaving, nodes[7].state("entry-003"), "a leaving host that runs is not dead")
		nodes[3].running = false
		network.until(5*time.Second, "its end is noticed", func() bool { return nodes[7].state("entry-003") == host.Dead })
	})
}

// Guards against a paused host that goes on as if nothing had happened, or that
// buries the others when it wakes.
func TestFrozenHostWakesAndIsAliveAgain(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 8 * time.Second, 5 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 4)
			network.measured = true
			nodes := network.startAll(8, 4)
			network.until(10*time.Second, "joined", network.agree)
			before := nodes[2].member.Self().Incarnation
			nodes[2].frozen = true
			network.run(pause)
			network.wake(nodes[2])
			died := false
			network.until(5*time.Second, "alive again", func() bool {
				for _, known := range nodes[2].member.Hosts() {
					died = died || known.State == host.Dead
				}
				return network.agree()
			})
			require.Greater(t, nodes[2].member.Self().Incarnation, before)
			require.False(t, died, "the host that woke took others for dead")
		})
	}
}

// Guards against a host that was paused while another died and was forgotten
// as news: it must not keep the dead one as alive.
func TestHostThatSleptThroughADeathLearnsOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 5)
		nodes := network.startAll(12, 4)
		network.until(10*time.Second, "joined", network.agree)
		nodes[2].frozen = true
		network.run(5 * time.Second)
		nodes[7].running = false
		network.run(5 * time.Minute)
		nodes[2].held = nil
		network.wake(nodes[2])
		network.until(10*time.Second, "the death is known", func() bool {
			return nodes[2].state("entry-007") == host.Dead && network.agree()
		})
	})
}

// Guards against a restarted host that is taken for the dead one before it.
func TestRestartOnTheSameAddressIsANewIncarnation(t *testing.T) {
	for _, gap := range []time.Duration{50 * time.Millisecond, 10 * time.Second, time.Hour / 2} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 6)
			nodes := network.startAll(8, 4)
			network.until(10*time.Second, "joined", network.agree)
			before := nodes[4].member.Self().Incarnation
			nodes[4].running = false
			network.run(gap)
			again := network.start(describe(4, 4), []host.Host{describe(0, 4)})
			network.until(6*time.Second, "the new process is a member", func() bool {
				for _, known := range nodes[1].member.Hosts() {
					if known.Name == "entry-004" && known.Incarnation != again.member.Self().Incarnation {
						return false
					}
				}
				return network.agree()
			})
			require.Greater(t, again.member.Self().Incarnation, before)
		})
	}
}

// Guards against a restarted host that is never heard because its clock was set
// back and its incarnation is below that of the process before it.
func TestRestartWithAnEarlierClockIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 14)
		network.startAll(8, 4)
		network.until(10*time.Second, "joined", network.agree)
		self := describe(4, 4)
		self.Incarnation = 1
		network.start(self, []host.Host{describe(0, 4)})
		network.run(6 * time.Second)
		require.True(t, network.agree())
	})
}

// Guards against data races between the timers, the link and readers.
func TestMemberMayBeUsedByManyGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 15)
		nodes := network.startAll(3, 1)
		network.until(5*time.Second, "joined", network.agree)
		one, err := member.New(member.Options{
			Self: describe(9, 1), Seeds: []host.Host{describe(0, 1)}, Random: rand.New(rand.NewPCG(1, 1)),
			Send: func(host.Host, member.Message) {},
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { one.Run(ctx) })
		for _, node := range nodes {
			self := node.member.Self()
			wait.Go(func() {
				for range 50 {
					time.Sleep(10 * time.Millisecond)
					one.Receive(self.Name, member.Message{
						Kind: member.Ping, From: self.Name, Incarnation: self.Incarnation, State: host.Alive, Sender: &self,
					})
					_ = one.Alive()
					one.MarkListed([]host.Host{self})
				}
			})
		}
		time.Sleep(5 * time.Second)
		cancel()
		wait.Wait()
	})
}

// Guards against another host on a dead host's address answering for it.
func TestTakenOverAddressDoesNotKeepTheOldHostAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 7)
		nodes := network.startAll(8, 4)
		network.until(10*time.Second, "joined", network.agree)
		other := describe(4, 4)
		other.Name = "entry-900"
		network.start(other, []host.Host{describe(0, 4)})
		network.until(6*time.Second, "old dead, new alive", func() bool {
			return nodes[0].state("entry-004") == host.Dead && nodes[0].state("entry-900") == host.Alive
		})
	})
}

// Guards against parts of the system that never meet again after regions were
// cut off from each other, and against hosts that take their own neighbours
// for dead when they do.
func TestRegionPartedForAnHourJoinsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 8)
		nodes := network.startAll(12, 4)
		network.until(10*time.Second, "joined", network.agree)
		network.cut = func(from, to host.Host) bool { return from.Region != to.Region }
		network.until(20*time.Second, "the other region is found dead", func() bool {
			return len(nodes[0].member.Alive()) == 6 && len(nodes[2].member.Alive()) == 6
		})
		network.run(time.Hour)
		network.cut = nil
		took := network.until(30*time.Second, "the regions met", func() bool {
			for _, known := range nodes[0].member.Hosts() {
				if known.Region == "region-0" {
					require.NotEqual(t, host.Dead, known.State, "a neighbour was taken for dead")
				}
			}
			return network.agree()
		})
		t.Logf("regions met after %s", took)
	})
}

// Guards against a lost failure domain that is noticed two hosts at a time.
func TestLostFailureDomainIsNoticedAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 9)
		nodes := network.startAll(48, 4)
		network.until(20*time.Second, "joined", network.agree)
		for _, node := range nodes {
			node.running = node.host.FailureDomain != "domain-03"
		}
		took := network.until(20*time.Second, "the domain is dead", network.agree)
		t.Logf("a domain of 12 hosts found dead after %s", took)
	})
}

// Guards against deaths that are only lost messages, and real deaths that
// losses hide.
func TestLossOfAFifthBuriesNobodyAlive(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{16, 4}, {28, 1}} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				network := newNetwork(t, seed)
				network.loss = 0.2
				nodes := network.startAll(size.hosts, size.domains)
				network.until(30*time.Second, "joined", func() bool {
					return len(nodes[0].member.Alive()) == size.hosts && len(nodes[9].member.Alive()) == size.hosts
				})
				for range 600 {
					network.run(tick)
					require.Zero(t, network.count(host.Dead), "hosts alive were taken for dead")
				}
				nodes[9].running = false
				took := network.until(8*time.Second, "a real death is found", func() bool {
					return nodes[1].state("entry-009") == host.Dead && nodes[5].state("entry-009") == host.Dead
				})
				t.Logf("hosts=%d seed=%d death found after %s", size.hosts, seed, took)
			})
		}
	}
}

// Guards against a leaving host of the platform's list that goes on taking
// calls, and against the list's lag reaching the process after it.
func TestHostListLeavingIsFinalForTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 10)
		nodes := network.startAll(8, 4)
		network.run(time.Minute)
		listed := describe(4, 4)
		listed.State = host.Leaving
		nodes[0].member.MarkListed([]host.Host{listed})
		network.until(3*time.Second, "everybody sees it leaving, itself too", func() bool {
			for _, node := range nodes {
				if node.state("entry-004") != host.Leaving {
					return false
				}
			}
			return true
		})
		nodes[4].running = false
		network.run(10 * time.Second)
		network.start(describe(4, 4), []host.Host{describe(0, 4)})
		for range 60 {
			network.run(time.Second)
			nodes[0].member.MarkListed([]host.Host{listed})
		}
		require.True(t, network.agree(), "the old listing was applied to the new process")
	})
}

// Guards against a message under a name that its sender is not entitled to.
func TestMessageUnderAnotherNameIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t, 11)
		nodes := network.startAll(3, 1)
		network.until(5*time.Second, "joined", network.agree)
		nodes[0].member.Receive("entry-001", member.Message{
			Kind: member.Ping, From: "entry-002", To: "entry-000", Incarnation: 1 << 60, State: host.Leaving,
		})
		require.Equal(t, host.Alive, nodes[0].state("entry-002"))
	})
}

// Guards against a host's traffic that grows with the fleet. The bound is the
// 13 KB/s of the target, of which the membership may take a third.
func TestBytesPerHostStayWithinTheBudget(t *testing.T) {
	const bound = 13000 / 3
	for _, count := range []int{8, 32, 100} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork(t, 12)
			nodes := network.startAll(count, 12)
			network.until(30*time.Second, "joined", network.agree)
			// The news of so many joins at once are passed on for a while.
			network.run(time.Minute)
			network.measured = true
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
