package relay

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"primrosegw/core/fault"
)

/*
The handshake has three messages, each one a length of two bytes and that many bytes of CBOR:

 1. The helping host sends a challenge with a fresh nonce. A recorded request is of no use later,
    because it answers another challenge.
 2. The host that is cut off sends a request, with a nonce of its own and the target. Its MAC covers
    the challenge.
 3. The helping host dials and sends a reply. Its MAC covers that of the request.

The bytes of the tunnel follow. The key of the MACs is derived from the shared secret, so that no MAC
is valid for a datagram that is signed with the secret itself, or the other way round.
*/

const (
	// maxMessageBytes is the length of a message of the handshake.
	maxMessageBytes = 1 << 10
	lengthBytes     = 2
	nonceBytes      = 32
	// keyLabel, requestLabel and replyLabel separate the uses of the secret.
	keyLabel     = "primrosegw relay 1"
	requestLabel = "request"
	replyLabel   = "reply"
)

// challenge is the first message of the handshake.
type challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// sealed carries an encoded request or reply with its MAC.
type sealed struct {
	Content []byte `cbor:"1,keyasint"`
	MAC     []byte `cbor:"2,keyasint"`
}

// request asks for a tunnel.
type request struct {
	// Host is the name of the host that asks.
	Host     string `cbor:"1,keyasint"`
	Nonce    []byte `cbor:"2,keyasint"`
	ServerID string `cbor:"3,keyasint"`
	// Seconds and Nanoseconds are the start time of the target, since the Unix epoch.
	Seconds     int64 `cbor:"4,keyasint"`
	Nanoseconds int   `cbor:"5,keyasint"`
}

// reply says what came of a request.
type reply struct {
	// Result is Opened or a kind of errors.
	Result Kind `cbor:"1,keyasint"`
}

func newRequest(host string, target Target) request {
	return request{
		Host: host, Nonce: newNonce(), ServerID: target.ServerID,
		Seconds: target.Started.Unix(), Nanoseconds: target.Started.Nanosecond(),
	}
}

func (request request) target() Target {
	return Target{ServerID: request.ServerID, Started: time.Unix(request.Seconds, int64(request.Nanoseconds))}
}

// newNonce returns random bytes.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(nonce)
	return nonce
}

// macOf returns the MAC of a message that follows an earlier part of the handshake.
func macOf(secret []byte, label string, earlier, content []byte) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, keyLabel, sha256.Size)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	// hash.Hash.Write never returns an error. Both labels differ in their first bytes, and the
	// earlier part has a fixed length, so that no two messages have the same input.
	_, _ = mac.Write([]byte(label))
	_, _ = mac.Write(earlier)
	_, _ = mac.Write(content)
	return mac.Sum(nil), nil
}

// seal encodes a message and adds its MAC.
func seal(secret []byte, label string, earlier []byte, message any) (sealed, error) {
	content, err := cbor.Marshal(message)
	if err != nil {
		return sealed{}, fault.Wrap("relay.seal", Malformed, err)
	}
	mac, err := macOf(secret, label, earlier, content)
	if err != nil {
		return sealed{}, fault.Wrap("relay.seal", Unauthorized, err)
	}
	return sealed{Content: content, MAC: mac}, nil
}

// open checks the MAC of a message and decodes it. It fails with Unauthorized or Malformed.
func (sealed sealed) open(secret []byte, label string, earlier []byte, message any) error {
	mac, err := macOf(secret, label, earlier, sealed.Content)
	if err != nil {
		return fault.Wrap("relay.open", Unauthorized, err)
	}
	if !hmac.Equal(mac, sealed.MAC) {
		return fault.New("relay.open", Unauthorized, "invalid MAC")
	}
	if err := cbor.Unmarshal(sealed.Content, message); err != nil {
		return fault.Wrap("relay.open", Malformed, err)
	}
	return nil
}

// writeMessage sends a message of the handshake. It fails with Malformed or Lost.
func writeMessage(writer io.Writer, message any) error {
	content, err := cbor.Marshal(message)
	if err != nil {
		return fault.Wrap("relay.write", Malformed, err)
	}
	if len(content) > maxMessageBytes {
		return fault.New("relay.write", Malformed, "the message exceeds its size limit")
	}
	data := binary.BigEndian.AppendUint16(make([]byte, 0, lengthBytes+len(content)), uint16(len(content)))
	if _, err := writer.Write(append(data, content...)); err != nil {
		return fault.Wrap("relay.write", Lost, err)
	}
	return nil
}

// readMessage reads a message of the handshake, and nothing of what follows it. It fails with
// Malformed or Lost.
func readMessage(reader io.Reader, message any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return fault.Wrap("relay.read", Lost, err)
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxMessageBytes {
		return fault.New("relay.read", Malformed, "the message exceeds its size limit")
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(reader, content); err != nil {
		return fault.Wrap("relay.read", Lost, err)
	}
	if err := cbor.Unmarshal(content, message); err != nil {
		return fault.Wrap("relay.read", Malformed, err)
	}
	return nil
}
