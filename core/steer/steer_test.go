package steer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/steer"
	"primrosegw/core/table"
	"primrosegw/core/work"
)

// fakeBudget is a budget with a fixed number of retries.
type fakeBudget int

func (budget *fakeBudget) TryWithdraw(string) bool {
	*budget--
	return *budget >= 0
}

func bulk(now time.Time) *work.Request {
	return &work.Request{
		ID: "r", LowestPriority: true, PromptTokens: 9000, OutputTokens: 50, Received: now, Deadline: now.Add(4 * time.Second),
		Route: table.Route{Kind: table.Stream, HasPrompt: true, Resumable: true, MaxAttempts: 2, Objective: time.Second},
		Parts: []work.Part{{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 4000}, {ID: 3, Tokens: 3000}},
	}
}

// Guards against a decision that skips one of the checks: deadline, retries, available
// servers, overload.
func TestNext(t *testing.T) {
	now := time.Now()
	idle := []fleet.Member{{Server: fleet.Server{ID: "a"}}}
	overloaded := []fleet.Member{{Server: fleet.Server{ID: "a"}, Own: fleet.InFlight{PrefillTokens: [fleet.RankCount]int{200000}}}}
	for _, test := range []struct {
		name     string
		progress steer.Progress
		retries  fakeBudget
		members  []fleet.Member
		takenUp  bool
		at       time.Duration
		action   steer.Action
		reason   string
	}{
		{name: "idle server", members: idle, action: steer.Send},
		{name: "no server", action: steer.GiveUp, reason: steer.NoServer},
		{name: "deadline passed", members: idle, at: 5 * time.Second, action: steer.GiveUp, reason: steer.Deadline},
		{name: "overload", members: overloaded, action: steer.Refuse, reason: steer.Overload},
		{name: "taken up at overload", members: overloaded, takenUp: true, action: steer.Send},
		{
			name: "retry", members: idle, retries: 1, action: steer.Send,
			progress: steer.Progress{State: work.Unsure, Reached: 1},
		},
		{
			name: "no retry left", members: idle, action: steer.GiveUp, reason: steer.NoRetry,
			progress: steer.Progress{State: work.Unsure, Reached: 1},
		},
		{
			name: "second attempt at overload", members: overloaded, retries: 1, action: steer.Send,
			progress: steer.Progress{State: work.Refused, Reached: 1},
		},
	} {
		request := bulk(now)
		request.TakenUp = test.takenUp
		decision := steer.Next(pick.Options{TokensPerMs: 50}, request, test.progress, &test.retries, test.members, now.Add(test.at))
		require.Equal(t, test.action, decision.Action, test.name)
		require.Equal(t, test.reason, decision.Reason, test.name)
		if decision.Action == steer.Refuse {
			require.Positive(t, decision.RetryAfter, test.name)
		}
	}
}

// fakePacer holds the waits of limited servers.
type fakePacer map[string]time.Duration

func (pacer fakePacer) Wait(server fleet.Server, _ time.Time) time.Duration { return pacer[server.ID] }

// Guards against sending to a server that accepts no requests now, and against callers that
// are not told when it will.
func TestLimitedServers(t *testing.T) {
	now := time.Now()
	members := []fleet.Member{{Server: fleet.Server{ID: "a"}}, {Server: fleet.Server{ID: "b"}}}
	next := func(progress steer.Progress, pacer fakePacer) steer.Decision {
		retries := fakeBudget(1)
		return steer.Next(pick.Options{TokensPerMs: 50, Pacer: pacer}, bulk(now), progress, &retries, members, now)
	}
	decision := next(steer.Progress{}, fakePacer{"a": time.Second})
	require.Equal(t, steer.Send, decision.Action)
	require.Equal(t, "b", decision.Choice.Member.ID)
	decision = next(steer.Progress{}, fakePacer{"a": time.Second, "b": 300 * time.Millisecond})
	require.Equal(t, steer.Refuse, decision.Action)
	require.Equal(t, steer.ServerLimit, decision.Reason)
	require.Equal(t, 300*time.Millisecond, decision.RetryAfter)
	decision = next(steer.Progress{Reached: 1, State: work.Refused, Tried: map[string]bool{"b": true}}, fakePacer{"a": time.Second})
	require.Equal(t, steer.GiveUp, decision.Action)
	require.Equal(t, steer.NoServer, decision.Reason)
}

// Guards against sending to a brittle server without room or, in its place, to one that fails, and against
// requests that wait though they may have run.
func TestBrittleServers(t *testing.T) {
	now := time.Now()
	members := []fleet.Member{{Server: fleet.Server{ID: "a"}}, {Server: fleet.Server{ID: "b"}}}
	next := func(progress steer.Progress, room fakePacer, members []fleet.Member) steer.Decision {
		retries := fakeBudget(1)
		return steer.Next(pick.Options{TokensPerMs: 50, Room: room}, bulk(now), progress, &retries, members, now)
	}
	decision := next(steer.Progress{}, fakePacer{"a": time.Second}, members)
	require.Equal(t, steer.Send, decision.Action)
	require.Equal(t, "b", decision.Choice.Member.ID)
	full := fakePacer{"a": time.Second, "b": 300 * time.Millisecond}
	decision = next(steer.Progress{}, full, members)
	require.Equal(t, steer.Await, decision.Action)
	decision = next(steer.Progress{Reached: 1, State: work.Refused, Tried: map[string]bool{"b": true}}, full, members)
	require.Equal(t, steer.Refuse, decision.Action)
	require.Equal(t, steer.Brittle, decision.Reason)
	decision = next(steer.Progress{Reached: 1, State: work.Unsure, Tried: map[string]bool{"b": true}}, full, members)
	require.Equal(t, steer.GiveUp, decision.Action)
	fallen := []fleet.Member{members[0], {Server: fleet.Server{ID: "b"}, SuspendedUntil: now.Add(time.Second)}}
	decision = next(steer.Progress{}, fakePacer{"a": time.Second}, fallen)
	require.Equal(t, steer.Await, decision.Action)
	decision = next(steer.Progress{}, fakePacer{"b": time.Second}, fallen)
	require.Equal(t, "a", decision.Choice.Member.ID)
}

// Guards against callers that are told nothing of when a server wants requests again, that return
// together, or that are told "not run" of a request which may have run.
func TestTurnedAway(t *testing.T) {
	now := time.Now()
	servers := fleet.New()
	away := fleet.Server{ID: "a", Service: "engines"}
	servers.Put(away)
	servers.RecordTurnedAway(away, now.Add(400*time.Millisecond), now)
	members := servers.Members("engines", now)
	times := map[time.Duration]bool{}
	for number := range 40 {
		request := &work.Request{ID: strconv.Itoa(number), Service: "engines", Route: table.Route{MaxAttempts: 2}, Received: now, Deadline: now.Add(time.Second)}
		budget := fakeBudget(2)
		progress := steer.Progress{State: work.Refused, Reached: 1, Tried: map[string]bool{"a": true}}
		decision := steer.Next(pick.Options{}, request, progress, &budget, members, now)
		require.Equal(t, steer.Refuse, decision.Action)
		require.Equal(t, steer.TurnedAway, decision.Reason)
		require.GreaterOrEqual(t, decision.RetryAfter, 400*time.Millisecond)
		require.LessOrEqual(t, decision.RetryAfter, 500*time.Millisecond)
		times[decision.RetryAfter] = true
		progress.State = work.Unsure
		request.Route.Kind = table.Idempotent
		require.Equal(t, steer.GiveUp, steer.Next(pick.Options{}, request, progress, &budget, members, now).Action)
	}
	require.Greater(t, len(times), 20)
}
