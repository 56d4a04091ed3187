package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// keptEvents bounds the cache events that an engine remembers.
const keptEvents = 4096

// CacheEvent says that blocks came into the prefix cache or left it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "removed" or "cleared".
	Kind   string   `json:"kind"`
	Hashes []uint64 `json:"hashes,omitempty"`
	at     time.Time
}

// cache is the prefix cache: blocks by the hash of the prefix that they end,
// the least recently used removed first.
type cache struct {
	limit    int
	lag      time.Duration
	gap      float64
	random   *rand.Rand
	blocks   map[uint64]*list.Element
	recent   *list.List
	sequence uint64
	events   []CacheEvent
}

// newCache returns an empty cache.
func newCache(options Options, random *rand.Rand) cache {
	return cache{
		limit: options.CacheBlocks, lag: options.CacheLag, gap: options.CacheGap, random: random,
		blocks: map[uint64]*list.Element{}, recent: list.New(),
	}
}

// match returns how many leading blocks of a prompt are cached.
func (cache *cache) match(prefixes []uint64) int {
	for i, hash := range prefixes {
		element, ok := cache.blocks[hash]
		if !ok {
			return i
		}
		cache.recent.MoveToFront(element)
	}
	return len(prefixes)
}

// store adds a prompt's blocks and removes the least recently used ones.
func (cache *cache) store(prefixes []uint64) {
	var stored, removed []uint64
	// From the last block to the first, so that the front of a prompt, which
	// others share, is the most recent.
	for i := len(prefixes) - 1; i >= 0; i-- {
		hash := prefixes[i]
		if element, ok := cache.blocks[hash]; ok {
			cache.recent.MoveToFront(element)
			continue
		}
		cache.blocks[hash] = cache.recent.PushFront(hash)
		stored = append(stored, hash)
	}
	for cache.recent.Len() > cache.limit {
		hash, _ := cache.recent.Remove(cache.recent.Back()).(uint64)
		delete(cache.blocks, hash)
		removed = append(removed, hash)
	}
	cache.record("stored", stored)
	cache.record("removed", removed)
}

// clear forgets all blocks.
func (cache *cache) clear() {
	clear(cache.blocks)
	cache.recent.Init()
	cache.sequence++
	cache.events = append(cache.events, CacheEvent{Sequence: cache.sequence, Kind: "cleared", at: time.Now()})
}

// record numbers an event and keeps it unless it falls into a gap.
func (cache *cache) record(kind string, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	cache.sequence++
	if cache.random.Float64() < cache.gap {
		return
	}
	event := CacheEvent{Sequence: cache.sequence, Kind: kind, Hashes: hashes, at: time.Now()}
	cache.events = append(cache.events, event)
	if len(cache.events) > 2*keptEvents {
		cache.events = append([]CacheEvent(nil), cache.events[keptEvents:]...)
	}
}

// after returns the events past a sequence number that are old enough to show.
func (cache *cache) after(sequence uint64) []CacheEvent {
	shown := []CacheEvent{}
	newest := time.Now().Add(-cache.lag)
	for _, event := range cache.events {
		if event.Sequence > sequence && !event.at.After(newest) {
			shown = append(shown, event)
		}
	}
	return shown
}

// CacheEvents returns the events past a sequence number that show by now.
func (model *Model) CacheEvents(sequence uint64) []CacheEvent {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.cache.after(sequence)
}
