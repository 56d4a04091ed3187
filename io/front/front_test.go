package front_test

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/budget"
	"primrosegw/core/ending"
	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/fresh"
	"primrosegw/core/idstep"
	"primrosegw/core/origin"
	"primrosegw/core/pacer"
	"primrosegw/core/pick"
	"primrosegw/core/poison"
	"primrosegw/core/reach"
	"primrosegw/core/retry"
	"primrosegw/core/room"
	"primrosegw/core/table"
	"primrosegw/core/work"
	"primrosegw/io/front"
	"primrosegw/io/meter"
	"primrosegw/io/pipe"
	"primrosegw/standin/buffer"
)

// headerCodec implements front.HeaderCodec with simple test headers.
type headerCodec struct{}

func (headerCodec) ParseRequest(header http.Header) (front.RequestInfo, error) {
	timeout, _ := strconv.Atoi(header.Get("X-Timeout-Ms"))
	info := front.RequestInfo{
		ID: header.Get("X-Id"), Key: header.Get("X-Key"), Timeout: time.Duration(timeout) * time.Millisecond,
		LastEventID: header.Get("X-Last"), Resumes: header.Get("X-Resumes"),
	}
	for name := range strings.SplitSeq(header.Get("X-Parts"), ",") {
		if name != "" {
			info.Parts = append(info.Parts, work.Part{ID: fleet.ServerHash(name)})
		}
	}
	return info, nil
}

func (headerCodec) ForwardHeader(caller http.Header, info front.ForwardInfo) http.Header {
	if caller.Get("X-Panic") != "" {
		panic("a fault of the program")
	}
	header := caller.Clone()
	header.Del("X-Key")
	header.Set("X-Left-Ms", strconv.FormatInt(info.TimeLeft.Milliseconds(), 10))
	header.Set("X-Workspace", info.Workspace)
	if info.LastEventID != "" {
		header.Set("X-Last", info.LastEventID)
	}
	return header
}

func (headerCodec) ParseResponse(status int, header http.Header) front.ResponseInfo {
	retryAfter, _ := time.ParseDuration(header.Get("X-Away"))
	return front.ResponseInfo{ID: header.Get("X-Id"), Signed: header.Get("X-Signed") != "", NotRun: header.Get("X-Not-Run") != "" || status == 421, Leaving: header.Get("X-Leaving") != "", RetryAfter: retryAfter, Instance: header.Get("X-Instance")}
}

func (headerCodec) HealthRequest(_ fleet.Server, path string) pipe.Request {
	return pipe.Request{Method: http.MethodGet, Target: path, Host: "h.example"}
}

func (headerCodec) ReportRequest(fleet.Server) pipe.Request {
	return pipe.Request{Method: http.MethodGet, Target: "/report", Host: "h.example"}
}

// ParseReport reads when the process started and, if the report names one, a run and its events.
func (headerCodec) ParseReport(body []byte) front.ServerReport {
	fields := strings.Fields(string(body))
	if len(fields) == 0 {
		return front.ServerReport{}
	}
	ms, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return front.ServerReport{}
	}
	report := front.ServerReport{Started: time.UnixMilli(ms)}
	if len(fields) == 3 {
		events, _ := strconv.Atoi(fields[2])
		report.Runs = []front.ServerRun{{RequestID: fields[1], Events: events}}
	}
	return report
}

func (headerCodec) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// countingMeter counts requests by outcome, and counters by name and value of their tag.
type countingMeter struct {
	mutex    sync.Mutex
	outcomes map[string]int
	counters map[string]int
}

func (meter *countingMeter) RecordForward(result meter.ForwardResult) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.outcomes[result.Outcome]++
}

func (meter *countingMeter) AddToCounter(name, _, tagValue string, delta int64) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.counters[name+" "+tagValue] += int(delta)
}

// snapshot returns copies of the counts.
func (meter *countingMeter) snapshot() (outcomes, counters map[string]int) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return maps.Clone(meter.outcomes), maps.Clone(meter.counters)
}

// harnessBudget is the memory for the requests and responses of a harness.
const harnessBudget = 64 << 20

