package pick_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/table"
	"primrosegw/core/work"
)

func options() pick.Options { return pick.Options{FailureDomain: "caxias", TokensPerMs: 50} }

func members(count int) []fleet.Member {
	var members []fleet.Member
	for index := range count {
		members = append(members, fleet.Member{Server: fleet.Server{
			ID: fmt.Sprintf("server-%02d", index), Service: "engines", FailureDomain: "caxias",
		}})
	}
	return members
}

func plain() *work.Request {
	return &work.Request{ID: "r", Route: table.Route{Kind: table.Once, Objective: time.Second}}
}

// prefillHeavy returns a request with a long prompt that belongs to a session.
func prefillHeavy(session uint64, now time.Time) *work.Request {
	return &work.Request{
		ID: "r", Rank: 2, LowestPriority: true, PromptTokens: 9000, OutputTokens: 60, Received: now, Deadline: now.Add(4 * time.Second),
		Route: table.Route{Kind: table.Stream, HasPrompt: true, Objective: 1200 * time.Millisecond},
		Parts: []work.Part{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: 99, Tokens: 2800}},
	}
}

// decodeHeavy returns a request with a short prompt that generates for seconds.
func decodeHeavy(now time.Time) *work.Request {
	request := prefillHeavy(7, now)
	request.PromptTokens, request.OutputTokens, request.Rank, request.LowestPriority = 700, 300, 0, false
	request.Parts = []work.Part{{ID: 1, Tokens: 100}, {ID: 7, Tokens: 60}, {ID: 99, Tokens: 540}}
	return request
}

func choose(t *testing.T, request *work.Request, members []fleet.Member, tried map[string]bool, now time.Time) pick.Choice {
	t.Helper()
	choice, ok := pick.Server(options(), request, members, tried, now)
	require.True(t, ok)
	return choice
}

// Guards against a second attempt at the same server, and against a selection when
// all servers have been tried.
func TestTriedServersAreExcluded(t *testing.T) {
	now := time.Now()
	fleet := members(2)
	choice := choose(t, plain(), fleet, map[string]bool{"server-00": true}, now)
	require.Equal(t, "server-01", choice.Member.ID)
	_, ok := pick.Server(options(), plain(), fleet, map[string]bool{"server-00": true, "server-01": true}, now)
	require.False(t, ok)
}

// Guards against requests to a server that was just found unreachable, and against
// requests that fail although a suspended server could still be tried.
func TestSuspendedServersComeLast(t *testing.T) {
	now := time.Now()
	fleet := members(2)
	fleet[0].SuspendedUntil = now.Add(time.Second)
	require.Equal(t, "server-01", choose(t, plain(), fleet, nil, now).Member.ID)
	fleet[1].SuspendedUntil = now.Add(500 * time.Millisecond)
	require.Equal(t, "server-01", choose(t, plain(), fleet, nil, now).Member.ID)
}

// Guards against the selection of a busy, failing, remote or slow server while a
// better one is idle.
func TestPlainChoiceAvoidsTheWorseServer(t *testing.T) {
	now := time.Now()
	for name, worsen := range map[string]func(*fleet.Member){
		"busy":       func(member *fleet.Member) { member.Own.Running = 4 },
		"peers busy": func(member *fleet.Member) { member.Peers.Running = 4 },
		"failing":    func(member *fleet.Member) { member.FailureRate = 0.5 },
		"remote":     func(member *fleet.Member) { member.FailureDomain = "bento" },
		"slow":       func(member *fleet.Member) { member.Load = fleet.Load{Slowness: 2.5, ReportedAt: now} },
		"waiting":    func(member *fleet.Member) { member.Load = fleet.Load{Waiting: 3, ReportedAt: now} },
	} {
		fleet := members(2)
		worsen(&fleet[0])
		require.Equal(t, "server-01", choose(t, plain(), fleet, nil, now).Member.ID, name)
	}
}

