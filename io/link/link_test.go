package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/keys"
	"primrosegw/io/link"
)

// deadline is far above any time that the exchanges below take.
const deadline = 20 * time.Second

type note struct {
	Text string `cbor:"text"`
}

func material(t *testing.T, authority *keys.Authority, name string) *keys.Keys {
	t.Helper()
	pair, err := authority.Issue(name, net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	material, err := keys.Of(authority.PEM(), pair)
	require.NoError(t, err)
	return material
}

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	authority, err := keys.NewAuthority("test")
	require.NoError(t, err)
	return authority
}

func open(t *testing.T, authority *keys.Authority, name string, handlers map[string]link.Handler) *link.Link {
	t.Helper()
	opened, err := link.New(link.Options{
		Address: "127.0.0.1:0", TLS: material(t, authority, name).LinkConfig(), Handlers: handlers,
	})
	require.NoError(t, err)
	t.Cleanup(opened.Close)
	return opened
}

func echo(_ context.Context, stream *link.Stream) {
	var received note
	if stream.Read(&received) == nil {
		_ = stream.Write(note{Text: stream.Peer() + ": " + received.Text})
	}
}

func TestAskNamesThePeer(t *testing.T) {
	authority := newAuthority(t)
	server := open(t, authority, "server", map[string]link.Handler{"echo": echo})
	client := open(t, authority, "client", nil)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	var answer note
	require.NoError(t, client.Ask(ctx, server.Address(), "echo", note{Text: "hello"}, &answer))
	assert.Equal(t, "client: hello", answer.Text)
}

func TestSendNeedsNoAnswer(t *testing.T) {
	authority := newAuthority(t)
	received := make(chan note, 1)
	server := open(t, authority, "server", map[string]link.Handler{"note": func(_ context.Context, stream *link.Stream) {
		var arrived note
		if stream.Read(&arrived) == nil {
			received <- arrived
		}
	}})
	client := open(t, authority, "client", nil)
	require.NoError(t, client.Send(t.Context(), server.Address(), "note", note{Text: "hello"}))
	select {
	case arrived := <-received:
		assert.Equal(t, "hello", arrived.Text)
	case <-time.After(deadline):
		t.Fatal("the message did not arrive")
	}
}

// TestStrangerIsRefused guards against a process with a certificate of another
// authority that takes or gives work.
func TestStrangerIsRefused(t *testing.T) {
	server := open(t, newAuthority(t), "server", map[string]link.Handler{"echo": echo})
	stranger := open(t, newAuthority(t), "server", nil)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	var answer note
	err := stranger.Ask(ctx, server.Address(), "echo", note{Text: "hello"}, &answer)
	assert.True(t, fault.Is(err, link.Unreachable), "%v", err)
}

// TestCanceledStreamEndsTheHandler guards against work that goes on after the
// entry host has given it up.
func TestCanceledStreamEndsTheHandler(t *testing.T) {
	authority := newAuthority(t)
	ended := make(chan struct{})
	server := open(t, authority, "server", map[string]link.Handler{"wait": func(ctx context.Context, stream *link.Stream) {
		_ = stream.Write(note{Text: "started"})
		<-ctx.Done()
		close(ended)
	}})
	client := open(t, authority, "client", nil)
	stream, err := client.Open(t.Context(), server.Address(), "wait")
	require.NoError(t, err)
	require.NoError(t, stream.Write(note{}))
	var started note
	require.NoError(t, stream.Read(&started))
	stream.Cancel()
	select {
	case <-ended:
	case <-time.After(deadline):
		t.Fatal("the handler was not ended")
	}
}

// TestRestartedPeerIsReachedAgain guards against a connection kept to a process
// that is gone.
func TestRestartedPeerIsReachedAgain(t *testing.T) {
	authority := newAuthority(t)
	first := open(t, authority, "server", map[string]link.Handler{"echo": echo})
	address := first.Address()
	client := open(t, authority, "client", nil)
	var answer note
	require.NoError(t, client.Ask(t.Context(), address, "echo", note{Text: "one"}, &answer))
	first.Close()
	second, err := link.New(link.Options{
		Address: address, TLS: material(t, authority, "server").LinkConfig(),
		Handlers: map[string]link.Handler{"echo": echo},
	})
	require.NoError(t, err)
	t.Cleanup(second.Close)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	require.Eventually(t, func() bool {
		return client.Ask(ctx, address, "echo", note{Text: "two"}, &answer) == nil
	}, deadline, 10*time.Millisecond)
	assert.Equal(t, "client: two", answer.Text)
}

