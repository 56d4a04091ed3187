package front_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a whole response of a trusted service that is lost because its server, which has not followed a
// change of the health path yet, answers the new one with an error of its own, or because the path changes twice.
func TestServerOnAnEarlierHealthPathLosesNoResponse(t *testing.T) {
	for _, test := range []struct {
		name, named string
		status      int
		paths       []string
	}{
		{"error on unknown paths", "/health", 500, []string{"/next"}},
		{"two changes", "/next", 404, []string{"/next", "/last"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, nil).trustEnds()
			harness.scriptsHealth = true
			harness.addServer("a", func(request *http.Request, conn net.Conn) {
				switch {
				case request.Method == http.MethodPost:
					for number, path := range test.paths {
						harness.adoptHealthPath(int64(number)+2, path)
					}
					unframed(eventStream, events(1, 3))(request, conn)
				case request.URL.Path == test.named:
					respondWith(200, "", "X-Instance: a")(request, conn)
				default:
					respondWith(test.status, "")(request, conn)
				}
			})
			require.NoError(t, harness.post("/stream/", "x").err, harness.log.String())
		})
	}
}
