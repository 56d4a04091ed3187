package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	eventsOfRun   = 5
	eventGap      = 200 * time.Millisecond
	streamers     = 12
	breakAfter    = 2 * time.Second
	hangupAfter   = 12 * time.Second
	streamsLast   = 17 * time.Second
	streamPatient = 6 * time.Second
)

// cutStream is the state of the case with one stream that an engine breaks off.
type cutStream struct {
	world *world
	// mustBreak is set while an engine is to break off its next stream; brokenAt and hangupAt are Unix nanoseconds.
	mustBreak          atomic.Bool
	brokenAt, hangupAt atomic.Int64
	mutex              sync.Mutex
	violations         []string
	whole, lost        int
}

/*
oneCutStream: the engines of a service send streams that end with their connection. One engine breaks off one stream
inside an event, closes that connection in order, and runs on. Ten seconds later the hosts get SIGHUP. No stream that
was passed on may end without a complete answer then.
*/
func oneCutStream(world *world) ([]string, error) {
	routes := []map[string]any{route("r-1", "/raxo777/", "streaming", "huvo11a", 2, 8000, false)}
	world.store.put(wire("config_key"), config(7, routes, "kept-key"))
	play := &cutStream{world: world}
	for range 4 {
		made, err := world.addEngine("huvo11a", "v1", true)
		if err != nil {
			return nil, err
		}
		made.handle = func(writer http.ResponseWriter, request *http.Request, _ []byte) bool {
			play.answer(made, writer, request.Header.Get(wire("request_id")))
			return true
		}
	}
	if err := world.addHosts(3); err != nil {
		return nil, err
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var group sync.WaitGroup
	for number := range streamers {
		group.Go(func() {
			for time.Since(began) < streamsLast {
				play.read(world.hosts[number%len(world.hosts)])
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(began.Add(breakAfter)))
	play.mustBreak.Store(world.trouble)
	time.Sleep(time.Until(began.Add(hangupAfter)))
	if world.trouble && play.brokenAt.Load() == 0 {
		return nil, fmt.Errorf("no stream was broken off")
	}
	play.hangupAt.Store(time.Now().UnixNano())
	for _, host := range world.hosts {
		host.signal(syscall.SIGHUP)
		world.record.note("%s gets SIGHUP", host.name)
	}
	group.Wait()
	world.record.note("%d streams were whole; %d lost their end later than contact_ms after the broken stream, of which %d around SIGHUP", play.whole, play.lost, len(play.violations))
	return play.violations, nil
}

// answer writes a stream that ends with its connection, or breaks it off inside its third event.
func (play *cutStream) answer(made *engine, writer http.ResponseWriter, id string) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(wire("engine_signature"), "s."+id)
	// net/http then sends neither a length nor chunks, and closes the connection at the end.
	header.Set("Transfer-Encoding", "identity")
	stream(writer, 1, 2, eventGap)
	if play.mustBreak.CompareAndSwap(true, false) {
		fmt.Fprint(writer, "id: 3\nda")
		_ = http.NewResponseController(writer).Flush()
		play.brokenAt.Store(time.Now().UnixNano())
		play.world.record.note("engine %s breaks off %s inside its third event, and runs on", made.id, id)
		return
	}
	stream(writer, 3, eventsOfRun, eventGap)
	play.world.record.note("engine %s has written all of %s", made.id, id)
}

// read reads a stream to its end and judges it.
func (play *cutStream) read(host *gatewayHost) {
	header := http.Header{"Model": {"m"}, wire("token_usage"): {"100,25"}, wire("prefix_hash"): {fmt.Sprintf("5c1e07a2:60,%x:40", time.Now().UnixNano())}}
	call := send(play.world.record, host.frontend, http.MethodPost, "/raxo777/2f", "kept-key", streamPatient, "what is this", header)
	ended := time.Now()
	events := countEvents(call.body)
	broken, hangup := play.brokenAt.Load(), play.hangupAt.Load()
	play.mutex.Lock()
	defer play.mutex.Unlock()
	switch {
	case call.status == http.StatusOK && events == eventsOfRun && call.err == nil:
		play.whole++
	case events < eventsOfRun || broken == 0 || call.at.UnixNano()-broken < contactTime.Nanoseconds():
	default:
		play.lost++
		isAround := hangup > 0 && ended.UnixNano() > hangup && call.at.UnixNano()-hangup < applyTime.Nanoseconds()
		if isAround {
			play.violations = append(play.violations, fmt.Sprintf("%s at %s has all %d events, and no end of the answer (%v), %d ms after SIGHUP", call.id, call.host, events, call.err, (ended.UnixNano()-hangup)/1e6))
		}
	}
}
