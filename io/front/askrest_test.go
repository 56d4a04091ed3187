package front_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against events of two versions that a caller joins by asking for the rest of a stream where streams may not be resumed.
func TestRestOfAStreamIsNotOfAnotherVersionWithoutResumption(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addVersion("a", "v1", reporting(1, breakThenResume()))
	harness.startedAt("a", 1)
	require.Equal(t, events(1, 3), harness.post("/stream/", "x", "X-Id", "first").body)
	rest := func(id string) response {
		return harness.post("/stream/", "x", "X-Id", id, "X-Resumes", "first", "X-Last", "3")
	}
	require.Equal(t, events(4, 6), rest("same").body, "the only version")
	harness.fleet.Remove("a")
	harness.addVersion("b", "v2", reporting(1, breakThenResume()))
	harness.startedAt("b", 1)
	got := rest("other")
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Contains(t, got.body, "unknown_origin")
	require.Zero(t, harness.streamsAt("b"))
	require.Equal(t, events(1, 3), harness.post("/stream/", "x", "X-Id", "new").body, "new streams begin")
}

// Guards against the rest of a stream from a process that has taken the address of the registered one.
func TestRestOfAStreamIsNotOfAnotherProcessWithoutResumption(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addReplaced("a")
	got := harness.post("/stream/", "x", "X-Id", "next", "X-Resumes", "first", "X-Last", "3")
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Zero(t, harness.streamsAt("a"))
}

// Guards against requests to servers that are no engines and get refused for a header that is the caller's own.
func TestLastEventIDIsPassedOnToOtherServices(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addVersion("a", "v1", breakThenResume())
	harness.knowVersion("v2")
	require.Equal(t, events(4, 6), harness.post("/stream/", "x", "X-Last", "3").body)
}