// Guards against prefills of long prompts that delay the tokens of decode-heavy
// requests, under a peak of long prompts mixed with short questions.
func TestPrefillAndDecodeRequestsUseSeparateEngines(t *testing.T) {
	now := time.Now()
	fleet := members(18)
	prefillEngines, decodeEngines := map[string]bool{}, map[string]bool{}
	for session := range uint64(200) {
		prefillEngines[choose(t, prefillHeavy(session+1000, now), fleet, nil, now).Member.ID] = true
	}
	for range 50 {
		choice := choose(t, decodeHeavy(now), fleet, nil, now)
		decodeEngines[choice.Member.ID] = true
		for index := range fleet {
			if fleet[index].ID == choice.Member.ID {
				fleet[index].Own.Running++
			}
		}
	}
	for id := range decodeEngines {
		require.False(t, prefillEngines[id], "%s serves both", id)
	}
	require.GreaterOrEqual(t, len(prefillEngines), 14)
}

// Guards against too few engines for a burst of decode-heavy requests: the number of
// decode engines must follow the requests that all hosts have in flight.
func TestDecodeEnginesScaleWithDecodeRequests(t *testing.T) {
	now := time.Now()
	used := func(requests int) int {
		fleet := members(18)
		fleet[3].Own.DecodeHeavy, fleet[9].Peers.DecodeHeavy = requests/2, requests-requests/2
		found := map[string]bool{}
		for range 100 {
			choice := choose(t, decodeHeavy(now), fleet, nil, now)
			found[choice.Member.ID] = true
			for index := range fleet {
				if fleet[index].ID == choice.Member.ID {
					fleet[index].Own.Running++
				}
			}
		}
		return len(found)
	}
	require.Equal(t, 4, used(0))
	require.Equal(t, 6, used(70))
	require.LessOrEqual(t, used(1000), 9)
}

// Guards against prefilling a cached session again at another engine, and against a
// session that waits for its preferred engine although another one is free.
func TestSessionsKeepTheirEngineWhileItMeetsTheObjective(t *testing.T) {
	now := time.Now()
	fleet := members(18)
	home := choose(t, prefillHeavy(1234, now), fleet, nil, now)
	require.True(t, home.Preferred)
	for index := range fleet {
		if fleet[index].ID == home.Member.ID {
			fleet[index].Peers.PrefillTokens[2] = 15_000
		}
	}
	require.Equal(t, home.Member.ID, choose(t, prefillHeavy(1234, now), fleet, nil, now).Member.ID)
	for index := range fleet {
		if fleet[index].ID == home.Member.ID {
			fleet[index].Peers.PrefillTokens[2] = 80_000
		}
	}
	away := choose(t, prefillHeavy(1234, now), fleet, nil, now)
	require.NotEqual(t, home.Member.ID, away.Member.ID)
	require.False(t, away.Preferred)
	require.Greater(t, away.Share.PrefillTokens, home.Share.PrefillTokens)
}

// Guards against a prediction for an urgent request that includes the prompts of
// lower priority, which the engine prefills later.
func TestUrgentRequestsIgnoreLowerPriorityBacklog(t *testing.T) {
	now := time.Now()
	fleet := members(1)
	fleet[0].Peers.PrefillTokens[2] = 80_000
	bulk := choose(t, prefillHeavy(1, now), fleet, nil, now)
	urgent := prefillHeavy(1, now)
	urgent.Rank, urgent.LowestPriority = 1, false
	require.Less(t, choose(t, urgent, fleet, nil, now).FirstEvent, bulk.FirstEvent/5)
}

// Guards against sending a decode-heavy request to an engine that still prefills
// long prompts. This happens right after the number of decode engines has grown.
func TestDecodeRequestsAvoidEnginesWithPrefillBacklog(t *testing.T) {
	now := time.Now()
	fleet := members(18)
	first := choose(t, decodeHeavy(now), fleet, nil, now)
	for index := range fleet {
		if fleet[index].ID == first.Member.ID {
			fleet[index].Peers.PrefillTokens[5] = 8000
		}
	}
	require.NotEqual(t, first.Member.ID, choose(t, decodeHeavy(now), fleet, nil, now).Member.ID)
}

// Guards against prefilling a long prompt at an engine that runs decode-heavy
// requests while an engine without any is available.
func TestLongPromptsAvoidDecodeRequests(t *testing.T) {
	now := time.Now()
	fleet := members(6)
	request := prefillHeavy(7, now)
	first := choose(t, request, fleet, nil, now)
	for index := range fleet {
		if fleet[index].ID == first.Member.ID {
			fleet[index].Own.Running, fleet[index].Own.DecodeHeavy = 3, 3
		}
	}
	require.NotEqual(t, first.Member.ID, choose(t, request, fleet, nil, now).Member.ID)
}

