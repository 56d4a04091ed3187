package front_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// breakThenResume returns a responder that breaks new streams off after three events, and
// completes resumed ones.
func breakThenResume() responder {
	return func(request *http.Request, conn net.Conn) {
		last, err := strconv.Atoi(request.Header.Get("X-Last"))
		if err != nil {
			respondWithStream(false, events(1, 3))(request, conn)
			return
		}
		respondWithStream(true, events(last+1, 6))(request, conn)
	}
}

// Guards against a stream with events of two software versions in one response.
func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addVersion("a", "v1", breakThenResume())
	harness.addVersion("b", "v2", func(request *http.Request, conn net.Conn) {
		if request.Header.Get("X-Last") == "" {
			respondWith(421, "", "X-Not-Run: yes")(request, conn)
			return
		}
		breakThenResume()(request, conn)
	})
	got := harness.post("/resume/", "x")
	require.Error(t, got.err)
	require.Equal(t, events(1, 3), got.body)
}

// Guards against a stream with events of two software versions that its caller takes up, and
// against one that does not go on although a server of its version serves.
func TestTakenUpStreamStaysAtItsVersion(t *testing.T) {
	for number := range 20 {
		harness := newHarness(t, nil)
		began := harness.addVersion("a", "v1", breakThenResume())
		got := harness.post("/resume/", "x", "X-Id", "first")
		require.Error(t, got.err)
		_ = began.Close()
		harness.fleet.Remove("a")
		harness.addVersion("b", "v2", breakThenResume())
		harness.addVersion("c", "v1", breakThenResume())
		got = harness.post("/resume/", "x", "X-Id", "next-"+strconv.Itoa(number), "X-Resumes", "first", "X-Last", "3")
		require.NoError(t, got.err)
		require.Equal(t, events(4, 6), got.body)
		require.Contains(t, harness.requestsReceived()[1], "c ")
	}
}
