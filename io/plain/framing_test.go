package plain_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"primrosegw/core/fault"
	"primrosegw/io/plain"
)

// TestHiddenLengthIsBroken guards against an answer that was cut off and is given out as whole, because
// its length stands under a name that is not the header's.
func TestHiddenLengthIsBroken(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 10\r\n\r\nten ",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length : 10\r\n\r\nten ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nten \r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nten \r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nten \r\n",
	} {
		got, err := do(t, http.MethodPost, answering(t, answer))
		assert.True(t, fault.Is(err, plain.Broken), "%q: %q %v", answer, got.Body, err)
	}
}

// TestCutAnswersAreBroken guards against an answer that was cut off at any byte and is given out as whole.
func TestCutAnswersAreBroken(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nten bytes.",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nten \r\n6\r\nbytes.\r\n0\r\nX-End: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nten bytes.",
	} {
		for at := range len(answer) {
			got, err := do(t, http.MethodPost, answering(t, answer[:at]))
			assert.True(t, fault.Is(err, plain.Broken), "%q: %q %v", answer[:at], got.Body, err)
		}
		got, err := do(t, http.MethodPost, answering(t, answer))
		assert.NoError(t, err)
		assert.Equal(t, "ten bytes.", string(got.Body))
	}
}

// answering returns the address of a server that writes the same bytes for each request.
func answering(t *testing.T, answer string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
		_ = conn.(*net.TCPConn).Close()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against an answer whose status is none that is passed on.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		answer, err := do(t, http.MethodGet, answering(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4\r\n\r\npart"))
		assert.True(t, fault.Is(err, plain.Broken), "%s: %v", status, err)
		assert.Empty(t, answer.Body)
	}
}
