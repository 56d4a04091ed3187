// Package pacer keeps the requests to a backend server within the rate that the server
// accepts from all hosts together.
package pacer

import (
	"sync"
	"time"

	"primrosegw/core/fleet"
)

// Pacer holds the rate limits that backend servers name in their responses. It is safe for
// concurrent use.
type Pacer struct {
	mutex   sync.Mutex
	servers map[uint64]*server
}

// server is the state of a server's process that has named a limit.
type server struct {
	// perSecond is the limit in requests per second; 0: none.
	perSecond float64
	// observedAt is when the newest response was received that named it or named none.
	observedAt time.Time
}

// New returns a pacer that knows of no limits.
func New() *Pacer { return &Pacer{servers: make(map[uint64]*server)} }

// Observe records the limit that a server named in a response, in requests per second; 0:
// none. It reports whether the limit changed.
func (pacer *Pacer) Observe(process fleet.Server, perSecond float64, now time.Time) bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	key := process.ProcessHash()
	known := pacer.servers[key]
	if known == nil {
		if perSecond == 0 {
			return false
		}
		known = &server{}
		pacer.servers[key] = known
	}
	changed := known.perSecond != perSecond
	known.perSecond, known.observedAt = perSecond, now
	return changed
}
