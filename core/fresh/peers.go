package fresh

import (
	"sync"
	"time"
)

// ProofMessage carries a host's proof to another host, so that few hosts have to
// query the store. The message may be delivered late, for example after the receiver
// was suspended, and the clocks of the hosts differ. It is therefore dated on the
// receiver's clock: it echoes an instant that the receiver sent before.
type ProofMessage struct {
	// Incarnation identifies the sender's process.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Sent is when the message was sent, on the sender's clock.
	Sent Instant `cbor:"2,keyasint"`
	// Age is the age of the proof when the message was sent.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// EchoSent is the latest Sent that the sender has received from the receiver,
	// EchoIncarnation is the incarnation in that message, and EchoAge is the time
	// between its receipt and Sent.
	EchoIncarnation uint64        `cbor:"5,keyasint,omitempty"`
	EchoSent        Instant       `cbor:"6,keyasint,omitempty"`
	EchoAge         time.Duration `cbor:"7,keyasint,omitempty"`
	// Version is the version of the configuration that the proof covers, 0 if there is
	// no proof. Field 3 was in use in earlier releases.
	Version int64 `cbor:"8,keyasint,omitempty"`
}

// Peers exchanges proofs with other hosts. It is safe for concurrent use.
type Peers struct {
	proof       *Proof
	incarnation uint64
	mutex       sync.Mutex
	received    map[string]receivedMessage
	// answers holds what each host last sent in answer to a message of this process.
	answers map[string]answer
	// newestVersion is the newest version of the configuration that another host had.
	newestVersion int64
}

// receivedMessage is the latest message of a host.
type receivedMessage struct {
	incarnation uint64
	sent        Instant
	receivedAt  Instant
}

// answer is a host's answer to a message.
type answer struct {
	// echoSent is when the message was sent that the host had received.
	echoSent Instant
	// inTouch is set if the host's proof was valid.
	inTouch bool
}

// NewPeers returns a Peers that sends and confirms the given proof. Incarnation
// identifies the local process.
func NewPeers(proof *Proof, incarnation uint64) *Peers {
	return &Peers{proof: proof, incarnation: incarnation, received: make(map[string]receivedMessage), answers: make(map[string]answer)}
}

// Message returns the message to send to a host. Version returns the version of the
// configuration held. It is called after the proof has been read: a proof holds for later
// versions, too, but not for earlier ones.
func (peers *Peers) Message(host string, version func() int64, now Instant) ProofMessage {
	message := ProofMessage{Incarnation: peers.incarnation, Sent: now}
	if age, known := peers.proof.Age(now); known {
		message.Version, message.Age = version(), age
	}
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if last, ok := peers.received[host]; ok {
		message.EchoIncarnation, message.EchoSent, message.EchoAge = last.incarnation, last.sent, time.Duration(now-last.receivedAt)
	}
	return message
}

// Receive handles a message of a host and confirms the local proof with it if both
// hosts hold the same version.
//
// When the sender sent the message, it had received our echoed message EchoAge ago,
// and its proof was Age old. So its confirmation is EchoAge - Age later than that
// receipt. The receipt is not earlier than EchoSent, so EchoSent + EchoAge - Age on
// our clock is never later than the confirmation.
func (peers *Peers) Receive(host string, message ProofMessage, version int64, now Instant) {
	peers.mutex.Lock()
	last := peers.received[host]
	if message.Incarnation != last.incarnation || message.Sent > last.sent {
		peers.received[host] = receivedMessage{message.Incarnation, message.Sent, now}
	}
	if message.EchoIncarnation == peers.incarnation && message.EchoSent >= peers.answers[host].echoSent {
		inTouch := message.Version != 0 && (peers.proof.maxAge <= 0 || message.Age < peers.proof.maxAge)
		peers.answers[host] = answer{message.EchoSent, inTouch}
	}
	peers.newestVersion = max(peers.newestVersion, message.Version)
	peers.mutex.Unlock()
	if message.EchoIncarnation != peers.incarnation || message.Version == 0 || message.Version != version || message.EchoAge < 0 || message.Age < 0 {
		return
	}
	provenAt := message.EchoSent + Instant(message.EchoAge-message.Age)
	if provenAt <= now {
		peers.proof.Confirm(provenAt)
	}
}

// AnsweredSince returns how many of some hosts have answered a message that was sent at or after an
// instant, and whether one of these had a valid proof then.
func (peers *Peers) AnsweredSince(since Instant, hosts map[string]bool) (answered int, inTouch bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for host := range hosts {
		if last, known := peers.answers[host]; known && last.echoSent >= since {
			answered++
			inTouch = inTouch || last.inTouch
		}
	}
	return answered, inTouch
}

// NoteVersion records a version of the configuration that a host had.
func (peers *Peers) NoteVersion(version int64) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.newestVersion = max(peers.newestVersion, version)
}

// NewestVersion returns the newest version of the configuration that another host had
// when it sent its proof, 0 if there was none.
func (peers *Peers) NewestVersion() int64 {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.newestVersion
}
