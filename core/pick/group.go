package pick

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/work"
)

const (
	// talkRatio is the number of prompt tokens for each token that may be
	// generated below which a request counts as one that talks.
	talkRatio = 8
	// talkersPerEngine is the number of talking requests that an engine runs with
	// short pauses between their tokens.
	talkersPerEngine = 12
	// slowEngine is the usual slowness from which an engine counts as slow.
	slowEngine = 1.15
	// leastTalkShare and mostTalkShare bound the share of engines for talking
	// requests.
	leastTalkShare = 0.12
	mostTalkShare  = 0.45
)

// Talks reports whether a request generates much and reads little. Pauses
// between its tokens are what it can lose.
func Talks(request *work.Request) bool {
	return request.Route.HasPrompt && request.PromptTokens < talkRatio*request.OutputTokens
}

/*
group narrows the candidates of a model request to the engines for its sort.

Reading a prompt stretches the pauses between the tokens of all requests of the
batch, so requests that mostly read and those that mostly talk run on different
engines. The engines are put in the order of their usual speed and then of a hash
of their IDs, which all hosts share; the first ones are for those that talk, since
a slow engine stretches their pauses. Their number follows the number of
talking requests that all hosts have in flight, so the hosts agree on it well
enough without asking each other.
*/
func (options Options) group(request *work.Request, members, candidates []fleet.Member, now time.Time) []fleet.Member {
	talkers := options.Groups.talkers(request.Service, members, now)
	wanted := Talks(request)
	var group []fleet.Member
	for _, member := range candidates {
		if talkers[member.ID] == wanted {
			group = append(group, member)
		}
	}
	if len(group) == 0 {
		return candidates
	}
	return group
}

// talkEngines returns the IDs of the engines for talking requests.
func talkEngines(members []fleet.Member) map[string]bool {
	ordered := make([]ranked, len(members))
	talking := 0
	for index := range members {
		member := &members[index]
		ordered[index] = ranked{member.BaselineSlowness > slowEngine, member.Hash(), member.ID}
		talking += member.Own.DecodeHeavy + member.Peers.DecodeHeavy
	}
	slices.SortFunc(ordered, ranked.compare)
	count := float64(len(members))
	wanted := (talking + talkersPerEngine - 1) / talkersPerEngine
	number := max(int(leastTalkShare*count+0.5), min(wanted, int(mostTalkShare*count)))
	number = max(1, min(number, len(members)-1))
	talkers := make(map[string]bool, number)
	for _, entry := range ordered[:min(number, len(ordered))] {
		talkers[entry.id] = true
	}
	return talkers
}

// groupLife is the time for which the engines for talking requests stay the same.
const groupLife = 100 * time.Millisecond

// Groups remembers for a moment which engines are for talking requests: to put
// them in order for each request takes too long where there are thousands. It is
// safe for concurrent use.
type Groups struct {
	mutex    sync.Mutex
	services map[string]grouped
}

// grouped is the engines of a service that are for talking requests.
type grouped struct {
	until   time.Time
	members int
	talkers map[string]bool
}

// NewGroups returns an empty memory.
func NewGroups() *Groups { return &Groups{services: make(map[string]grouped)} }

// talkers returns the engines for talking requests.
func (groups *Groups) talkers(service string, members []fleet.Member, now time.Time) map[string]bool {
	if groups == nil {
		return talkEngines(members)
	}
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	known, ok := groups.services[service]
	if !ok || !now.Before(known.until) || known.members != len(members) {
		known = grouped{now.Add(groupLife), len(members), talkEngines(members)}
		groups.services[service] = known
	}
	return known.talkers
}

type ranked struct {
	slow bool
	hash uint64
	id   string
}

func (ranked ranked) compare(other ranked) int {
	if ranked.slow != other.slow {
		if ranked.slow {
			return 1
		}
		return -1
	}
	return cmp.Compare(ranked.hash, other.hash)
}

// affinity returns the server that requests with the same session prefer.
func affinity(request *work.Request, candidates []fleet.Member) string {
	if len(request.Parts) < 2 {
		return ""
	}
	key := sessionPart(request).ID
	best, most := "", uint64(0)
	for index := range candidates {
		if weight := score(key, &candidates[index]); best == "" || weight > most {
			best, most = candidates[index].ID, weight
		}
	}
	return best
}

// sessionPart is the last part of the prompt that requests may share.
func sessionPart(request *work.Request) work.Part {
	return request.Parts[len(request.Parts)-2]
}

func sessionTokens(request *work.Request) int {
	if len(request.Parts) < 2 {
		return 0
	}
	return sessionPart(request).Tokens
}

// score is the rendezvous weight of a server for a part of a prompt.
func score(key uint64, member *fleet.Member) uint64 {
	return (key ^ member.Hash()) * 0x9e3779b97f4a7c15 >> 1
}

// unread is the prompt tokens that a server has to read for a request: all
// engines have the parts that many sessions share, and the preferred one has the
// session's own.
func unread(request *work.Request, preferred bool) int {
	if len(request.Parts) < 2 {
		return request.PromptTokens
	}
	tokens := request.PromptTokens
	for _, part := range request.Parts[:len(request.Parts)-2] {
		tokens -= part.Tokens
	}
	if preferred {
		tokens -= sessionTokens(request)
	}
	return max(0, tokens)
}
