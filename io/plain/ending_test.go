package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/plain"
)

// Guards against an answer that counts as complete though the service's process ended in the middle
// of it: one with neither a length nor chunks ends with its connection in both cases.
func TestAnswerThatEndsWithItsConnectionIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		method, head, body string
		kind               plain.Kind
		// trusted is the kind where the service is trusted to end answers with their connection.
		trusted plain.Kind
	}{
		"neither a length nor chunks": {"POST", "200 OK\r\nConnection: close", "a part", plain.Broken, ""},
		"the same for a GET":          {"GET", "200 OK\r\nConnection: close", "a part", plain.Broken, ""},
		"a length":                    {"POST", "200 OK\r\nContent-Length: 6", "a part", "", ""},
		"a length, cut short":         {"POST", "200 OK\r\nContent-Length: 9", "a part", plain.Broken, plain.Broken},
		"chunks":                      {"POST", "200 OK\r\nTransfer-Encoding: chunked", "6\r\na part\r\n0\r\n\r\n", "", ""},
		"chunks, cut short":           {"POST", "200 OK\r\nTransfer-Encoding: chunked", "6\r\na part\r\n", plain.Broken, plain.Broken},
		"no body":                     {"POST", "204 No Content\r\nConnection: close", "", "", ""},
		"a HEAD":                      {"HEAD", "200 OK\r\nConnection: close", "", "", ""},
		"an error":                    {"POST", "404 Not Found\r\nConnection: close", "not found", plain.Broken, ""},
		"a failure":                   {"POST", "500 Failed\r\nConnection: close", "it fai", plain.Broken, ""},
		"an error with a length":      {"POST", "404 Not Found\r\nContent-Length: 9", "not found", "", ""},
	} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		go answerAll(listener, fmt.Sprintf("HTTP/1.1 %s\r\n\r\n%s", test.head, test.body))
		for _, trusted := range []bool{false, true} {
			called := target("http://" + listener.Addr().String())
			called.TrustConnectionEnds = trusted
			kind := test.kind
			if trusted {
				kind = test.trusted
			}
			answer, err := newService().Do(t.Context(), called, plain.Call{Method: test.method, Path: "x"})
			assert.Equal(t, kind, fault.KindOf[plain.Kind](err), "%s, trusted %v: %v", name, trusted, err)
			if err == nil && !strings.Contains(test.head, "204") && test.method != http.MethodHead {
				assert.NotEmpty(t, answer.Body, name)
			}
			isUnframed := err == nil && test.kind == plain.Broken
			assert.Equal(t, isUnframed, answer.Header.Get("Transfer-Encoding") == "identity", "%s, trusted %v: %v", name, trusted, answer.Header)
		}
		_ = listener.Close()
	}
}

// answerAll sends the same bytes to each request and closes the connection in order.
func answerAll(listener net.Listener, text string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		_ = conn.Close()
	}
}
