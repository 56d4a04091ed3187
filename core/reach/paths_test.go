package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/host"
	"primrosegw/core/reach"
)

// start is the beginning of each test's time.
var start = time.Unix(1_000_000, 0)

// at returns a moment some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a host that takes single servers out of its reach for being cut off from all.
func TestTwoPathsDownWithoutASignMeanCutOff(t *testing.T) {
	for name, test := range map[string]struct {
		between func(paths *reach.Paths)
		second  string
		at      int
		want    bool
	}{
		"two paths":              {second: "b", at: 100, want: true},
		"one path twice":         {second: "a", at: 100},
		"long after":             {second: "b", at: 2100},
		"a byte in between":      {second: "b", at: 100, between: func(paths *reach.Paths) { paths.RecordByte("c", at(50)) }},
		"a direct dial between":  {second: "b", at: 100, between: func(paths *reach.Paths) { paths.RecordDirect("c", at(50)) }},
		"a sign before both":     {second: "b", at: 100, between: func(paths *reach.Paths) { paths.RecordByte("c", at(-1)) }, want: true},
		"the path itself is up ": {second: "b", at: 100, between: func(paths *reach.Paths) { paths.RecordDirect("a", at(50)) }},
	} {
		t.Run(name, func(t *testing.T) {
			paths := reach.New()
			require.False(t, paths.RecordDown("a", at(0)).CutOff)
			if test.between != nil {
				test.between(paths)
			}
			require.Equal(t, test.want, paths.RecordDown(test.second, at(test.at)).CutOff)
			require.Equal(t, test.want, paths.CutOffFor(at(test.at+10)) > 0)
			require.Equal(t, test.want, paths.IsDown("another"))
			require.True(t, paths.IsDown(test.second))
		})
	}
}

// Guards against a host that goes on through others after the cut has ended.
func TestDirectDialEndsTheCut(t *testing.T) {
	paths := reach.New()
	paths.RecordDown("a", at(0))
	require.True(t, paths.RecordDown("b", at(10)).CutOff)
	require.False(t, paths.MayReuse("c", at(20)))
	paths.RecordByte("c", at(30))
	require.True(t, paths.IsDown("c"), "a byte that was on its way does not end it")
	change := paths.RecordDirect("c", at(500))
	require.True(t, change.Regained)
	require.Equal(t, 490*time.Millisecond, change.Lasted)
	require.Equal(t, 2, change.Down)
	require.Zero(t, paths.CutOffFor(at(500)))
	require.False(t, paths.IsDown("c"))
	require.True(t, paths.IsDown("a"), "each path comes back by itself")
	require.False(t, paths.RecordDirect("a", at(510)).Regained)
	require.False(t, paths.IsDown("a"))
}

// Guards against direct dials in the background that are too many, or not made for a host that is cut off.
func TestDueDials(t *testing.T) {
	paths := reach.New()
	paths.RecordByte("up", at(0))
	paths.RecordDown("a", at(0))
	require.Empty(t, paths.DueDials(at(299)))
	require.Equal(t, []string{"a"}, paths.DueDials(at(300)))
	require.Empty(t, paths.DueDials(at(400)))
	paths.RecordDown("b", at(400))
	paths.RecordDown("c", at(410))
	require.ElementsMatch(t, []string{"a", "b", "c", "up"}, paths.DueDials(at(710)))
	require.ElementsMatch(t, []string{"a", "b", "c"}, paths.DueDials(at(61_000)), "a process that is not used any more is forgotten")
	require.Equal(t, 120*time.Second, paths.CutOffFor(at(120_410)), "a long cut is not forgotten")
	for _, process := range []string{"a", "b", "c"} {
		paths.Forget(process)
	}
	require.Empty(t, paths.DueDials(at(130_000)))
	require.Zero(t, paths.CutOffFor(at(130_000)))
}

// Guards against attempts that are ended while their server is only slow, and against those at a server
// that can't be reached which wait for their deadlines.
func TestSilenceEndsAttemptsOnlyOnAPathThatIsDown(t *testing.T) {
	paths := reach.New()
	require.False(t, paths.TakeProbe("a", at(0), at(249)))
	require.True(t, paths.TakeProbe("a", at(0), at(250)))
	require.False(t, paths.TakeProbe("b", at(0), at(300)), "one probe in a while")
	paths.RecordDirect("a", at(251))
	require.False(t, paths.Breaks("a", at(0), at(5000)), "the server is silent, its path is up")
	paths.RecordByte("b", at(300))
	require.False(t, paths.TakeProbe("a", at(0), at(600)), "another server has sent something")
	require.True(t, paths.TakeProbe("a", at(310), at(600)))
	paths.RecordDown("a", at(620))
	require.False(t, paths.Breaks("a", at(310), at(910)), "the server may have been silent until another host reached it")
	paths.RecordRefuted("a", at(619))
	require.False(t, paths.Breaks("a", at(310), at(910)), "a dial that began before says nothing more")
	paths.RecordRefuted("a", at(621))
	require.False(t, paths.Breaks("a", at(310), at(909)))
	require.True(t, paths.Breaks("a", at(310), at(910)))
	require.False(t, paths.Breaks("a", at(650), at(1300)), "nothing is known of the time since the server fell silent")
	require.False(t, paths.Breaks("b", at(310), at(2000)))
	paths.RecordByte("a", at(915))
	require.False(t, paths.Breaks("a", at(310), at(920)), "other connections of the process go on")
	require.True(t, paths.MayReuse("a", at(920)))
	require.False(t, paths.MayReuse("a", at(1200)))
}

