package pick_test

import (
	"fmt"
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

// reading is a request with a long prompt of a session, talking one that
// generates for seconds.
func reading(session uint64, now time.Time) *work.Request {
	return &work.Request{
		ID: "r", Rank: 2, Bulk: true, PromptTokens: 9000, OutputTokens: 60, Received: now, Deadline: now.Add(4 * time.Second),
		Route: table.Route{Kind: table.Stream, HasPrompt: true, Objective: 1200 * time.Millisecond},
		Parts: []work.Part{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: 99, Tokens: 2800}},
	}
}

func talking(now time.Time) *work.Request {
	request := reading(7, now)
	request.PromptTokens, request.OutputTokens, request.Rank, request.Bulk = 700, 300, 0, false
	request.Parts = []work.Part{{ID: 1, Tokens: 100}, {ID: 7, Tokens: 60}, {ID: 99, Tokens: 540}}
	return request
}

func choose(t *testing.T, request *work.Request, members []fleet.Member, tried map[string]bool, now time.Time) pick.Choice {
	t.Helper()
	choice, ok := pick.Server(options(), request, members, tried, now)
	require.True(t, ok)
	return choice
}

// Guards against a second attempt at the same server, and against a choice where
// there is none.
func TestTriedServersAreLeftOut(t *testing.T) {
	now := time.Now()
	fleet := members(2)
	choice := choose(t, plain(), fleet, map[string]bool{"server-00": true}, now)
	require.Equal(t, "server-01", choice.Member.ID)
	_, ok := pick.Server(options(), plain(), fleet, map[string]bool{"server-00": true, "server-01": true}, now)
	require.False(t, ok)
}

// Guards against requests to a server that was just found dead, and against
// requests that fail though only the suspicion is left.
func TestSuspendedServersComeLast(t *testing.T) {
	now := time.Now()
	fleet := members(2)
	fleet[0].SuspendedUntil = now.Add(time.Second)
	require.Equal(t, "server-01", choose(t, plain(), fleet, nil, now).Member.ID)
	fleet[1].SuspendedUntil = now.Add(500 * time.Millisecond)
	require.Equal(t, "server-01", choose(t, plain(), fleet, nil, now).Member.ID)
}

// Guards against a busy, failing, remote or slow server that is taken though a
// better one is free.
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

// Guards against long prompts between the tokens of requests that talk: the load
// is a crest of long prompts beside short questions.
func TestReadersAndTalkersRunApart(t *testing.T) {
	now := time.Now()
	fleet := members(18)
	readers, talkers := map[string]bool{}, map[string]bool{}
	for session := range uint64(200) {
		readers[choose(t, reading(session+1000, now), fleet, nil, now).Member.ID] = true
	}
	for range 50 {
		choice := choose(t, talking(now), fleet, nil, now)
		talkers[choice.Member.ID] = true
		for index := range fleet {
			if fleet[index].ID == choice.Member.ID {
				fleet[index].Own.Running++
			}
		}
	}
	for id := range talkers {
		require.False(t, readers[id], "%s serves both", id)
	}
	require.GreaterOrEqual(t, len(readers), 14)
}

// Guards against too few engines for a burst of requests that talk: their number
// follows what all hosts have in flight.
func TestMoreTalkersGetMoreEngines(t *testing.T) {
	now := time.Now()
	used := func(talkers int) int {
		fleet := members(18)
		fleet[3].Own.DecodeHeavy, fleet[9].Peers.DecodeHeavy = talkers/2, talkers-talkers/2
		found := map[string]bool{}
		for range 100 {
			choice := choose(t, talking(now), fleet, nil, now)
			found[choice.Member.ID] = true
			for index := range fleet {
				if fleet[index].ID == choice.Member.ID {
					fleet[index].Own.Running++
				}
			}
		}
		return len(found)
	}
	require.Equal(t, 2, used(0))
	require.Equal(t, 6, used(70))
	require.LessOrEqual(t, used(1000), 9)
}

