// Package front takes callers' requests and forwards them straight to backend
// servers. It holds the state of a request and leaves the decisions to core.
package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/admit"
	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/fresh"
	"primrosegw/core/pick"
	"primrosegw/core/poison"
	"primrosegw/core/retry"
	"primrosegw/core/table"
	"primrosegw/core/work"
	"primrosegw/io/meter"
	"primrosegw/io/pipe"
)

// Caller is what the headers of a caller's request say.
type Caller struct {
	// ID names the attempt; the backend server returns it.
	ID string
	// Key is the caller's secret.
	Key string
	// Patience is how long the caller waits for the answer; 0: not said.
	Patience time.Duration
	// PromptTokens and OutputTokens are the sizes of a model request.
	PromptTokens int
	OutputTokens int
	Parts        []work.Part
	// LastEvent is the event after which a stream is to go on; empty: none.
	LastEvent string
}

// Order is what a host tells a backend server beside the caller's headers.
type Order struct {
	Server    fleet.Server
	Workspace string
	// Left is the time after which the answer is of no use.
	Left time.Duration
	// Rank is the urgency, 0 for the most urgent requests.
	Rank int
	// LastEvent is the event after which a stream is to go on; empty: as the
	// caller said.
	LastEvent string
}

// Head is what the headers of a backend server's answer say.
type Head struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed: the answer carries the server's signature.
	Signed bool
	// NotRun: the server says that it did not run the request.
	NotRun bool
	// Load is what the server says of itself; nil: nothing.
	Load *fleet.Load
}

// Wire translates headers. It is implemented for one protocol outside.
type Wire interface {
	Caller(header http.Header) (Caller, error)
	// Forward returns the headers for a backend server.
	Forward(caller http.Header, order Order) http.Header
	Head(status int, header http.Header) Head
	// RetryAfter sets the header that tells callers when to come back.
	RetryAfter(header http.Header, after time.Duration)
}

// Options are what a Front works with.
type Options struct {
	Wire   Wire
	Table  *table.Current
	Proof  *fresh.Proof
	Now    func() fresh.Instant
	Fleet  *fleet.Fleet
	Pool   *pipe.Pool
	Budget *retry.Budgets
	// Witness finds requests that crash backend servers.
	Witness *poison.Witness
	Pick    pick.Options
	// Connections returns how many of a server's connections this host may use.
	Connections func(limit int) int
	Logger      *event.Logger
	Meter       Meter
}

// Meter counts what becomes of requests.
type Meter interface {
	Ended(end meter.End)
}

// Front is the handler of callers' requests.
type Front struct {
	options Options
	// gone is when the host ends; nil while it does not leave.
	gone     atomic.Pointer[time.Time]
	inFlight atomic.Int64
	// byRank counts the requests that are being forwarded, by urgency.
	byRank [fleet.RankCount]atomic.Int64
}

// New returns a handler.
func New(options Options) *Front { return &Front{options: options} }

// Leave makes the handler close each connection after its answer, and refuse
// work that can't end before the host is gone.
func (front *Front) Leave(gone time.Time) { front.gone.Store(&gone) }

// InFlight returns the number of requests that are being handled.
func (front *Front) InFlight() int { return int(front.inFlight.Load()) }

// InFlightByRank returns the requests that are being forwarded, by urgency.
func (front *Front) InFlightByRank() [fleet.RankCount]int {
	var counts [fleet.RankCount]int
	for rank := range counts {
		counts[rank] = int(front.byRank[rank].Load())
	}
	return counts
}

// ServeHTTP handles one request.
func (front *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	front.inFlight.Add(1)
	defer front.inFlight.Add(-1)
	call := &call{front: front, writer: writer, request: request, state: work.Unsent}
	call.work.Received = time.Now()
	if front.gone.Load() != nil {
		writer.Header().Set("Connection", "close")
	}
	writer.Header()["Date"] = nil
	if refusal := call.admit(); refusal != nil {
		call.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), call.work.Deadline)
	defer cancel()
	call.ctx = ctx
	rank := call.work.Rank
	front.byRank[rank].Add(1)
	defer front.byRank[rank].Add(-1)
	call.forward()
}

