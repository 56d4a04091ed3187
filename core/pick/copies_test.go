package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/table"
	"primrosegw/core/work"
)

const (
	modelHosts    = 12
	modelEngines  = 24
	modelSessions = 300
	modelFirsts   = 4
	firstTokens   = 2520
	sessionTokens = 3780
	ownTokens     = 2890
	// modelCache is the number of prompt tokens that an engine keeps.
	modelCache = 180_000
	// modelRate is the prompt tokens that an engine prefills in a millisecond, and modelTick the time
	// between two requests of the fleet: the engines prefill for half of the time.
	modelRate = 39.3
	modelTick = 14 * time.Millisecond
	// reportTicks is the number of ticks, some 150 ms, after which hosts report.
	reportTicks = 11
)

// engineModel is the cache of an engine, least recently used out first, and until when it prefills.
type engineModel struct {
	used   map[uint64]int
	tokens map[uint64]int
	total  int
	clock  int
	busy   time.Time
}

// serve prefills a prompt and returns the shared tokens that were not cached.
func (engine *engineModel) serve(parts []work.Part, now time.Time) (missing []work.Part) {
	prefix, prefill := true, 0
	for index, part := range parts {
		engine.clock++
		_, cached := engine.used[part.ID]
		prefix = prefix && cached
		if !prefix {
			prefill += part.Tokens
			if index < len(parts)-1 {
				missing = append(missing, part)
			}
		}
		if !cached {
			engine.total += part.Tokens
		}
		engine.used[part.ID], engine.tokens[part.ID] = engine.clock, part.Tokens
	}
	for engine.total > modelCache {
		oldest, found := uint64(0), false
		for id, used := range engine.used {
			if !found || used < engine.used[oldest] {
				oldest, found = id, true
			}
		}
		engine.total -= engine.tokens[oldest]
		delete(engine.used, oldest)
	}
	begin := now
	if engine.busy.After(begin) {
		begin = engine.busy
	}
	engine.busy = begin.Add(time.Duration(float64(prefill) / modelRate * float64(time.Millisecond)))
	return missing
}

// fleetModel is a fleet of hosts and engines whose requests come to random hosts.
type fleetModel struct {
	hosts   []pick.Options
	members []fleet.Member
	engines map[string]*engineModel
	// tell is set if hosts report their copies.
	tell bool
	// pending are the requests that are being prefilled.
	pending []pendingPrefill
}

// pendingPrefill is a request whose first event arrives at a time.
type pendingPrefill struct {
	host    int
	request *work.Request
	choice  pick.Choice
	at      time.Time
}

func newFleetModel(tell bool) *fleetModel {
	model := &fleetModel{members: members(modelEngines), engines: map[string]*engineModel{}, tell: tell}
	for range modelHosts {
		options := options()
		options.TokensPerMs, options.Cached, options.Groups = modelRate, pick.NewCachedParts(), pick.NewEngineGroups()
		if tell {
			options.Cached.SetPeers(modelHosts - 1)
		}
		model.hosts = append(model.hosts, options)
	}
	for _, member := range model.members {
		model.engines[member.ID] = &engineModel{used: map[uint64]int{}, tokens: map[uint64]int{}}
	}
	return model
}

// play serves requests and returns the shared tokens that were prefilled within 6 s after their last use
// on any engine, and the number of first events after the objective.
func (model *fleetModel) play(t *testing.T, seed uint64, length time.Duration) (again, late int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	start := time.Unix(1_800_000_000, 0)
	lastUse, requests := map[uint64]time.Time{}, 0
	for now := start; now.Sub(start) < length; now = now.Add(modelTick) {
		model.finish(now)
		if requests++; requests%reportTicks == 0 {
			model.report(now)
		}
		model.disturb(random, now)
		session := random.IntN(modelSessions)
		request := &work.Request{
			Service: "engines", Rank: 2, Received: now, Deadline: now.Add(15 * time.Second), OutputTokens: 64,
			Route: table.Route{Name: "long", Kind: table.Stream, Objective: 2 * time.Second, HasPrompt: true},
			Parts: []work.Part{
				{ID: uint64(session%modelFirsts) + 1, Tokens: firstTokens},
				{ID: uint64(session+1) * 0x9e3779b97f4a7c15, Tokens: sessionTokens},
				{ID: random.Uint64(), Tokens: ownTokens},
			},
			PromptTokens: firstTokens + sessionTokens + ownTokens,
		}
		host := random.IntN(modelHosts)
		choice, ok := pick.Server(model.hosts[host], request, model.members, nil, now)
		require.True(t, ok)
		engine := model.engines[choice.Member.ID]
		for _, part := range engine.serve(request.Parts, now) {
			if used, known := lastUse[part.ID]; known && now.Sub(used) < 6*time.Second {
				again += part.Tokens
			}
		}
		for _, part := range request.Parts[:2] {
			lastUse[part.ID] = now
		}
		if engine.busy.Sub(now) > request.Route.Objective {
			late++
		}
		for index := range model.members {
			if model.members[index].ID == choice.Member.ID {
				model.members[index].Peers.PrefillTokens[2] += choice.Share.PrefillTokens
			}
		}
		model.pending = append(model.pending, pendingPrefill{host, request, choice, engine.busy})
	}
	return again, late
}

