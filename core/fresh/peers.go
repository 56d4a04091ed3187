package fresh

import (
	"sync"
	"time"
)

// Word is what a host tells another one about its proof, so that few hosts have
// to ask the store. A word may be delivered late, after the receiver was
// suspended say, so it is dated by the receiver's own clock: it returns a moment
// that the receiver has sent before.
type Word struct {
	// Incarnation and Sent are the sender's process and its moment of sending.
	Incarnation uint64 `cbor:"1,keyasint"`
	Sent        Moment `cbor:"2,keyasint"`
	// Revision is that of the configuration which the sender's proof is about, 0
	// without a proof.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// Age is that of the proof when the word was sent.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Echo is the newest Sent that the sender has heard from the receiver, from
	// the process EchoOf, and Held is the time since then.
	EchoOf uint64        `cbor:"5,keyasint,omitempty"`
	Echo   Moment        `cbor:"6,keyasint,omitempty"`
	Held   time.Duration `cbor:"7,keyasint,omitempty"`
}

// Peers exchanges proofs with other hosts. It is safe for concurrent use.
type Peers struct {
	proof       *Proof
	incarnation uint64
	mutex       sync.Mutex
	heard       map[string]heard
}

// heard is the newest word of a host.
type heard struct {
	incarnation uint64
	sent        Moment
	at          Moment
}

// NewPeers returns an exchange of a process's proof.
func NewPeers(proof *Proof, incarnation uint64) *Peers {
	return &Peers{proof: proof, incarnation: incarnation, heard: make(map[string]heard)}
}

// Word returns the word for a host. Revision is that of the configuration held.
func (peers *Peers) Word(host string, revision int64, now Moment) Word {
	word := Word{Incarnation: peers.incarnation, Sent: now}
	if age, known := peers.proof.Age(now); known {
		word.Revision, word.Age = revision, age
	}
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if last, ok := peers.heard[host]; ok {
		word.EchoOf, word.Echo, word.Held = last.incarnation, last.sent, time.Duration(now-last.at)
	}
	return word
}

// Hear takes over a host's word. Its proof counts only for the same revision.
//
// The sender got our echo Held before it sent the word, and its proof is Age old
// at that time. So the proof is Held - Age younger than the receipt of the echo,
// which is not before the echo was sent.
func (peers *Peers) Hear(host string, word Word, revision int64, now Moment) {
	peers.mutex.Lock()
	last := peers.heard[host]
	if word.Incarnation != last.incarnation || word.Sent > last.sent {
		peers.heard[host] = heard{word.Incarnation, word.Sent, now}
	}
	peers.mutex.Unlock()
	if word.EchoOf != peers.incarnation || word.Revision == 0 || word.Revision != revision || word.Held < 0 || word.Age < 0 {
		return
	}
	at := word.Echo + Moment(word.Held-word.Age)
	if at <= now {
		peers.proof.Confirm(at)
	}
}
