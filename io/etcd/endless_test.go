package etcd_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/io/etcd"
)

// Guards against a message of a watch without end, which would fill the memory of the host.
func TestEndlessWatchMessageIsCutOff(t *testing.T) {
	const most = 192 << 20
	sent := make(chan int64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, `{"result":{"created":true}}`+"\n"+`{"result":{"events":[{"type":"`)
		piece, total := bytes.Repeat([]byte("x"), 1<<20), int64(0)
		for total < most {
			count, err := writer.Write(piece)
			total += int64(count)
			if err != nil {
				break
			}
		}
		sent <- total
	}))
	defer server.Close()
	client, err := etcd.New(etcd.Options{Endpoints: []string{server.URL}, Timeout: 10 * time.Second})
	require.NoError(t, err)
	events, err := client.Watch(t.Context(), "prefix", 1)
	require.NoError(t, err)
	event := <-events
	require.True(t, fault.Is(event.Err, store.Unavailable), event.Err)
	require.Less(t, <-sent, int64(most))
}
