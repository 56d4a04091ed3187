package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerLife is the age from which another host's word on its requests no longer
// counts.
const peerLife = 1500 * time.Millisecond

// mostTold is the number of servers in one message, so that it fits a datagram:
// those with most to read go first.
const mostTold = 28

// PeerLoad is what a host has in flight at one backend server.
type PeerLoad struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	InFlight
}

// peer is the last word of another host.
type peer struct {
	at    time.Time
	loads map[uint64]PeerLoad
}

// ServerHash names a server in messages between hosts.
func ServerHash(id string) uint64 { return xxhash.Sum64String(id) }

// Hear takes over what another host has in flight. It replaces its last word.
func (fleet *Fleet) Hear(host string, loads []PeerLoad, now time.Time) {
	byServer := make(map[uint64]PeerLoad, len(loads))
	for _, load := range loads {
		byServer[load.Server] = load
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.peers[host] = peer{at: now, loads: byServer}
	for name, known := range fleet.peers {
		if now.Sub(known.at) > peerLife {
			delete(fleet.peers, name)
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

// addPeers adds what the other hosts have in flight to copies of members. The
// mutex is held.
func (fleet *Fleet) addPeers(members []Member, now time.Time) {
	for _, known := range fleet.peers {
		if now.Sub(known.at) > peerLife {
			continue
		}
		for index := range members {
			members[index].Peers.sum(known.loads[members[index].hash].InFlight)
		}
	}
}

// Busiest returns the requests in flight at the host that has most of them, as far
// as hosts have told.
func (fleet *Fleet) Busiest(now time.Time) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	busiest := 0
	for _, member := range fleet.members {
		busiest += member.Own.Running
	}
	for _, known := range fleet.peers {
		if now.Sub(known.at) > peerLife {
			continue
		}
		running := 0
		for _, load := range known.loads {
			running += load.Running
		}
		busiest = max(busiest, running)
	}
	return busiest
}
