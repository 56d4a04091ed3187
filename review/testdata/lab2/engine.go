package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineOptions says how an engine behaves. It is passed to its process as JSON.
type engineOptions struct {
	ID, Address string
	// BornMs is the start of the process in Unix milliseconds.
	BornMs int64
	// IsModel is set for a model engine, which answers /-/report.
	IsModel bool
	// Slots is the number of requests that run at once, Queue the number that may wait.
	Slots, Queue int
	// WorkMs is how long a request runs until its answer begins.
	WorkMs int
	// BodyBytes is the length of an answer that is no stream. It is written in two halves, HalfMs apart.
	BodyBytes, HalfMs int
	// Unframed: answers have neither a length nor chunks and end with their connection; with Events, streams alone.
	Unframed bool
	// Events is the number of events of a stream, GapMs the time between them, and Step the step between
	// their IDs: the number of tokens generated so far.
	Events, GapMs, Step int
	// BrittleFromMs is when the brittle time of the service begins, in Unix milliseconds; 0: never. Brittle is
	// the number of requests that the engine may turn away within a second, and BrittleQueue the number that
	// may wait from contact_ms later.
	BrittleFromMs         int64
	Brittle, BrittleQueue int
}

// contactTime is contact_ms of the settings.
const contactTime = 3 * time.Second

// engine is a stand-in of a backend server. It runs as a process of its own.
type engine struct {
	engineOptions
	slots chan struct{}
	mutex sync.Mutex
	// waiting and running are the requests that wait and that run.
	waiting, running int
	// breaksNext: the next answer that is no stream is broken off in its middle.
	breaksNext bool
	// refusedAt holds the times of the latest requests that were turned away.
	refusedAt []time.Time
}

