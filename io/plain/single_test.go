package plain_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/spec"
	"primrosegw/io/plain"
)

// fickle is a service that answers the first request of a connection unless it is a POST, and
// breaks the connection after it has taken a POST or a second request.
type fickle struct {
	posts atomic.Int64
	// kept counts the requests on connections that had another one before.
	kept atomic.Int64
	url  string
}

func newFickle(t *testing.T) *fickle {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	fickle := &fickle{url: "http://" + listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go fickle.serve(connection)
		}
	}()
	return fickle
}

func (fickle *fickle) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for taken := 0; ; taken++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodPost {
			fickle.posts.Add(1)
		}
		if taken > 0 {
			fickle.kept.Add(1)
		}
		if taken > 0 || request.Method == http.MethodPost {
			return
		}
		if _, err := connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

func target(url string) spec.Service {
	return spec.Service{Name: "filing", URLs: []string{url}, RepeatableMethods: []string{"GET"}, TimeoutMs: 10_000}
}

// TestPostIsSentOnce guards against net/http, which sends a request again by
// itself when a kept connection breaks and the request has an Idempotency-Key:
// the filing would run twice. No connection is kept for a second call.
func TestPostIsSentOnce(t *testing.T) {
	for name, body := range map[string][]byte{"with a body": []byte(`{"n":1}`), "without a body": nil} {
		t.Run(name, func(t *testing.T) {
			fickle := newFickle(t)
			service := newService()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := service.Do(ctx, target(fickle.url), plain.Call{Method: http.MethodGet, Path: "x"})
			require.NoError(t, err)
			header := http.Header{"Idempotency-Key": {"n1"}}
			_, err = service.Do(ctx, target(fickle.url), plain.Call{Method: http.MethodPost, Path: "x", Header: header, Body: body})
			assert.True(t, fault.Is(err, plain.Broken), "%v", err)
			assert.Equal(t, int64(1), fickle.posts.Load())
			assert.Zero(t, fickle.kept.Load())
		})
	}
}

// TestRefusedCallWasNotSent guards against "unknown" for a call that certainly
// was not run.
func TestRefusedCallWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newService().Do(t.Context(), target(url), plain.Call{Method: http.MethodPost, Path: "x"})
	assert.True(t, fault.Is(err, plain.Refused), "%v", err)
}
