package ending_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
)

// inStreams is the place of cuts in streams of a service, and inAnswers that of cuts in its other responses.
var (
	inStreams = ending.Place{Service: "a", FailureDomain: "x"}
	inAnswers = ending.Place{Service: "a", FailureDomain: "x", Plain: true}
)

// endWhole makes a number of framed responses of the service end whole.
func endWhole(cuts *ending.Cuts, count int, isStream bool) {
	for range count {
		cuts.RecordWhole("a", isStream, time.Now())
	}
}

// Guards against one cut that costs a service its responses without a length or chunks for minutes, though
// framed ones end whole.
func TestFramedResponsesThatEndWholeClearACut(t *testing.T) {
	cuts := ending.NewCuts()
	cuts.Record(inAnswers, time.Now())
	endWhole(cuts, ending.ClearingResponses-1, false)
	require.True(t, cuts.Known("a", "x", true, time.Now()))
	cuts.RecordWhole("another", false, time.Now())
	require.True(t, cuts.Known("a", "x", true, time.Now()), "a response of another service")
	endWhole(cuts, 1, true)
	require.False(t, cuts.Known("a", "x", true, time.Now()))
	require.False(t, cuts.Known("another", "x", false, time.Now()), "a service that never frames")
	require.Empty(t, cuts.Newest(time.Now()), "a host that starts is not told")
}

// Guards against cuts that come again and again more rarely than the responses that clear them.
func TestCutsThatComeAgainNeedMoreResponses(t *testing.T) {
	cuts, needed := ending.NewCuts(), ending.ClearingResponses
	for range 4 {
		require.True(t, cuts.Record(inStreams, time.Now()), "the other hosts are told")
		endWhole(cuts, needed-1, true)
		require.True(t, cuts.Known("a", "x", true, time.Now()), needed)
		cuts.Record(inStreams, time.Now())
		endWhole(cuts, needed-1, true)
		require.True(t, cuts.Known("a", "x", true, time.Now()), "the second cut counts from its own time")
		endWhole(cuts, 1, true)
		require.False(t, cuts.Known("a", "x", true, time.Now()), needed)
		needed *= 2
	}
}

// Guards against short responses that clear what cuts long streams.
func TestPlainResponsesClearNoCutsOfStreams(t *testing.T) {
	cuts := ending.NewCuts()
	cuts.Record(inStreams, time.Now())
	endWhole(cuts, 10*ending.ClearingResponses, false)
	require.True(t, cuts.Known("a", "x", true, time.Now()))
	endWhole(cuts, ending.ClearingResponses, true)
	require.False(t, cuts.Known("a", "x", true, time.Now()))
}

// fleet is hosts that tell each other of cuts. The first one collects.
type fleet struct {
	hosts []*ending.Cuts
	// delay is how long messages take, lossPercent how many are lost.
	delay       time.Duration
	lossPercent int
	random      *rand.Rand
}

func newFleet(size int) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(1, 2)), delay: time.Millisecond}
	for range size {
		host := ending.NewCuts()
		host.SetCollects(len(fleet.hosts) == 0)
		fleet.hosts = append(fleet.hosts, host)
	}
	return fleet
}

// round delivers what is due at all hosts, and lets some time pass.
func (fleet *fleet) round() {
	for from, host := range fleet.hosts {
		due := host.TakeDue(time.Now())
		for to := range fleet.hosts {
			messages := due
			if to == 0 {
				messages = append(messages[:len(messages):len(messages)], host.TakeCounts(time.Now())...)
			}
			for _, message := range messages {
				if to != from && fleet.random.IntN(100) >= fleet.lossPercent {
					time.AfterFunc(fleet.delay, func() { fleet.hosts[to].Apply(message, time.Now()) })
				}
			}
		}
	}
	time.Sleep(150 * time.Millisecond)
}

func (fleet *fleet) known() (count int) {
	for _, host := range fleet.hosts {
		if host.Known("a", "x", true, time.Now()) {
			count++
		}
	}
	return count
}

// Guards against hosts that wait for as many responses each as all of them together have seen.
func TestHostsClearACutTogether(t *testing.T) {
	for name, lossPercent := range map[string]int{"no loss": 0, "loss": 30} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(20)
				fleet.lossPercent = lossPercent
				fleet.hosts[7].Record(inAnswers, time.Now())
				fleet.round()
				require.Greater(t, fleet.known(), 10)
				rounds := 0
				for ; fleet.known() > 0; rounds++ {
					for _, host := range fleet.hosts {
						endWhole(host, 2, false)
					}
					fleet.round()
				}
				require.LessOrEqual(t, rounds, map[string]int{"no loss": 3, "loss": 10}[name], "%d responses a round", 40)
				for range 100 {
					fleet.round()
				}
				require.Zero(t, fleet.known(), "no late report brings the cut back")
			})
		})
	}
}

