package route

import "sync"

const (
	// DefaultPrefixCapacity limits the index to about 8 MB.
	DefaultPrefixCapacity = 65_536
	// holdersPerPrefix is the number of holders kept for one prefix. A few
	// destinations are enough to route a request.
	holdersPerPrefix = 4
)

// CacheEvent reports that a holder stored or removed a prompt prefix.
type CacheEvent struct {
	// Sequence increases by 1 with each event of a holder. Events may be lost.
	Sequence uint64
	// Stored is false for a removal.
	Stored bool
	// Prefix is the hash of the prefix, as in cell.Request.Prefixes.
	Prefix uint64
	// Tokens is the length of the prefix in tokens.
	Tokens int
}

// Match is the estimated length of the longest prefix that a holder has cached.
type Match struct {
	Holder string
	Tokens int
}

// PrefixIndex estimates which prefixes holders (cells or backend servers) have
// cached, from their cache events. When it is full, it evicts the least recently
// used prefix. It is safe for concurrent use.
//
// Events can be delayed, lost or reordered. A gap in the sequence may hide
// removals, so copies stored before it count half, and after a second gap not at
// all. An event that arrives after a later one may remove a copy but not store one.
type PrefixIndex struct {
	mutex    sync.Mutex
	capacity int
	entries  map[uint64]*prefixEntry
	// newest and oldest are the ends of the LRU list.
	newest, oldest *prefixEntry
	holders        map[string]*holder
}

// prefixEntry is a prefix with its cached copies; it is a node of the LRU list.
type prefixEntry struct {
	hash         uint64
	copies       []cachedCopy
	newer, older *prefixEntry
}

// cachedCopy is one holder's copy of a prefix.
type cachedCopy struct {
	holder   *holder
	tokens   int
	sequence uint64
	// gaps is the value of holder.gaps when the copy was stored.
	gaps uint32
}

// holder is the state of one source of events.
type holder struct {
	name string
	// sequence is the highest sequence number received.
	sequence uint64
	// gaps counts the gaps in the sequence.
	gaps uint32
	// forgotten is set by Forget; the holder's copies no longer count.
	forgotten bool
}

// NewPrefixIndex returns an empty index with the given capacity in prefixes. A
// capacity that is not positive selects DefaultPrefixCapacity.
func NewPrefixIndex(capacity int) *PrefixIndex {
	if capacity <= 0 {
		capacity = DefaultPrefixCapacity
	}
	return &PrefixIndex{capacity: capacity, entries: make(map[uint64]*prefixEntry), holders: make(map[string]*holder)}
}

// Apply applies events of a holder, in order of arrival.
func (prefixes *PrefixIndex) Apply(name string, events []CacheEvent) {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	source, found := prefixes.holders[name]
	if !found {
		source = &holder{name: name}
		prefixes.holders[name] = source
	}
	for _, event := range events {
		late := source.recordSequence(event.Sequence)
		switch {
		case !event.Stored:
			prefixes.removeCopy(source, event)
		case !late && event.Tokens > 0:
			prefixes.addCopy(source, event)
		}
	}
}

// recordSequence records the sequence number of an event, counts a gap before it,
// and reports whether the event is late: not newer than the last one.
func (holder *holder) recordSequence(sequence uint64) bool {
	if sequence <= holder.sequence {
		return true
	}
	if holder.sequence > 0 && sequence > holder.sequence+1 {
		holder.gaps++
	}
	holder.sequence = sequence
	return false
}

// Forget discards the state of a holder, for instance after a restart.
func (prefixes *PrefixIndex) Forget(name string) {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	if source, found := prefixes.holders[name]; found {
		source.forgotten = true
		delete(prefixes.holders, name)
	}
}

// Match appends the longest match of each holder to matches. hashes are the
// prefixes of a request, longest last. Matching a prefix counts as a use.
func (prefixes *PrefixIndex) Match(hashes []uint64, matches []Match) []Match {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	for index := len(hashes) - 1; index >= 0; index-- {
		entry, found := prefixes.entries[hashes[index]]
		if !found {
			continue
		}
		prefixes.markUsed(entry)
		for _, cachedCopy := range entry.copies {
			matches = recordMatch(matches, cachedCopy.holder.name, cachedCopy.creditedTokens())
		}
	}
	return matches
}

