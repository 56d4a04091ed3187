package link_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/keys"
	"primrosegw/io/link"
)

// cutPeer is a peer that answers each stream with bytes and ends it in a way.
type cutPeer struct {
	address string
	answer  atomic.Pointer[cutAnswer]
}

type cutAnswer struct {
	bytes []byte
	end   func(connection *quic.Conn, stream *quic.Stream)
}

func openCutPeer(t *testing.T, authority *keys.Authority) *cutPeer {
	t.Helper()
	listener, err := quic.ListenAddr("127.0.0.1:0", material(t, authority, "server").LinkConfig(), &quic.Config{})
	require.NoError(t, err)
	result := &cutPeer{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go result.serve(connection)
		}
	}()
	return result
}

// serve answers each stream after its header and first value have come.
func (peer *cutPeer) serve(connection *quic.Conn) {
	for {
		stream, err := connection.AcceptStream(context.Background())
		if err != nil {
			return
		}
		var header, value map[string]string
		if link.ReadFrame(stream, &header) != nil || link.ReadFrame(stream, &value) != nil {
			continue
		}
		given := peer.answer.Load()
		_, _ = stream.Write(given.bytes)
		given.end(connection, stream)
	}
}

// Guards against a part of an answer of another host that counts as the whole one, however its stream ends.
func TestAnswerOfAHostCutAtAnyByteIsNotWhole(t *testing.T) {
	authority := newAuthority(t)
	peer := openCutPeer(t, authority)
	client := open(t, authority, "client", nil)
	var frame bytes.Buffer
	require.NoError(t, link.WriteFrame(&frame, note{Text: "a whole answer"}))
	ends := map[string]func(connection *quic.Conn, stream *quic.Stream){
		"in order": func(_ *quic.Conn, stream *quic.Stream) { _ = stream.Close() },
		"reset":    func(_ *quic.Conn, stream *quic.Stream) { stream.CancelWrite(1) },
		"one direction only": func(_ *quic.Conn, stream *quic.Stream) {
			stream.CancelRead(1)
			_ = stream.Close()
		},
		"connection in order": func(connection *quic.Conn, _ *quic.Stream) { _ = connection.CloseWithError(0, "closed") },
		"silent":              func(*quic.Conn, *quic.Stream) {},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			for cut := range frame.Len() {
				patience := deadline
				if name == "silent" {
					patience = 100 * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				peer.answer.Store(&cutAnswer{frame.Bytes()[:cut], end})
				var answer note
				err := client.Ask(ctx, peer.address, "note", note{Text: "a question"}, &answer)
				for fault.Is(err, link.Unreachable) && ctx.Err() == nil {
					// The connection that the peer closed after the last answer took no question.
					err = client.Ask(ctx, peer.address, "note", note{Text: "a question"}, &answer)
				}
				require.True(t, fault.Is(err, link.Broken), "cut after %d: %v", cut, err)
				require.Empty(t, answer.Text, "cut after %d", cut)
				cancel()
			}
			if name != "silent" {
				peer.answer.Store(&cutAnswer{frame.Bytes(), ends["in order"]})
				var answer note
				require.Eventually(t, func() bool {
					return client.Ask(t.Context(), peer.address, "note", note{Text: "a question"}, &answer) == nil
				}, deadline, time.Millisecond)
				require.Equal(t, "a whole answer", answer.Text)
			}
		})
	}
}
