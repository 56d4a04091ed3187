package route

import "sync"

const (
	// DefaultPrefixes bounds the index to about 8 MB.
	DefaultPrefixes = 65_536
	// holdersPerPrefix is the number of holders kept for one prefix; a request
	// needs few places to go.
	holdersPerPrefix = 4
)

// CacheEvent says that a holder stored or removed a prompt prefix.
type CacheEvent struct {
	// Sequence rises by 1 with each event of a holder; numbers may be missing.
	Sequence uint64
	// Stored is false for a removal.
	Stored bool
	// Prefix is the hash of the prefix, as in cell.Request.Prefixes.
	Prefix uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// Match is the longest prefix that a holder is believed to have.
type Match struct {
	Holder string
	Tokens int
}

// Prefixes is what is believed about the prefixes that holders (cells or backend
// servers) have cached. It forgets the prefixes that were longest unused when it
// is full. It is safe for concurrent use.
//
// Events come late and with gaps. A gap may hide removals, so what was stored
// before it counts half, and after a second gap not at all. An event that comes
// after a later one may still remove what it names, but stores nothing.
type Prefixes struct {
	mutex    sync.Mutex
	capacity int
	nodes    map[uint64]*prefix
	// newest and oldest are the ends of the list by last use.
	newest, oldest *prefix
	holders        map[string]*holder
}

// prefix is one hash with its holders, in the list by last use.
type prefix struct {
	hash         uint64
	copies       []stored
	newer, older *prefix
}

// stored is one holder's copy of a prefix.
type stored struct {
	holder   *holder
	tokens   int
	sequence uint64
	// gaps is the holder's number of gaps when it was stored.
	gaps uint32
}

// holder is the state of one source of events.
type holder struct {
	name     string
	sequence uint64
	gaps     uint32
	// gone marks a holder that was forgotten; its copies no longer count.
	gone bool
}

// NewPrefixes returns an empty index for a number of prefixes; 0 takes the
// default.
func NewPrefixes(capacity int) *Prefixes {
	if capacity <= 0 {
		capacity = DefaultPrefixes
	}
	return &Prefixes{capacity: capacity, nodes: make(map[uint64]*prefix), holders: make(map[string]*holder)}
}

// Apply takes in events of a holder.
func (prefixes *Prefixes) Apply(name string, events []CacheEvent) {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	source, found := prefixes.holders[name]
	if !found {
		source = &holder{name: name}
		prefixes.holders[name] = source
	}
	for _, event := range events {
		late := source.advance(event.Sequence)
		switch {
		case !event.Stored:
			prefixes.drop(source, event)
		case !late && event.Tokens > 0:
			prefixes.store(source, event)
		}
	}
}

// advance notes an event's number and reports whether a later one came before.
func (holder *holder) advance(sequence uint64) bool {
	if sequence <= holder.sequence {
		return true
	}
	if holder.sequence > 0 && sequence > holder.sequence+1 {
		holder.gaps++
	}
	holder.sequence = sequence
	return false
}

// Forget drops everything about a holder, for instance when it was restarted.
func (prefixes *Prefixes) Forget(name string) {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	if source, found := prefixes.holders[name]; found {
		source.gone = true
		delete(prefixes.holders, name)
	}
}

// Match appends the longest match of each holder to matches. The prefixes are
// those of a request, the longest last.
func (prefixes *Prefixes) Match(hashes []uint64, matches []Match) []Match {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	for index := len(hashes) - 1; index >= 0; index-- {
		node, found := prefixes.nodes[hashes[index]]
		if !found {
			continue
		}
		prefixes.touch(node)
		for _, stored := range node.copies {
			matches = raise(matches, stored.holder.name, stored.believed())
		}
	}
	return matches
}

// believed returns the tokens that a copy counts for.
func (stored stored) believed() int {
	switch gaps := stored.holder.gaps - stored.gaps; {
	case stored.holder.gone || gaps > 1:
		return 0
	case gaps == 1:
		return stored.tokens / 2
	default:
		return stored.tokens
	}
}

// raise notes a match of a holder if it is the longest so far.
func raise(matches []Match, holder string, tokens int) []Match {
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
func (prefixes *Prefixes) Len() int {
	prefixes.mutex.Lock()
	defer prefixes.mutex.Unlock()
	return len(prefixes.nodes)
}

// store notes a copy. When a prefix has many, it replaces one that counts least.
func (prefixes *Prefixes) store(source *holder, event CacheEvent) {
	node, found := prefixes.nodes[event.Prefix]
	if !found {
		node = prefixes.room()
		node.hash = event.Prefix
		prefixes.nodes[event.Prefix] = node
	}
	prefixes.touch(node)
	made := stored{holder: source, tokens: event.Tokens, sequence: event.Sequence, gaps: source.gaps}
	weakest := -1
	for index, copied := range node.copies {
		if copied.holder == source {
			node.copies[index] = made
			return
		}
		if weakest < 0 || copied.believed() < node.copies[weakest].believed() {
			weakest = index
		}
	}
	if len(node.copies) < holdersPerPrefix {
		node.copies = append(node.copies, made)
		return
	}
	node.copies[weakest] = made
}

// drop takes a copy out unless it was stored again since.
func (prefixes *Prefixes) drop(source *holder, event CacheEvent) {
	node, found := prefixes.nodes[event.Prefix]
	if !found {
		return
	}
	for index, copied := range node.copies {
		if copied.holder == source && copied.sequence <= event.Sequence {
			node.copies[index] = node.copies[len(node.copies)-1]
			node.copies = node.copies[:len(node.copies)-1]
			break
		}
	}
	if len(node.copies) == 0 {
		prefixes.unlink(node)
		delete(prefixes.nodes, node.hash)
	}
}

// room returns a node for a new prefix; when the index is full it is that of the
// prefix that was longest unused.
func (prefixes *Prefixes) room() *prefix {
	if len(prefixes.nodes) < prefixes.capacity {
		return &prefix{}
	}
	node := prefixes.oldest
	prefixes.unlink(node)
	delete(prefixes.nodes, node.hash)
	node.copies = node.copies[:0]
	return node
}

// touch moves a node to the newest end.
func (prefixes *Prefixes) touch(node *prefix) {
	if prefixes.newest == node {
		return
	}
	prefixes.unlink(node)
	node.older = prefixes.newest
	if prefixes.newest != nil {
		prefixes.newest.newer = node
	}
	prefixes.newest = node
	if prefixes.oldest == nil {
		prefixes.oldest = node
	}
}

// unlink takes a node out of the list; it may not be in it.
func (prefixes *Prefixes) unlink(node *prefix) {
	if node.newer != nil {
		node.newer.older = node.older
	} else if prefixes.newest == node {
		prefixes.newest = node.older
	}
	if node.older != nil {
		node.older.newer = node.newer
	} else if prefixes.oldest == node {
		prefixes.oldest = node.newer
	}
	node.newer, node.older = nil, nil
}
