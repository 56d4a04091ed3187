package keep_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/keep"
)

// Guards against headers of HTTP/1 in a response of HTTP/2, which makes it malformed.
func TestOnlyHTTP1IsTold(t *testing.T) {
	for _, isHTTP2 := range []bool{false, true} {
		var told []time.Duration
		server := httptest.NewUnstartedServer(keep.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), keep.Options{
			Limit:  func(*http.Request) time.Duration { return time.Minute },
			OnTold: func(_ *http.Request, limit time.Duration) { told = append(told, limit) },
		}))
		server.EnableHTTP2 = isHTTP2
		server.StartTLS()
		response, err := server.Client().Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		server.Close()
		if isHTTP2 {
			require.Equal(t, 2, response.ProtoMajor)
			require.Empty(t, response.Header.Values("Keep-Alive"))
			require.Empty(t, told)
			continue
		}
		require.Equal(t, []string{"timeout=57"}, response.Header.Values("Keep-Alive"))
		require.Equal(t, []time.Duration{time.Minute}, told)
	}
}
