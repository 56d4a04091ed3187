package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	shortTimeout   = 1500
	longTimeout    = 5000
	callerPatience = longTimeout * time.Millisecond
	pieceGap       = 200 * time.Millisecond
	// reportLag is how old what an engine reports of its runs is.
	reportLag = 300 * time.Millisecond
)

// runEvents holds when the events of a run were made, and when it ended.
type runEvents struct {
	madeAt  []time.Time
	endedAt time.Time
}

// runList is what an engine knows of its runs.
type runList struct {
	mutex sync.Mutex
	runs  map[string]*runEvents
}

// timeLimit is the state of the case with a time limit that the operator shortens.
type timeLimit struct {
	world      *world
	mutex      sync.Mutex
	violations []string
	whole      int
	brokenOff  int
}

/*
shorterTimeout: the operator shortens the timeout of a route of streams. Some of them last longer than that, and the
engines stop work at the time limit that they are given. Their answers end with their connections. No such stream may end
as complete before its last event.
*/
func shorterTimeout(world *world) ([]string, error) {
	play := &timeLimit{world: world}
	routes := func(timeout float64) []map[string]any {
		return []map[string]any{route("r-1", "/lohu930/", "streaming", "huvo11a", 1, timeout, false)}
	}
	world.store.put(wire("config_key"), config(7, routes(longTimeout), "kept-key"))
	for range 4 {
		made, err := world.addEngine("huvo11a", "v1", true)
		if err != nil {
			return nil, err
		}
		list := &runList{runs: map[string]*runEvents{}}
		made.runs = list.report
		made.handle = func(writer http.ResponseWriter, request *http.Request, _ []byte) bool {
			play.answer(made, list, writer, request)
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
	if world.trouble {
		world.store.put(wire("config_key"), config(9, routes(shortTimeout), "kept-key"))
		world.record.note("the store confirms version 9: timeout_ms of r-1 is %d in place of %d", shortTimeout, longTimeout)
	}
	time.Sleep(applyTime)
	var group sync.WaitGroup
	for number := range 12 {
		group.Go(func() {
			for round := range 4 {
				// 4 to 11 events, 0.6 to 2 s long.
				play.read(world.hosts[number%len(world.hosts)], 4+(number+3*round)%8)
			}
		})
	}
	group.Wait()
	world.record.note("%d streams were whole, %d were broken off, %d ended as complete before their last event", play.whole, play.brokenOff, len(play.violations))
	return play.violations, nil
}

// answer writes a stream that ends with its connection, and stops work at the time limit that the request names.
func (play *timeLimit) answer(made *engine, list *runList, writer http.ResponseWriter, request *http.Request) {
	id, header := request.Header.Get(wire("request_id")), writer.Header()
	limit, _ := strconv.Atoi(request.Header.Get(wire("deadline_ms")))
	stopAt := time.Now().Add(time.Duration(limit) * time.Millisecond)
	events, _ := strconv.Atoi(request.Header.Get("Length-Hint"))
	header.Set("Content-Type", "text/event-stream")
	header.Set(wire("engine_signature"), "s."+id)
	// net/http then sends neither a length nor chunks, and closes the connection at the end.
	header.Set("Transfer-Encoding", "identity")
	run := list.begin(id)
	defer list.end(run)
	for number := 1; number <= events; number++ {
		if number > 1 && time.Now().Add(pieceGap).After(stopAt) {
			time.Sleep(time.Until(stopAt))
			play.world.record.note("engine %s stops %s at its time limit of %d ms, after event %d of %d", made.id, id, limit, number-1, events)
			return
		}
		if number > 1 {
			time.Sleep(pieceGap)
		}
		list.made(run)
		stream(writer, number, number, 0)
	}
	play.world.record.note("engine %s has written all of %s", made.id, id)
}

// read reads a stream to its end and judges it.
func (play *timeLimit) read(host *gatewayHost, events int) {
	header := http.Header{"Model": {"m"}, wire("token_usage"): {"100,60"}, "Length-Hint": {strconv.Itoa(events)}, wire("prefix_hash"): {fmt.Sprintf("5c1e07a2:60,%x:40", time.Now().UnixNano())}}
	call := send(play.world.record, host.frontend, http.MethodPost, "/lohu930/2f", "kept-key", callerPatience, "what is this", header)
	got := countEvents(call.body)
	play.mutex.Lock()
	defer play.mutex.Unlock()
	switch {
	case call.status != http.StatusOK || call.err != nil:
		play.brokenOff++
	case got == events:
		play.whole++
	default:
		play.violations = append(play.violations, fmt.Sprintf("%s at %s ended as complete with %d of its %d events after %d ms; the consumer would have waited for %d ms", call.id, call.host, got, events, call.took.Milliseconds(), callerPatience.Milliseconds()))
	}
}

func (list *runList) begin(id string) *runEvents {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	run := &runEvents{}
	list.runs[id] = run
	return run
}

func (list *runList) made(run *runEvents) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	run.madeAt = append(run.madeAt, time.Now())
}

func (list *runList) end(run *runEvents) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	run.endedAt = time.Now()
}

// report lists the runs as of reportLag ago: ID, tokens in memory, events made, priority.
func (list *runList) report() []any {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	rows, asOf := []any{}, time.Now().Add(-reportLag)
	for id, run := range list.runs {
		made := 0
		for _, at := range run.madeAt {
			if at.Before(asOf) {
				made++
			}
		}
		if made > 0 && (run.endedAt.IsZero() || run.endedAt.After(asOf)) {
			rows = append(rows, []any{id, 100 + made, made, 5})
		}
	}
	return rows
}

// encodeReport returns the answer to a question for the report.
func (engine *engine) encodeReport() []byte {
	runs := []any{}
	if engine.runs != nil {
		runs = engine.runs()
	}
	body, _ := json.Marshal(map[string]any{
		"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq_no": 1,
		"queued": 0, "active": len(runs), "kv_used": 0, "kv_total": 400000, "kv_handles": 0, "born": engine.started.UnixMilli(), "runs": runs,
	})
	return body
}