// harness is a Handler with backend servers whose responses are scripted.
type harness struct {
	budget *budget.Budget
	t      *testing.T
	table  *table.Current
	// data is the table that newHarness makes, without changes.
	data    table.Data
	fleet   *fleet.Fleet
	proof   *fresh.Proof
	handler *front.Handler
	crashes *poison.CrashDetector
	cuts    *ending.Cuts
	steps   *idstep.Registry
	// records holds the versions that are recorded in the store: those of all servers.
	records *origin.Records
	// paths says to which servers the direct path is down.
	paths *reach.Paths
	// servers holds the registrations of the servers that were added.
	servers map[string]fleet.Server
	server  *httptest.Server
	log     *buffer.Buffer
	meter   *countingMeter
	// copyLag is how far the copy of the registrations lags behind the time before which no other one can be meant.
	copyLag atomic.Int64
	// now is the clock against which the proof expires. The proof was confirmed at 1.
	now atomic.Int64
	// asked counts the questions to other hosts where a stream began.
	asked atomic.Int64
	// refreshed counts the reads of the store that the handler asked for.
	refreshed atomic.Int64
	// whileDialing is called before each connection to a backend server is opened.
	whileDialing func()
	// trusted holds the services whose responses may end with their connection.
	trusted map[string]bool
	// scriptsHealth: the responders answer on the health path, too. Else servers name their ID there.
	scriptsHealth bool

	mutex    sync.Mutex
	received []string
	// conns holds the connections that servers have accepted.
	conns []serverConn
}

type serverConn struct {
	id   string
	conn net.Conn
}

// closeConns closes all connections of a server in order.
func (harness *harness) closeConns(id string) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	for _, accepted := range harness.conns {
		if accepted.id == id {
			_ = accepted.conn.Close()
		}
	}
}

func newHarness(t *testing.T, change func(*table.Data)) *harness {
	t.Helper()
	harness := &harness{t: t, table: &table.Current{}, fleet: fleet.New(), proof: fresh.New(time.Minute), log: &buffer.Buffer{}, meter: &countingMeter{outcomes: map[string]int{}, counters: map[string]int{}}, servers: map[string]fleet.Server{}, whileDialing: func() {}, trusted: map[string]bool{}}
	target := []table.Target{{Service: "engines", Weight: 1}}
	route := func(name string, kind table.Kind, resumable bool) table.Route {
		return table.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 10 * time.Second, MaxAttempts: 2,
			Objective: time.Second, Targets: target, Resumable: resumable,
		}
	}
	data := table.Data{
		Version: 1, Services: []table.Service{{Name: "engines", HealthPath: "/health"}},
		Routes: []table.Route{
			route("once", table.Once, false), route("safe", table.Idempotent, false),
			route("stream", table.Stream, false), route("resume", table.Stream, true),
		},
		Workspaces: []table.Workspace{{Name: "space", Keys: []string{"key"}}},
		Limits:     table.Limits{BodyBytes: 1 << 20},
	}
	harness.data = data
	if change == nil {
		change = func(*table.Data) {}
	}
	harness.adopt(change)
	harness.proof.Confirm(1)
	harness.copyLag.Store(int64(neverLate))
	harness.records, harness.paths = origin.NewRecords(), reach.New()
	harness.budget = budget.New(harnessBudget)
	harness.cuts, harness.steps = ending.NewCuts(), idstep.New()
	harness.crashes = poison.NewCrashDetector(poison.DetectorOptions{})
	harness.handler = front.New(front.Options{
		Headers: headerCodec{}, Table: harness.table, Proof: harness.proof, Now: func() fresh.Instant { return fresh.Instant(harness.now.Load()) }, Fleet: harness.fleet,
		Pool: pipe.New(pipe.Options{OnDial: func(string) { harness.whileDialing() }}), Paths: harness.paths, RetryBudgets: retry.NewBudgets(0.2, 10), CrashDetector: harness.crashes, Origins: origin.New(), AskOrigin: harness.askOrigin, Registrations: harness, VersionRecords: harness.records, Pacer: pacer.New("host"), Room: room.New("host"), Pick: pick.Options{TokensPerMs: 50},
		ConnectionShare: func(limit int) int { return limit }, Logger: event.New(harness.log, "host", 4, nil), Meter: harness.meter, Budget: harness.budget, TrustedServices: harness.trusted, Cuts: harness.cuts, TellCuts: func() {}, Steps: harness.steps, TellSteps: func() {},
	})
	listener, err := front.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	harness.server = httptest.NewUnstartedServer(harness.handler)
	_ = harness.server.Listener.Close()
	harness.server.Listener = listener
	harness.server.Config.ConnContext = front.ConnContext
	harness.server.Start()
	t.Cleanup(harness.server.Close)
	return harness
}

