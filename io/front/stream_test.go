package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const eventStream = "Content-Type: text/event-stream"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// streams answers with the chunks given and ends the stream or breaks off.
func streams(complete bool, chunks ...string) script {
	return func(request *http.Request, conn net.Conn) {
		var body strings.Builder
		for _, text := range chunks {
			body.WriteString(chunk(text))
		}
		if complete {
			body.WriteString("0\r\n\r\n")
		}
		write(conn, 200, request.Header.Get("X-Id"), []string{signed, eventStream, "Transfer-Encoding: chunked"}, body.String())
		if !complete {
			_ = conn.Close()
		}
	}
}

// Guards against events that are held back, split or joined.
func TestStreamIsRelayed(t *testing.T) {
	world := newWorld(t, nil)
	all := events(1, 5)
	world.engine("a", streams(true, all[:7], all[7:30], all[30:]))
	got := world.ask("/stream/", "x")
	require.NoError(t, got.err)
	require.Equal(t, all, got.body)
	require.Equal(t, "text/event-stream", got.header.Get("Content-Type"))
}

// Guards against a stream that breaks off and looks complete, and against half an
// event.
func TestBrokenStreamIsCut(t *testing.T) {
	world := newWorld(t, nil)
	all := events(1, 3)
	world.engine("a", streams(false, all+"id: 4\nda"))
	got := world.ask("/stream/", "x")
	require.Error(t, got.err)
	require.Equal(t, all, got.body)
	require.Len(t, world.arrived(), 1)
	require.Contains(t, world.log.String(), "answer_broken")
}

// Guards against a resumed stream with a missing or a doubled event.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	world := newWorld(t, nil)
	script := first(
		streams(false, events(1, 3)+"id: 4\nda"),
		func(request *http.Request, conn net.Conn) {
			require.Equal(t, "3", request.Header.Get("X-Last"))
			streams(true, events(4, 6))(request, conn)
		},
	)
	world.engine("a", script)
	world.engine("b", script)
	got := world.ask("/resume/", "x")
	require.NoError(t, got.err)
	require.Equal(t, events(1, 6), got.body)
	require.Len(t, world.arrived(), 2)
	require.Contains(t, world.log.String(), "stream_resumed")
}

// Guards against a server that does not go on where it was told to: events that
// were delivered come again, or some are left out.
func TestResumedStreamIsChecked(t *testing.T) {
	for name, from := range map[string]int{"doubled": 2, "missing": 6} {
		world := newWorld(t, nil)
		script := first(streams(false, events(1, 3)), streams(true, events(from, 8)))
		world.engine("a", script)
		world.engine("b", script)
		got := world.ask("/resume/", "x")
		require.Error(t, got.err, name)
		require.Equal(t, events(1, 3), got.body, name)
	}
}
