package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/io/plain"
)

// Guards against a length or a last chunk by which a caller takes an answer for whole that only ended with its connection.
func TestUnframedAnswerIsPassedOnUnframed(t *testing.T) {
	for _, isUnframed := range []bool{true, false} {
		side := newSide()
		side.services = func(plain.Call) (plain.Answer, error) {
			header := make(http.Header)
			if isUnframed {
				header.Set("Transfer-Encoding", "identity")
			}
			return plain.Answer{Status: 200, Header: header, Body: []byte("all of it")}, nil
		}
		side.serve(t)
		response, body := side.do(t, http.DefaultClient, ask{method: "GET", path: "/v1/services/archive/x"})
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "all of it", body)
		require.Empty(t, response.TransferEncoding)
		require.Equal(t, isUnframed, response.ContentLength == -1)
		require.Equal(t, isUnframed, response.Close)
	}
}