// Guards against prompt parts that are read again at another engine, and against
// a session that waits for its engine though another one is free.
func TestSessionsKeepTheirEngineWhileItIsInTime(t *testing.T) {
	now := time.Now()
	fleet := members(18)
	home := choose(t, reading(1234, now), fleet, nil, now)
	require.True(t, home.Preferred)
	for index := range fleet {
		if fleet[index].ID == home.Member.ID {
			fleet[index].Peers.PrefillTokens[2] = 15_000
		}
	}
	require.Equal(t, home.Member.ID, choose(t, reading(1234, now), fleet, nil, now).Member.ID)
	for index := range fleet {
		if fleet[index].ID == home.Member.ID {
			fleet[index].Peers.PrefillTokens[2] = 80_000
		}
	}
	away := choose(t, reading(1234, now), fleet, nil, now)
	require.NotEqual(t, home.Member.ID, away.Member.ID)
	require.False(t, away.Preferred)
	require.Greater(t, away.Share.PrefillTokens, home.Share.PrefillTokens)
}

// Guards against a prediction for an urgent request that counts the prompts which
// it overtakes.
func TestUrgentRequestsOvertake(t *testing.T) {
	now := time.Now()
	fleet := members(1)
	fleet[0].Peers.PrefillTokens[2] = 80_000
	bulk := choose(t, reading(1, now), fleet, nil, now)
	urgent := reading(1, now)
	urgent.Rank, urgent.Bulk = 1, false
	require.Less(t, choose(t, urgent, fleet, nil, now).First, bulk.First/5)
}

// Guards against a request that talks at an engine that still reads long prompts:
// the number of engines for talking requests has just grown.
func TestTalkersAvoidEnginesThatStillRead(t *testing.T) {
	now := time.Now()
	fleet := members(18)
	first := choose(t, talking(now), fleet, nil, now)
	for index := range fleet {
		if fleet[index].ID == first.Member.ID {
			fleet[index].Peers.PrefillTokens[5] = 8000
		}
	}
	require.NotEqual(t, first.Member.ID, choose(t, talking(now), fleet, nil, now).Member.ID)
}

// Guards against a long prompt that is read between the tokens of talking
// requests while an engine without any is to be had.
func TestLongPromptsAvoidTalkers(t *testing.T) {
	now := time.Now()
	fleet := members(6)
	request := reading(7, now)
	first := choose(t, request, fleet, nil, now)
	for index := range fleet {
		if fleet[index].ID == first.Member.ID {
			fleet[index].Own.Running, fleet[index].Own.DecodeHeavy = 3, 3
		}
	}
	require.NotEqual(t, first.Member.ID, choose(t, request, fleet, nil, now).Member.ID)
}

// Guards against a prediction that does not tell the wait from the request's own
// prompt.
func TestWaitIsWhatIsReadBefore(t *testing.T) {
	now := time.Now()
	fleet := members(1)
	idle := choose(t, reading(7, now), fleet, nil, now)
	require.Zero(t, idle.Wait)
	require.Positive(t, idle.First)
	fleet[0].Peers.PrefillTokens[2] = 10000
	busy := choose(t, reading(7, now), fleet, nil, now)
	require.Equal(t, busy.First-busy.Wait, idle.First)
	require.Positive(t, busy.Wait)
}

// Guards against engines that are put in order for each request, against a memory
// that outlives a change of the fleet, and one that mixes services.
func TestGroupsAreRemembered(t *testing.T) {
	now := time.Now()
	remembering := options()
	remembering.Groups = pick.NewGroups()
	fleet := members(8)
	pickTalker := func(at time.Time) string {
		choice, ok := pick.Server(remembering, talking(at), fleet, nil, at)
		require.True(t, ok)
		return choice.Member.ID
	}
	first := pickTalker(now)
	for index := range fleet {
		if fleet[index].ID == first {
			fleet[index].BaselineSlowness = 1.5
		}
	}
	require.Equal(t, first, pickTalker(now.Add(50*time.Millisecond)))
	require.NotEqual(t, first, pickTalker(now.Add(150*time.Millisecond)))
	fleet = members(2)
	require.Contains(t, []string{"server-00", "server-01"}, pickTalker(now.Add(160*time.Millisecond)))
}
