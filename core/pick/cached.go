package pick

import (
	"slices"
	"sync"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/work"
)

const (
	// copyTTL is how long an engine is assumed to keep a session's part of a prompt
	// after its last use.
	copyTTL = 10 * time.Second
	// maxTrackedParts limits the memory for prompt parts.
	maxTrackedParts = 4096
	// maxCopiesPerPart is the number of engines that are tracked for a part.
	maxCopiesPerPart = 4
)

// CachedParts remembers which engines have recently prefilled a session's part of a
// prompt for this host. An engine that took a session over from a busy one has the
// part cached too, so the session's next request needs no third copy. It is safe for
// concurrent use.
type CachedParts struct {
	mutex sync.Mutex
	parts map[uint64][]partCopy
}

// partCopy is one engine's copy of a part.
type partCopy struct {
	engine    uint64
	expiresAt time.Time
}

// NewCachedParts returns an empty CachedParts.
func NewCachedParts() *CachedParts { return &CachedParts{parts: make(map[uint64][]partCopy)} }

// Observe records that an engine has prefilled the prompt of a request. It does
// nothing for a nil receiver and for prompts without a session's part.
func (parts *CachedParts) Observe(request *work.Request, server fleet.Server, now time.Time) {
	if parts == nil || len(request.Parts) < 2 {
		return
	}
	id, engine := sessionPart(request).ID, server.ProcessHash()
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	copies := slices.DeleteFunc(parts.parts[id], func(known partCopy) bool {
		return known.engine == engine || !now.Before(known.expiresAt)
	})
	if len(copies) >= maxCopiesPerPart {
		copies = copies[1:]
	}
	parts.parts[id] = append(copies, partCopy{engine, now.Add(copyTTL)})
	if len(parts.parts) > maxTrackedParts {
		parts.removeExpired(now)
	}
}

// removeExpired removes the parts without a recent copy, or all if there are too many
// recent ones. The mutex is held.
func (parts *CachedParts) removeExpired(now time.Time) {
	for id, copies := range parts.parts {
		if !now.Before(copies[len(copies)-1].expiresAt) {
			delete(parts.parts, id)
		}
	}
	if len(parts.parts) > maxTrackedParts {
		clear(parts.parts)
	}
}

// engines returns the engines that are assumed to have the session's part of a
// request cached, by ProcessHash.
func (parts *CachedParts) engines(request *work.Request, now time.Time) []uint64 {
	if parts == nil || len(request.Parts) < 2 {
		return nil
	}
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	var engines []uint64
	for _, known := range parts.parts[sessionPart(request).ID] {
		if now.Before(known.expiresAt) {
			engines = append(engines, known.engine)
		}
	}
	return engines
}
