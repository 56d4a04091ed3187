package leave_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/leave"
)

// Guards against streams of HTTP/2 that are cut, and heads under TLS that are dropped, because the server leaves.
func TestConnectionsUnderTLSEndInOrder(t *testing.T) {
	conns := leave.New("")
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(conns.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.Proto)
		if request.URL.Path == "/slow" {
			_ = http.NewResponseController(writer).Flush()
			close(begun)
			<-release
		}
		_, _ = io.WriteString(writer, " end")
	})))
	server.EnableHTTP2, server.Config.ConnState, server.Listener = true, conns.Track, conns.Listen(server.Listener)
	server.StartTLS()
	defer server.Close()
	conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{RootCAs: server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"})
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(longTime)))
	_, err = io.WriteString(conn, "GET /late HTTP/1.1\r\nHost: h.exa")
	require.NoError(t, err)
	slow := make(chan string, 1)
	go func() {
		response, err := server.Client().Get(server.URL + "/slow")
		if err != nil {
			slow <- err.Error()
			return
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		slow <- string(content) + fmtError(err)
	}()
	<-begun
	left := make(chan error, 1)
	go func() { left <- conns.Leave(t.Context()) }()
	require.Eventually(t, func() bool {
		refused, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		if err == nil {
			_ = refused.Close()
		}
		return err != nil
	}, longTime, time.Millisecond)
	_, err = io.WriteString(conn, "mple\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 end", string(content))
	require.NoError(t, <-left)
	ended := make(chan error, 1)
	go func() { ended <- server.Config.Shutdown(t.Context()) }()
	close(release)
	require.Equal(t, "HTTP/2.0 end", <-slow)
	server.Client().CloseIdleConnections()
	require.NoError(t, <-ended)
}

func fmtError(err error) string {
	if err == nil {
		return ""
	}
	return " " + err.Error()
}
