package member

import "primrosegw/core/host"

// Kind is the sort of a membership message.
type Kind string

// The kinds of messages.
const (
	// Ping is a heartbeat that asks for an Ack.
	Ping Kind = "ping"
	// Ack answers a Ping.
	Ack Kind = "ack"
	// Check asks the receiver to ping Target for the sender.
	Check Kind = "check"
	// Checked reports that Target answered.
	Checked Kind = "checked"
	// Sync carries the sender's digest of each failure domain and asks for the
	// records of those that differ.
	Sync Kind = "sync"
	// Records carries the records asked for by a Sync.
	Records Kind = "records"
)

// Message is one membership message with the state that rides on it.
type Message struct {
	Kind Kind   `cbor:"kind"`
	From string `cbor:"from"`
	// To names the receiver; a process that has taken over the address of
	// another host drops messages meant for that host. It is empty in a ping
	// to a seed known by its address only.
	To string `cbor:"to,omitempty"`
	// Incarnation and State are the sender's own.
	Incarnation uint64     `cbor:"incarnation"`
	State       host.State `cbor:"state"`
	// Known is the receiver's incarnation as the sender knows it; 0: the
	// sender doesn't know the receiver.
	Known uint64 `cbor:"known,omitempty"`
	// Generation and Document are the sender's applied generation and the
	// digest of its document.
	Generation uint64 `cbor:"generation,omitempty"`
	Document   string `cbor:"document,omitempty"`
	// Members is the sender's digest over all hosts that are not dead.
	Members uint64 `cbor:"members"`
	// Target is the host that a Check or Checked is about.
	Target string `cbor:"target,omitempty"`
	// For is the host that asked for the check which caused this Ping or Ack.
	For string `cbor:"for,omitempty"`
	// Sender is the sender's whole record, sent until the receiver knows it.
	Sender *host.Host `cbor:"sender,omitempty"`
	// Domains are the sender's digests by failure domain.
	Domains map[string]uint64 `cbor:"domains,omitempty"`
	Deltas  []Delta           `cbor:"deltas,omitempty"`
	// Extra is opaque to the membership: summaries of cells.
	Extra []byte `cbor:"extra,omitempty"`
}

// Delta is a record of one host as the sender has it. Reports of suspicion and
// death go without the addresses.
type Delta struct {
	Name          string     `cbor:"name"`
	Incarnation   uint64     `cbor:"incarnation"`
	State         host.State `cbor:"state"`
	Region        string     `cbor:"region,omitempty"`
	FailureDomain string     `cbor:"failure_domain,omitempty"`
	LinkAddress   string     `cbor:"link_address,omitempty"`
	EntryAddress  string     `cbor:"entry_address,omitempty"`
	// By is a host that found the subject not answering, empty if none did.
	By string `cbor:"by,omitempty"`
	// Stale marks a death that is no news: the receiver checks it itself.
	Stale bool `cbor:"stale,omitempty"`
}

// host returns the record in the form of a host.
func (delta Delta) host() host.Host {
	return host.Host{
		Name: delta.Name, Region: delta.Region, FailureDomain: delta.FailureDomain,
		LinkAddress: delta.LinkAddress, EntryAddress: delta.EntryAddress,
		Incarnation: delta.Incarnation, State: delta.State,
	}
}

// describe returns the record of a host as a delta, with addresses if whole.
func describe(subject host.Host, by string, whole bool) Delta {
	delta := Delta{Name: subject.Name, Incarnation: subject.Incarnation, State: subject.State, By: by}
	if whole {
		delta.Region, delta.FailureDomain = subject.Region, subject.FailureDomain
		delta.LinkAddress, delta.EntryAddress = subject.LinkAddress, subject.EntryAddress
	}
	return delta
}

// envelope is a message on its way out.
type envelope struct {
	to      host.Host
	message Message
}
