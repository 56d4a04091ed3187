package guard_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/io/guard"
)

// counter counts by tag value.
type counter map[string]int64

func (counter counter) AddToCounter(_, _, tagValue string, delta int64) { counter[tagValue] += delta }

// A panic while a message is handled must be reported, and the next one handled.
func TestRunOutlivesAPanic(t *testing.T) {
	var output bytes.Buffer
	counts := counter{}
	guard := guard.New(event.New(&output, "host", logrus.InfoLevel, nil), counts)
	require.False(t, guard.Run("datagram", func() { panic("broken message") }))
	require.True(t, guard.Run("datagram", func() {}))
	require.Equal(t, counter{"datagram": 1}, counts)
	require.Contains(t, output.String(), `"event_name":"panic_recovered"`)
	require.Contains(t, output.String(), "broken message")
	require.Contains(t, output.String(), "guard_test.go")
}

// A panic in a handler must not look like a complete response, must not end the server,
// and must be reported unless the handler aborted the response on purpose.
func TestHandlerAbortsTheResponse(t *testing.T) {
	var output bytes.Buffer
	counts := counter{}
	guarded := guard.New(event.New(&output, "host", logrus.InfoLevel, nil), counts)
	server := httptest.NewServer(guarded.Handler("request", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		switch request.URL.Path {
		case "/panic":
			panic("unexpected")
		case "/abort":
			panic(http.ErrAbortHandler)
		}
	})))
	defer server.Close()
	for _, path := range []string{"/panic", "/abort", "/fine"} {
		response, err := http.Get(server.URL + path)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Equal(t, path == "/fine", err == nil, path)
	}
	require.Equal(t, counter{"request": 1}, counts)
}
