package pick

import (
	"slices"
	"sync"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/work"
)

const (
	// copyTTL is how long an engine is assumed to keep a part of a prompt after its last
	// use.
	copyTTL = 10 * time.Second
	// maxTrackedParts limits the memory for prompt parts.
	maxTrackedParts = 8192
	// maxCopiesPerPart is the number of engines that are tracked for a session's part.
	maxCopiesPerPart = 4
)

// CachedParts remembers which engines have recently prefilled the shared parts of
// prompts, for this host and, if there are several entry hosts, for the others, as far
// as they told (see CopyReport). An engine that took a session over from a busy one has
// the part cached too, so the session's next request needs no third copy. It is safe
// for concurrent use.
type CachedParts struct {
	mutex sync.Mutex
	parts map[uint32]*sharedPart
	// peers is the number of other entry hosts. If it is 0, this host's own requests tell
	// all, and nothing is reported.
	peers int
	// pending holds the copies that are to be reported.
	pending map[copyKey]pendingCopy
	// spent and spentAt limit the rate of reports.
	spent   float64
	spentAt time.Time
	// startedAt is when the first prompt was observed that other hosts may be told of.
	startedAt time.Time
	counts    CopyCounts
}

// sharedPart is what is known of a part of prompts.
type sharedPart struct {
	// copies are sorted by their last use.
	copies []partCopy
	// successors are the parts that followed this one lately, at most minWideSuccessors.
	successors []uint32
}

// partCopy is one engine's copy of a part.
type partCopy struct {
	engine uint32
	usedAt time.Time
	// toldAt is the last use that the other hosts were told of; zero: of none. fromPeer is
	// set if another host told of the copy.
	toldAt   time.Time
	fromPeer bool
}

// isFresh reports whether the engine is assumed to have the copy still.
func (known partCopy) isFresh(now time.Time) bool { return now.Sub(known.usedAt) < copyTTL }

// NewCachedParts returns an empty CachedParts.
func NewCachedParts() *CachedParts {
	return &CachedParts{parts: make(map[uint32]*sharedPart), pending: make(map[copyKey]pendingCopy)}
}

// SetPeers sets the number of other entry hosts.
func (parts *CachedParts) SetPeers(peers int) {
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	if parts.peers = peers; peers == 0 {
		parts.startedAt = time.Time{}
		clear(parts.pending)
	}
}

// Observe records that an engine has prefilled the prompt of a request. IsPreferred
// tells whether it is the one by rendezvous hashing. It does nothing for a nil receiver
// and for requests without a prompt that has a session's part.
func (parts *CachedParts) Observe(request *work.Request, server fleet.Server, isPreferred bool, now time.Time) {
	if parts == nil || len(request.Parts) < 2 || !request.Route.HasPrompt {
		return
	}
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	if parts.peers > 0 && parts.startedAt.IsZero() {
		parts.startedAt = now
	}
	engine := engineKey(server)
	last := len(request.Parts) - 2
	for index, part := range request.Parts[:last+1] {
		isSession := index == last
		if !isSession && (part.Tokens < minToldTokens || parts.peers == 0) {
			continue
		}
		key := partKey(part.ID)
		known := parts.find(key, now)
		if !isSession {
			known.addSuccessor(partKey(request.Parts[index+1].ID))
		}
		limit := maxWideCopies
		if isSession {
			limit = maxCopiesPerPart
		}
		// Hosts that were told of copies elsewhere have to learn that the preferred one is in
		// use again.
		tell := !isSession || !isPreferred || known.hasTold(engine, now)
		used := known.use(engine, now, limit)
		if tell && parts.peers > 0 && part.Tokens >= minToldTokens && now.Sub(used.toldAt) >= retellInterval {
			parts.pending[copyKey{key, engine}] = pendingCopy{part.Tokens, isSession, now}
		}
	}
	if len(parts.parts) > maxTrackedParts {
		parts.removeExpired(now)
	}
}

// find returns the record of a part, which it adds if necessary. The mutex is held.
func (parts *CachedParts) find(key uint32, now time.Time) *sharedPart {
	known := parts.parts[key]
	if known == nil {
		known = &sharedPart{}
		parts.parts[key] = known
	}
	known.copies = slices.DeleteFunc(known.copies, func(one partCopy) bool { return !one.isFresh(now) })
	return known
}

// use records the use of a part at an engine and returns its copy.
func (part *sharedPart) use(engine uint32, now time.Time, limit int) partCopy {
	used := partCopy{engine: engine, usedAt: now}
	if index := slices.IndexFunc(part.copies, func(one partCopy) bool { return one.engine == engine }); index >= 0 {
		known := part.copies[index]
		part.copies = slices.Delete(part.copies, index, index+1)
		used.toldAt, used.fromPeer = known.toldAt, known.fromPeer
		if known.usedAt.After(now) {
			used.usedAt = known.usedAt
		}
	}
	if len(part.copies) >= limit {
		part.copies = slices.Delete(part.copies, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(part.copies, used, func(a, b partCopy) int { return a.usedAt.Compare(b.usedAt) })
	part.copies = slices.Insert(part.copies, at, used)
	return used
}

// hasTold reports whether hosts were told of fresh copies at other engines.
func (part *sharedPart) hasTold(engine uint32, now time.Time) bool {
	return slices.ContainsFunc(part.copies, func(one partCopy) bool {
		return one.engine != engine && one.isFresh(now) && (one.fromPeer || !one.toldAt.IsZero())
	})
}

// addSuccessor records the part that followed this one in a prompt.
func (part *sharedPart) addSuccessor(key uint32) {
	if len(part.successors) < minWideSuccessors && !slices.Contains(part.successors, key) {
		part.successors = append(part.successors, key)
	}
}

// isWide reports whether the part is shared by several sessions.
func (part *sharedPart) isWide() bool { return len(part.successors) >= minWideSuccessors }

// removeExpired removes the parts without a recent copy, or all if there are too many
// recent ones. The mutex is held.
func (parts *CachedParts) removeExpired(now time.Time) {
	for id, known := range parts.parts {
		if len(known.copies) == 0 || !known.copies[len(known.copies)-1].isFresh(now) {
			delete(parts.parts, id)
		}
	}
	if len(parts.parts) > maxTrackedParts {
		clear(parts.parts)
	}
}

// freshCopies returns the engines that are assumed to have a part cached, and the
// record of the part, which must not be changed. The mutex is held.
func (parts *CachedParts) freshCopies(id uint64, now time.Time) ([]uint32, *sharedPart) {
	known := parts.parts[partKey(id)]
	if known == nil {
		return nil, &sharedPart{}
	}
	var engines []uint32
	for _, one := range known.copies {
		if one.isFresh(now) {
			engines = append(engines, one.engine)
		}
	}
	return engines, known
}
