package plain_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/plain"
	"primrosegw/standin/repeat"
)

// TestRepeatedAnswerIsNotTaken guards against an answer that a service writes once more on a kept
// connection, while it runs the next call: the caller of that one would be told that it was not
// run, or would get the answer to another call.
func TestRepeatedAnswerIsNotTaken(t *testing.T) {
	for name, answer := range map[string]string{
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"answer":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			server, err := repeat.New(answer)
			require.NoError(t, err)
			t.Cleanup(func() { _ = server.Close() })
			service := newService()
			for range 3 {
				_, err := service.Do(t.Context(), target(server.URL()), plain.Call{Method: method, Path: "x"})
				require.NoError(t, err)
			}
			assert.Zero(t, server.Repeated(), "%s, %s: a call ran, and its caller got an earlier answer", name, method)
		}
	}
}