// Guards against a cut that is forgotten because the hosts that have not seen it go on counting.
func TestNewerCutIsKnownAtAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(5)
		fleet.hosts[1].Record(inAnswers, time.Now())
		fleet.round()
		for range 30 {
			for _, host := range fleet.hosts {
				endWhole(host, 10, false)
			}
			fleet.hosts[3].Record(inAnswers, time.Now())
			fleet.round()
			require.Equal(t, 5, fleet.known())
		}
		for range 10 {
			for _, host := range fleet.hosts {
				endWhole(host, 10, false)
			}
			fleet.round()
		}
		require.Zero(t, fleet.known())
		fleet.hosts[2].Record(inAnswers, time.Now())
		fleet.round()
		require.Equal(t, 5, fleet.known(), "after it was cleared")
	})
}

// Guards against reports that arrive late, as at a host that was paused, and count as new cuts.
func TestLateReportsAreNoNewCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3)
		fleet.hosts[0].Record(inAnswers, time.Now())
		fleet.hosts[1].Record(inAnswers, time.Now())
		fleet.delay = 2 * time.Second
		for range 40 {
			fleet.round()
			for _, host := range fleet.hosts {
				endWhole(host, 50, false)
			}
		}
		require.Zero(t, fleet.known())
		for range 100 {
			fleet.round()
			require.Zero(t, fleet.known())
		}
	})
}

// maxShortShare bounds the unframed responses that are cut while no cut counts: a tenth of those that a device may
// cut before any is seen (platform, maxUnseenShare).
const maxShortShare = 0.1 * 13 / 1941

/*
Guards against a device that cuts a share of all responses in order, and is taken for harmless: of the unframed
responses, no more may be cut while no cut counts than the bound says, whatever the share is.
*/
func TestSteadyCutsStayKnown(t *testing.T) {
	for _, perMille := range []int{1, 2, 5, 10, 20, 50, 100, 500} {
		synctest.Test(t, func(t *testing.T) {
			cuts, random := ending.NewCuts(), rand.New(rand.NewPCG(uint64(perMille), 1))
			short, total := 0, 20_000
			for range total {
				if isCut := random.IntN(1000) < perMille; isCut && !cuts.Known("a", "x", true, time.Now()) {
					short++
				}
				if random.IntN(1000) < perMille {
					cuts.Record(inAnswers, time.Now())
				} else {
					cuts.RecordWhole("a", false, time.Now())
				}
				time.Sleep(time.Millisecond)
			}
			t.Logf("%d in 1,000 are cut: %d of %d unframed responses while no cut counts", perMille, short, total)
			require.LessOrEqual(t, float64(short)/float64(total), maxShortShare)
		})
	}
}

// Guards against a late report that an older cut is cleared, which clears a newer one for good.
func TestLateClearingClearsNoNewerCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		collector, host := ending.NewCuts(), ending.NewCuts()
		host.SetCollects(false)
		host.Record(inAnswers, time.Now())
		collector.Apply(host.TakeDue(time.Now())[0], time.Now())
		endWhole(collector, ending.ClearingResponses, false)
		late := collector.TakeDue(time.Now())[0]
		time.Sleep(time.Second)
		host.Record(inAnswers, time.Now())
		time.Sleep(time.Second)
		require.True(t, late[0].Cleared)
		host.Apply(late, time.Now())
		require.True(t, host.Known("a", "x", true, time.Now()))
	})
}

// Guards against two cuts at the same moment of which each host knows another one, so that what they count is
// never added.
func TestCutsAtTheSameMomentAreClearedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(8)
		for index := range fleet.hosts {
			fleet.hosts[index].Record(inAnswers, time.Now())
		}
		for range 10 {
			fleet.round()
		}
		rounds := 0
		for ; fleet.known() > 0 && rounds < 50; rounds++ {
			for _, host := range fleet.hosts {
				endWhole(host, 2, false)
			}
			fleet.round()
		}
		require.LessOrEqual(t, rounds, 6, "16 responses a round")
	})
}

// Guards against counts without bounds in reports of other hosts.
func TestReportedCountsAreBounded(t *testing.T) {
	cuts := ending.NewCuts()
	cuts.Record(inAnswers, time.Now())
	report := cuts.Newest(time.Now())[0]
	report.Whole = -1 << 40
	cuts.Apply([]ending.CutReport{report}, time.Now())
	endWhole(cuts, ending.ClearingResponses, false)
	require.False(t, cuts.Known("a", "x", true, time.Now()))
}

// Guards against responses that wait for a cut to be cleared that will not be, or not wait for one that will.
func TestMayClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cuts := ending.NewCuts()
		mayClear := func() bool { return cuts.MayClear("a", "x", true, time.Now()) }
		require.True(t, mayClear())
		cuts.Record(inAnswers, time.Now())
		time.Sleep(2 * time.Second)
		require.False(t, mayClear(), "nothing framed ends")
		endWhole(cuts, 10, false)
		require.True(t, mayClear())
		time.Sleep(8 * time.Second)
		require.False(t, mayClear(), "there was time for more")
		endWhole(cuts, ending.ClearingResponses, false)
		for range 3 {
			cuts.Record(inAnswers, time.Now())
			endWhole(cuts, 1, false)
			time.Sleep(100 * time.Millisecond)
		}
		require.True(t, mayClear(), "several at once")
		time.Sleep(4 * time.Second)
		require.True(t, mayClear())
		cuts.Record(inAnswers, time.Now())
		endWhole(cuts, 1, false)
		require.False(t, mayClear(), "cuts come again")
	})
}
