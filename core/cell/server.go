package cell

import (
	"container/list"
	"slices"

	"primrosegw/core/poison"
)

// server is a backend server with the attempts that occupy its slots.
type server struct {
	Server
	attempts []*attempt
	// alone is the suspect that has the server for itself, running or waiting
	// for the last other call to end; nil: none.
	alone *call
	// cached are the prompt prefixes that the server probably has in its cache.
	cached *memory
	// loss is the id of the server's last crash, and lost the number of the last
	// attempt that was dispatched before it was noticed.
	loss uint64
	lost uint64
}

// set takes the server's new state. The name stays: it is read without the
// mutex.
func (server *server) set(wanted Server) {
	server.Slots = wanted.Slots
	server.Leaving = wanted.Leaving
	server.Version = wanted.Version
	server.Backend = wanted.Backend
}

// open reports whether the server may share its slots among ordinary calls.
func (server *server) open() bool { return !server.Leaving && server.alone == nil }

// free takes an attempt off the server and reports whether it was there.
func (server *server) free(attempt *attempt) bool {
	position := slices.Index(server.attempts, attempt)
	if position < 0 {
		return false
	}
	server.attempts = slices.Delete(server.attempts, position, position+1)
	return true
}

// weight returns a server's health weight. The mutex is held.
func (cell *Cell) weight(server *server) float64 {
	if server.Leaving || cell.health.Leaving(server.Name) {
		return 0
	}
	if cell.options.Switches.DisableHealth {
		return 1
	}
	return cell.health.Weight(server.Name)
}

// slots returns the number of slots that a server's weight allows. A server
// below the least weight has none: it gets only probes.
func (cell *Cell) slots(server *server) int {
	weight := cell.weight(server)
	if weight < leastWeight || server.Slots <= 0 {
		return 0
	}
	return max(1, int(float64(server.Slots)*weight))
}

// capacity returns the number of slots of all servers.
func (cell *Cell) capacity() int {
	capacity := 0
	for _, server := range cell.servers {
		capacity += cell.slots(server)
	}
	return capacity
}

// affinity returns the part of a prompt that a server probably has cached.
func (cell *Cell) affinity(server *server, prefixes []uint64) float64 {
	if cell.options.Switches.DisableAffinity {
		return 0
	}
	for index := len(prefixes) - 1; index >= 0; index-- {
		if server.cached.has(prefixes[index]) {
			return float64(index+1) / float64(len(prefixes))
		}
	}
	return 0
}

// memory is a set of numbers that forgets the oldest ones.
type memory struct {
	capacity int
	places   map[uint64]*list.Element
	order    *list.List
}

func newMemory(capacity int) *memory {
	return &memory{capacity: capacity, places: make(map[uint64]*list.Element), order: list.New()}
}

// add puts a number in, as the newest.
func (memory *memory) add(number uint64) {
	if place, found := memory.places[number]; found {
		memory.order.MoveToFront(place)
		return
	}
	memory.places[number] = memory.order.PushFront(number)
	if memory.order.Len() > memory.capacity {
		oldest := memory.order.Back().Value.(uint64)
		memory.remove(oldest)
	}
}

func (memory *memory) remove(number uint64) {
	if place, found := memory.places[number]; found {
		memory.order.Remove(place)
		delete(memory.places, number)
	}
}

func (memory *memory) has(number uint64) bool { return memory.places[number] != nil }

// copyAllowed reports whether another attempt at a request may start beside
// those that run. Until the request has completed once, each attempt might
// cost an engine.
func (cell *Cell) copyAllowed(request *Request) bool {
	if cell.options.Switches.DisablePoison || request.Fingerprint == 0 || cell.proven.has(request.Fingerprint) {
		return true
	}
	return cell.copies[request.Fingerprint] < maximumCopies
}

// suspicion returns how a request may be run.
func (cell *Cell) suspicion(request *Request) poison.Verdict {
	if cell.options.Switches.DisablePoison {
		return poison.Shared
	}
	return cell.options.Suspects.Verdict(request.Fingerprint)
}
