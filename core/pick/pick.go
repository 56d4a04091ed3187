// Package pick chooses the backend server for a request. It decides from what
// one host knows: the requests in flight, the servers' answers and a hash that
// all hosts share.
package pick

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosegw/core/fleet"
	"primrosegw/core/work"
)

// Options configure the choice.
type Options struct {
	// FailureDomain is the host's own.
	FailureDomain string
	// TokensPerMs is the rate at which an engine reads a prompt.
	TokensPerMs float64
	// Groups remembers which engines are for which requests; nil: nothing is
	// remembered.
	Groups *Groups
	// Pace corrects predictions by how earlier ones turned out; nil: not at all.
	Pace *Pace
}

// The parts of the loss that a choice is expected to cause, in units of what the
// request is worth.
const (
	// lateLoss is the loss when the answer misses its objective.
	lateLoss = 1.0
	// stretchLoss is the loss of a request that talks at an engine that reads
	// stretchTokens or more of prompts between its tokens.
	stretchLoss   = 0.4
	stretchTokens = 4000
	// disturbLoss is the loss of each request that talks at an engine which is to
	// read stretchTokens or more for a new one.
	disturbLoss = 0.3
	// rereadLoss is the loss when all of a prompt is read that another engine has
	// in its cache: the time of an engine, and what is pushed out of its cache.
	rereadLoss = 1.0
	// failureLoss is the loss at a server whose answers all fail.
	failureLoss = 1.5
	// remoteLoss is the loss when a request goes to another failure domain.
	remoteLoss = 0.02
	// slowLoss is the loss at a server that takes twice as long as usual.
	slowLoss = 0.08
	// runningLoss is the loss for each request that runs beside a new one.
	runningLoss = 0.004
	// waitingLoss is the loss for each request that waits at a plain service.
	waitingLoss = 0.05
)

const (
	// reportLife is the age at which a load report says nothing any more.
	reportLife = 2 * time.Second
	// slownessLife is the age at which a reported slowness has passed.
	slownessLife = 600 * time.Millisecond
	// waitingTokens is the prompt tokens that a waiting request has left to read.
	waitingTokens = 6000
	// stepOverhead is how much longer a prompt takes beside running requests.
	stepOverhead = 1.25
	// early and late are the shares of the objective between which the chance of
	// a late first event rises from none to certain.
	early = 0.8
	late  = 1.2
	// millisecondLoss breaks ties between servers that are in time.
	millisecondLoss = 0.0002
)

// Choice is the server chosen and why.
type Choice struct {
	Member fleet.Member
	// Loss is the expected loss that decided, 1 being all of the request's worth.
	Loss float64
	// First is the predicted time to the first event, 0 for plain services.
	First time.Duration
	// Wait is the part of First before the server begins with the request.
	Wait time.Duration
	// Over is the number of servers that were weighed.
	Over int
	// Preferred: the session's prompt is likely to be cached there.
	Preferred bool
	// Share is what the request adds to the server's work.
	Share fleet.RequestLoad
}

