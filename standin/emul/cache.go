package emul

import (
	"time"

	"primrosegw/core/work"
)

// cache is the prompt parts that an engine keeps. A part counts as cached for a
// prompt if all parts before it are cached too. Parts in use stay; of the others
// the least recently used ones yield.
type cache struct {
	parts  map[uint64]*cached
	tokens int
}

type cached struct {
	tokens int
	users  int
	used   time.Duration
}

func newCache() cache { return cache{parts: make(map[uint64]*cached)} }

// match returns the tokens of the leading parts that are cached.
func (cache *cache) match(parts []work.Part) int {
	tokens := 0
	for _, part := range parts {
		known := cache.parts[part.ID]
		if known == nil {
			break
		}
		tokens += known.tokens
	}
	return tokens
}

// hold keeps the parts of a prompt while it runs.
func (cache *cache) hold(parts []work.Part, now time.Duration) {
	for _, part := range parts {
		known := cache.parts[part.ID]
		if known == nil {
			known = &cached{tokens: part.Tokens}
			cache.parts[part.ID] = known
			cache.tokens += part.Tokens
		}
		known.users++
		known.used = now
	}
}

// release ends the use of a prompt's parts. Without keep, parts that nobody else
// uses are dropped: the prompt was not read.
func (cache *cache) release(parts []work.Part, keep bool, now time.Duration) {
	for _, part := range parts {
		known := cache.parts[part.ID]
		if known == nil {
			continue
		}
		known.users--
		known.used = now
		if !keep && known.users == 0 {
			cache.drop(part.ID)
		}
	}
}

func (cache *cache) drop(id uint64) {
	cache.tokens -= cache.parts[id].tokens
	delete(cache.parts, id)
}

// shrink drops the least recently used parts until the cache holds at most so many
// tokens, and reports whether it succeeded.
func (cache *cache) shrink(most int) bool {
	for cache.tokens > most {
		var oldest uint64
		var found *cached
		for id, known := range cache.parts {
			if known.users > 0 {
				continue
			}
			if found == nil || known.used < found.used || known.used == found.used && id < oldest {
				oldest, found = id, known
			}
		}
		if found == nil {
			return false
		}
		cache.drop(oldest)
	}
	return true
}
