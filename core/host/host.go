// Package host describes the entry hosts of the system and decides which host
// owns a key.
package host

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the stage of a host's life as the membership sees it.
type State string

// The states of a host.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Host is one entry host: a process with its addresses.
type Host struct {
	Name          string `json:"name" cbor:"name"`
	Region        string `json:"region" cbor:"region"`
	FailureDomain string `json:"failure_domain" cbor:"failure_domain"`
	// LinkAddress is the IP and UDP port for other hosts.
	LinkAddress string `json:"link_address" cbor:"link_address"`
	// EntryAddress is the IP and TCP port for callers.
	EntryAddress string `json:"entry_address" cbor:"entry_address"`
	// Incarnation tells a restarted host from the process before it. It rises
	// with each start and each refuted suspicion.
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	State       State  `json:"state" cbor:"state"`
	// Capacity is how much the machine can carry, 1 being an ordinary one; 0: not
	// said.
	Capacity float64 `json:"capacity,omitempty" cbor:"capacity,omitempty"`
}

// Score returns the rendezvous weight of a host for a key: the host with the
// highest weight owns the key (Thaler and Ravishankar, highest random weight).
func Score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Rank returns the hosts that may own a key, best first. Hosts that are not
// alive or suspect come out; a suspect host stays until it is found dead, so
// that one lost heartbeat moves no cell.
func Rank(key string, hosts []Host) []Host {
	ranked := make([]Host, 0, len(hosts))
	for _, host := range hosts {
		if host.State == Alive || host.State == Suspect {
			ranked = append(ranked, host)
		}
	}
	slices.SortFunc(ranked, func(a, b Host) int {
		order := cmp.Compare(Score(key, b.Name), Score(key, a.Name))
		return cmp.Or(order, cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// Owner returns the host that owns a key, preferring hosts of the given failure
// domain when it has any. It reports false when no host can own it.
func Owner(key, failureDomain string, hosts []Host) (Host, bool) {
	local := slices.DeleteFunc(slices.Clone(hosts), func(host Host) bool {
		return host.FailureDomain != failureDomain
	})
	if ranked := Rank(key, local); len(ranked) > 0 {
		return ranked[0], true
	}
	if ranked := Rank(key, hosts); len(ranked) > 0 {
		return ranked[0], true
	}
	return Host{}, false
}
