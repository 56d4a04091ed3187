package plain_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"primrosegw/core/fault"
	"primrosegw/core/spec"
	"primrosegw/io/plain"
)

// TestDo guards against a call that runs twice and may not, and against an
// error that says that a call was not run although it may have.
func TestDo(t *testing.T) {
	cases := map[string]struct {
		method  string
		handler http.HandlerFunc
		calls   int32
		kind    plain.Kind
	}{
		"done":                   {"POST", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusCreated) }, 1, ""},
		"lost reply":             {"POST", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, plain.Broken},
		"lost reply, repeatable": {"GET", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 4, plain.Broken},
		"overload":               {"POST", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }, 1, ""},
		"overload, repeatable": {
			"GET", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }, 4, "",
		},
		"large answer": {
			"POST", func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, 5<<20)) }, 1, plain.Oversized,
		},
		"redirect": {"POST", func(writer http.ResponseWriter, request *http.Request) {
			http.Redirect(writer, request, "/elsewhere", http.StatusTemporaryRedirect)
		}, 1, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				calls.Add(1)
				assert.Empty(t, request.Header.Get("Authorization"), "a caller's key reached the service")
				test.handler(writer, request)
			}))
			t.Cleanup(server.Close)
			_, err := do(t, test.method, server.URL)
			assert.Equal(t, test.kind, fault.KindOf[plain.Kind](err), "%v", err)
			assert.Equal(t, test.calls, calls.Load())
			if err != nil {
				assert.False(t, strings.Contains(err.Error(), "hidden"), "the query is in %v", err)
			}
		})
	}
	_, err := do(t, "POST", "http://127.0.0.1:9")
	assert.True(t, fault.Is(err, plain.Refused), "%v", err)
}

func newService() *plain.Service {
	return plain.New(plain.Options{Random: rand.New(rand.NewPCG(1, 2))})
}

// archive returns a service at the given addresses.
func archive(addresses ...string) spec.Service {
	return spec.Service{Name: "archive", URLs: addresses, RepeatableMethods: []string{"GET"}, TimeoutMs: 10_000}
}

func do(t *testing.T, method, address string) (plain.Answer, error) {
	t.Helper()
	header := make(http.Header)
	header.Set("Authorization", "Bearer secret")
	return newService().Do(t.Context(), archive(address), plain.Call{Method: method, Path: "entries", Query: "q=hidden", Header: header})
}

// TestOtherAddress guards against a service that fails as a whole when one of
// its addresses is gone, with many calls at the same time.
func TestOtherAddress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusCreated)
	}))
	t.Cleanup(server.Close)
	service := newService()
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			answer, err := service.Do(t.Context(), archive("http://127.0.0.1:9", server.URL), plain.Call{Method: "POST"})
			assert.NoError(t, err)
			assert.Equal(t, http.StatusCreated, answer.Status)
		})
	}
	group.Wait()
}
