package plain_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/spec"
	"primrosegw/io/plain"
)

// Guards against a call that is told not to have run, as no address took its last try, though an earlier try may have run.
func TestCallThatMayHaveRunIsNotRefused(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	for name, answer := range map[string]string{
		"cut in its body":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nten",
		"neither a length nor chunks": "HTTP/1.1 200 OK\r\n\r\nten bytes.",
		"no answer":                   "",
	} {
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			conn, _, err := writer.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(answer))
			_ = conn.Close()
		}))
		service := newService()
		both := spec.Service{Name: "s", URLs: []string{server.URL, closed}, TimeoutMs: 5000, RepeatableMethods: []string{http.MethodPut}}
		for range 2 {
			// The turn decides which address is asked first.
			before := runs.Load()
			_, err := service.Do(t.Context(), both, plain.Call{Method: http.MethodPut, Path: "x"})
			if runs.Load() > before {
				assert.False(t, fault.Is(err, plain.Refused), "%s: ran %d times, and: %v", name, runs.Load()-before, err)
			}
		}
		server.Close()
	}
}

// Guards against a refusal after an overloaded service's answer, which does not say that the call was not run.
func TestOverloadBeforeARefusalLeavesADoubt(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		writer.WriteHeader(http.StatusBadGateway)
	}))
	defer server.Close()
	service := newService()
	both := spec.Service{Name: "s", URLs: []string{server.URL, closed}, TimeoutMs: 5000, RepeatableMethods: []string{http.MethodPut}}
	for range 2 {
		before := runs.Load()
		answer, err := service.Do(t.Context(), both, plain.Call{Method: http.MethodPut, Path: "x"})
		if runs.Load() > before {
			assert.False(t, fault.Is(err, plain.Refused), "ran %d times, status %d, and: %v", runs.Load()-before, answer.Status, err)
		}
	}
}
