package gram_test

import (
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

func seal(t *testing.T, key []byte, envelope gram.Envelope[body]) []byte {
	t.Helper()
	data, err := gram.Seal(key, envelope)
	require.NoError(t, err)
	return data
}

// Guards against datagrams of somebody else that are taken for a host's.
func TestOpenRefusesForeignDatagrams(t *testing.T) {
	data := seal(t, key, gram.Envelope[body]{Host: "a", Body: body{Text: "x"}})
	opened, err := gram.Open[body](key, data)
	require.NoError(t, err)
	require.Equal(t, "x", opened.Body.Text)
	_, err = gram.Open[body]([]byte("another"), data)
	require.True(t, fault.Is(err, gram.Unsigned))
	data[len(data)-1] ^= 1
	_, err = gram.Open[body](key, data)
	require.True(t, fault.Is(err, gram.Unsigned))
	_, err = gram.Open[body](key, nil)
	require.True(t, fault.Is(err, gram.Unsigned))
}

// Guards against a body that the network would cut into pieces.
func TestSealRefusesLongBodies(t *testing.T) {
	_, err := gram.Seal(key, gram.Envelope[body]{Body: body{Text: string(make([]byte, 2000))}})
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

// Guards against an old datagram that arrives late and replaces a newer one, and
// against a restarted host whose numbers begin anew and that nobody hears.
func TestReceiveTakesEachHostsNewest(t *testing.T) {
	receiver := listen(t, "r", 1)
	received, rejected := make(chan string, 10), make(chan error, 10)
	go receiver.Receive(func(host string, body body) { received <- host + body.Text }, func(err error) { rejected <- err })
	to := receiver.Address()

	first := listen(t, "a", 5)
	require.NoError(t, first.Send(body{Text: "1"}, to))
	require.Equal(t, "a1", wait(t, received))
	require.NoError(t, first.Send(body{Text: "2"}, to))
	require.Equal(t, "a2", wait(t, received))

	older := listen(t, "a", 4)
	require.NoError(t, older.Send(body{Text: "old"}, to))
	require.True(t, fault.Is(wait(t, rejected), gram.Unsigned))
	receiver.Forget("a")
	require.NoError(t, older.Send(body{Text: "back"}, to))
	require.Equal(t, "aback", wait(t, received))
	again := listen(t, "a", 6)
	require.NoError(t, again.Send(body{Text: "3"}, to))
	require.Equal(t, "a3", wait(t, received))
	own := listen(t, "r", 9)
	require.NoError(t, own.Send(body{Text: "self"}, to))
	require.True(t, fault.Is(wait(t, rejected), gram.Unsigned))
}

func wait[T any](t *testing.T, channel chan T) T {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was received")
		panic("unreachable")
	}
}

// Guards against a datagram that ends the process or passes unsigned.
func FuzzOpen(f *testing.F) {
	data, err := gram.Seal(key, gram.Envelope[body]{Host: "a", Sequence: 1, Body: body{Text: "x"}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := gram.Open[body](key, data)
		if err == nil {
			again, err := gram.Seal(key, envelope)
			require.NoError(t, err)
			require.NotEmpty(t, again)
		}
	})
}