// adopt puts a changed table in force.
func (harness *harness) adopt(change func(*table.Data)) {
	data := harness.data
	data.Routes, data.Services = slices.Clone(data.Routes), slices.Clone(data.Services)
	change(&data)
	built, err := table.New(data)
	require.NoError(harness.t, err)
	harness.table.Adopt(built)
}

// trustEnds lets responses end with their connection.
func (harness *harness) trustEnds() *harness {
	harness.trusted["engines"] = true
	return harness
}

// knowCuts makes the host know that connections of the service are closed in order within responses.
func (harness *harness) knowCuts() *harness {
	harness.cuts.Record(ending.Place{Service: "engines", FailureDomain: "elsewhere"}, time.Now())
	return harness
}

// neverLate is a lag by which no registration is ever late.
const neverLate = -time.Hour

// CurrentAsOf implements front.Registrations.
func (harness *harness) CurrentAsOf() time.Time {
	return time.Now().Add(-time.Duration(harness.copyLag.Load()))
}

// Refresh implements front.Registrations.
func (harness *harness) Refresh() { harness.refreshed.Add(1) }

func (harness *harness) askOrigin(uint64) { harness.asked.Add(1) }

// responder responds to one request on a connection.
type responder func(request *http.Request, conn net.Conn)

// addServer starts and registers a backend server that handles each request with
// respond.
func (harness *harness) addServer(id string, respond responder) net.Listener {
	harness.t.Helper()
	return harness.addVersion(id, "", respond)
}

// addVersion is addServer for a server with a software version.
func (harness *harness) addVersion(id, version string, respond responder) net.Listener {
	harness.t.Helper()
	listener := harness.listen(func(conn net.Conn) { harness.serveConn(id, conn, respond) })
	harness.records.Put(origin.Origin{Service: "engines", Version: version}, time.Now())
	harness.servers[id] = fleet.Server{ID: id, Service: "engines", Address: listener.Addr().String(), Version: version}
	harness.fleet.Put(harness.servers[id])
	return listener
}

// listen accepts connections until the end of the test.
func (harness *harness) listen(serve func(conn net.Conn)) net.Listener {
	harness.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(harness.t, err)
	harness.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener
}

func (harness *harness) serveConn(id string, conn net.Conn, respond responder) {
	defer conn.Close()
	harness.mutex.Lock()
	harness.conns = append(harness.conns, serverConn{id, conn})
	harness.mutex.Unlock()
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
		if request.URL.Path == "/health" && !harness.scriptsHealth {
			respondWith(200, "", "X-Instance: "+id)(request, conn)
			continue
		}
		harness.mutex.Lock()
		harness.received = append(harness.received, id+" "+request.RequestURI+" "+string(body))
		harness.mutex.Unlock()
		respond(request, conn)
	}
}

func (harness *harness) requestsReceived() []string {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	return append([]string{}, harness.received...)
}

// respondWith returns a responder that sends a status and a body with a
// Content-Length header.
func respondWith(status int, body string, headers ...string) responder {
	return func(request *http.Request, conn net.Conn) {
		writeResponse(conn, status, request.Header.Get("X-Id"), append(headers, "Content-Length: "+strconv.Itoa(len(body))), body)
	}
}

func writeResponse(conn net.Conn, status int, id string, headers []string, body string) {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " Status\r\nX-Id: " + id + "\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	_, _ = conn.Write([]byte(text + "\r\n" + body))
}

const signed = "X-Signed: yes"

// resetConnection closes a connection with a TCP reset and without a response.
func resetConnection(_ *http.Request, conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// firstThen returns a responder that uses initial for the first request and rest
// for all others.
func firstThen(initial, rest responder) responder {
	var mutex sync.Mutex
	used := false
	return func(request *http.Request, conn net.Conn) {
		mutex.Lock()
		respond := initial
		if used {
			respond = rest
		}
		used = true
		mutex.Unlock()
		respond(request, conn)
	}
}

type response struct {
	status int
	header http.Header
	body   string
	// connectionClosed: the host closes the connection after the response.
	connectionClosed bool
	err              error
}

// post sends a request to the handler as a caller.
func (harness *harness) post(path, body string, headers ...string) response {
	harness.t.Helper()
	request, err := http.NewRequestWithContext(harness.t.Context(), http.MethodPost, harness.server.URL+path, strings.NewReader(body))
	require.NoError(harness.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Key", "key")
	request.Header.Set("X-Timeout-Ms", "5000")
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer httpResponse.Body.Close()
	content, err := io.ReadAll(httpResponse.Body)
	return response{httpResponse.StatusCode, httpResponse.Header, string(content), httpResponse.Close, err}
}
