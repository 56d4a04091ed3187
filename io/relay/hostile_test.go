package relay_test

import (
	"context"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"primrosegw/io/relay"
)

// connect opens a raw connection to a helping host and reads its challenge.
func connect(t testing.TB, server *relay.Server) (net.Conn, []byte) {
	t.Helper()
	conn, err := net.Dial("tcp4", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(wait)))
	var challenge struct {
		Nonce []byte `cbor:"1,keyasint"`
	}
	require.NoError(t, cbor.Unmarshal(readFrame(t, conn), &challenge))
	require.Len(t, challenge.Nonce, 32)
	return conn, challenge.Nonce
}

// readFrame reads a message of the handshake.
func readFrame(t testing.TB, conn net.Conn) []byte {
	t.Helper()
	var length [2]byte
	_, err := io.ReadFull(conn, length[:])
	require.NoError(t, err)
	content := make([]byte, binary.BigEndian.Uint16(length[:]))
	_, err = io.ReadFull(conn, content)
	require.NoError(t, err)
	return content
}

// frame adds the length of a message.
func frame(content []byte) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(content))), content...)
}

// signed returns a message with the content and its MAC.
func signed(t testing.TB, key, nonce, content []byte) []byte {
	t.Helper()
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("request"))
	_, _ = mac.Write(nonce)
	_, _ = mac.Write(content)
	message, err := cbor.Marshal(map[int][]byte{1: content, 2: mac.Sum(nil)})
	require.NoError(t, err)
	return frame(message)
}

func relayKey(t testing.TB) []byte {
	t.Helper()
	key, err := hkdf.Key(sha256.New, secret, nil, "primrosegw relay 1", 32)
	require.NoError(t, err)
	return key
}

// requestContent returns a request for the target.
func requestContent(t testing.TB) []byte {
	t.Helper()
	content, err := cbor.Marshal(map[int]any{1: "a", 2: make([]byte, 32), 3: target.ServerID, 4: started.Unix(), 5: started.Nanosecond()})
	require.NoError(t, err)
	return content
}

// countResolved counts the requests that a helping host has accepted as valid.
func countResolved(settings *relay.ServerOptions) *atomic.Int64 {
	var count atomic.Int64
	resolve := settings.Resolve
	settings.Resolve = func(wanted relay.Target) (string, bool) {
		count.Add(1)
		return resolve(wanted)
	}
	return &count
}

// Guards against a recorded request that opens another tunnel, and against a request whose target was
// changed or that is signed as a datagram is.
func TestForeignRequestsAreRefused(t *testing.T) {
	settings := options(startBackend(t, echo))
	resolved := countResolved(&settings)
	server := startServer(t, settings)
	conn, nonce := connect(t, server)
	recorded := signed(t, relayKey(t), nonce, requestContent(t))
	_, err := conn.Write(recorded)
	require.NoError(t, err)
	readFrame(t, conn)
	require.Equal(t, int64(1), resolved.Load())

	for name, message := range map[string]func(nonce []byte) []byte{
		"replayed":      func([]byte) []byte { return recorded },
		"datagram key":  func(nonce []byte) []byte { return signed(t, secret, nonce, requestContent(t)) },
		"another nonce": func([]byte) []byte { return signed(t, relayKey(t), make([]byte, 32), requestContent(t)) },
		"changed target": func(nonce []byte) []byte {
			data := signed(t, relayKey(t), nonce, requestContent(t))
			for index := range data {
				if string(data[index:index+3]) == target.ServerID {
					data[index]++
					return data
				}
			}
			return nil
		},
		"no MAC": func([]byte) []byte {
			message, err := cbor.Marshal(map[int][]byte{1: requestContent(t)})
			require.NoError(t, err)
			return frame(message)
		},
	} {
		conn, nonce := connect(t, server)
		_, err := conn.Write(message(nonce))
		require.NoError(t, err, name)
		var reply struct {
			MAC []byte `cbor:"2,keyasint"`
		}
		require.NoError(t, cbor.Unmarshal(readFrame(t, conn), &reply), name)
		require.Empty(t, reply.MAC, name)
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err, name)
	}
	require.Equal(t, int64(1), resolved.Load())
}