func TestUnreachablePeer(t *testing.T) {
	client := open(t, newAuthority(t), "client", nil)
	err := client.Send(t.Context(), "127.0.0.1:9", "note", note{})
	assert.True(t, fault.Is(err, link.Unreachable), "%v", err)
}

// TestFrameBounds guards against a peer that claims or sends more than a frame
// may hold.
func TestFrameBounds(t *testing.T) {
	var into note
	claim := binary.BigEndian.AppendUint32(nil, link.MaximumFrameBytes+1)
	assert.True(t, fault.Is(link.ReadFrame(bytes.NewReader(claim), &into), link.Malformed))

	short := append(binary.BigEndian.AppendUint32(nil, 100), 1, 2, 3)
	assert.True(t, fault.Is(link.ReadFrame(bytes.NewReader(short), &into), link.Broken))

	deep := bytes.Repeat([]byte{0x81}, 1000)
	nested := append(binary.BigEndian.AppendUint32(nil, uint32(len(deep))), deep...)
	assert.True(t, fault.Is(link.ReadFrame(bytes.NewReader(nested), &into), link.Malformed))

	large := note{Text: string(make([]byte, link.MaximumFrameBytes))}
	assert.True(t, fault.Is(link.WriteFrame(&bytes.Buffer{}, large), link.Malformed))
}

func FuzzReadFrame(f *testing.F) {
	var frame bytes.Buffer
	if err := link.WriteFrame(&frame, note{Text: "hello"}); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var into note
		_ = link.ReadFrame(bytes.NewReader(data), &into)
	})
}

// TestSilentStreams guards against peers that open streams and never say what
// they want: each is closed in bounded time, and others are served meanwhile.
func TestSilentStreams(t *testing.T) {
	const streams = 3000
	authority := newAuthority(t)
	server := open(t, authority, "server", map[string]link.Handler{"echo": echo})
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	connection, err := quic.DialAddr(ctx, server.Address(), material(t, authority, "silent").LinkConfig(), &quic.Config{})
	require.NoError(t, err)
	defer func() { _ = connection.CloseWithError(0, "") }()
	var header bytes.Buffer
	require.NoError(t, link.WriteFrame(&header, map[string]string{"message": "echo"}))
	opened := make([]*quic.Stream, 0, streams)
	for number := range streams {
		stream, err := connection.OpenStreamSync(ctx)
		require.NoError(t, err)
		// Some end within the header, the others after it.
		sent := header.Bytes()
		if number%2 == 0 {
			sent = sent[:3]
		}
		_, err = stream.Write(sent)
		require.NoError(t, err)
		opened = append(opened, stream)
	}
	client := open(t, authority, "client", nil)
	var answer note
	require.NoError(t, client.Ask(ctx, server.Address(), "echo", note{Text: "hello"}, &answer))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	assert.Less(t, memory.HeapAlloc, uint64(128<<20))
	for _, stream := range opened {
		require.NoError(t, stream.SetReadDeadline(time.Now().Add(deadline)))
		_, err := io.Copy(io.Discard, stream)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	runtime.ReadMemStats(&memory)
	t.Logf("%d streams, heap %d MB", streams, memory.HeapAlloc>>20)
}

// TestUnknownMessage guards against a stream that stays open for a message that
// nobody serves.
func TestUnknownMessage(t *testing.T) {
	authority := newAuthority(t)
	server := open(t, authority, "server", nil)
	client := open(t, authority, "client", nil)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	var answer note
	require.Error(t, client.Ask(ctx, server.Address(), "unknown", note{}, &answer))
	require.NoError(t, ctx.Err())
}