// call is one request on its way.
type call struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context

	caller Caller
	body   []byte
	work   work.Request
	table  *table.Table

	state work.State
	// reached counts the backend servers that may have seen the request.
	reached int
	tried   map[string]bool
	server  string
	// begun: a part of an answer has been written to the caller.
	begun   bool
	events  sequence
	first   time.Duration
	lastAt  time.Time
	longest time.Duration
	// fallback is a failure of a backend server that is passed on when no other
	// server does better.
	fallback *fallback
	// print identifies the request when it comes again; 0: not computed yet.
	print uint64
}

// fallback is a whole answer that is kept.
type fallback struct {
	status int
	header http.Header
	body   []byte
}

// admit reads the request and checks it. It returns nil when it may go on.
func (call *call) admit() *refusal {
	options := call.front.options
	caller, err := options.Wire.Caller(call.request.Header)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "bad_header", detail: err.Error()}
	}
	call.caller = caller
	call.work.ID = caller.ID
	current := options.Table.Load()
	if current == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_table"}
	}
	limit := current.Limits.BodyBytes
	if limit > 0 && call.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_long"}
	}
	if refusal := call.read(limit); refusal != nil {
		return refusal
	}
	if refusal := call.match(); refusal != nil {
		return refusal
	}
	if gone := call.front.gone.Load(); gone != nil && !admit.Ends(&call.work, *gone, time.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving"}
	}
	return nil
}

// read takes the whole body, so that it can be sent again and a caller that
// leaves is noticed.
func (call *call) read(limit int64) *refusal {
	if call.request.ContentLength == 0 {
		return nil
	}
	body := io.Reader(call.request.Body)
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	var err error
	if length := call.request.ContentLength; length > 0 {
		call.body = make([]byte, length)
		_, err = io.ReadFull(body, call.body)
	} else {
		call.body, err = io.ReadAll(body)
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body_unread", detail: err.Error()}
	}
	if limit > 0 && int64(len(call.body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_long"}
	}
	return nil
}

// match finds the route and the workspace in the table in force. It is called
// again before each attempt, as a new version may have changed both.
func (call *call) match() *refusal {
	options := call.front.options
	current := options.Table.Load()
	if current.RequiresKey() && !options.Proof.Valid(options.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "table_unconfirmed"}
	}
	if current == call.table {
		return nil
	}
	call.table = current
	route, ok := current.Match(call.request.Host, call.path())
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	var workspace table.Workspace
	if current.RequiresKey() && !route.Anonymous {
		workspace, ok = current.Workspace(call.caller.Key)
		if !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		call.work.Workspace = workspace.Name
	}
	call.work.Route, call.work.Rank = route, current.Rank(route, workspace)
	call.work.PromptTokens, call.work.OutputTokens = call.caller.PromptTokens, call.caller.OutputTokens
	call.work.Parts = call.caller.Parts
	call.work.Service = route.Pick(pick.Draw(call.work.ID))
	if route.Resumable && !call.begun {
		call.events.last = call.caller.LastEvent
	}
	call.work.Bulk = current.Bulk(route, call.work.Service)
	call.work.Deadline = call.deadline(route)
	return nil
}

// path returns the path as the caller wrote it, without the query.
func (call *call) path() string {
	path, _, _ := strings.Cut(call.request.RequestURI, "?")
	return path
}

// deadline is the time at which the caller or the route gives up.
func (call *call) deadline(route table.Route) time.Time {
	patience := call.caller.Patience
	if patience <= 0 || route.Timeout > 0 && route.Timeout < patience {
		patience = route.Timeout
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	return call.work.Received.Add(patience)
}

// defaultPatience bounds a request whose caller and route say nothing.
const defaultPatience = 30 * time.Second

// gone reports whether the caller has closed its connection.
func (call *call) gone() bool {
	return errors.Is(context.Cause(call.request.Context()), context.Canceled)
}

// end counts what became of the request.
func (call *call) end(outcome string, first time.Duration) {
	call.front.options.Meter.Ended(meter.End{
		Outcome: outcome, Kind: string(call.work.Route.Kind), Rank: call.work.Rank,
		First: first, Total: time.Since(call.work.Received),
	})
}

func (call *call) log(event event.Event, fields logrus.Fields) {
	fields["request_id"] = call.work.ID
	call.front.options.Logger.Log(event, fields)
}
