package front_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"primrosegw/core/table"
)

// Guards against a 503 or 429 of a later server, which callers take for "has not run", after an attempt whose end is not proven.
func TestRefusalAfterAnUnprovenEndDoesNotSayThatTheRequestHasNotRun(t *testing.T) {
	for name, next := range map[string]responder{
		"503, not run":       respondWith(503, "full", "X-Not-Run: yes"),
		"421":                respondWith(421, ""),
		"503 with a time":    respondWith(503, "full", signed, "Retry-After: 1"),
		"429":                respondWith(429, "too many", signed, "Retry-After: 1"),
		"503, unsigned":      respondWith(503, "full"),
		"503 turned away":    respondWith(503, "full", "X-Not-Run: yes", "X-Away: 1s"),
		"the server is gone": closeAtOnce,
	} {
		for _, path := range []string{"/safe/", "/resume/"} {
			for kind, initial := range map[string]responder{
				"unframed": respondUntilEnd(200, "", "Content-Type: text/plain"),
				"framed":   respondWithStream(false),
			} {
				harness := newHarness(t, func(data *table.Data) {
					for index := range data.Routes {
						data.Routes[index].MaxAttempts = 2
					}
				})
				respond := firstThen(initial, next)
				harness.addServer("a", respond)
				harness.addServer("b", respond)
				got := harness.post(path, "x")
				assert.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, got.status, "%s %s %s: %s", kind, path, name, got.body)
			}
		}
	}
}
