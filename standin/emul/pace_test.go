package emul_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/standin/emul"
)

// scaled returns a day of docs/experiments with 0.3 of its hosts, servers and requests, 15 s long.
func scaled(t *testing.T, name string) emul.Day {
	t.Helper()
	scaled, err := day(t, name).Scale(0.3)
	require.NoError(t, err)
	scaled.Seconds = 15
	return scaled
}

// lateShare is the share of the requests of a class that got an answer late.
func lateShare(result *emul.Result, class string) float64 {
	for _, one := range result.Classes {
		if one.Name == class {
			return one.Share("late")
		}
	}
	return 0
}

// Guards against engines of different speeds that get the same work, and against urgent requests at slow ones:
// 42 engines that take 0.6, 1.0 or 1.6 times as long and do not say so, each 2.5 times slower for 15 % of the
// time, at 204 requests/s with a burst of long prompts.
func TestSpeedsPayOff(t *testing.T) {
	cascade := scaled(t, "cascade_returns")
	with, without := play(t, cascade, emul.Production, 1), play(t, cascade, emul.NoPace, 1)
	t.Logf("worth %.3f, without %.3f; chat late %.3f, without %.3f; busiest %.2f, without %.2f",
		with.Worth(), without.Worth(), lateShare(with, "chat"), lateShare(without, "chat"), with.Busiest, without.Busiest)
	require.Greater(t, with.Worth(), without.Worth())
	require.Less(t, lateShare(with, "chat"), lateShare(without, "chat"))
	require.LessOrEqual(t, with.Busiest, 1.25)
}

// Guards against speeds and windows that cost where they can't help: 42 engines that are alike and slow by turns,
// 2.5 times for 600 ms, without and with a crash of a quarter of them for 2 s. 204 requests/s with a burst of
// long prompts.
func TestEnginesThatAreAlike(t *testing.T) {
	alike := scaled(t, "release_third")
	alike.Trouble = []emul.Trouble{{Kind: emul.Burst, AtS: 4, ForS: 6, X: 1.6, Class: "long"}}
	for _, troubles := range [][]emul.Trouble{nil, {{Kind: emul.Crash, AtS: 5, ForS: 2, Share: 0.25, Service: "model"}}} {
		alike.Trouble = append(alike.Trouble, troubles...)
		with, without := play(t, alike, emul.Production, 1), play(t, alike, emul.NoPace, 1)
		t.Logf("%d troubles: worth %.3f, without %.3f; worst seconds %.3f, without %.3f",
			len(alike.Trouble), with.Worth(), without.Worth(), with.Worst(5), without.Worst(5))
		require.Greater(t, with.Worth(), without.Worth()-0.01)
	}
}

// Guards against a release that makes answers late: a third of 42 engines is replaced within 2 s at 204
// requests/s, and each successor takes 3 times as long for 3 s. One that is as fast as before at once must
// not cost more than noise.
func TestReleaseUnderLoad(t *testing.T) {
	release := scaled(t, "release_third")
	release.Seconds = 20
	release.Trouble[0].X, release.Trouble[0].ForS = 3, 2
	with, without := play(t, release, emul.Production, 1), play(t, release, emul.NoPace, 1)
	t.Logf("slow: worth %.3f, without %.3f; worst seconds %.3f, without %.3f", with.Worth(), without.Worth(), with.Worst(5), without.Worst(5))
	require.Greater(t, with.Worst(5), without.Worst(5))
	release.Trouble[0].X, release.Trouble[0].ForS = 1, 9
	with, without = play(t, release, emul.Production, 1), play(t, release, emul.NoPace, 1)
	t.Logf("fast: worth %.3f, without %.3f", with.Worth(), without.Worth())
	require.Greater(t, with.Worth(), without.Worth()-0.01)
}
