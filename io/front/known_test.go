package front_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// questionsAt returns how often a server was asked which process it is.
func (harness *harness) questionsAt(id string) int {
	count := 0
	for _, received := range harness.requestsReceived() {
		if strings.HasPrefix(received, id+" /report") {
			count++
		}
	}
	return count
}

// addReplaced registers a server as a process of v1 at whose address another process is.
func (harness *harness) addReplaced(id string) {
	harness.addVersion(id, "v1", reporting(2, respondWithStream(true, events(1, 3))))
	harness.startedAt(id, 1)
}

// knowVersion makes a version known of which no server is left.
func (harness *harness) knowVersion(version string) {
	harness.addVersion("left", version, resetConnection)
	harness.fleet.Remove("left")
}

// Guards against a stream that begins unasked on a connection that a request opened which needs no answer.
func TestStreamBeginsOnAConnectionOfAnotherRequestOnlyIfAsked(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.knowVersion("v2")
	harness.addReplaced("a")
	require.Equal(t, http.StatusOK, harness.post("/stream/", "x").status)
	got := harness.post("/resume/", "x", "X-Id", "first")
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Equal(t, 1, harness.streamsAt("a"))
}

// Guards against a stream that begins unasked on a connection that was opened while one version was known.
func TestStreamOnAConnectionFromBeforeTheSecondVersionIsAsked(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addReplaced("a")
	require.Equal(t, http.StatusOK, harness.post("/stream/", "x").status)
	harness.knowVersion("v2")
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/resume/", "x").status)
	require.Equal(t, 1, harness.streamsAt("a"))
}

// Guards against a stream of the only known version that begins at a process which took the address unnoticed.
func TestStreamOfTheOnlyVersionDoesNotBeginAtAnotherProcess(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addReplaced("a")
	require.Equal(t, http.StatusServiceUnavailable, harness.post("/resume/", "x").status)
	require.Zero(t, harness.streamsAt("a"))
}

// Guards against a question for each request in place of one for each connection.
func TestConfirmedConnectionIsNotAskedAgain(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addVersion("a", "v1", reporting(1, func(request *http.Request, conn net.Conn) {
		last, _ := strconv.Atoi(request.Header.Get("X-Last"))
		respondWithStream(true, events(last+1, 6))(request, conn)
	}))
	harness.startedAt("a", 1)
	for range 10 {
		require.Equal(t, events(1, 6), harness.post("/resume/", "x").body)
	}
	harness.knowVersion("v2")
	harness.post("/resume/", "x", "X-Id", "first")
	for range 10 {
		require.Equal(t, events(4, 6), harness.post("/resume/", "x", "X-Id", "next", "X-Resumes", "first", "X-Last", "3").body)
	}
	require.Equal(t, 1, harness.questionsAt("a"))
	require.Contains(t, harness.log.String(), `"process":"confirmed"`)
}
