package daemon

import (
	"sync"

	"primrosegw/core/prefix"
	"primrosegw/core/route"
)

// affinity remembers to which cells this host sent which prompt prefixes. Cache
// events of engines go to the cells' owners only, which choose the engine by
// them; toward cells this memory is as good and costs no messages.
type affinity struct {
	index *route.PrefixIndex
	mutex sync.Mutex
	// sequence numbers this host's own events by cell.
	sequence map[string]uint64
}

func newAffinity() *affinity {
	return &affinity{index: route.NewPrefixIndex(route.DefaultPrefixCapacity), sequence: make(map[string]uint64)}
}

// store notes that a cell has processed a prompt.
func (affinity *affinity) store(cell string, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	affinity.mutex.Lock()
	defer affinity.mutex.Unlock()
	events := make([]route.CacheEvent, 0, len(hashes))
	for index, hash := range hashes {
		affinity.sequence[cell]++
		events = append(events, route.CacheEvent{
			Sequence: affinity.sequence[cell], Stored: true, Prefix: hash, Tokens: (index + 1) * prefix.BlockTokens,
		})
	}
	affinity.index.Apply(cell, events)
}

// match returns the tokens of a prompt that each cell is believed to have.
func (affinity *affinity) match(hashes []uint64) map[string]int {
	matches := make(map[string]int)
	for _, found := range affinity.index.Match(hashes, nil) {
		matches[found.Holder] = found.Tokens
	}
	return matches
}