// Guards against memory and descriptors that garbage takes, and against harm to other connections.
func TestGarbageEndsOnlyItsConnection(t *testing.T) {
	settings := options(startBackend(t, echo))
	settings.MaxConns = 8
	server := startServer(t, settings)
	good := dial(t, server)
	for name, garbage := range map[string][]byte{
		"too long":     frame(make([]byte, 1025)),
		"no CBOR":      frame([]byte("GET / HTTP/1.1")),
		"empty":        frame(nil),
		"HTTP request": []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		conn, _ := connect(t, server)
		_, err := conn.Write(garbage)
		require.NoError(t, err, name)
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err, name)
	}
	endless, _ := connect(t, server)
	for {
		if _, err := endless.Write(make([]byte, 1<<10)); err != nil {
			break
		}
	}
	_, err := io.WriteString(good, "x")
	require.NoError(t, err)
	_, err = io.ReadFull(good, make([]byte, 1))
	require.NoError(t, err)
}

// Guards against data before the reply, from a host that does not wait for the result: it must not
// reach the server as the beginning of a request.
func TestEarlyDataIsRefused(t *testing.T) {
	settings := options("")
	dialing, results := make(chan struct{}), make(chan relay.Attempt, 1)
	settings.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	settings.OnTunnel = func(attempt relay.Attempt) { results <- attempt }
	server := startServer(t, settings)
	conn, nonce := connect(t, server)
	_, err := conn.Write(signed(t, relayKey(t), nonce, requestContent(t)))
	require.NoError(t, err)
	receive(t, dialing)
	_, err = io.WriteString(conn, "POST")
	require.NoError(t, err)
	require.Equal(t, relay.Malformed, receive(t, results).Result)
}

// Guards against garbage of a helping host, or of another program on its port, that is taken for a
// tunnel.
func TestGarbageOfTheHelpingHost(t *testing.T) {
	challenge, err := cbor.Marshal(map[int][]byte{1: make([]byte, 32)})
	require.NoError(t, err)
	short, err := cbor.Marshal(map[int][]byte{1: make([]byte, 3)})
	require.NoError(t, err)
	unsigned, err := cbor.Marshal(map[int][]byte{1: []byte("\xa1\x01\x66opened"), 2: make([]byte, 32)})
	require.NoError(t, err)
	for name, test := range map[string]struct {
		sent []byte
		kind relay.Kind
	}{
		"too long":      {frame(make([]byte, 1025)), relay.Malformed},
		"no CBOR":       {frame([]byte("HTTP/1.1 400")), relay.Malformed},
		"short nonce":   {frame(short), relay.Malformed},
		"no reply":      {frame(challenge), relay.Lost},
		"unsigned":      {append(frame(challenge), frame(unsigned)...), relay.Unauthorized},
		"half a length": {[]byte{0}, relay.Lost},
	} {
		address := startBackend(t, func(conn *net.TCPConn) {
			_, _ = conn.Write(test.sent)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		_, err := newDialer("a", secret).Dial(withTimeout(t), address, target)
		requireKind(t, test.kind, err)
		require.NotEmpty(t, name)
	}
}

// FuzzHandshake guards against bytes that end the process, open a tunnel or keep a slot: sent as they
// are, as a message, and as the content of a message with a valid MAC.
func FuzzHandshake(f *testing.F) {
	f.Add(requestContent(f))
	f.Add([]byte{})
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Add([]byte("\xa1\x01\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	settings := options("127.0.0.1:1")
	settings.Resolve = func(relay.Target) (string, bool) { return "", false }
	server := startServer(f, settings)
	key := relayKey(f)
	f.Fuzz(func(t *testing.T, content []byte) {
		if len(content) > 900 {
			return
		}
		for _, encode := range []func(nonce []byte) []byte{
			func([]byte) []byte { return content },
			func([]byte) []byte { return frame(content) },
			func(nonce []byte) []byte { return signed(t, key, nonce, content) },
		} {
			conn, nonce := connect(t, server)
			_, err := conn.Write(encode(nonce))
			require.NoError(t, err)
			// The helping host answers or resets, possibly before the end, and the connection ends in any
			// case.
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}
		require.Eventually(t, func() bool { return server.Open() == 0 }, wait, time.Millisecond)
	})
}
