// Package pick selects the backend server for a request. It uses only what one host
// knows: the requests in flight, the servers' answers and load reports, and a hash
// function that is the same on all hosts.
package pick

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosegw/core/fleet"
	"primrosegw/core/pace"
	"primrosegw/core/work"
)

// Options configure server selection.
type Options struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// TokensPerMs is the prefill rate of an engine, in prompt tokens per millisecond. It
	// is used if Rates is nil.
	TokensPerMs float64
	// Rates are the learned prefill rates.
	Rates *PrefillRates
	// Groups caches which engines serve decode-heavy requests. If nil, they are
	// computed for each request.
	Groups *EngineGroups
	// Correction adjusts predicted latencies by past prediction errors. If nil,
	// predictions are not adjusted.
	Correction *LatencyCorrection
	// Cached remembers where sessions' parts of prompts are cached. If nil, only the
	// preferred engine is assumed to have them.
	Cached *CachedParts
	// Pacer excludes servers that accept no request now. If nil, none are.
	Pacer Pacer
	// Room excludes brittle servers that have no room for a request of this host now. If nil, none are.
	Room Pacer
	// PreferFraming is set for an attempt after one whose response ended with its connection and
	// proved nothing. It goes to a server that has lately framed its responses if there is one, or else
	// to one of which that is not known.
	PreferFraming bool
	// Pace knows the speed of servers and which are in slow start. If nil, all are equally fast.
	Pace *pace.Tracker
	// speeds are the speeds of the service's servers for one request; nil: they do not differ.
	speeds pace.Speeds
}

// Pacer tells when servers that have limits accept requests.
type Pacer interface {
	// Wait returns the time after which this host may send a request to the server; 0: now.
	Wait(server fleet.Server, now time.Time) time.Duration
}

