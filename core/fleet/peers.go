package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerLife is the age up to which another host's word on its requests counts in
// any case.
const peerLife = 1500 * time.Millisecond

// expireEvery is the time between two looks at whose word no longer counts.
const expireEvery = 100 * time.Millisecond

// mostTold is the number of servers in one message, so that it fits a datagram:
// those with most to read go first.
const mostTold = 28

// PeerLoad is what a host has in flight at one backend server.
type PeerLoad struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	InFlight
}

// Told is what a host tells another one of its requests.
type Told struct {
	// Loads is what the sender has in flight at each server.
	Loads []PeerLoad
	// Running is the number of all its requests.
	Running int
	// Busiest is the most requests of one host that the sender has heard of from
	// that host itself; 0: it does not say.
	Busiest int
	// Life is how long this holds at least unless the sender tells something newer.
	Life time.Duration
}

// peer is the last word of another host.
type peer struct {
	until time.Time
	told  Told
}

// ServerHash names a server in messages between hosts.
func ServerHash(id string) uint64 { return xxhash.Sum64String(id) }

// Hear takes over what another host tells. It replaces the host's last word.
func (fleet *Fleet) Hear(host string, told Told, now time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.count(fleet.peers[host].told, -1)
	fleet.peers[host] = peer{until: now.Add(max(told.Life, peerLife)), told: told}
	fleet.count(told, 1)
	fleet.expire(now)
}

// count adds what a host told to the servers, or takes it out. The mutex is held.
func (fleet *Fleet) count(told Told, factor int) {
	for _, load := range told.Loads {
		if member := fleet.byHash[load.Server]; member != nil {
			member.Peers.sum(load.InFlight, factor)
		}
	}
}

// expire takes out what hosts told that have not been heard since. The mutex is
// held.
func (fleet *Fleet) expire(now time.Time) {
	if now.Before(fleet.expiry) {
		return
	}
	fleet.expiry = now.Add(expireEvery)
	for name, known := range fleet.peers {
		if now.After(known.until) {
			fleet.count(known.told, -1)
			delete(fleet.peers, name)
		}
	}
}

// recount sums up for a new server what the hosts told. The mutex is held.
func (fleet *Fleet) recount(member *Member) {
	for _, known := range fleet.peers {
		for _, load := range known.told.Loads {
			if load.Server == member.hash {
				member.Peers.sum(load.InFlight, 1)
			}
		}
	}
}

// Tell returns what this host has in flight, for the other hosts.
func (fleet *Fleet) Tell() []PeerLoad {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var loads []PeerLoad
	for _, member := range fleet.members {
		if member.Own.Running > 0 {
			loads = append(loads, PeerLoad{Server: member.hash, InFlight: member.Own})
		}
	}
	slices.SortFunc(loads, func(a, b PeerLoad) int { return cmp.Compare(b.ReadingAll(), a.ReadingAll()) })
	return loads[:min(len(loads), mostTold)]
}

// Running returns the number of this host's requests in flight.
func (fleet *Fleet) Running() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.running()
}

func (fleet *Fleet) running() int {
	running := 0
	for _, member := range fleet.members {
		running += member.Own.Running
	}
	return running
}

// Busiest returns the requests in flight at the host that has most of them, as far
// as hosts have told of themselves.
func (fleet *Fleet) Busiest(now time.Time) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.expire(now)
	busiest := fleet.running()
	for _, known := range fleet.peers {
		busiest = max(busiest, known.told.Running)
	}
	return busiest
}

// Crowd is as Busiest, but also counts what hosts have heard from others.
func (fleet *Fleet) Crowd(now time.Time) int {
	crowd := fleet.Busiest(now)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, known := range fleet.peers {
		crowd = max(crowd, known.told.Busiest)
	}
	return crowd
}
