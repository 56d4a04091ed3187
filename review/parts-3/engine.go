package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// engine is a backend server with one process at a time.
type engine struct {
	store             *platformStore
	record            *record
	id, service, zone string
	version           string
	address           string
	isModel           bool
	started           time.Time
	sequence          atomic.Int64
	state             atomic.Value
	server            *http.Server
	stopBeat          context.CancelFunc
	// handle answers a request in place of the usual answer; it returns false for the usual one. May be nil.
	handle func(writer http.ResponseWriter, request *http.Request, body []byte) bool
	// runs lists the runs for the report; nil: none are listed.
	runs func() []any
	work time.Duration
}

// entry is what the engine says of itself in the store.
func (engine *engine) entry() map[string]any {
	return map[string]any{
		"service": engine.service, "address": engine.address, "zone": engine.zone, "version": engine.version, "slots": 64,
		"state": engine.state.Load(), "cold_left_ms": 0, "phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"seq_no": engine.sequence.Add(1), "born": engine.started.UnixMilli(),
	}
}

// announce writes the entry.
func (engine *engine) announce() bool { return engine.store.put("servers/"+engine.id, engine.entry()) }

// start begins a process of the engine.
func (engine *engine) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	engine.address, engine.started = listener.Addr().String(), time.Now()
	engine.sequence.Store(0)
	engine.state.Store("ready")
	engine.server = &http.Server{Handler: http.HandlerFunc(engine.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = engine.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	engine.stopBeat = cancel
	go engine.beat(ctx)
	return nil
}

func (engine *engine) beat(ctx context.Context) {
	written := engine.announce()
	for ctx.Err() == nil {
		wait := heartbeat
		if !written {
			wait = 200 * time.Millisecond
		}
		select {
		case <-time.After(wait):
			written = engine.announce()
		case <-ctx.Done():
		}
	}
}

// serve answers a request.
func (engine *engine) serve(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header["Date"] = nil
	switch {
	case engine.isModel && request.URL.Path == wire("report_path"):
		header.Set("Content-Type", "application/json")
		_, _ = writer.Write(engine.encodeReport())
		return
	case request.URL.Path == "/healthz":
		header.Set("Instance-Id", engine.id)
		header.Set(wire("engine_load"), "0,0,64")
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(wire("request_id"))
	header.Set(wire("request_id"), id)
	if expected := request.Header.Get(wire("expect_instance")); expected != "" && expected != engine.id {
		header.Set("Instance-Id", engine.id)
		header.Set(wire("not_executed"), "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	engine.record.run(id, engine, request)
	if engine.handle != nil && engine.handle(writer, request, body) {
		return
	}
	time.Sleep(engine.work)
	header.Set(wire("engine_signature"), "s."+id)
	header.Set(wire("engine_load"), "1,0,64")
	content := bytes.Repeat([]byte("x"), 400)
	header.Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = writer.Write(content)
}

// stream writes events with increasing IDs.
func stream(writer http.ResponseWriter, from, to int, gap time.Duration) {
	for number := from; number <= to; number++ {
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(gap)
	}
}

// countEvents returns the number of whole events.
func countEvents(body string) int { return strings.Count(body, "\n\n") }