// ShortestWait returns the shortest time after which one of the members accepts a request. Tried
// ones count if they named that time. It is 0 if that is now, or if there are none.
func (options Options) ShortestWait(members []fleet.Member, tried map[string]bool, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, member := range members {
		wait := options.wait(member, now)
		if wait == 0 && !tried[member.ID] {
			return 0
		}
		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// wait returns the time after which a member accepts a request of this host; 0: now.
func (options Options) wait(member fleet.Member, now time.Time) time.Duration {
	wait := max(member.AwayFor(now), options.waitForRoom(member, now))
	if options.Pacer == nil {
		return wait
	}
	return max(wait, options.Pacer.Wait(member.Server, now))
}

// waitForRoom returns the time after which a brittle member may have room; 0: now.
func (options Options) waitForRoom(member fleet.Member, now time.Time) time.Duration {
	if options.Room == nil {
		return 0
	}
	return options.Room.Wait(member.Server, now)
}

// LacksRoomOnly reports whether one of the members that were not tried is brittle and accepts no request
// now for no other reason than that it has no room.
func (options Options) LacksRoomOnly(members []fleet.Member, tried map[string]bool, now time.Time) bool {
	others := options
	others.Room = nil
	return slices.ContainsFunc(members, func(member fleet.Member) bool {
		return !tried[member.ID] && !member.Suspended(now) && options.waitForRoom(member, now) > 0 && others.wait(member, now) == 0
	})
}

// Terms of the expected loss of a choice, in units of the request's value.
const (
	// missedObjectiveLoss is the loss when the answer misses its latency objective.
	missedObjectiveLoss = 1.0
	// decodeSlowdownLoss is the loss of a decode-heavy request at an engine that has
	// fullSlowdownTokens or more prompt tokens left to prefill, which delays the
	// request's own tokens.
	decodeSlowdownLoss = 0.4
	fullSlowdownTokens = 4000
	// inducedSlowdownLoss is the loss of each decode-heavy request running at an
	// engine that has to prefill fullSlowdownTokens or more for a new request.
	inducedSlowdownLoss = 0.3
	// cacheMissLoss is the loss when a whole prompt is prefilled although another
	// engine has it cached. It accounts for the engine's time and for the entries
	// that the prompt evicts from its cache.
	cacheMissLoss = 1.4
	// failureLoss is the loss at a server whose failure rate is 1.
	failureLoss = 1.5
	// declineLoss is the loss at a server that refuses all requests. Without it the server that
	// refuses fastest would look idlest.
	declineLoss = 1.0
	// unprovenLoss is the loss at a server whose responses all end with their connection, which
	// proves nothing, if another one frames its responses. It is higher than cacheMissLoss, or a
	// session whose prompt is cached there would stay.
	unprovenLoss = 1.5
	// crossDomainLoss is the loss when a request goes to another failure domain.
	crossDomainLoss = 0.02
	// slownessLoss is the loss at a server that takes twice as long as normal.
	slownessLoss = 0.15
	// runningRequestLoss is the loss for each request already running at the server.
	runningRequestLoss = 0.01
	// fullWindowLoss is the loss at a server in slow start whose window is full. It is below
	// missedObjectiveLoss, so that no request is late for want of a server.
	fullWindowLoss = 0.6
	// waitingRequestLoss is the loss for each request queued at a server of a plain
	// service.
	waitingRequestLoss = 0.05
)

const (
	// loadReportMaxAge is the age from which a load report is ignored.
	loadReportMaxAge = 2 * time.Second
	// slownessMaxAge is the age from which a reported slowness is ignored.
	slownessMaxAge = 600 * time.Millisecond
	// tokensPerWaitingRequest is the assumed number of prompt tokens that a queued
	// request still has to prefill.
	tokensPerWaitingRequest = 6000
	// batchingOverhead is the factor by which running requests slow down prefill.
	batchingOverhead = 1.25
	// lateRampStart and lateRampEnd are the shares of the objective between which
	// the probability of a late first event rises from 0 to 1.
	lateRampStart = 0.8
	lateRampEnd   = 1.2
	// lossPerMs breaks ties between servers that meet the objective.
	lossPerMs = 0.0002
)

// Choice is the selected server with the predictions behind the selection.
type Choice struct {
	Member fleet.Member
	// Loss is the expected loss at the server; 1 is the request's whole value.
	Loss float64
	// FirstEvent is the predicted time to the first event; 0 for plain services.
	FirstEvent time.Duration
	// QueueDelay is the part of FirstEvent before the server starts on the request.
	QueueDelay time.Duration
	// Candidates is the number of servers that were evaluated.
	Candidates int
	// Preferred reports whether the server is likely to have the session's prompt
	// cached.
	Preferred bool
	// Share is the load that the request adds to the server.
	Share fleet.RequestLoad
	// rendezvous is set if the server is the session's first one in rendezvous order.
	rendezvous bool
	// slowness is the slowness that the server has reported lately, 0 if it has not, and usual the time to
	// the first event that is predicted for a server of usual speed. cold is the prediction
	// without any cached part of the prompt.
	slowness    float64
	usual, cold time.Duration
	// total is the slowness that was assumed; 0: servers are not known to differ.
	total float64
}

// Server selects the member of a service with the lowest expected loss, excluding
// those already tried. It returns false if no member can take the request.
func Server(options Options, request *work.Request, members []fleet.Member, tried map[string]bool, now time.Time) (Choice, bool) {
	candidates := options.eligible(members, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	candidates = options.framingCandidates(candidates, now)
	full := options.Pace.Full(request.Service, members, now)
	options.speeds = options.Pace.Speeds(request.Service, now)
	if request.Route.HasPrompt {
		candidates = options.matchingEngines(request, members, candidates, now)
	}
	best, copies := options.best(request, members, candidates, full, now)
	for !full[best.Member.ID] && !options.Pace.Take(&best.Member, now) {
		if full == nil {
			full = make(map[string]bool)
		}
		full[best.Member.ID] = true
		best, copies = options.best(request, members, candidates, full, now)
	}
	best.rendezvous = best.Member.ID == copies.preferred
	best.Share = fleet.RequestLoad{Rank: request.Rank, PrefillTokens: copies.at(&best.Member).uncached, DecodeHeavy: DecodeHeavy(request)}
	return best, true
}

// best returns the candidate with the lowest expected loss, and what is expected of the copies of the
// prompt's parts. Full holds the members in slow start that are to get nothing more now.
func (options Options) best(request *work.Request, members, candidates []fleet.Member, full map[string]bool, now time.Time) (Choice, promptCopies) {
	copies := options.promptCopies(request, members, candidates, full, now)
	countUnproven := anyFrames(candidates, now)
	best := Choice{Candidates: len(candidates)}
	for index := range candidates {
		member := &candidates[index]
		evaluated := options.evaluate(request, member, copies.at(member), now)
		if countUnproven {
			evaluated.Loss += member.UnprovenRate(now) * unprovenLoss
		}
		if full[member.ID] {
			evaluated.Loss += fullWindowLoss
		}
		if best.Member.ID == "" || evaluated.Loss < best.Loss {
			evaluated.Candidates = best.Candidates
			best = evaluated
		}
	}
	return best, copies
}

// eligible returns the members that accept a request now and are neither tried nor
// suspended. If only
// suspended members are left, it returns the one whose suspension ends first, rather
// than failing the request, unless it may wait for room at another one.
func (options Options) eligible(members []fleet.Member, tried map[string]bool, now time.Time) []fleet.Member {
	var candidates, suspended []fleet.Member
	for _, member := range members {
		switch {
		case tried[member.ID] || options.wait(member, now) > 0:
		case member.Suspended(now):
			suspended = append(suspended, member)
		default:
			candidates = append(candidates, member)
		}
	}
	if len(candidates) > 0 || len(suspended) == 0 || options.LacksRoomOnly(members, tried, now) {
		return candidates
	}
	earliest := slices.MinFunc(suspended, func(a, b fleet.Member) int { return a.SuspendedUntil.Compare(b.SuspendedUntil) })
	return []fleet.Member{earliest}
}

// evaluate predicts the loss of a request at a server and, for model requests, the
// time to its first event.
func (options Options) evaluate(request *work.Request, member *fleet.Member, expected expectation, now time.Time) Choice {
	choice := Choice{Member: *member, Preferred: expected.hasSession}
	running := member.Own.Running + member.Peers.Running
	slowness, reported := options.slowness(member, now)
	loss := float64(running)*runningRequestLoss*options.speeds.Of(member.Hash()).Work + member.FailureRate*failureLoss + member.DeclineRate(now)*declineLoss
	if member.FailureDomain != options.FailureDomain {
		loss += crossDomainLoss
	}
	age := now.Sub(member.Load.ReportedAt)
	loss += max(0, slowness-1) * slownessLoss
	if !request.Route.HasPrompt {
		if age < loadReportMaxAge {
			loss += (1 - float64(age)/float64(loadReportMaxAge)) * float64(member.Load.Waiting) * waitingRequestLoss
		}
		choice.Loss = loss
		return choice
	}
	perToken := slowness * batchingOverhead / options.tokensPerMs(request.Service)
	uncached := expected.uncached
	queueDelay := options.prefillBacklog(request, member, age) * perToken
	firstEvent := queueDelay + float64(uncached)*perToken
	loss += options.latenessLoss(request, firstEvent, now) + firstEvent*lossPerMs
	if DecodeHeavy(request) {
		pendingPrefill := member.Own.TotalPrefill() + member.Peers.TotalPrefill()
		loss += decodeSlowdownLoss * min(1, float64(pendingPrefill)*options.prefillSlowness(slowness)/fullSlowdownTokens)
	} else {
		decodeRequests := member.Own.DecodeHeavy + member.Peers.DecodeHeavy
		loss += inducedSlowdownLoss * float64(decodeRequests) * min(1, float64(uncached)*options.prefillSlowness(slowness)/fullSlowdownTokens)
	}
	if expected.missed > 0 && request.PromptTokens > 0 {
		loss += cacheMissLoss * expected.missed / float64(request.PromptTokens)
	}
	scale := options.Correction.Factor(request.Service) * float64(time.Millisecond)
	choice.slowness = reported
	if options.speeds != nil {
		choice.total = slowness
	}
	choice.usual = time.Duration(firstEvent * float64(time.Millisecond) / slowness)
	choice.cold = time.Duration((queueDelay + float64(request.PromptTokens)*perToken) * scale)
	choice.Loss, choice.FirstEvent, choice.QueueDelay = loss, time.Duration(firstEvent*scale), time.Duration(queueDelay*scale)
	return choice
}

// tokensPerMs returns the prefill rate of a service's engines.
func (options Options) tokensPerMs(service string) float64 {
	if options.Rates == nil {
		return options.TokensPerMs
	}
	return options.Rates.TokensPerMs(service)
}

// latenessLoss returns the expected loss if the first event comes after firstEventMs
// milliseconds. Once the objective has passed, the time until the deadline is used
// instead.
func (options Options) latenessLoss(request *work.Request, firstEventMs float64, now time.Time) float64 {
	objective := float64((request.Route.Objective - now.Sub(request.Received)).Milliseconds())
	if objective <= 0 {
		objective = float64(request.Remaining(now).Milliseconds())
	}
	if objective <= 0 {
		return missedObjectiveLoss
	}
	return missedObjectiveLoss * min(2, max(0, (firstEventMs/objective-lateRampStart)/(lateRampEnd-lateRampStart)))
}

// prefillBacklog returns the prompt tokens that a server has to prefill before those
// of the request. The other hosts' share is taken from their own reports. If there
// are none, and the request has the lowest priority, it is estimated from the queue in
// the server's last load report, if that is recent: less what the server has prefilled
// since, plus what this host has sent since.
func (options Options) prefillBacklog(request *work.Request, member *fleet.Member, age time.Duration) float64 {
	rank := request.Rank
	known := float64(member.Own.PrefillAhead(rank) + member.Peers.PrefillAhead(rank))
	if member.Peers.Running > 0 || age >= loadReportMaxAge || !request.LowestPriority {
		return known
	}
	processed := float64(age.Milliseconds()) * options.tokensPerMs(request.Service) / batchingOverhead
	reported := max(0, float64(member.Load.Waiting*tokensPerWaitingRequest)-processed)
	return max(known, reported+float64(member.PrefillSinceReport))
}

// SplitHash returns a uniformly distributed hash of a request ID, which selects a
// service in a route's weighted split. It is the same for all attempts of a request.
func SplitHash(id string) uint64 { return xxhash.Sum64String(id) }
