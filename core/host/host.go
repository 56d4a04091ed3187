// Package host describes the hosts of the system and selects the owner of a key by
// rendezvous hashing.
package host

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the membership state of a host.
type State string

// The states of a host.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Host is a process of the system with its location and addresses.
type Host struct {
	Name          string `json:"name" cbor:"name"`
	Region        string `json:"region" cbor:"region"`
	FailureDomain string `json:"failure_domain" cbor:"failure_domain"`
	// LinkAddress is the IP address and UDP port for messages from other hosts.
	LinkAddress string `json:"link_address" cbor:"link_address"`
	// EntryAddress is the IP address and TCP port for requests from callers.
	EntryAddress string `json:"entry_address" cbor:"entry_address"`
	// Incarnation distinguishes a restarted host from its previous process. It
	// increases with each start and each refuted suspicion.
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	State       State  `json:"state" cbor:"state"`
	// Capacity is the relative capacity of the machine, 1 being an ordinary one; 0
	// if unknown.
	Capacity float64 `json:"capacity,omitempty" cbor:"capacity,omitempty"`
}

// Score returns the rendezvous weight of a host for a key. The host with the highest
// weight owns the key (highest random weight hashing, Thaler and Ravishankar).
func Score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Position returns the position of a host among names in the rendezvous order for a key, 0 being the one
// with the highest weight, or -1 if it is not among them.
func Position(key, own string, names []string) int {
	if !slices.Contains(names, own) {
		return -1
	}
	position, weight := 0, Score(key, own)
	for _, name := range names {
		if name != own && Score(key, name) > weight {
			position++
		}
	}
	return position
}

// Rank returns the hosts that may own a key, highest weight first. It includes suspect
// hosts until they are declared dead, so that one lost heartbeat does not move the
// ownership of a cell. Leaving and dead hosts are excluded.
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

// Owner returns the host that owns a key. It prefers hosts of the given failure domain
// and reports false if no host can own the key.
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