// runEngine serves until the process is killed.
func runEngine(encoded string) error {
	served := &engine{}
	if err := json.Unmarshal([]byte(encoded), &served.engineOptions); err != nil {
		return err
	}
	served.slots = make(chan struct{}, served.Slots)
	go served.awaitSignals()
	listener, err := net.Listen("tcp4", served.Address)
	if err != nil {
		return err
	}
	fmt.Println(time.Now().UnixNano(), "started", served.ID)
	server := &http.Server{Handler: served, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	return server.Serve(listener)
}

// note writes a line of the record.
func (engine *engine) note(event, id string, detail ...any) {
	line := fmt.Sprintln(append([]any{time.Now().UnixNano(), event, engine.ID, id}, detail...)...)
	_, _ = os.Stdout.WriteString(line)
}

// ServeHTTP implements http.Handler.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(wire("request_id"))
	writer.Header()["Date"] = nil
	if id != "" {
		writer.Header().Set(wire("request_id"), id)
	}
	if engine.brittleFor() >= 0 {
		writer.Header().Set(wire("server_brittle"), strconv.Itoa(engine.Brittle))
	}
	if request.URL.Path == wire("report_path") && engine.IsModel {
		engine.serveReport(writer)
		return
	}
	if expected := request.Header.Get(wire("expect_instance")); expected != "" && expected != engine.ID {
		writer.Header().Set(wire("instance_id"), engine.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id != "" {
		engine.note("reached", id)
	}
	if !engine.admit(request.Context()) {
		engine.noteRefused(id)
		writer.Header().Set(wire("not_executed"), "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer engine.leave()
	if request.URL.Path == "/healthz" {
		writer.Header().Set(wire("instance_id"), engine.ID)
		return
	}
	engine.run(writer, request, id)
}

// admit waits for a slot. It returns false if too many wait, or the caller has left.
func (engine *engine) admit(ctx context.Context) bool {
	select {
	case engine.slots <- struct{}{}:
		engine.count(0, 1)
		return true
	default:
	}
	if !engine.count(1, 0) {
		return false
	}
	defer engine.count(-1, 0)
	select {
	case engine.slots <- struct{}{}:
		engine.count(0, 1)
		return true
	case <-ctx.Done():
		return false
	}
}

// count changes the numbers of requests. It returns false if the queue is full.
func (engine *engine) count(waiting, running int) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	queue := engine.Queue
	if engine.brittleFor() >= contactTime {
		queue = engine.BrittleQueue
	}
	if waiting > 0 && engine.waiting >= queue {
		return false
	}
	engine.waiting += waiting
	engine.running += running
	return true
}

// brittleFor returns for how long the service has been brittle; negative: it is not.
func (engine *engine) brittleFor() time.Duration {
	if engine.BrittleFromMs == 0 {
		return -1
	}
	return time.Since(time.UnixMilli(engine.BrittleFromMs))
}

// noteRefused counts a request that was turned away. A brittle engine that turns too many away within a second
// falls over.
func (engine *engine) noteRefused(id string) {
	engine.note("refuses", id)
	if engine.brittleFor() < 0 {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.refusedAt = slices.DeleteFunc(append(engine.refusedAt, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	if len(engine.refusedAt) > engine.Brittle {
		engine.note("falls", id)
		os.Exit(exitBroken)
	}
}

// leave gives a slot back.
func (engine *engine) leave() {
	<-engine.slots
	engine.count(0, -1)
}

func (engine *engine) serveReport(writer http.ResponseWriter) {
	engine.mutex.Lock()
	active, queued := engine.running, engine.waiting
	engine.mutex.Unlock()
	answer(writer, http.StatusOK, map[string]any{
		"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq_no": 1,
		"queued": queued, "active": active, "kv_used": 0, "kv_total": 300000, "kv_handles": 0, "born": engine.BornMs,
	})
}

// run runs a request.
func (engine *engine) run(writer http.ResponseWriter, request *http.Request, id string) {
	engine.note("runs", id, "after", request.Header.Get(wire("last_event_id")))
	defer engine.note("ended", id)
	select {
	case <-time.After(time.Duration(engine.WorkMs) * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	switch {
	case engine.Events > 0 && !strings.Contains(request.URL.Path, "/lookup/"):
		engine.stream(writer, request, id)
	case engine.mustBreak():
		engine.breakOff(writer, id)
	case engine.Unframed && engine.Events == 0:
		engine.writeUnframed(writer, id)
	default:
		engine.note("plain", id)
		body := bodyOf(id, engine.BodyBytes)
		writer.Header().Set(wire("engine_signature"), signature(engine.ID, body))
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body)
	}
}

// awaitSignals makes the engine break off one answer after each SIGUSR1.
func (engine *engine) awaitSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		engine.mutex.Lock()
		engine.breaksNext = true
		engine.mutex.Unlock()
	}
}

// mustBreak reports whether an answer is the one to break off.
func (engine *engine) mustBreak() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	breaks := engine.breaksNext
	engine.breaksNext = false
	return breaks
}

// breakOff writes half of an answer with a length, and closes the connection in order.
func (engine *engine) breakOff(writer http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	engine.note("breaks", id)
	body := bodyOf(id, engine.BodyBytes)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		wire("request_id"), id, wire("engine_signature"), signature(engine.ID, body), len(body), body[:len(body)/2])
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, length int) []byte {
	line := "answer to " + id + "\n"
	return []byte(strings.Repeat(line, 1+length/len(line)))
}

// signature returns the signature of a body, from which a consumer sees whether it has all of it.
func signature(engineID string, body []byte) string {
	return fmt.Sprintf("%s.%d.%08x", engineID, len(body), crc32.ChecksumIEEE(body))
}

// isWhole reports whether a body is the one that a signature was made for.
func isWhole(signed string, body []byte) bool {
	_, figures, found := strings.Cut(signed, ".")
	return found && figures == fmt.Sprintf("%d.%08x", len(body), crc32.ChecksumIEEE(body))
}

// writeUnframed writes an answer that ends with its connection.
func (engine *engine) writeUnframed(writer http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := bodyOf(id, engine.BodyBytes)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		wire("request_id"), id, wire("engine_signature"), signature(engine.ID, body))
	_, _ = conn.Write(append([]byte(head), body[:len(body)/2]...))
	engine.note("half", id)
	time.Sleep(time.Duration(engine.HalfMs) * time.Millisecond)
	_, _ = conn.Write(body[len(body)/2:])
}

// stream writes the events after the last one that the caller has.
func (engine *engine) stream(writer http.ResponseWriter, request *http.Request, id string) {
	last, _ := strconv.Atoi(request.Header.Get(wire("last_event_id")))
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(wire("engine_signature"), engine.ID+".stream")
	if engine.Unframed {
		// net/http then sends neither a length nor chunks, and closes the connection at the end.
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	for number := 1; number <= engine.Events; number++ {
		eventID := number * engine.Step
		if eventID <= last {
			continue
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: tokens up to %d\n\n", eventID, eventID); err != nil {
			return
		}
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
		engine.note("event", id, eventID)
		if number == engine.Events {
			return
		}
		select {
		case <-time.After(time.Duration(engine.GapMs) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
}
