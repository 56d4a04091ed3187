package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/origin"
	"primrosegw/core/table"
)

// addService registers a server of v1 of a service, which completes streams that go on.
func (harness *harness) addService(id, service string) {
	harness.addVersion(id, "v1", breakThenResume())
	harness.records.Put(origin.Origin{Service: service, Version: "v1"}, time.Now())
	server := harness.servers[id]
	server.Service = service
	harness.fleet.Remove(id)
	harness.fleet.Put(server)
}

// withTargets returns a change of the table after which the route of resumable streams leads to services.
func withTargets(version int64, services ...string) func(*table.Data) {
	return func(data *table.Data) {
		data.Version = version
		data.Services = nil
		var targets []table.Target
		for _, service := range services {
			targets = append(targets, table.Target{Service: service, Weight: 1})
		}
		for _, service := range []string{"engines", "others"} {
			data.Services = append(data.Services, table.Service{Name: service, HealthPath: "/health"})
		}
		for index := range data.Routes {
			if data.Routes[index].Resumable {
				data.Routes[index].Targets = targets
			}
		}
	}
}

// Guards against a stream with events of two services: its route leads to several, and its caller does not name
// the first attempt.
func TestStreamOfARouteToSeveralServicesStaysAtItsService(t *testing.T) {
	harness := newHarness(t, withTargets(1, "engines", "others"))
	harness.addService("a", "engines")
	harness.addService("b", "others")
	mixed := 0
	const streams = 20
	for number := range streams {
		require.Equal(t, events(1, 3), harness.post("/resume/", "x", "X-Id", fmt.Sprint("first-", number)).body)
		got := harness.post("/resume/", "x", "X-Id", fmt.Sprint("next-", number), "X-Last", "3")
		received := harness.requestsReceived()
		if got.body == events(4, 6) && received[len(received)-1] != received[len(received)-2] {
			mixed++
		}
	}
	require.Zero(t, mixed, "streams of %d with events 1 to 3 of one service and 4 to 6 of the other", streams)
}

// Guards against a stream with events of two services: its route was moved to another one after another
// host had begun it, and only that host, which is gone, knew where.
func TestStreamDoesNotGoOnAtTheServiceToWhichItsRouteHasMoved(t *testing.T) {
	harness := newHarness(t, withTargets(1, "others"))
	harness.addService("a", "engines")
	harness.addService("b", "others")
	harness.adopt(withTargets(2, "engines"))
	got := harness.post("/resume/", "x", "X-Id", "next", "X-Resumes", "first", "X-Last", "3")
	require.Equal(t, http.StatusServiceUnavailable, got.status, "got %q of %v", got.body, harness.requestsReceived())
}
