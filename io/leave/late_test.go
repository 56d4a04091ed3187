package leave_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/io/leave"
)

// Guards against a response that was begun before the host leaves, is written afterwards, and does not say that its
// connection will be closed: its caller's next request meets the closing.
func TestResponseThatIsWrittenInLeaveAnnouncesTheClose(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	conns := leave.New(refusal)
	server := &http.Server{ConnState: conns.Track, Handler: conns.Handler(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(writer, "late")
	}))}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(conns.Listen(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	host := &host{t: t, conns: conns, address: inner.Addr().String(), left: make(chan error, 1)}
	caller := host.dial()
	caller.send(firstGet)
	<-begun
	host.leave()
	close(release)
	caller.requireAnswer("late")
	host.requireLeft()
}
