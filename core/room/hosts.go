package room

import (
	"slices"
	"strconv"
	"time"

	"primrosegw/core/host"
)

// hostSet is a set of hosts that limits are divided among.
type hostSet struct {
	names []string
	// ranks caches the position of this host in the rendezvous order, by hash of the server's ID.
	ranks map[uint64]int
}

// pastHosts are hosts that the limits were divided among before.
type pastHosts struct {
	*hostSet
	replacedAt time.Time
}

func newHostSet(names []string) *hostSet { return &hostSet{names: names, ranks: make(map[uint64]int)} }

// SetHosts sets the hosts among which the limits are divided; others have no share. Those that were among
// them before count for as long as they are heard of.
func (limiter *Limiter) SetHosts(hosts []string, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	hosts = slices.Clone(hosts)
	for name, at := range limiter.heard {
		if now.Sub(at) >= heardTimeout {
			delete(limiter.heard, name)
		} else if !slices.Contains(hosts, name) && slices.Contains(limiter.hosts.names, name) {
			hosts = append(hosts, name)
		}
	}
	slices.Sort(hosts)
	limiter.past = slices.DeleteFunc(limiter.past, func(past pastHosts) bool { return now.Sub(past.replacedAt) >= settleTime })
	if slices.Equal(hosts, limiter.hosts.names) {
		return
	}
	limiter.past = append(limiter.past, pastHosts{limiter.hosts, now})
	limiter.hosts = newHostSet(hosts)
	for _, server := range limiter.servers {
		// Hosts that have just been listed may not know of it.
		server.changedAt = now
	}
}

// Heard records that another host sent a message.
func (limiter *Limiter) Heard(name string, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.heard[name] = now
}

// isIsolated reports whether this host hears none of the others.
func (limiter *Limiter) isIsolated(now time.Time) bool {
	for _, at := range limiter.heard {
		if now.Sub(at) < heardTimeout {
			return false
		}
	}
	return len(limiter.hosts.names) > 1
}

// share returns a host's part of a limit that is divided among the hosts; 0 if it is not one of them.
func (hosts *hostSet) share(own string, key uint64, limit int) int {
	if !slices.Contains(hosts.names, own) {
		return 0
	}
	part, rest := limit/len(hosts.names), limit%len(hosts.names)
	if rest > 0 && hosts.rank(own, key) < rest {
		part++
	}
	return part
}

// rank returns the position of a host in the rendezvous order for a server.
func (hosts *hostSet) rank(own string, key uint64) int {
	rank, known := hosts.ranks[key]
	if known {
		return rank
	}
	rank = host.Position("room/"+strconv.FormatUint(key, 16), own, hosts.names)
	hosts.ranks[key] = rank
	return rank
}