// finish ends the prefills that are done by now.
func (model *fleetModel) finish(now time.Time) {
	var left []pendingPrefill
	for _, one := range model.pending {
		if one.at.After(now) {
			left = append(left, one)
			continue
		}
		model.hosts[one.host].ObserveFirstEvent(one.request, &one.choice, 100*time.Millisecond, one.at)
		for index := range model.members {
			if model.members[index].ID == one.choice.Member.ID {
				model.members[index].Peers.PrefillTokens[2] -= one.choice.Share.PrefillTokens
			}
		}
	}
	model.pending = left
}

// disturb suspends engines for a time, and keeps others busy with requests that the hosts know of.
func (model *fleetModel) disturb(random *rand.Rand, now time.Time) {
	if random.IntN(20) > 0 {
		return
	}
	member := &model.members[random.IntN(len(model.members))]
	if random.IntN(2) == 0 {
		member.SuspendedUntil = now.Add(time.Second)
		return
	}
	member.Load = fleet.Load{Slowness: 2.5, ReportedAt: now}
	member.Peers.DecodeHeavy = random.IntN(2) * 4
}

// report passes the reports of all hosts to the others.
func (model *fleetModel) report(now time.Time) {
	for from := range model.hosts {
		report := model.hosts[from].Cached.Report(now)
		for to := range model.hosts {
			if to != from {
				model.hosts[to].Cached.ApplyReport(report, now)
			}
		}
	}
}

// Guards against prompt parts that are prefilled again because the host of a session's next request does
// not know of its copies: 12 hosts that tell each other must prefill at least a quarter less than those that don't,
// with no more first events after the objective.
func TestToldCopiesSavePrefill(t *testing.T) {
	for seed := range uint64(4) {
		untold, untoldLate := newFleetModel(false).play(t, seed, 30*time.Second)
		told, toldLate := newFleetModel(true).play(t, seed, 30*time.Second)
		t.Logf("seed %d: prefilled again %d and %d late alone, %d and %d late told", seed, untold, untoldLate, told, toldLate)
		require.Less(t, float64(told), 0.75*float64(untold))
		require.LessOrEqual(t, toldLate, untoldLate)
	}
}

// engineOf returns the engine that a host chooses for a session's request.
func engineOf(t *testing.T, options pick.Options, session uint64, engines []fleet.Member, now time.Time) pick.Choice {
	t.Helper()
	choice, ok := pick.Server(options, prefillHeavy(session, now), engines, nil, now)
	require.True(t, ok)
	return choice
}

// hostPair returns two hosts that tell each other.
func hostPair() (first, second pick.Options) {
	first, second = options(), options()
	for _, one := range []*pick.Options{&first, &second} {
		one.Cached = pick.NewCachedParts()
		one.Cached.SetPeers(1)
	}
	return first, second
}

// Guards against a second copy for each host: a session that one host sent past its busy engine must go to
// the same engine from another host, whether that was told or not, and stay there while the copy is fresh.
func TestHostsShareASecondCopy(t *testing.T) {
	now := time.Now()
	first, second := hostPair()
	engines := members(18)
	home := engineOf(t, first, 7, engines, now)
	for index := range engines {
		if engines[index].ID == home.Member.ID {
			engines[index].SuspendedUntil = now.Add(time.Second)
		}
	}
	away := engineOf(t, first, 7, engines, now)
	require.NotEqual(t, home.Member.ID, away.Member.ID)
	require.Equal(t, away.Member.ID, engineOf(t, second, 7, engines, now).Member.ID)
	first.ObserveFirstEvent(prefillHeavy(7, now), &away, 200*time.Millisecond, now)
	report := first.Cached.Report(now)
	require.NotEmpty(t, report)
	require.Empty(t, first.Cached.Report(now.Add(time.Second)), "nothing has changed")
	later := now.Add(2 * time.Second)
	require.Equal(t, home.Member.ID, engineOf(t, second, 7, engines, later).Member.ID)
	second.Cached.ApplyReport(report, now)
	again := engineOf(t, second, 7, engines, later)
	require.Equal(t, away.Member.ID, again.Member.ID)
	require.True(t, again.Preferred)
	expired := now.Add(11 * time.Second)
	require.Equal(t, home.Member.ID, engineOf(t, second, 7, engines, expired).Member.ID)
	for index := range engines {
		engines[index].Started = later
	}
	require.Equal(t, home.Member.ID, engineOf(t, second, 7, engines, later).Member.ID, "a new process has no copy")
}

