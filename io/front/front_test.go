package front_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/fresh"
	"primrosegw/core/pick"
	"primrosegw/core/poison"
	"primrosegw/core/retry"
	"primrosegw/core/table"
	"primrosegw/io/front"
	"primrosegw/io/meter"
	"primrosegw/io/pipe"
)

// wire is a protocol of the tests.
type wire struct{}

func (wire) Caller(header http.Header) (front.Caller, error) {
	patience, _ := strconv.Atoi(header.Get("X-Patience-Ms"))
	return front.Caller{ID: header.Get("X-Id"), Key: header.Get("X-Key"), Patience: time.Duration(patience) * time.Millisecond}, nil
}

func (wire) Forward(caller http.Header, order front.Order) http.Header {
	header := caller.Clone()
	header.Del("X-Key")
	header.Set("X-Left-Ms", strconv.FormatInt(order.Left.Milliseconds(), 10))
	header.Set("X-Workspace", order.Workspace)
	if order.LastEvent != "" {
		header.Set("X-Last", order.LastEvent)
	}
	return header
}

func (wire) Head(status int, header http.Header) front.Head {
	return front.Head{ID: header.Get("X-Id"), Signed: header.Get("X-Signed") != "", NotRun: header.Get("X-Not-Run") != "" || status == 421}
}

func (wire) RetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

type noMeter struct{}

func (noMeter) Ended(meter.End) {}

// world is a host with backend servers that follow scripts.
type world struct {
	t      *testing.T
	table  *table.Current
	fleet  *fleet.Fleet
	proof  *fresh.Proof
	front  *front.Front
	server *httptest.Server
	log    *lockedBuffer
	// now is the clock of the proof, which was given at 1.
	now atomic.Int64

	mutex    sync.Mutex
	arrivals []string
}

type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (buffer *lockedBuffer) Write(data []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.buffer.Write(data)
}

func (buffer *lockedBuffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.buffer.String()
}

func newWorld(t *testing.T, change func(*table.Data)) *world {
	t.Helper()
	world := &world{t: t, table: &table.Current{}, fleet: fleet.New(), proof: fresh.New(time.Minute), log: &lockedBuffer{}}
	target := []table.Target{{Service: "engines", Weight: 1}}
	route := func(name string, kind table.Kind, resumable bool) table.Route {
		return table.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 10 * time.Second, MaxAttempts: 2,
			Objective: time.Second, Targets: target, Resumable: resumable,
		}
	}
	data := table.Data{
		Version: 1, Services: []table.Service{{Name: "engines"}},
		Routes: []table.Route{
			route("once", table.Once, false), route("safe", table.Idempotent, false),
			route("stream", table.Stream, false), route("resume", table.Stream, true),
		},
		Workspaces: []table.Workspace{{Name: "space", Keys: []string{"key"}}},
		Limits:     table.Limits{BodyBytes: 1 << 20},
	}
	if change != nil {
		change(&data)
	}
	built, err := table.New(data)
	require.NoError(t, err)
	world.table.Adopt(built)
	world.proof.Confirm(1)
	world.front = front.New(front.Options{
		Wire: wire{}, Table: world.table, Proof: world.proof, Now: func() fresh.Instant { return fresh.Instant(world.now.Load()) }, Fleet: world.fleet,
		Pool: pipe.New(pipe.Options{}), Budget: retry.NewBudgets(0.2, 10), Witness: poison.NewWitness(poison.New(poison.Options{RefusedFrom: 3})), Pick: pick.Options{TokensPerMs: 50},
		Connections: func(limit int) int { return limit }, Logger: event.New(world.log, "host", 4, nil), Meter: noMeter{},
	})
	world.server = httptest.NewServer(world.front)
	t.Cleanup(world.server.Close)
	return world
}

// script answers one request on a connection.
type script func(request *http.Request, conn net.Conn)

// engine adds a backend server that answers each request by the script.
func (world *world) engine(id string, answer script) net.Listener {
	world.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(world.t, err)
	world.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go world.converse(id, conn, answer)
		}
	}()
	world.fleet.Put(fleet.Server{ID: id, Service: "engines", Address: listener.Addr().String()})
	return listener
}

func (world *world) converse(id string, conn net.Conn, answer script) {
	defer conn.Close()
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
		request.Body = io.NopCloser(bytes.NewReader(body))
		world.mutex.Lock()
		world.arrivals = append(world.arrivals, id+" "+request.RequestURI+" "+string(body))
		world.mutex.Unlock()
		answer(request, conn)
	}
}

func (world *world) arrived() []string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]string{}, world.arrivals...)
}

// whole answers with a status and a body of known length.
func whole(status int, body string, headers ...string) script {
	return func(request *http.Request, conn net.Conn) {
		write(conn, status, request.Header.Get("X-Id"), append(headers, "Content-Length: "+strconv.Itoa(len(body))), body)
	}
}

func write(conn net.Conn, status int, id string, headers []string, body string) {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " Status\r\nX-Id: " + id + "\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	_, _ = conn.Write([]byte(text + "\r\n" + body))
}

const signed = "X-Signed: yes"

// reset closes a connection without an answer.
func reset(_ *http.Request, conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// first answers by one script once and by another from then on.
func first(one, other script) script {
	var mutex sync.Mutex
	used := false
	return func(request *http.Request, conn net.Conn) {
		mutex.Lock()
		next := one
		if used {
			next = other
		}
		used = true
		mutex.Unlock()
		next(request, conn)
	}
}

type answer struct {
	status int
	header http.Header
	body   string
	// closes: the host closes the connection after the answer.
	closes bool
	err    error
}

// ask sends a request as a caller does.
func (world *world) ask(path, body string, headers ...string) answer {
	world.t.Helper()
	request, err := http.NewRequestWithContext(world.t.Context(), http.MethodPost, world.server.URL+path, strings.NewReader(body))
	require.NoError(world.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Key", "key")
	request.Header.Set("X-Patience-Ms", "5000")
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(content), response.Close, err}
}
