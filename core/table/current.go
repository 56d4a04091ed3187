package table

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// moveRetention is how long it is remembered that a route led to other services. It is longer than a
	// stream lasts.
	moveRetention = 5 * time.Minute
	// maxMoves limits the number of moves that are remembered; the oldest ones are forgotten first.
	maxMoves = 4096
)

// Current holds the active table of a host. It is safe for concurrent use.
type Current struct {
	pointer atomic.Pointer[Table]
	mutex   sync.Mutex
	// adoptedAt is when the active table was adopted.
	adoptedAt time.Time
	// moves holds the latest changes of what routes of resumable streams lead to, in order of time.
	moves []move
}

// move is the end of a time in which requests for a host name and path prefix led to other services.
type move struct {
	host, pathPrefix string
	services         []string
	until            time.Time
}

// Load returns the active table, nil if there is none yet.
func (current *Current) Load() *Table { return current.pointer.Load() }

// Adopt activates a table if it is newer than the active one, and reports whether it
// did.
func (current *Current) Adopt(table *Table) bool {
	current.mutex.Lock()
	defer current.mutex.Unlock()
	active := current.pointer.Load()
	if active != nil && active.Version >= table.Version {
		return false
	}
	if active != nil {
		current.recordMoves(active, table, time.Now())
	}
	current.adoptedAt = time.Now()
	current.pointer.Store(table)
	return true
}

// AdoptedAt returns when the active table was adopted; zero if there is none.
func (current *Current) AdoptedAt() time.Time {
	current.mutex.Lock()
	defer current.mutex.Unlock()
	return current.adoptedAt
}

// PastServices returns the services to which requests for a host name and path led after since by tables
// that have been replaced, where these led elsewhere. Only routes of resumable streams count.
func (current *Current) PastServices(host, path string, since time.Time) []string {
	current.mutex.Lock()
	defer current.mutex.Unlock()
	name := hostName(host)
	var services []string
	for _, move := range current.moves {
		if move.until.After(since) && move.host == name && strings.HasPrefix(path, move.pathPrefix) {
			services = append(services, move.services...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// recordMoves remembers what the routes of resumable streams led to before a change of tables. A path may
// move because its route changes or goes, or because a longer prefix gets a route. The mutex is held.
func (current *Current) recordMoves(before, after *Table, now time.Time) {
	current.moves = slices.DeleteFunc(current.moves, func(move move) bool { return now.Sub(move.until) > moveRetention })
	for _, route := range before.Routes {
		if next, ok := after.Match(route.Host, route.PathPrefix); route.Resumable && (!ok || !slices.Equal(next.Targets, route.Targets)) {
			current.addMove(route.Host, route.PathPrefix, route, now)
		}
	}
	for _, route := range after.Routes {
		if previous, ok := before.Match(route.Host, route.PathPrefix); ok && previous.Resumable && previous.PathPrefix != route.PathPrefix && !slices.Equal(previous.Targets, route.Targets) {
			current.addMove(route.Host, route.PathPrefix, previous, now)
		}
	}
	current.moves = slices.Delete(current.moves, 0, max(0, len(current.moves)-maxMoves))
}

// addMove remembers that requests for a host name and path prefix led to the services of a route.
func (current *Current) addMove(host, pathPrefix string, route Route, now time.Time) {
	current.moves = append(current.moves, move{host: hostName(host), pathPrefix: pathPrefix, services: route.Services(), until: now})
}