// creditedTokens returns the tokens that a copy counts for, depending on the gaps
// since it was stored.
func (cachedCopy cachedCopy) creditedTokens() int {
	switch gaps := cachedCopy.holder.gaps - cachedCopy.gaps; {
	case cachedCopy.holder.forgotten || gaps > 1:
		return 0
	case gaps == 1:
		return cachedCopy.tokens / 2
	default:
		return cachedCopy.tokens
	}
}

// recordMatch updates the longest match of a holder.
func recordMatch(matches []Match, holder string, tokens int) []Match {
	if tokens <= 0 {
		return matches
	}
	for index := range matches {
		if matches[index].Holder == holder {
			matches[index].Tokens = max(matches[index].Tokens, tokens)
			return matches
		}
	}
	return append(matches, Match{Holder: holder, Tokens: tokens})
}

// Len returns the number of prefixes in the index.
func (prefixes *PrefixIndex) Len() int {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	return len(prefixes.entries)
}

// addCopy adds or replaces the copy of a holder. If the prefix already has
// holdersPerPrefix copies, it replaces one with the fewest credited tokens.
func (prefixes *PrefixIndex) addCopy(source *holder, event CacheEvent) {
	entry, found := prefixes.entries[event.Prefix]
	if !found {
		entry = prefixes.allocate()
		entry.hash = event.Prefix
		prefixes.entries[event.Prefix] = entry
	}
	prefixes.markUsed(entry)
	created := cachedCopy{holder: source, tokens: event.Tokens, sequence: event.Sequence, gaps: source.gaps}
	weakest := -1
	for index, existing := range entry.copies {
		if existing.holder == source {
			entry.copies[index] = created
			return
		}
		if weakest < 0 || existing.creditedTokens() < entry.copies[weakest].creditedTokens() {
			weakest = index
		}
	}
	if len(entry.copies) < holdersPerPrefix {
		entry.copies = append(entry.copies, created)
		return
	}
	entry.copies[weakest] = created
}

// removeCopy removes the copy of a holder, unless it was stored again by a later
// event.
func (prefixes *PrefixIndex) removeCopy(source *holder, event CacheEvent) {
	entry, found := prefixes.entries[event.Prefix]
	if !found {
		return
	}
	for index, existing := range entry.copies {
		if existing.holder == source && existing.sequence <= event.Sequence {
			entry.copies[index] = entry.copies[len(entry.copies)-1]
			entry.copies = entry.copies[:len(entry.copies)-1]
			break
		}
	}
	if len(entry.copies) == 0 {
		prefixes.unlink(entry)
		delete(prefixes.entries, entry.hash)
	}
}

// allocate returns an entry for a new prefix. When the index is full, it evicts
// the least recently used prefix and reuses its entry.
func (prefixes *PrefixIndex) allocate() *prefixEntry {
	if len(prefixes.entries) < prefixes.capacity {
		return &prefixEntry{}
	}
	entry := prefixes.oldest
	prefixes.unlink(entry)
	delete(prefixes.entries, entry.hash)
	entry.copies = entry.copies[:0]
	return entry
}

// markUsed moves an entry to the newest end of the LRU list.
func (prefixes *PrefixIndex) markUsed(entry *prefixEntry) {
	if prefixes.newest == entry {
		return
	}
	prefixes.unlink(entry)
	entry.older = prefixes.newest
	if prefixes.newest != nil {
		prefixes.newest.newer = entry
	}
	prefixes.newest = entry
	if prefixes.oldest == nil {
		prefixes.oldest = entry
	}
}

// unlink removes an entry from the LRU list, if it is in it.
func (prefixes *PrefixIndex) unlink(entry *prefixEntry) {
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else if prefixes.newest == entry {
		prefixes.newest = entry.older
	}
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else if prefixes.oldest == entry {
		prefixes.oldest = entry.newer
	}
	entry.newer, entry.older = nil, nil
}