// Guards against requests that wait for dials while neither way reaches any server, and against dials that
// are given up early because one server is down.
func TestReachesNone(t *testing.T) {
	paths := reach.New()
	paths.RecordFailed("a", at(0))
	paths.RecordFailed("a", at(10))
	require.False(t, paths.ReachesNone(at(20)))
	paths.RecordFailed("b", at(20))
	require.True(t, paths.ReachesNone(at(20)))
	require.False(t, paths.ReachesNone(at(2011)))
	paths.RecordFailed("a", at(2012))
	require.True(t, paths.ReachesNone(at(2012)))
	paths.RecordTunnel(at(2013))
	require.False(t, paths.ReachesNone(at(2013)))
	paths.RecordFailed("a", at(2014))
	paths.RecordFailed("b", at(2014))
	require.True(t, paths.ReachesNone(at(2014)))
	paths.RecordDirect("c", at(2015))
	require.False(t, paths.ReachesNone(at(2015)))
}

// Guards against a host that takes one server which accepts and resets connections, or is silent, for being
// cut off, and against one that does not find out that all do.
func TestTwoMutePathsWithoutASignMeanCutOff(t *testing.T) {
	for name, test := range map[string]struct {
		second string
		sign   int
		want   bool
	}{
		"one server twice":         {second: "a", sign: -1},
		"two servers":              {second: "b", sign: -1, want: true},
		"a byte in between":        {second: "b", sign: 50},
		"a byte while it is asked": {second: "b", sign: 90},
	} {
		t.Run(name, func(t *testing.T) {
			paths := reach.New()
			require.False(t, paths.RecordMute("a", true, at(0), at(10)).CutOff)
			require.False(t, paths.OwnInDoubt(at(10)))
			paths.RecordByte("c", at(test.sign))
			require.Equal(t, test.want, paths.RecordMute(test.second, false, at(80), at(100)).CutOff)
			require.Equal(t, test.want, paths.CutOffFor(at(110)) > 0)
			require.Equal(t, test.want, paths.InDoubt("c", at(110)))
			require.Equal(t, test.want, paths.RecordDirect("c", at(120)).Regained)
		})
	}
	paths := reach.New()
	paths.RecordMute("a", true, at(0), at(10))
	require.True(t, paths.RecordDown("b", at(20)).CutOff, "one is reached by another host")
	require.ElementsMatch(t, []string{"a", "b"}, paths.DueDials(at(400)))
}

// Guards against requests on new connections that are accepted and then reset while old ones go on, and
// against questions to servers whose path is sound or that are only silent.
func TestNewConnectionsAreInDoubtAfterOneWithoutAByte(t *testing.T) {
	paths := reach.New()
	require.False(t, paths.InDoubt("a", at(0)))
	paths.RecordMute("quiet", false, at(-10), at(0))
	require.False(t, paths.InDoubt("quiet", at(0)), "a silent server may be slow")
	paths.RecordBroken("a", false, at(0))
	require.False(t, paths.InDoubt("a", at(0)), "it was an old connection")
	paths.RecordBroken("a", true, at(10))
	paths.RecordByte("a", at(20))
	require.True(t, paths.InDoubt("a", at(20)), "old connections go on")
	require.True(t, paths.MayReuse("a", at(20)))
	require.False(t, paths.MayReuse("a", at(270)), "no byte came lately")
	require.False(t, paths.InDoubt("b", at(20)))
	paths.RecordBroken("b", true, at(30))
	require.True(t, paths.InDoubt("c", at(30)), "new connections to two servers broke")
	paths.RecordDirect("b", at(40))
	require.False(t, paths.InDoubt("b", at(40)))
	require.False(t, paths.InDoubt("a", at(2011)))
}

// Guards against requests that are sent on new connections right after all old ones were reset.
func TestResetOfTheConnectionsToTwoServersPutsAllPathsInDoubt(t *testing.T) {
	paths := reach.New()
	paths.RecordBroken("a", false, at(0))
	require.False(t, paths.InDoubt("c", at(0)))
	paths.RecordBroken("b", false, at(1))
	require.True(t, paths.InDoubt("c", at(1)))
	paths.RecordByte("d", at(2))
	require.False(t, paths.InDoubt("c", at(2)))
}