// Guards against reports that grow with the fleet or the traffic: one message holds at most 1 kB, and those
// to all hosts at most 2 kB a second.
func TestReportsAreLimited(t *testing.T) {
	for _, peers := range []int{1, 11, 84} {
		host := options()
		host.Cached = pick.NewCachedParts()
		host.Cached.SetPeers(peers)
		engines, start, sent := members(18), time.Now(), 0
		for tick := range 400 {
			now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
			for index := range 30 {
				request := prefillHeavy(uint64(tick*30+index+1)*0x9e3779b97f4a7c15, now)
				choice := pick.Choice{Member: engines[index%18]}
				host.ObserveFirstEvent(request, &choice, time.Second, now)
			}
			report := host.Cached.Report(now)
			require.LessOrEqual(t, len(report), 1000)
			sent += len(report) * peers
		}
		require.Positive(t, sent)
		require.LessOrEqual(t, sent, 21*2000+1000*peers, fmt.Sprint(peers))
	}
}

// observe lets a host see a first event of a session's request from an engine.
func observe(host pick.Options, session uint64, member fleet.Member, now time.Time) {
	choice := pick.Choice{Member: member}
	host.ObserveFirstEvent(prefillHeavy(session, now), &choice, 200*time.Millisecond, now)
}

// Guards against predictions that take a part which many sessions share for cached at each engine: one that
// never got it, or that has started again, has to prefill it first.
func TestEnginesWithoutTheSharedPartPayForIt(t *testing.T) {
	start := time.Now()
	host, _ := hostPair()
	engines := members(6)
	for session := range uint64(12) {
		observe(host, session+10, engines[session%3], start)
	}
	now := start.Add(6 * time.Second)
	for session := range uint64(12) {
		observe(host, session+10, engines[session%3], now)
	}
	tokens := func(member fleet.Member) int {
		choice, ok := pick.Server(host, prefillHeavy(100, now), []fleet.Member{member}, nil, now)
		require.True(t, ok)
		return choice.Share.PrefillTokens
	}
	require.Equal(t, 9000-2500-3700, tokens(engines[0]))
	require.Equal(t, 9000, tokens(engines[5]))
	engines[0].Started = now
	require.Equal(t, 9000, tokens(engines[0]))
}

// Guards against a part that only one session uses being taken for one that all engines have: it is where
// the session's part is.
func TestPartOfOneSessionIsWhereItsCopyIs(t *testing.T) {
	start := time.Now()
	host, _ := hostPair()
	engines := members(6)
	observe(host, 10, engines[0], start)
	now := start.Add(6 * time.Second)
	observe(host, 10, engines[0], now)
	tokens := func(member fleet.Member) int {
		choice, ok := pick.Server(host, prefillHeavy(10, now), []fleet.Member{member}, nil, now)
		require.True(t, ok)
		return choice.Share.PrefillTokens
	}
	require.Equal(t, 2800, tokens(engines[0]))
	require.Equal(t, 9000, tokens(engines[1]))
}

// Guards against a change where there is nobody to tell: a host alone assumes as before that each engine has
// the part that many sessions share, and reports nothing.
func TestHostAloneDecidesAsBefore(t *testing.T) {
	now := time.Now()
	alone, plainly := options(), options()
	alone.Cached = pick.NewCachedParts()
	engines := members(18)
	for session := range uint64(40) {
		want := engineOf(t, plainly, session, engines, now)
		got := engineOf(t, alone, session, engines, now)
		require.Equal(t, want.Member.ID, got.Member.ID)
		require.Equal(t, want.Share, got.Share)
		alone.ObserveFirstEvent(prefillHeavy(session, now), &got, 100*time.Millisecond, now)
	}
	require.Empty(t, alone.Cached.Report(now))
}
