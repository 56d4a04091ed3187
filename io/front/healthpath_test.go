package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

// answersHealthOn returns a responder that names an ID on the health paths that the function accepts, and answers
// the others with 404.
func answersHealthOn(isPath func(path string) bool, respond responder) responder {
	return func(request *http.Request, conn net.Conn) {
		switch {
		case request.Method == http.MethodPost:
			respond(request, conn)
		case isPath(request.URL.Path):
			respondWith(200, "", "X-Instance: a")(request, conn)
		default:
			respondWith(404, "")(request, conn)
		}
	}
}

// adoptHealthPath puts a table with another health path in force.
func (harness *harness) adoptHealthPath(version int64, path string) {
	harness.adopt(func(data *table.Data) { data.Version, data.Services[0].HealthPath = version, path })
}

// Guards against a whole response of a trusted service that is lost, and all later ones with it, because the health
// path changes while it is read and its server follows.
func TestChangeOfTheHealthPathLosesNoTrustedResponse(t *testing.T) {
	var healthPath atomic.Value
	healthPath.Store("/health")
	harness := newHarness(t, nil).trustEnds()
	harness.scriptsHealth = true
	harness.addServer("a", answersHealthOn(func(path string) bool { return path == healthPath.Load() }, func(request *http.Request, conn net.Conn) {
		if number, _ := strconv.Atoi(request.Header.Get("X-Id")); number%2 == 1 {
			healthPath.Store(fmt.Sprint("/health/", number))
			harness.adoptHealthPath(int64(number)+1, fmt.Sprint("/health/", number))
		}
		unframed(eventStream, events(1, 3))(request, conn)
	}))
	for number := range 6 {
		got := harness.post("/stream/", "x", "X-Id", fmt.Sprint(number+1))
		require.NoError(t, got.err, harness.log.String())
		require.Equal(t, http.StatusOK, got.status)
	}
}

// Guards against whole responses of a trusted service that are lost because its server did not follow a change of
// the health path at once.
func TestServerThatFollowsTheHealthPathLateLosesNoResponse(t *testing.T) {
	var follows atomic.Bool
	harness := newHarness(t, nil).trustEnds()
	harness.scriptsHealth = true
	harness.addServer("a", answersHealthOn(func(path string) bool {
		return path == "/health" && !follows.Load() || path == "/next" && follows.Load()
	}, func(request *http.Request, conn net.Conn) {
		if request.Header.Get("X-Id") == "1" {
			harness.adoptHealthPath(2, "/next")
		}
		unframed(eventStream, events(1, 3))(request, conn)
	}))
	require.NoError(t, harness.post("/stream/", "x", "X-Id", "1").err, harness.log.String())
	follows.Store(true)
	require.NoError(t, harness.post("/stream/", "x", "X-Id", "2").err, harness.log.String())
}

// Guards against a whole response of a trusted service that is lost because the newest configuration no longer has the service.
func TestRemovalOfTheServiceLosesNoTrustedResponse(t *testing.T) {
	harness := newHarness(t, nil).trustEnds()
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		harness.adopt(func(data *table.Data) {
			data.Version, data.Services[0].Name = 2, "others"
			for index := range data.Routes {
				data.Routes[index].Targets = []table.Target{{Service: "others", Weight: 1}}
			}
		})
		time.Sleep(50 * time.Millisecond)
		unframed(eventStream, events(1, 3))(request, conn)
	})
	require.NoError(t, harness.post("/stream/", "x").err, harness.log.String())
}
