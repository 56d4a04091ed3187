package pick

import (
	"math"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/pace"
	"primrosegw/core/work"
)

const (
	// minPaceTime is the shortest predicted time to the first event that shows a server's speed.
	minPaceTime = 25 * time.Millisecond
	// lateFactor and lateSlack bound the time after which an answer of a server in slow start is late,
	// relative to the prediction with an empty cache.
	lateFactor = 2.0
	lateSlack  = 100 * time.Millisecond
)

// slowness returns how long a server's work takes at the moment relative to the service's usual, and
// the slowness that it has reported lately, 0 if it has not.
func (options Options) slowness(member *fleet.Member, now time.Time) (slowness, reported float64) {
	isRecent := now.Sub(member.Load.ReportedAt) < slownessMaxAge && member.Load.Slowness > 0
	if options.speeds == nil {
		slowness = max(1, member.BaselineSlowness)
		if isRecent {
			slowness, reported = member.Load.Slowness, member.Load.Slowness
		}
		return slowness, reported
	}
	speed := options.speeds.Of(member.Hash())
	if isRecent {
		return speed.Prefill * member.Load.Slowness / speed.Baseline, member.Load.Slowness
	}
	return speed.Prefill, 0
}

// prefillSlowness returns the factor by which prompts delay the tokens of other requests at a server. It is 1
// where servers are not known to differ.
func (options Options) prefillSlowness(slowness float64) float64 {
	if options.speeds == nil {
		return 1
	}
	return slowness
}

// isSlow reports whether a server is usually slower than the service's usual.
func isSlow(member *fleet.Member, speeds pace.Speeds) bool {
	if speeds == nil {
		return member.BaselineSlowness > slowEngineThreshold
	}
	return speeds.Of(member.Hash()).Gap > slowEngineThreshold
}

// weightedRendezvous returns the weight of a server for a part of a prompt, so that a server that takes half
// the time keeps twice as many sessions.
func weightedRendezvous(key uint64, member *fleet.Member, speeds pace.Speeds) float64 {
	uniform := (float64(rendezvousWeight(key, member)) + 1) / (1 << 63)
	return -math.Exp2(-speeds.Of(member.Hash()).Rounded) / math.Log(uniform)
}

// rendezvousWeight returns the weight of a server for a part of a prompt, by its speed if servers differ.
func (options Options) rendezvousWeight(key uint64, member *fleet.Member) float64 {
	if options.speeds == nil {
		return float64(rendezvousWeight(key, member))
	}
	return weightedRendezvous(key, member, options.speeds)
}

// preferredServer returns the ID of the server that is likely to have the session's prompt cached: the one with the
// highest rendezvous weight. It is empty if the prompt has no part that requests may share. Servers whose windows are
// full do not count, unless all are: one that has just started has nothing cached.
func (options Options) preferredServer(request *work.Request, candidates []fleet.Member, full map[string]bool) string {
	if len(request.Parts) < 2 {
		return ""
	}
	key := sessionPart(request).ID
	preferred, _ := options.highest(key, candidates, func(member *fleet.Member) bool { return !full[member.ID] })
	if preferred == "" {
		preferred, _ = options.highest(key, candidates, func(*fleet.Member) bool { return true })
	}
	return preferred
}

// highest returns the IDs of the two members with the highest rendezvous weights for a part of a prompt among those
// that may be chosen, empty where there is none.
func (options Options) highest(key uint64, members []fleet.Member, mayChoose func(*fleet.Member) bool) (preferred, next string) {
	first, second := 0.0, 0.0
	for index := range members {
		member := &members[index]
		if !mayChoose(member) {
			continue
		}
		switch weight := options.rendezvousWeight(key, member); {
		case preferred == "" || weight > first:
			preferred, next, first, second = member.ID, preferred, weight, first
		case next == "" || weight > second:
			next, second = member.ID, weight
		}
	}
	return preferred, next
}

// observePace updates what is known of a server's speed when its first event, or the answer of a plain
// server, has arrived.
func (options Options) observePace(request *work.Request, choice *Choice, elapsed time.Duration, now time.Time) {
	if options.Pace == nil {
		return
	}
	server := choice.Member.Server
	if !request.Route.HasPrompt {
		options.Pace.Observe(server, pace.Outcome{Kind: pace.Work, Actual: elapsed, Slowness: choice.Member.Load.Slowness, Latest: request.Route.Objective, IsAnswer: true}, now)
		return
	}
	outcome := pace.Outcome{Kind: pace.Prefill, Actual: elapsed, IsAnswer: true, Latest: time.Duration(float64(choice.cold)*lateFactor) + lateSlack}
	outcome.Slowness = choice.slowness
	if choice.usual >= minPaceTime && elapsed > firstEventOverhead {
		outcome.Expected, outcome.Overhead = choice.usual, firstEventOverhead
	}
	options.Pace.Observe(server, outcome, now)
}

// ObserveGaps updates what is known of an engine's speed from the gaps between the events of a stream that
// has ended. Only decode-heavy requests tell: the gaps of others depend on the prompts at their engine.
func (options Options) ObserveGaps(request *work.Request, choice *Choice, spans *pace.Spans, now time.Time) {
	if options.Pace == nil || !DecodeHeavy(request) {
		return
	}
	options.Pace.Observe(choice.Member.Server, pace.Outcome{Kind: pace.Gap, Actual: spans.Gap()}, now)
}
