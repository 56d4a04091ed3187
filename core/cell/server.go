package cell

import (
	"container/list"
	"slices"
	"time"

	"primrosegw/core/poison"
)

// server is a backend server and the attempts that occupy its slots.
type server struct {
	Server
	attempts []*attempt
	// reservedFor is the suspect for which the server is reserved, either
	// running or waiting for the other calls to end; nil if none.
	reservedFor *call
	// cachedPrefixes are the prompt prefixes that the server probably has
	// cached.
	cachedPrefixes *recentSet
	// crashID identifies the last crash of the server. Attempts with a serial up
	// to lastCrashedSerial were dispatched before that crash was noticed.
	crashID           uint64
	lastCrashedSerial uint64
}

// applyConfig updates the server except for its name, which is read without
// holding the mutex.
func (server *server) applyConfig(config Server) {
	server.Slots = config.Slots
	server.Leaving = config.Leaving
	server.Version = config.Version
	server.Address = config.Address
	server.Backend = config.Backend
}

// schedulable reports whether the server may run ordinary calls.
func (server *server) schedulable() bool { return !server.Leaving && server.reservedFor == nil }

// removeAttempt removes an attempt from the server and reports whether it was
// there.
func (server *server) removeAttempt(attempt *attempt) bool {
	index := slices.Index(server.attempts, attempt)
	if index < 0 {
		return false
	}
	server.attempts = slices.Delete(server.attempts, index, index+1)
	return true
}

// weight returns a server's health weight; 0 if it is leaving. The caller must
// hold the mutex.
func (cell *Cell) weight(server *server) float64 {
	if server.Leaving || cell.health.Leaving(server.Name) {
		return 0
	}
	if cell.options.Switches.DisableHealth {
		return 1
	}
	return cell.health.Weight(server.Name)
}

// allowedSlots returns the number of slots that a server's weight allows. Below
// minWeight a server has none and gets only probes.
func (cell *Cell) allowedSlots(server *server) int {
	weight := cell.weight(server)
	if weight < minWeight || server.Slots <= 0 {
		return 0
	}
	return max(1, int(float64(server.Slots)*weight))
}

// mayProbe reports whether calls may be sent to a server as probes, whatever its weight.
func (cell *Cell) mayProbe(server *server) bool {
	return server.schedulable() && server.Slots > 0 && !cell.health.Leaving(server.Name) && !cell.options.Switches.DisableHealth
}

// capacity returns the total number of allowed slots.
func (cell *Cell) capacity() int {
	capacity := 0
	for _, server := range cell.servers {
		capacity += cell.allowedSlots(server)
	}
	return capacity
}

// affinity returns the fraction of a prompt that a server probably has cached.
func (cell *Cell) affinity(server *server, prefixes []uint64) float64 {
	if cell.options.Switches.DisableAffinity {
		return 0
	}
	for index := len(prefixes) - 1; index >= 0; index-- {
		if server.cachedPrefixes.contains(prefixes[index]) {
			return float64(index+1) / float64(len(prefixes))
		}
	}
	return 0
}

// recentSet is a set of bounded size that evicts the value that was added least
// recently.
type recentSet struct {
	capacity int
	elements map[uint64]*list.Element
	order    *list.List
}

func newRecentSet(capacity int) *recentSet {
	return &recentSet{capacity: capacity, elements: make(map[uint64]*list.Element), order: list.New()}
}

// add inserts a value, or marks it as the most recent one.
func (set *recentSet) add(value uint64) {
	if element, found := set.elements[value]; found {
		set.order.MoveToFront(element)
		return
	}
	set.elements[value] = set.order.PushFront(value)
	if set.order.Len() > set.capacity {
		oldest := set.order.Back().Value.(uint64)
		set.remove(oldest)
	}
}

func (set *recentSet) remove(value uint64) {
	if element, found := set.elements[value]; found {
		set.order.Remove(element)
		delete(set.elements, value)
	}
}

func (set *recentSet) contains(value uint64) bool { return set.elements[value] != nil }

// copyAllowed reports whether another attempt at a request may start while
// others are running. Until the request has completed once, each concurrent
// attempt might crash an engine.
func (cell *Cell) copyAllowed(request *Request) bool {
	if cell.options.Switches.DisablePoison || request.Fingerprint == 0 || cell.completed.contains(request.Fingerprint) {
		return true
	}
	return cell.attemptsByFingerprint[request.Fingerprint] < maxUnprovenCopies
}

// poisonVerdict returns whether a request may run normally, must run alone or
// is refused.
func (cell *Cell) poisonVerdict(request *Request) poison.Verdict {
	if cell.options.Switches.DisablePoison {
		return poison.Shared
	}
	if crashes := cell.options.Crashes; crashes.HasSuspects() && crashes.Refuses(request.features(), time.Now()) {
		return poison.Refused
	}
	return cell.options.Suspects.Verdict(request.Fingerprint)
}
