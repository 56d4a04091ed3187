package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/poison"
)

// darkServer is a server that goes silent when it gets a request that makes it go dark.
type darkServer struct {
	process int
	// until is when its next process registers; zero: it is not dark.
	until time.Time
	// waiting holds the requests that it has not answered.
	waiting []darkRequest
}

// darkRequest is a request of a host that waits for its deadline.
type darkRequest struct {
	host     int
	features []uint64
	sentAt   time.Time
}

// darkStorm plays a request that makes servers go dark and comes again, beside sound ones.
type darkStorm struct {
	*cluster
	random   *rand.Rand
	servers  []darkServer
	darkTime time.Duration
	// refusing is set if hosts see a refused connection when a server is back.
	refusing bool
	dark     []uint64
	unique   uint64
	reached  []time.Time
	third    time.Time
	refused  int
}

func (storm *darkStorm) process(server int) string {
	return fmt.Sprint("server-", server, "/", storm.servers[server].process)
}

// send sends a request to a random server, which answers at once unless it is dark.
func (storm *darkStorm) send(isDark bool) {
	host, at := storm.random.IntN(len(storm.hosts)), storm.random.IntN(len(storm.servers))
	server, detector := &storm.servers[at], storm.hosts[host]
	storm.unique++
	features := poison.Features(1_000_000+storm.unique, []uint64{firstPart, 3000 + storm.random.Uint64N(20)})
	if isDark {
		features = storm.dark
	}
	if detector.Refuses(features, storm.now) {
		if !isDark {
			storm.refused++
		}
		return
	}
	if isDark {
		storm.reached = append(storm.reached, storm.now)
		if server.until.IsZero() {
			storm.crashes++
			server.until = storm.now.Add(storm.darkTime)
			if storm.crashes == 3 {
				storm.third = storm.now
			}
		}
	}
	if !server.until.IsZero() {
		server.waiting = append(server.waiting, darkRequest{host: host, features: features, sentAt: storm.now})
		return
	}
	detector.ObserveAlive(storm.process(at), storm.now)
	detector.ObserveCompletion(features, storm.now)
}

// advanceServers lets deadlines of 3 s pass, and servers return.
func (storm *darkStorm) advanceServers() {
	const deadline = 3 * time.Second
	for at := range storm.servers {
		server, process := &storm.servers[at], storm.process(at)
		isBack := !server.until.IsZero() && !storm.now.Before(server.until)
		var waiting []darkRequest
		for _, request := range server.waiting {
			switch detector := storm.hosts[request.host]; {
			case storm.now.Sub(request.sentAt) >= deadline:
				detector.ObserveUnanswered(process, request.features, request.sentAt, storm.now)
			case isBack:
				detector.ObserveBrokenResponse(process, request.features, request.sentAt, storm.now)
				if storm.refusing {
					detector.ObserveConnectionFailure(process, storm.now)
				}
			default:
				waiting = append(waiting, request)
			}
		}
		server.waiting = waiting
		if !isBack {
			continue
		}
		for _, detector := range storm.hosts {
			detector.ObserveProcessEnd(process, storm.now)
		}
		server.process++
		server.until = time.Time{}
	}
}

// Guards against a request that makes one server after another go dark, for any time of silence,
// with and without refused connections at its end; and against blaming the requests beside it.
func TestRequestThatMakesServersGoDarkIsRefused(t *testing.T) {
	const step, between, contact = 50 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second
	for _, darkTime := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, 5970 * time.Millisecond} {
		for _, refusing := range []bool{false, true} {
			for seed := range uint64(20) {
				storm := &darkStorm{
					cluster: newCluster(t, 3), random: rand.New(rand.NewPCG(seed, 1)), servers: make([]darkServer, 9),
					darkTime: darkTime, refusing: refusing, dark: poison.Features(7, []uint64{firstPart, badPart}),
				}
				for tick := range int(40 * time.Second / step) {
					if tick%int(between/step) == 0 {
						storm.send(true)
					}
					storm.send(false)
					storm.send(false)
					storm.advanceServers()
					storm.advance(step)
				}
				name := fmt.Sprintf("dark for %s, refusing %t, seed %d", darkTime, refusing, seed)
				late := 0
				for _, at := range storm.reached {
					if at.After(storm.third.Add(contact)) {
						late++
					}
				}
				require.GreaterOrEqual(t, storm.crashes, 3, name)
				require.LessOrEqual(t, late, 3, name)
				require.Zero(t, storm.refused, "%s: sound requests refused", name)
			}
		}
	}
}

// Guards against blaming requests that waited at servers which went dark together.
func TestServersThatGoDarkTogetherBlameNoRequest(t *testing.T) {
	detector, now := newDetector(), time.Now()
	for server := range 6 {
		process := fmt.Sprint("server-", server)
		sentAt := now.Add(time.Duration(server) * time.Second)
		detector.ObserveUnanswered(process, poison.Features(uint64(server+1), []uint64{soundPart}), sentAt, now.Add(8*time.Second))
	}
	for server := range 6 {
		detector.ObserveProcessEnd(fmt.Sprint("server-", server), now.Add(9*time.Second+time.Duration(server)*20*time.Millisecond))
	}
	detector.Advance(now.Add(10 * time.Second))
	require.False(t, detector.Refuses([]uint64{soundPart, 1000}, now.Add(10*time.Second)))
}

// Guards against blaming requests whose callers left, when their servers have answered others since,
// or start again much later.
func TestServerThatAnswersAfterARequestDoesNotBlameIt(t *testing.T) {
	detector, now := newDetector(), time.Now()
	for _, process := range []string{"a", "b", "c", "d"} {
		detector.ObserveUnanswered(process, []uint64{7}, now, now.Add(time.Second))
		detector.ObserveAlive(process, now.Add(2*time.Second))
		require.Zero(t, detector.ObserveProcessEnd(process, now.Add(3*time.Second)))
		now = now.Add(5 * time.Second)
	}
	detector.ObserveUnanswered("e", []uint64{7}, now, now.Add(time.Second))
	require.Zero(t, detector.ObserveProcessEnd("e", now.Add(time.Minute)))
	require.False(t, detector.HasSuspects())
}