// Guards against helpers that can't help, and against one that gets all the work.
func TestHelpers(t *testing.T) {
	var live []host.Host
	for number := range 8 {
		live = append(live, host.Host{Name: fmt.Sprint("host-", number), FailureDomain: fmt.Sprint("domain-", number%4)})
	}
	peers := reach.NewPeers()
	peers.Record("host-6", true, at(0))
	reverse := func(n int, swap func(a, b int)) {
		for index := range n / 2 {
			swap(index, n-1-index)
		}
	}
	require.Equal(t, []string{"host-2", "host-7", "host-5"}, names(peers.Helpers(live, "host-0", "domain-2", at(1), reverse)))
	require.Empty(t, peers.Helpers(live[:1], "host-0", "domain-2", at(1), reverse))
	peers.RecordHelp("host-2", false, at(1))
	peers.RecordHelp("host-7", false, at(1))
	peers.RecordHelp("host-7", true, at(2))
	require.Equal(t, []string{"host-7", "host-5", "host-4"}, names(peers.Helpers(live, "host-0", "domain-2", at(3), reverse)))
	require.Equal(t, []string{"host-2", "host-7", "host-5"}, names(peers.Helpers(live, "host-0", "domain-2", at(1001), reverse)))
	peers.Record("host-6", false, at(1001))
	require.Equal(t, []string{"host-6", "host-2", "host-7"}, names(peers.Helpers(live, "host-0", "domain-2", at(1002), reverse)))
	require.Len(t, live, 8)
}

// Guards against lists of addresses that are empty or too short for the callers.
func TestListed(t *testing.T) {
	var entry []host.Host
	for number := range 8 {
		entry = append(entry, host.Host{Name: fmt.Sprint("host-", number)})
	}
	for cut, want := range []int{8, 7, 6, 8, 8, 8, 8, 8, 8} {
		peers := reach.NewPeers()
		for number := range cut {
			peers.Record(fmt.Sprint("host-", number), true, at(0))
		}
		require.Len(t, reach.Listed(entry, func(name string) bool { return peers.IsCutOff(name, at(1)) }), want, cut)
		require.Len(t, reach.Listed(entry, func(name string) bool { return peers.IsCutOff(name, at(2500)) }), 8, cut)
	}
	one := entry[:1]
	require.Len(t, reach.Listed(one, func(string) bool { return true }), 1)
}

func names(hosts []host.Host) []string {
	names := make([]string, len(hosts))
	for index, one := range hosts {
		names[index] = one.Name
	}
	return names
}

// Guards against requests on a kept connection through a host that is leaving: they are cut when it has left.
func TestConnectionsThroughALeavingHostTakeNoRequests(t *testing.T) {
	peers, live := reach.NewPeers(), []host.Host{{Name: "a"}, {Name: "b"}}
	require.True(t, peers.MayCarry("b", live, at(0)))
	require.False(t, peers.MayCarry("b", live[:1], at(0)), "it is not listed as live any more")
	peers.Record("a", true, at(0))
	require.False(t, peers.MayCarry("a", live, at(1)), "it is cut off")
}

// Guards against a host that takes servers which fall silent together for a cut of its own paths, and ends the
// attempts there.
func TestSilenceOfAllServersBreaksNothing(t *testing.T) {
	paths := reach.New()
	require.False(t, paths.RecordMute("a", false, at(250), at(400)).CutOff)
	require.True(t, paths.RecordMute("b", false, at(300), at(450)).CutOff)
	paths.RecordRefuted("a", at(700))
	paths.RecordRefuted("b", at(700))
	for _, process := range []string{"a", "b", "c"} {
		require.False(t, paths.Breaks(process, at(0), at(2000)), "no other host has reached a server")
	}
	paths.RecordTunnel(at(1000))
	require.False(t, paths.Breaks("a", at(0), at(1400)), "the servers may have gone on")
	paths.RecordRefuted("a", at(1010))
	for _, process := range []string{"a", "b", "c"} {
		require.True(t, paths.Breaks(process, at(0), at(1450)))
	}
	paths.RecordByte("b", at(1460))
	require.False(t, paths.Breaks("a", at(0), at(1470)), "a server has gone on")
	paths.RecordTunnel(at(1480))
	paths.RecordUnanswered("a", at(1481))
	require.False(t, paths.Breaks("a", at(0), at(2080)), "no other host got a byte")
	paths.RecordProven("b", at(1482))
	require.False(t, paths.Breaks("a", at(0), at(2085)), "the question was asked before")
	paths.RecordUnanswered("a", at(1483))
	require.True(t, paths.Breaks("a", at(0), at(2090)))
}
