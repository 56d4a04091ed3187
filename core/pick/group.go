package pick

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/pace"
	"primrosegw/core/work"
)

const (
	// decodeHeavyRatio is the ratio of prompt tokens to maximum output tokens
	// below which a request is decode-heavy.
	decodeHeavyRatio = 8
	// decodeRequestsPerEngine is the number of decode-heavy requests that an
	// engine can batch while keeping their inter-token latency low.
	decodeRequestsPerEngine = 12
	// slowEngineThreshold is the usual slowness above which an engine is slow.
	slowEngineThreshold = 1.15
	// minDecodeShare and maxDecodeShare bound the share of a service's engines
	// that is assigned to decode-heavy requests.
	minDecodeShare = 0.2
	maxDecodeShare = 0.45
)

// DecodeHeavy reports whether a request generates many tokens relative to its
// prompt. Such requests are sensitive to inter-token latency.
func DecodeHeavy(request *work.Request) bool {
	return request.Route.HasPrompt && request.PromptTokens < decodeHeavyRatio*request.OutputTokens
}

/*
matchingEngines returns the candidates in the engine group, decode or prefill,
that matches a model request. If none of them is a candidate, it returns all.

Prefilling a prompt increases the inter-token latency of every request in the
batch, so prefill-heavy and decode-heavy requests run on separate engines. Engines
are sorted by whether they are usually slow, then by a hash of their IDs that is
the same on all hosts. The first ones serve decode-heavy requests, because a slow
engine increases inter-token latency. Their number depends on the decode-heavy
requests that all hosts have in flight, so hosts derive nearly the same groups
without coordination.
*/
func (options Options) matchingEngines(request *work.Request, members, candidates []fleet.Member, now time.Time) []fleet.Member {
	decodeEngines := options.Groups.decodeEngines(request.Service, members, options.speeds, now)
	decodeHeavy := DecodeHeavy(request)
	var matching []fleet.Member
	for _, member := range candidates {
		if decodeEngines[member.ID] == decodeHeavy {
			matching = append(matching, member)
		}
	}
	if len(matching) == 0 {
		return candidates
	}
	return matching
}

// selectDecodeEngines returns the IDs of the engines for decode-heavy requests.
func selectDecodeEngines(members []fleet.Member, speeds pace.Speeds) map[string]bool {
	ordered := make([]sortKey, len(members))
	decodeRequests := 0
	for index := range members {
		member := &members[index]
		ordered[index] = sortKey{isSlow(member, speeds), member.Hash(), member.ID}
		decodeRequests += member.Own.DecodeHeavy + member.Peers.DecodeHeavy
	}
	slices.SortFunc(ordered, sortKey.compare)
	total := float64(len(members))
	needed := (decodeRequests + decodeRequestsPerEngine - 1) / decodeRequestsPerEngine
	count := max(int(minDecodeShare*total+0.5), min(needed, int(maxDecodeShare*total)))
	count = max(1, min(count, len(members)-1))
	decodeEngines := make(map[string]bool, count)
	for _, entry := range ordered[:min(count, len(ordered))] {
		decodeEngines[entry.id] = true
	}
	return decodeEngines
}

// groupTTL is the time for which a service's decode engines are cached.
const groupTTL = 100 * time.Millisecond

// EngineGroups caches each service's decode engines for groupTTL, because sorting
// thousands of engines for every request is too expensive. It is safe for
// concurrent use.
type EngineGroups struct {
	mutex    sync.Mutex
	services map[string]cachedGroup
}

// cachedGroup holds the decode engines of one service.
type cachedGroup struct {
	expires       time.Time
	memberCount   int
	decodeEngines map[string]bool
}

// NewEngineGroups returns an empty cache.
func NewEngineGroups() *EngineGroups { return &EngineGroups{services: make(map[string]cachedGroup)} }

// decodeEngines returns the IDs of a service's decode engines. The cached set is
// recomputed when it expires or the number of members changes.
func (groups *EngineGroups) decodeEngines(service string, members []fleet.Member, speeds pace.Speeds, now time.Time) map[string]bool {
	if groups == nil {
		return selectDecodeEngines(members, speeds)
	}
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	cached, ok := groups.services[service]
	if !ok || !now.Before(cached.expires) || cached.memberCount != len(members) {
		cached = cachedGroup{now.Add(groupTTL), len(members), selectDecodeEngines(members, speeds)}
		groups.services[service] = cached
	}
	return cached.decodeEngines
}

// sortKey orders engines by whether they are slow, then by hash.
type sortKey struct {
	slow bool
	hash uint64
	id   string
}

func (key sortKey) compare(other sortKey) int {
	if key.slow != other.slow {
		if key.slow {
			return 1
		}
		return -1
	}
	return cmp.Compare(key.hash, other.hash)
}

// sessionPart returns the session's own part of the prompt, the last one that
// requests may share.
func sessionPart(request *work.Request) work.Part {
	return request.Parts[len(request.Parts)-2]
}

func sessionTokens(request *work.Request) int {
	if len(request.Parts) < 2 {
		return 0
	}
	return sessionPart(request).Tokens
}

// rendezvousWeight returns the weight of a server for a part of a prompt.
func rendezvousWeight(key uint64, member *fleet.Member) uint64 {
	return (key ^ member.Hash()) * 0x9e3779b97f4a7c15 >> 1
}
