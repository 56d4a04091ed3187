package front_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

// storm puts a new version of the table in force every interval, until it is stopped. Each moves the routes to another
// service and changes their timeouts; if drops is set, some have no routes for an interval.
type storm struct {
	interval time.Duration
	drops    bool
}

func (storm storm) run(harness *harness, stop <-chan struct{}) {
	ticker := time.NewTicker(storm.interval)
	defer ticker.Stop()
	for version := int64(2); ; version++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		harness.adopt(func(data *table.Data) {
			data.Version, data.Services = version, append(data.Services, table.Service{Name: "others", HealthPath: "/health"})
			if storm.drops && version%5 == 0 {
				data.Routes = nil
			}
			for index := range data.Routes {
				data.Routes[index].Targets = []table.Target{{Service: []string{"engines", "others"}[version%2], Weight: 1}}
				data.Routes[index].Timeout = []time.Duration{4 * time.Second, 10 * time.Second, time.Minute}[version%3]
			}
		})
	}
}

// stormPlay is a storm with callers and servers.
type stormPlay struct {
	harness *harness
	mutex   sync.Mutex
	// statuses counts the responses by status, and faults holds what must not happen.
	statuses map[int]int
	faults   []string
}

func newStormPlay(t *testing.T) *stormPlay {
	play := &stormPlay{harness: newHarness(t, nil), statuses: map[int]int{}}
	play.harness.whileDialing = func() { time.Sleep(15 * time.Millisecond) }
	respond := func(request *http.Request, conn net.Conn) {
		time.Sleep(30 * time.Millisecond)
		respondWith(200, "ok "+request.Header.Get("X-Id"), signed)(request, conn)
	}
	for _, id := range []string{"a", "b"} {
		play.harness.addServer(id, respond)
		play.harness.addServerOf("others", "other "+id, respond)
	}
	return play
}

// call sends a request and records what came of it.
func (play *stormPlay) call(number int) {
	path, id := []string{"/once/", "/safe/"}[number%2], fmt.Sprint("id-", number)
	begun := time.Now()
	got := play.harness.post(path, "body "+id+".", "X-Id", id, "X-Timeout-Ms", "3000")
	sent := 0
	for _, line := range play.harness.requestsReceived() {
		if strings.HasSuffix(line, "body "+id+".") {
			sent++
		}
	}
	isServed := got.status == 200 && got.body == "ok "+id
	play.mutex.Lock()
	defer play.mutex.Unlock()
	play.statuses[got.status]++
	if got.err != nil || sent != map[bool]int{true: 1}[isServed] || time.Since(begun) > 3*time.Second {
		play.faults = append(play.faults, fmt.Sprintf("%s: %d %q %v after %v, sent %d times", id, got.status, got.body, got.err, time.Since(begun), sent))
	}
}

// run sends requests during a storm.
func (play *stormPlay) run(storm storm) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		storm.run(play.harness, stop)
	}()
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 73))
	for number := range 300 {
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		group.Go(func() { play.call(number) })
	}
	group.Wait()
	close(stop)
	<-stopped
}

// Guards against requests that are lost, sent twice, refused though they have run, or starved while new versions of the table
// come all the time.
func TestStormOfTablesLosesNoRequest(t *testing.T) {
	for _, storm := range []storm{{5 * time.Millisecond, false}, {20 * time.Millisecond, false}, {20 * time.Millisecond, true}, {200 * time.Millisecond, true}} {
		t.Run(fmt.Sprintf("%v drops %v", storm.interval, storm.drops), func(t *testing.T) {
			t.Parallel()
			play := newStormPlay(t)
			play.run(storm)
			require.Empty(t, play.faults)
			require.Greater(t, play.statuses[200], 200)
			for status := range play.statuses {
				require.True(t, status == 200 || storm.drops && status == http.StatusNotFound, "statuses %v", play.statuses)
			}
		})
	}
}
