// Package pick chooses the backend server for a request. It decides from what
// one host knows: its own requests in flight, the servers' answers and a hash
// that all hosts share.
package pick

import (
	"cmp"
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
	// LongPrompt is the number of prompt tokens from which a request is kept
	// away from the engines of the short ones.
	LongPrompt int
	// ShortShare is the share of the engines that serve short prompts.
	ShortShare float64
	// TokensPerMs is the rate at which an engine reads a prompt.
	TokensPerMs float64
}

// Weights of the choice, in milliseconds of expected delay.
const (
	// runningMs is what one more request in the batch costs.
	runningMs = 6.0
	// remoteMs is what a server of another failure domain costs.
	remoteMs = 4.0
	// failureMs is what a server costs whose answers all fail.
	failureMs = 4000.0
	// slownessMs is what a server costs that takes twice as long as usual.
	slownessMs = 60.0
	// strayFactor weighs the prompt parts that have to be read again at a server
	// that does not have them: they also push others out of its cache.
	strayFactor = 2.0
	// plainWaitingMs is what a waiting request costs at a plain service.
	plainWaitingMs = 15.0
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
)

// Choice is the server chosen and why.
type Choice struct {
	Member fleet.Member
	// CostMs is the expected delay that decided.
	CostMs float64
	// First is the predicted time to the first event, 0 for plain services.
	First time.Duration
	// Over is the number of servers that were weighed.
	Over int
	// Preferred: the session's prompt is likely to be cached there.
	Preferred bool
}

// Server chooses among the members of one service, leaving out those already
// tried. It reports false when none can take the request.
func Server(options Options, request *work.Request, members []fleet.Member, tried map[string]bool, now time.Time) (Choice, bool) {
	candidates := usable(members, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if request.Route.Prompts {
		candidates = options.group(request, members, candidates)
	}
	preferred := affinity(request, candidates)
	best := Choice{Over: len(candidates)}
	for index := range candidates {
		member := &candidates[index]
		liked := member.ID == preferred
		cost, first := options.cost(request, member, liked, now)
		if best.Member.ID == "" || cost < best.CostMs {
			best.Member, best.CostMs, best.Preferred = *member, cost, liked
			best.First = time.Duration(first * float64(time.Millisecond))
		}
	}
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

/*
group narrows the candidates of a model request to the engines of its size.

Reading a long prompt stretches the pauses between the tokens of all requests of
the batch, so long prompts and short requests run on different engines. The
engines are put in the order of a hash of their IDs, which all hosts share: the
first ones serve short requests.
*/
func (options Options) group(request *work.Request, members, candidates []fleet.Member) []fleet.Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b fleet.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	boundary := int(options.ShortShare*float64(len(ordered)) + 0.5)
	long := request.PromptTokens >= options.LongPrompt
	var group []fleet.Member
	for _, member := range candidates {
		position := slices.IndexFunc(ordered, func(other fleet.Member) bool { return other.ID == member.ID })
		if (position >= boundary) == long {
			group = append(group, member)
		}
	}
	if len(group) == 0 {
		return candidates
	}
	return group
}

// affinity returns the server that requests with the same session prefer.
func affinity(request *work.Request, candidates []fleet.Member) string {
	if len(request.Parts) < 2 {
		return ""
	}
	key := sessionPart(request).ID
	best := slices.MaxFunc(candidates, func(a, b fleet.Member) int {
		return cmp.Compare(score(key, a.ID), score(key, b.ID))
	})
	return best.ID
}

// sessionPart is the last part of the prompt that requests may share.
func sessionPart(request *work.Request) work.Part {
	return request.Parts[len(request.Parts)-2]
}

// score is the rendezvous weight of a server for a part of a prompt.
func score(key uint64, id string) uint64 {
	return (key ^ xxhash.Sum64String(id)) * 0x9e3779b97f4a7c15 >> 1
}

// cost is the expected delay at a server, and the predicted time to the first
// event.
func (options Options) cost(request *work.Request, member *fleet.Member, liked bool, now time.Time) (cost, first float64) {
	cost = float64(member.Running)*runningMs + member.FailureRate*failureMs
	if member.FailureDomain != options.FailureDomain {
		cost += remoteMs
	}
	age := now.Sub(member.Load.At)
	slowness := 1.0
	if age < slownessLife && member.Load.Slowness > 1 {
		slowness = member.Load.Slowness
		cost += (slowness - 1) * slownessMs
	}
	if !request.Route.Prompts {
		if age < reportLife {
			cost += (1 - float64(age)/float64(reportLife)) * float64(member.Load.Waiting) * plainWaitingMs
		}
		return cost, 0
	}
	perToken := slowness * stepOverhead / options.TokensPerMs
	first = options.backlog(member, age)*perToken + float64(request.PromptTokens-saved(request, liked))*perToken
	cost += first
	if !liked && len(request.Parts) >= 2 {
		cost += float64(sessionPart(request).Tokens) * perToken * (strayFactor - 1)
	}
	return cost, first
}

// backlog estimates the prompt tokens that a server has to read first: what was
// waiting at its last report, less what it has read since, and what this host
// has sent it since.
func (options Options) backlog(member *fleet.Member, age time.Duration) float64 {
	reported := 0.0
	if age < reportLife {
		read := float64(age.Milliseconds()) * options.TokensPerMs / stepOverhead
		reported = max(0, float64(member.Load.Waiting*waitingTokens)-read)
	}
	return max(float64(member.Reading), reported+float64(member.SentSince))
}

// saved is the prompt tokens that a server need not read: all hosts share the
// parts that many sessions have, and the session's own at the preferred server.
func saved(request *work.Request, liked bool) int {
	if len(request.Parts) < 2 {
		return 0
	}
	tokens := 0
	for _, part := range request.Parts[:len(request.Parts)-2] {
		tokens += part.Tokens
	}
	if liked {
		tokens += sessionPart(request).Tokens
	}
	return tokens
}

// Draw returns a number that is spread evenly for the split of a route, the
// same for each attempt of one request.
func Draw(id string) uint64 { return xxhash.Sum64String(id) }