// Guards against a predicted queue delay that includes the prefill of the request's
// own prompt.
func TestQueueDelayExcludesOwnPrompt(t *testing.T) {
	now := time.Now()
	fleet := members(1)
	idle := choose(t, prefillHeavy(7, now), fleet, nil, now)
	require.Zero(t, idle.QueueDelay)
	require.Positive(t, idle.FirstEvent)
	fleet[0].Peers.PrefillTokens[2] = 10000
	busy := choose(t, prefillHeavy(7, now), fleet, nil, now)
	require.Equal(t, busy.FirstEvent-busy.QueueDelay, idle.FirstEvent)
	require.Positive(t, busy.QueueDelay)
}

// Guards against sorting the engines for each request, and against a cached group
// that is used after it expired, after the number of servers changed, or for another
// service.
func TestEngineGroupsAreCached(t *testing.T) {
	now := time.Now()
	cached := options()
	cached.Groups = pick.NewEngineGroups()
	fleet := members(8)
	pickDecodeEngine := func(at time.Time) string {
		choice, ok := pick.Server(cached, decodeHeavy(at), fleet, nil, at)
		require.True(t, ok)
		return choice.Member.ID
	}
	first := pickDecodeEngine(now)
	for index := range fleet {
		if fleet[index].ID == first {
			fleet[index].BaselineSlowness = 1.5
		}
	}
	require.Equal(t, first, pickDecodeEngine(now.Add(50*time.Millisecond)))
	require.NotEqual(t, first, pickDecodeEngine(now.Add(150*time.Millisecond)))
	fleet = members(2)
	require.Contains(t, []string{"server-00", "server-01"}, pickDecodeEngine(now.Add(160*time.Millisecond)))
}

// Guards against predictions with the prefill rate of another deployment's engines: after
// some dozens of prompts the rate must be near the engines' own, although every fourth
// prompt was not cached as expected and every fifth engine was busy.
func TestPrefillRateIsLearned(t *testing.T) {
	for _, actual := range []float64{12, 36.7, 56.9, 150} {
		rates := pick.NewPrefillRates(pick.DefaultTokensPerMs)
		require.InDelta(t, pick.DefaultTokensPerMs, rates.TokensPerMs("engines"), 0.01)
		random := rand.New(rand.NewPCG(1, 2))
		for number := range 200 {
			tokens := 3000 + random.IntN(9000)
			took := 40 + 1.25*float64(tokens)/actual
			switch {
			case number%4 == 0:
				took *= 1.8
			case number%5 == 0:
				took *= 1.3
			}
			rates.Observe("engines", tokens, time.Duration(took*float64(time.Millisecond)), 1)
			rates.Observe("engines", 100, time.Millisecond, 1)
		}
		require.InEpsilon(t, actual, rates.TokensPerMs("engines"), 0.25, "actual %v", actual)
		require.InDelta(t, pick.DefaultTokensPerMs, rates.TokensPerMs("others"), 0.01)
	}
}

// Guards against a third copy of a session's prompt: an engine that took the session over
// from a busy one has the prompt cached too. A restarted engine has not.
func TestCopiesOfASessionAreUsed(t *testing.T) {
	now := time.Now()
	options := options()
	options.Cached = pick.NewCachedParts()
	engines := members(12)
	request := prefillHeavy(5, now)
	first, ok := pick.Server(options, request, engines, nil, now)
	require.True(t, ok)
	second, ok := pick.Server(options, request, engines, map[string]bool{first.Member.ID: true}, now)
	require.True(t, ok)
	options.ObserveFirstEvent(request, &second, 300*time.Millisecond, now)
	busy := slices.IndexFunc(engines, func(member fleet.Member) bool { return member.ID == first.Member.ID })
	engines[busy].Peers.PrefillTokens[0] = 200_000
	later := now.Add(2 * time.Second)
	again, ok := pick.Server(options, prefillHeavy(5, later), engines, nil, later)
	require.True(t, ok)
	require.Equal(t, second.Member.ID, again.Member.ID)
	require.True(t, again.Preferred)
	require.Equal(t, first.Share.PrefillTokens, again.Share.PrefillTokens)
	for index := range engines {
		engines[index].Started = later
	}
	restarted, ok := pick.Server(options, prefillHeavy(5, later), engines, nil, later)
	require.True(t, ok)
	require.False(t, restarted.Preferred)
}