// Server chooses among the members of one service, leaving out those already
// tried. It reports false when none can take the request.
func Server(options Options, request *work.Request, members []fleet.Member, tried map[string]bool, now time.Time) (Choice, bool) {
	candidates := usable(members, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if request.Route.HasPrompt {
		candidates = options.group(request, members, candidates, now)
	}
	preferred := affinity(request, candidates)
	best := Choice{Over: len(candidates)}
	for index := range candidates {
		member := &candidates[index]
		liked := member.ID == preferred
		found := options.weigh(request, member, liked, now)
		if best.Member.ID == "" || found.Loss < best.Loss {
			found.Over = best.Over
			best = found
		}
	}
	best.Share = fleet.RequestLoad{Rank: request.Rank, PrefillTokens: unread(request, best.Preferred), DecodeHeavy: Talks(request)}
	return best, true
}

// usable leaves out servers that were tried or are suspended. When all are
// suspended, the one whose pause ends first is better than none.
func usable(members []fleet.Member, tried map[string]bool, now time.Time) []fleet.Member {
	var candidates, suspended []fleet.Member
	for _, member := range members {
		switch {
		case tried[member.ID]:
		case member.Suspended(now):
			suspended = append(suspended, member)
		default:
			candidates = append(candidates, member)
		}
	}
	if len(candidates) > 0 || len(suspended) == 0 {
		return candidates
	}
	first := slices.MinFunc(suspended, func(a, b fleet.Member) int { return a.SuspendedUntil.Compare(b.SuspendedUntil) })
	return []fleet.Member{first}
}

// weigh predicts what a request loses at a server and when its first event comes.
func (options Options) weigh(request *work.Request, member *fleet.Member, liked bool, now time.Time) Choice {
	choice := Choice{Member: *member, Preferred: liked}
	running := member.Own.Running + member.Peers.Running
	loss := float64(running)*runningLoss + member.FailureRate*failureLoss
	if member.FailureDomain != options.FailureDomain {
		loss += remoteLoss
	}
	age := now.Sub(member.Load.ReportedAt)
	slowness := max(1, member.BaselineSlowness)
	if age < slownessLife && member.Load.Slowness > 0 {
		slowness = member.Load.Slowness
	}
	loss += max(0, slowness-1) * slowLoss
	if !request.Route.HasPrompt {
		if age < reportLife {
			loss += (1 - float64(age)/float64(reportLife)) * float64(member.Load.Waiting) * waitingLoss
		}
		choice.Loss = loss
		return choice
	}
	perToken := slowness * stepOverhead / options.TokensPerMs
	own := unread(request, liked)
	wait := options.backlog(request, member, age) * perToken
	first := wait + float64(own)*perToken
	loss += options.lateness(request, first, now) + first*millisecondLoss
	if Talks(request) {
		reading := member.Own.TotalPrefill() + member.Peers.TotalPrefill()
		loss += stretchLoss * min(1, float64(reading)/stretchTokens)
	} else {
		talking := member.Own.DecodeHeavy + member.Peers.DecodeHeavy
		loss += disturbLoss * float64(talking) * min(1, float64(own)/stretchTokens)
	}
	if !liked && request.PromptTokens > 0 {
		loss += rereadLoss * float64(sessionTokens(request)) / float64(request.PromptTokens)
	}
	pace := options.Pace.Factor(request.Service) * float64(time.Millisecond)
	choice.Loss, choice.First, choice.Wait = loss, time.Duration(first*pace), time.Duration(wait*pace)
	return choice
}

// lateness is the expected loss by a first event after so many milliseconds.
func (options Options) lateness(request *work.Request, first float64, now time.Time) float64 {
	objective := float64((request.Route.Objective - now.Sub(request.Received)).Milliseconds())
	if objective <= 0 {
		objective = float64(request.Left(now).Milliseconds())
	}
	if objective <= 0 {
		return lateLoss
	}
	return lateLoss * min(2, max(0, (first/objective-early)/(late-early)))
}

// backlog is the prompt tokens that a server has to read first. The other hosts'
// share comes from them, or else from what was waiting at the server's last
// report, less what it has read since.
func (options Options) backlog(request *work.Request, member *fleet.Member, age time.Duration) float64 {
	rank := request.Rank
	told := float64(member.Own.PrefillAhead(rank) + member.Peers.PrefillAhead(rank))
	if member.Peers.Running > 0 || age >= reportLife || !request.Bulk {
		return told
	}
	read := float64(age.Milliseconds()) * options.TokensPerMs / stepOverhead
	reported := max(0, float64(member.Load.Waiting*waitingTokens)-read)
	return max(told, reported+float64(member.PrefillSinceReport))
}

// Draw returns a number that is spread evenly for the split of a route, the
// same for each attempt of one request.
func Draw(id string) uint64 { return xxhash.Sum64String(id) }
