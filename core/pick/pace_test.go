package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pace"
	"primrosegw/core/pick"
)

// paced returns options with a tracker that has observed engines of some speeds, in turn.
func paced(servers []fleet.Member, now time.Time, speeds ...float64) pick.Options {
	tracker := pace.New("host")
	for range 20 {
		tracker.Full("engines", servers, now)
		for index, server := range servers {
			gap := time.Duration(speeds[index%len(speeds)] * 30 * float64(time.Millisecond))
			tracker.Observe(server.Server, pace.Outcome{Kind: pace.Gap, Actual: gap}, now)
		}
	}
	chosen := options()
	chosen.Pace = tracker
	return chosen
}

// count returns how many of many sessions' requests go to each engine of a speed that gets any: those of the
// decode group get none.
func count(options pick.Options, servers []fleet.Member, speeds int, now time.Time) []float64 {
	counts, engines := make([]float64, speeds), make([]map[int]bool, speeds)
	for session := range uint64(3000) {
		request := prefillHeavy(1000+session*7919, now)
		request.Service = "engines"
		choice, _ := pick.Server(options, request, servers, nil, now)
		for index := range servers {
			if servers[index].ID == choice.Member.ID {
				counts[index%speeds]++
				if engines[index%speeds] == nil {
					engines[index%speeds] = map[int]bool{}
				}
				engines[index%speeds][index] = true
			}
		}
	}
	for speed := range counts {
		counts[speed] /= float64(len(engines[speed]))
	}
	return counts
}

// Guards against slow engines that keep as many sessions as fast ones, and against choices that change where
// all engines are alike. 30 engines, of which the decode group gets none of these requests.
func TestFastEnginesGetMore(t *testing.T) {
	now, servers := time.Unix(100, 0), members(30)
	alike := count(paced(servers, now, 1), servers, 1, now)
	require.Equal(t, count(options(), servers, 1, now), alike)
	counts := count(paced(servers, now, 0.6, 1, 1.6), servers, 3, now)
	require.Greater(t, counts[0], counts[1])
	require.Greater(t, counts[1], counts[2])
	require.Positive(t, counts[2])
}

// Guards against decode-heavy requests at slow engines while there are others.
func TestDecodeHeavyRequestsAvoidSlowEngines(t *testing.T) {
	now, servers := time.Unix(100, 0), members(30)
	request := decodeHeavy(now)
	request.Service = "engines"
	choose, slow := paced(servers, now, 0.6, 1, 1.6), 0
	for session := range uint64(300) {
		request.Parts[1].ID = session * 7919
		choice, ok := pick.Server(choose, request, servers, nil, now)
		require.True(t, ok)
		for index := 2; index < len(servers); index += 3 {
			if servers[index].ID == choice.Member.ID {
				slow++
			}
		}
	}
	require.Zero(t, slow)
}

// Guards against requests that overrun a server in slow start, and against one that fails though only such
// servers can take it.
func TestFullWindows(t *testing.T) {
	now, servers := time.Unix(100, 0), members(8)
	for index := range servers {
		servers[index].Own.Running = 12
	}
	choose := options()
	choose.Pace = pace.New("host")
	request := plain()
	request.Service = "engines"
	_, ok := pick.Server(choose, request, servers, nil, now)
	require.True(t, ok)
	servers[3].Started, servers[3].Own.Running = now, 0
	choice, _ := pick.Server(choose, request, servers, nil, now)
	require.Equal(t, servers[3].ID, choice.Member.ID, "a new server is not left idle")
	servers[3].Own.Running = 3
	choice, _ = pick.Server(choose, request, servers, nil, now)
	require.NotEqual(t, servers[3].ID, choice.Member.ID)
	tried := map[string]bool{}
	for _, server := range servers {
		tried[server.ID] = server.ID != servers[3].ID
	}
	choice, ok = pick.Server(choose, request, servers, tried, now)
	require.True(t, ok)
	require.Equal(t, servers[3].ID, choice.Member.ID)
}

// Guards against requests that leave their failure domain while it can serve them in time, and against those
// that queue there while another one is idle.
func TestSpillOver(t *testing.T) {
	now, servers := time.Unix(100, 0), members(6)
	for index := range servers[3:] {
		servers[3+index].FailureDomain = "erechim"
	}
	request := prefillHeavy(7, now)
	request.Parts = request.Parts[:1]
	busy := func(tokens int) string {
		for index := range servers[:3] {
			servers[index].Own.PrefillTokens[0] = tokens
		}
		choice, _ := pick.Server(options(), request, servers, nil, now)
		return choice.Member.FailureDomain
	}
	require.Equal(t, "caxias", busy(0))
	require.Equal(t, "erechim", busy(40000))
	require.Equal(t, "caxias", busy(0))
}
