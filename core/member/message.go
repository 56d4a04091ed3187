package member

import "primrosegw/core/host"

// Kind is the type of a membership message.
type Kind string

// The kinds of messages.
const (
	// Ping is a heartbeat that asks for an Ack.
	Ping Kind = "ping"
	// Ack answers a Ping.
	Ack Kind = "ack"
	// PingRequest, the ping-req of SWIM, asks the receiver to ping Target on behalf of the
	// sender.
	PingRequest Kind = "check"
	// IndirectAck reports that Target answered a requested ping.
	IndirectAck Kind = "checked"
	// Sync carries the sender's digest of each failure domain and requests the records of
	// the domains whose digests differ.
	Sync Kind = "sync"
	// Records carries the records requested by a Sync.
	Records Kind = "records"
)

// Message is a membership message with its piggybacked state.
type Message struct {
	Kind Kind   `cbor:"kind"`
	From string `cbor:"from"`
	// To is the receiver's name. A process that has taken over the address of another
	// host drops messages meant for that host. It is empty in a ping to a seed of which
	// only the address is known.
	To string `cbor:"to,omitempty"`
	// Incarnation and State are the sender's own.
	Incarnation uint64     `cbor:"incarnation"`
	State       host.State `cbor:"state"`
	// KnownIncarnation is the receiver's incarnation known to the sender, or 0 if the
	// sender has no record of the receiver.
	KnownIncarnation uint64 `cbor:"known,omitempty"`
	// Generation and Document are the sender's applied generation and the
	// digest of its document.
	Generation uint64 `cbor:"generation,omitempty"`
	Document   string `cbor:"document,omitempty"`
	// MembersDigest is the sender's digest of all hosts that are not dead.
	MembersDigest uint64 `cbor:"members"`
	// Target is the host that a PingRequest or IndirectAck refers to.
	Target string `cbor:"target,omitempty"`
	// Requester is the host whose PingRequest caused this Ping or Ack.
	Requester string `cbor:"for,omitempty"`
	// Sender is the sender's full record, sent until the receiver has it.
	Sender *host.Host `cbor:"sender,omitempty"`
	// DomainDigests are the sender's digests by failure domain.
	DomainDigests map[string]uint64 `cbor:"domains,omitempty"`
	Deltas        []Delta           `cbor:"deltas,omitempty"`
	// Extra is an opaque payload: the load summaries of cells.
	Extra []byte `cbor:"extra,omitempty"`
}

// Delta is the sender's record of one host. Reports of suspicion and death omit the
// addresses.
type Delta struct {
	Name          string     `cbor:"name"`
	Incarnation   uint64     `cbor:"incarnation"`
	State         host.State `cbor:"state"`
	Region        string     `cbor:"region,omitempty"`
	FailureDomain string     `cbor:"failure_domain,omitempty"`
	LinkAddress   string     `cbor:"link_address,omitempty"`
	EntryAddress  string     `cbor:"entry_address,omitempty"`
	// Accuser is a host that got no answer from the subject. It is empty if there is
	// none.
	Accuser string `cbor:"by,omitempty"`
	// Stale marks a death that is no longer disseminated. The receiver probes the host
	// itself.
	Stale bool `cbor:"stale,omitempty"`
}

// host converts the delta to a host.
func (delta Delta) host() host.Host {
	return host.Host{
		Name: delta.Name, Region: delta.Region, FailureDomain: delta.FailureDomain,
		LinkAddress: delta.LinkAddress, EntryAddress: delta.EntryAddress,
		Incarnation: delta.Incarnation, State: delta.State,
	}
}

// newDelta returns the record of a host as a delta, with region, failure domain and
// addresses if full is set.
func newDelta(subject host.Host, accuser string, full bool) Delta {
	delta := Delta{Name: subject.Name, Incarnation: subject.Incarnation, State: subject.State, Accuser: accuser}
	if full {
		delta.Region, delta.FailureDomain = subject.Region, subject.FailureDomain
		delta.LinkAddress, delta.EntryAddress = subject.LinkAddress, subject.EntryAddress
	}
	return delta
}

// envelope is a queued outgoing message with its destination.
type envelope struct {
	to      host.Host
	message Message
}
