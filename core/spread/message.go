package spread

import "primrosegw/core/heads"

// MessageKind is the sort of a message between hosts.
type MessageKind string

// The kinds of messages.
const (
	// Repair carries the heads, and the document too if it is small.
	Repair MessageKind = "repair"
	// Want asks for the document with the given digest.
	Want MessageKind = "want"
	// Page carries the document that was wanted.
	Page MessageKind = "page"
	// Receipt tells the generation that the sender has applied.
	Receipt MessageKind = "receipt"
	// Ask asks for a Receipt.
	Ask MessageKind = "ask"
)

// Message is one message of the spread.
type Message struct {
	Kind MessageKind `cbor:"kind"`
	From string      `cbor:"from"`
	// Incarnation, Generation and Digest are the sender's own: its process, its
	// applied generation and the digest of the document in force.
	Incarnation uint64 `cbor:"incarnation"`
	Generation  uint64 `cbor:"generation"`
	Digest      string `cbor:"digest,omitempty"`
	// Heads is the trimmed value that a Repair is about.
	Heads *heads.Heads `cbor:"heads,omitempty"`
	// Wanted is the digest of the document that a Want or Page is about.
	Wanted string `cbor:"wanted,omitempty"`
	// Packed is the document, compressed with DEFLATE.
	Packed []byte `cbor:"packed,omitempty"`
}
