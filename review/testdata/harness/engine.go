package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that an engine got.
type arrival struct {
	engine, version, id, key, lastEvent, path string
	at                                        time.Time
}

// engine is a stand-in of an engine. It registers itself in the store.
type engine struct {
	id, service, zone, version, address string
	slots                               int
	born                                int64
	store                               *platformStore
	listener                            net.Listener
	serve                               func(engine *engine, conn net.Conn, request *http.Request, body []byte) bool

	mutex    sync.Mutex
	seq      int64
	state    string
	silent   bool
	conns    map[net.Conn]bool
	arrivals []arrival
	ended    chan struct{}
}

// newEngine starts an engine.
func newEngine(store *platformStore, id, service, version string, slots int, serve func(*engine, net.Conn, *http.Request, []byte) bool) *engine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	fatalIf(err)
	one := &engine{
		id: id, service: service, zone: "bilbao-a", version: version, address: listener.Addr().String(), slots: slots,
		born: time.Now().UnixMilli(), store: store, listener: listener, serve: serve, state: "ready",
		conns: map[net.Conn]bool{}, ended: make(chan struct{}),
	}
	go one.accept()
	one.Register()
	go one.beat()
	return one
}

// Register writes the engine's entry and returns when the store has confirmed it.
func (engine *engine) Register() time.Time {
	engine.mutex.Lock()
	engine.seq++
	entry := map[string]any{
		"service": engine.service, "address": engine.address, "zone": engine.zone, "version": engine.version, "slots": engine.slots,
		"state": engine.state, "cold_left_ms": 0, "seq_no": engine.seq, "born": engine.born,
	}
	engine.mutex.Unlock()
	return engine.store.Put("servers/"+engine.id, entry)
}

// beat writes the entry every heartbeat_ms, unless the store is away.
func (engine *engine) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-engine.ended:
			return
		case <-ticker.C:
		}
		engine.store.mutex.Lock()
		down := engine.store.down
		engine.store.mutex.Unlock()
		engine.mutex.Lock()
		silent := engine.silent
		engine.mutex.Unlock()
		if !down && !silent {
			engine.Register()
		}
	}
}

// Drain reports that the engine is draining and returns when the store has confirmed it.
func (engine *engine) Drain() time.Time {
	engine.mutex.Lock()
	engine.state = "draining"
	engine.mutex.Unlock()
	return engine.Register()
}

// Leave ends the engine: its connections are closed and its entry is removed.
func (engine *engine) Leave() {
	close(engine.ended)
	_ = engine.listener.Close()
	engine.mutex.Lock()
	for conn := range engine.conns {
		_ = conn.Close()
	}
	engine.mutex.Unlock()
	engine.store.Remove("servers/" + engine.id)
}

// Arrivals returns the requests that the engine got.
func (engine *engine) Arrivals() []arrival {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]arrival(nil), engine.arrivals...)
}

func (engine *engine) accept() {
	for {
		conn, err := engine.listener.Accept()
		if err != nil {
			return
		}
		engine.mutex.Lock()
		engine.conns[conn] = true
		engine.mutex.Unlock()
		go engine.handle(conn)
	}
}

// handle serves the requests of one connection, one at a time.
func (engine *engine) handle(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		engine.mutex.Lock()
		delete(engine.conns, conn)
		engine.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if expected := request.Header.Get(wire("{expect instance}")); expected != "" && expected != engine.id {
			_, _ = fmt.Fprintf(conn, wire("HTTP/1.1 421 Misdirected Request\r\n{request id}: %s\r\n{not executed}: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"), request.Header.Get(wire("{request id}")), engine.id)
			continue
		}
		engine.mutex.Lock()
		engine.arrivals = append(engine.arrivals, arrival{
			engine: engine.id, version: engine.version, id: request.Header.Get(wire("{request id}")), key: request.Header.Get("Tenant"),
			lastEvent: request.Header.Get("Last-Event-Id"), path: request.URL.Path, at: time.Now(),
		})
		engine.mutex.Unlock()
		record("run: request %s at engine %s (%s), after event %q", request.Header.Get(wire("{request id}")), engine.id, engine.version, request.Header.Get("Last-Event-Id"))
		if !engine.serve(engine, conn, request, body) {
			return
		}
	}
}

// signature returns the engine's signature of an answer.
func (engine *engine) signature(id string) string {
	digest := sha256.Sum256([]byte(engine.id + "/" + id))
	return hex.EncodeToString(digest[:12])
}

// plainAnswer answers with a body after a time.
func plainAnswer(work time.Duration, size int) func(*engine, net.Conn, *http.Request, []byte) bool {
	return func(engine *engine, conn net.Conn, request *http.Request, _ []byte) bool {
		time.Sleep(work)
		return engine.answer(conn, request, strings.Repeat("x", size))
	}
}

// answer sends a whole answer with its length.
func (engine *engine) answer(conn net.Conn, request *http.Request, body string) bool {
	id := request.Header.Get(wire("{request id}"))
	_, err := io.WriteString(conn, wire("HTTP/1.1 200 OK\r\n{request id}: ")+id+wire("\r\n{engine signature}: ")+engine.signature(id)+
		"\r\nContent-Type: application/octet-stream\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// streamHead sends the headers of an event stream in chunks.
func (engine *engine) streamHead(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(wire("{request id}"))
	_, err := io.WriteString(conn, wire("HTTP/1.1 200 OK\r\n{request id}: ")+id+wire("\r\n{engine signature}: ")+engine.signature(id)+
		"\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
	return err == nil
}

// event sends one event in a chunk.
func (engine *engine) event(conn net.Conn, number int) bool {
	data := fmt.Sprintf("id: %d\ndata: %s %s token-%d\n\n", number, engine.id, engine.version, number)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}

// streamAnswer sends events at an interval, from the one after Last-Event-Id on.
func streamAnswer(first, interval time.Duration, events int) func(*engine, net.Conn, *http.Request, []byte) bool {
	return func(engine *engine, conn net.Conn, request *http.Request, _ []byte) bool {
		start, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		time.Sleep(first)
		if !engine.streamHead(conn, request) {
			return false
		}
		for number := start + 1; number <= events; number++ {
			if !engine.event(conn, number) {
				return false
			}
			time.Sleep(interval)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}
