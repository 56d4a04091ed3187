package front_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/room"
	"primrosegw/core/table"
)

const (
	// brittleHeader says that a server is brittle.
	brittleHeader = "X-Brittle: 3"
	// soon is the time within which a request whose wait is over gets its answer. It is shorter than the objective.
	soon = 400 * time.Millisecond
)

// addServerOf is addServer for a service.
func (harness *harness) addServerOf(service, id string, respond responder) {
	harness.t.Helper()
	harness.addServer(id, respond)
	harness.fleet.Remove(id)
	server := harness.servers[id]
	server.Service = service
	harness.servers[id] = server
	harness.fleet.Put(server)
}

// fill makes a server brittle with one place, and takes it.
func (harness *harness) fill(id string) {
	harness.t.Helper()
	harness.room.Observe(harness.servers[id], room.Observation{Number: 3, Slots: 1}, time.Now())
	require.True(harness.t, harness.room.Take(harness.servers[id], nil, time.Now()))
}

// empty ends the request of fill.
func (harness *harness) empty(id string) {
	harness.room.Done(harness.servers[id], true, time.Now(), time.Now())
}

// start sends a request in the background, which soon waits for room.
func (harness *harness) start(path, id string, headers ...string) <-chan response {
	done := make(chan response, 1)
	go func() { done <- harness.post(path, "x", append(headers, "X-Id", id)...) }()
	time.Sleep(100 * time.Millisecond)
	return done
}

// requireSoon returns a response that must come soon.
func requireSoon(t *testing.T, done <-chan response, name string) response {
	t.Helper()
	select {
	case got := <-done:
		return got
	case <-time.After(soon):
		require.Fail(t, "the request still waits", name)
		return response{}
	}
}

// moveRoutes puts the next version in force, in which some routes lead to a service.
func (harness *harness) moveRoutes(version int64, service string, names ...string) {
	harness.adopt(func(data *table.Data) {
		data.Version, data.Services = version, append(data.Services, table.Service{Name: "others", HealthPath: "/health"})
		for index, route := range data.Routes {
			for _, name := range names {
				if route.Name == name {
					data.Routes[index].Targets = []table.Target{{Service: service, Weight: 1}}
				}
			}
		}
	})
}

func brittleSuccess() responder { return respondWith(200, "ok", signed, brittleHeader) }

// Guards against a request that waits behind those of a service to which its route no longer leads.
func TestWaitForRoomEndsWhenTheRouteMoves(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", brittleSuccess())
	harness.addServerOf("others", "b", respondWith(200, "ok", signed))
	harness.fill("a")
	first := harness.start("/once/", "id-1")
	moved := harness.start("/safe/", "id-2")
	harness.moveRoutes(2, "others", "safe")
	require.Equal(t, 200, requireSoon(t, moved, "moved").status)
	harness.empty("a")
	require.Equal(t, 200, requireSoon(t, first, "first").status)
	require.Equal(t, []string{"b /safe/ x", "a /once/ x"}, harness.requestsReceived())
}

// Guards against a request that holds its place in the queue of a service to which its route no longer leads, or
// that finds no place in the queue of the other one.
func TestRouteThatMovesTakesItsQueueAlong(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", brittleSuccess())
	harness.addServerOf("others", "b", brittleSuccess())
	harness.fill("a")
	harness.fill("b")
	moved := harness.start("/safe/", "id-1")
	stays := harness.start("/once/", "id-2")
	harness.moveRoutes(2, "others", "safe")
	time.Sleep(100 * time.Millisecond)
	harness.empty("a")
	require.Equal(t, 200, requireSoon(t, stays, "stays").status)
	harness.empty("b")
	require.Equal(t, 200, requireSoon(t, moved, "moved").status)
}

// Guards against a request that ends at the timeout of a table that is no longer in force.
func TestNewTimeoutHoldsForWaitingRequests(t *testing.T) {
	for _, test := range []struct {
		name            string
		before, after   time.Duration
		freedAfter      time.Duration
		status          int
		atLeast, latest time.Duration
	}{
		{"longer", 800 * time.Millisecond, 5 * time.Second, 700 * time.Millisecond, 200, 650 * time.Millisecond, 1200 * time.Millisecond},
		{"shorter", 5 * time.Second, 600 * time.Millisecond, 2 * time.Second, 503, 0, 900 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			setTimeouts := func(data *table.Data, timeout time.Duration) {
				for index := range data.Routes {
					data.Routes[index].Timeout, data.Routes[index].Objective = timeout, 3*time.Second
				}
			}
			harness := newHarness(t, func(data *table.Data) { setTimeouts(data, test.before) })
			harness.addServer("a", brittleSuccess())
			harness.fill("a")
			begun := time.Now()
			done := harness.start("/once/", "id-1")
			behind := harness.start("/once/", "id-2")
			harness.adopt(func(data *table.Data) {
				data.Version = 2
				setTimeouts(data, test.after)
			})
			time.AfterFunc(time.Until(begun.Add(test.freedAfter)), func() { harness.empty("a") })
			for _, answered := range []<-chan response{done, behind} {
				got := <-answered
				require.Equal(t, test.status, got.status, got.body)
				require.GreaterOrEqual(t, time.Since(begun), test.atLeast)
				require.Less(t, time.Since(begun), test.latest)
			}
		})
	}
}

// Guards against a dial that fails at the timeout of a table that is no longer in force and costs the request its only
// server.
func TestNewTimeoutHoldsWhileAConnectionIsOpened(t *testing.T) {
	harness := newHarness(t, func(data *table.Data) {
		for index := range data.Routes {
			data.Routes[index].Timeout = 200 * time.Millisecond
		}
	})
	var dials atomic.Int64
	harness.whileDialing = func() {
		if dials.Add(1) == 1 {
			harness.adopt(func(data *table.Data) { data.Version = 2 })
			time.Sleep(300 * time.Millisecond)
		}
	}
	harness.addServer("a", respondWith(200, "ok", signed))
	got := harness.post("/once/", "x")
	require.Equal(t, 200, got.status, got.body)
}

// Guards against a request that is never sent because its connections take longer to open than a version of the table
// lasts.
func TestVersionsShorterThanADialDoNotStarveRequests(t *testing.T) {
	harness := newHarness(t, nil)
	harness.whileDialing = func() { time.Sleep(40 * time.Millisecond) }
	harness.addServer("a", respondWith(200, "ok", signed))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for version := int64(2); ; version++ {
			select {
			case <-ticker.C:
				harness.adopt(func(data *table.Data) { data.Version = version })
			case <-stop:
				return
			}
		}
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	for number := range 5 {
		got := harness.post("/once/", strconv.Itoa(number), "X-Timeout-Ms", "1000")
		require.Equal(t, 200, got.status, got.body)
	}
	require.Len(t, harness.requestsReceived(), 5)
}

// Guards against a request that is refused because new versions of the table came while its connections were being
// opened, and against one that is then sent twice.
func TestNewTablesDoNotUseUpConnections(t *testing.T) {
	harness := newHarness(t, nil)
	var dials atomic.Int64
	harness.whileDialing = func() {
		if dialed := dials.Add(1); dialed <= 6 {
			harness.adopt(func(data *table.Data) { data.Version = 1 + dialed })
		}
	}
	harness.addServer("a", respondWith(200, "ok", signed))
	for number := range 3 {
		got := harness.post("/once/", strconv.Itoa(number))
		require.Equal(t, 200, got.status, got.body)
	}
	require.Equal(t, []string{"a /once/ 0", "a /once/ 1", "a /once/ 2"}, harness.requestsReceived())
}
