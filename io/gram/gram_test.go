package gram_test

import (
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/gram"
)

var key = []byte("0123456789abcdef0123456789abcdef")

type body struct {
	Text string `cbor:"1,keyasint"`
}

func encode(t *testing.T, key []byte, envelope gram.Envelope[body]) []byte {
	t.Helper()
	data, err := gram.Encode(key, envelope)
	require.NoError(t, err)
	return data
}

// Guards against accepting datagrams signed with another key, modified on the way
// or truncated.
func TestDecodeRejectsForeignDatagrams(t *testing.T) {
	data := encode(t, key, gram.Envelope[body]{Host: "a", Body: body{Text: "x"}})
	decoded, err := gram.Decode[body](key, data)
	require.NoError(t, err)
	require.Equal(t, "x", decoded.Body.Text)
	_, err = gram.Decode[body]([]byte("another"), data)
	require.True(t, fault.Is(err, gram.Unsigned))
	data[len(data)-1] ^= 1
	_, err = gram.Decode[body](key, data)
	require.True(t, fault.Is(err, gram.Unsigned))
	_, err = gram.Decode[body](key, nil)
	require.True(t, fault.Is(err, gram.Unsigned))
}

// Guards against datagrams that the network would fragment.
func TestEncodeRejectsLongBodies(t *testing.T) {
	_, err := gram.Encode(key, gram.Envelope[body]{Body: body{Text: string(make([]byte, 2000))}})
	require.True(t, fault.Is(err, gram.Malformed))
}

func listen(t *testing.T, host string, incarnation uint64) *gram.Socket[body] {
	t.Helper()
	socket, err := gram.Listen[body]("127.0.0.1:0", host, incarnation)
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	socket.SetKey(key)
	return socket
}

// Guards against a delayed datagram that replaces newer data, and against ignoring
// a restarted host because its sequence numbers start again.
func TestReceiveRejectsReplays(t *testing.T) {
	receiver := listen(t, "r", 1)
	received, rejected := make(chan string, 10), make(chan error, 10)
	go receiver.Receive(func(host string, body body) { received <- host + body.Text }, func(err error) { rejected <- err })
	to := receiver.Address()

	first := listen(t, "a", 5)
	require.NoError(t, first.Send(body{Text: "1"}, to))
	require.Equal(t, "a1", receive(t, received))
	require.NoError(t, first.Send(body{Text: "2"}, to))
	require.Equal(t, "a2", receive(t, received))

	older := listen(t, "a", 4)
	require.NoError(t, older.Send(body{Text: "old"}, to))
	require.True(t, fault.Is(receive(t, rejected), gram.Unsigned))
	receiver.ResetSequence("a")
	require.NoError(t, older.Send(body{Text: "back"}, to))
	require.Equal(t, "aback", receive(t, received))
	again := listen(t, "a", 6)
	require.NoError(t, again.Send(body{Text: "3"}, to))
	require.Equal(t, "a3", receive(t, received))
	own := listen(t, "r", 9)
	require.NoError(t, own.Send(body{Text: "self"}, to))
	require.True(t, fault.Is(receive(t, rejected), gram.Unsigned))
}

func receive[T any](t *testing.T, channel chan T) T {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was received")
		panic("unreachable")
	}
}

// Guards against a panic on malformed data, and against an accepted datagram that
// can't be encoded again.
func FuzzDecode(f *testing.F) {
	data, err := gram.Encode(key, gram.Envelope[body]{Host: "a", Sequence: 1, Body: body{Text: "x"}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := gram.Decode[body](key, data)
		if err == nil {
			again, err := gram.Encode(key, envelope)
			require.NoError(t, err)
			require.NotEmpty(t, again)
		}
	})
}

// Guards against values of the store, such as a configuration, that hosts must read
// themselves because they do not fit a datagram, and against mixing parts of different
// bodies.
func TestLongBodiesAreSentInParts(t *testing.T) {
	receiver := listen(t, "r", 1)
	received, rejected := make(chan string, 10), make(chan error, 10)
	go receiver.Receive(func(_ string, body body) { received <- body.Text }, func(err error) { rejected <- err })
	random := rand.New(rand.NewPCG(1, 2))
	sender := listen(t, "a", 1)
	for _, length := range []int{2_000, 20_000, 40_000} {
		text := make([]byte, length)
		for index := range text {
			text[index] = 'a' + byte(random.IntN(26))
		}
		require.NoError(t, sender.Send(body{Text: string(text)}, receiver.Address()))
		require.Equal(t, string(text), receive(t, received))
	}
	err := sender.Send(body{Text: string(make([]byte, gram.MaxBodyBytes+1))}, receiver.Address())
	require.True(t, fault.Is(err, gram.Malformed))
	require.Empty(t, rejected)
}

// A body of which a part is lost must be dropped, without harm to the next one. Parts
// that belong to no body must be refused.
func TestIncompleteBodiesAreDropped(t *testing.T) {
	receiver := listen(t, "r", 1)
	received, rejected := make(chan string, 10), make(chan error, 10)
	go receiver.Receive(func(_ string, body body) { received <- body.Text }, func(err error) { rejected <- err })
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(receiver.Address()))
	require.NoError(t, err)
	defer conn.Close()
	sequence := uint64(0)
	send := func(part gram.Part) {
		sequence++
		_, err := conn.Write(encode(t, key, gram.Envelope[body]{Host: "a", Incarnation: 1, Sequence: sequence, Part: &part}))
		require.NoError(t, err)
	}
	for name, part := range map[string]gram.Part{
		"no parts":      {Message: 1, Count: 0, Data: []byte("x")},
		"too many":      {Message: 2, Count: 1 << 30, Data: []byte("x")},
		"index too low": {Message: 3, Index: -1, Count: 2, Data: []byte("x")},
		"index":         {Message: 4, Index: 2, Count: 2, Data: []byte("x")},
		"no data":       {Message: 5, Count: 2},
		"no body":       {Message: 6, Count: 1, Data: []byte("not compressed")},
	} {
		send(part)
		require.True(t, fault.Is(receive(t, rejected), gram.Malformed), name)
	}
	send(gram.Part{Message: 7, Count: 2, Data: []byte("lost")})
	sender := listen(t, "a", 2)
	require.NoError(t, sender.Send(body{Text: strings.Repeat("next", 1000)}, receiver.Address()))
	require.Equal(t, strings.Repeat("next", 1000), receive(t, received))
}
