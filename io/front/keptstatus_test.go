package front_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a 503 of an earlier server that is kept for the caller, who takes it for "has not run", though a later attempt may have run.
func TestKeptRefusalIsNotGivenAfterAnAttemptThatMayHaveRun(t *testing.T) {
	for name, last := range map[string]responder{
		"unframed":   respondUntilEnd(200, "a part", "Content-Type: text/plain"),
		"broken off": respondWithStream(false),
		"reset":      resetConnection,
	} {
		for _, path := range []string{"/safe/", "/resume/"} {
			harness := newHarness(t, nil)
			respond := firstThen(respondWith(503, "full", signed, "Retry-After: 1"), last)
			harness.addServer("a", respond)
			harness.addServer("b", respond)
			got := harness.post(path, "x")
			assert.Len(t, harness.requestsReceived(), 2, name)
			assert.NotEqual(t, http.StatusServiceUnavailable, got.status, "%s %s: %s", name, path, got.body)
		}
	}
}
