package spread

import "primrosegw/core/heads"

// MessageKind identifies the type of a message between hosts.
type MessageKind string

// The message kinds. The values are part of the protocol.
const (
	// Repair carries the sender's heads, and the document if it is small enough
	// to inline.
	Repair MessageKind = "repair"
	// DocumentRequest asks for the document with the given digest.
	DocumentRequest MessageKind = "want"
	// DocumentReply carries a requested document.
	DocumentReply MessageKind = "page"
	// StatusReport carries only the sender's applied generation.
	StatusReport MessageKind = "receipt"
	// StatusRequest asks for a StatusReport.
	StatusRequest MessageKind = "ask"
)

// Message is a dissemination message between two hosts.
type Message struct {
	Kind MessageKind `cbor:"kind"`
	From string      `cbor:"from"`
	// Incarnation, Generation and Digest describe the sender: its process
	// incarnation, its applied generation and the digest of the document in
	// force.
	Incarnation uint64 `cbor:"incarnation"`
	Generation  uint64 `cbor:"generation"`
	Digest      string `cbor:"digest,omitempty"`
	// Heads is the trimmed value that a Repair delivers.
	Heads *heads.Heads `cbor:"heads,omitempty"`
	// RequestedDigest is the digest of the document that a DocumentRequest or
	// DocumentReply refers to.
	RequestedDigest string `cbor:"wanted,omitempty"`
	// Compressed is the document, compressed with DEFLATE.
	Compressed []byte `cbor:"packed,omitempty"`
}
