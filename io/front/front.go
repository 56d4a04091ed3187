// Package front is the HTTP reverse proxy of a host: it forwards callers' requests
// directly to backend servers. It tracks the state of each request; the routing
// and retry decisions are made in core.
package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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
	"primrosegw/core/trickle"
	"primrosegw/core/work"
	"primrosegw/io/linger"
	"primrosegw/io/meter"
	"primrosegw/io/pipe"
)

// Options are the dependencies and settings of a Handler.
type Options struct {
	Headers HeaderCodec
	Table   *table.Current
	// Proof says whether Table has been confirmed recently as the newest version.
	Proof *fresh.Proof
	Now   func() fresh.Instant
	Fleet *fleet.Fleet
	Pool  *pipe.Pool
	// Paths says to which backend servers the direct path is down; nil: to none.
	Paths        *reach.Paths
	RetryBudgets *retry.Budgets
	// Origins holds where streams began. AskOrigin asks the other hosts about a stream.
	Origins   *origin.Registry
	AskOrigin func(key uint64)
	// Registrations says how recent the registrations in Fleet are.
	Registrations Registrations
	// VersionRecords holds the versions that servers have had before this host started.
	VersionRecords *origin.Records
	// CrashDetector finds requests that crash backend servers.
	CrashDetector *poison.CrashDetector
	// Pacer keeps to the rates that backend servers accept.
	Pacer *pacer.Pacer
	// Room keeps the requests at brittle backend servers within their room.
	Room *room.Limiter
	Pick pick.Options
	// OnBegun is called with the workspace of each request that a backend server has begun to run; nil:
	// it is not wanted.
	OnBegun func(workspace string, begun time.Time)
	// OnDemand is called once for each request that is to be sent to a backend server, with the prompt
	// tokens that are not expected in a cache, and whether it is refused for want of one; nil: it is not
	// wanted.
	OnDemand func(request *work.Request, tokens int, isRefused bool)
	// TrustedServices holds the services whose responses may end with their connection.
	TrustedServices map[string]bool
	// Cuts holds where connections are known to have been closed in order within responses. TellCuts
	// tells other hosts of those that this host has seen.
	Cuts     *ending.Cuts
	TellCuts func()
	// Steps holds by how much the IDs of events increase. TellSteps tells other hosts.
	Steps     *idstep.Registry
	TellSteps func()
	// ConnectionShare returns this host's share of a server's connection limit.
	ConnectionShare func(limit int) int
	// Budget limits the bytes of requests and responses that the host holds.
	Budget *budget.Budget
	Logger *event.Logger
	Meter  Meter
}

// Meter records the outcomes of requests.
type Meter interface {
	RecordForward(end meter.ForwardResult)
	// AddToCounter adds delta to a counter with one tag.
	AddToCounter(name, tag, tagValue string, delta int64)
}

// Handler handles callers' requests. Its server needs ConnContext.
type Handler struct {
	options   Options
	startedAt time.Time
	// drain is nil unless the host is draining.
	drain    atomic.Pointer[drain]
	inFlight atomic.Int64
	// stopping ends when the open requests must end, because the host stops.
	stopping context.Context
	stop     context.CancelFunc
	// inFlightByRank counts the requests that are being forwarded, by rank.
	inFlightByRank [fleet.RankCount]atomic.Int64
	// ending holds the servers that can't be asked which process they are.
	ending *ending.Silent
	probes *probes
	// trickle finds servers that keep requests until their deadlines.
	trickle *trickle.Judge
}

// New returns a Handler.
func New(options Options) *Handler {
	if options.Paths == nil {
		options.Paths = reach.New()
	}
	handler := &Handler{
		options: options, startedAt: time.Now(), ending: ending.NewSilent(), probes: newProbes(), trickle: trickle.New(),
	}
	handler.stopping, handler.stop = context.WithCancel(context.Background())
	return handler
}

// InFlight returns the number of requests that are being handled.
func (handler *Handler) InFlight() int { return int(handler.inFlight.Load()) }

// InFlightByRank returns the number of requests that are being forwarded, by rank.
func (handler *Handler) InFlightByRank() [fleet.RankCount]int {
	var counts [fleet.RankCount]int
	for rank := range counts {
		counts[rank] = int(handler.inFlightByRank[rank].Load())
	}
	return counts
}

// ServeHTTP handles one request.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	call := &call{handler: handler, writer: writer, request: request, state: work.Unsent}
	call.work.Received = time.Now()
	call.begin()
	defer call.end()
	call.announceClose()
	writer.Header()["Date"] = nil
	defer call.releaseMemory()
	defer call.endContext()
	call.limitWrites(call.work.Received.Add(defaultTimeout))
	if refusal := call.admit(); refusal != nil {
		call.refuse(*refusal)
		call.hasReturned = true
		return
	}
	rank := call.work.Rank
	handler.inFlightByRank[rank].Add(1)
	defer handler.inFlightByRank[rank].Add(-1)
	call.forward()
	call.hasReturned = true
}

// call is the state of one request.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	// ctx ends with the request, at the latest at its deadline; cancel ends it before. Both are nil until the request
	// has a deadline.
	ctx    context.Context
	cancel context.CancelFunc
	// conn is the caller's connection; nil if it is not watched.
	conn *callerConn
	// outcome is that of the request as it was counted; empty: it has none yet. hasReturned: the handler
	// returns without a panic.
	outcome     string
	hasReturned bool

	info RequestInfo
	body []byte
	// hold is the memory of body; nil if there is none.
	hold  *budget.Hold
	work  work.Request
	table *table.Table
	// ticket is the place in the queue for room at brittle servers; nil: the request has not waited.
	ticket *room.Ticket
	// joinedAt is when the request got it.
	joinedAt time.Time

	state work.State
	// isDemandCounted: OnDemand was called.
	isDemandCounted bool
	// mayHaveRun is the number of attempts of which it is not certain that they have not run.
	mayHaveRun int
	// reached is the number of backend servers that may have received the request.
	reached int
	// hasRetry: a retry has been taken out of the budget, and no server has been reached since.
	hasRetry bool
	tried    map[string]bool
	serverID string
	// responseStarted: a part of a response has been written to the caller.
	responseStarted bool
	// isUnframed: that response has neither a length nor chunks.
	isUnframed bool
	// lastFraming is the framing of the last response of a server, and lastEnd the reason for the verdict
	// on its end; empty: there was none.
	lastFraming ending.Framing
	lastEnd     ending.Case
	// resets is the caller's connection if closing it resets it; nil if not.
	resets *linger.Resetting
	// isUnproven: nothing shows that the last response is whole, and the request must not run again.
	isUnproven bool
	// unprovenStream is the server whose stream ended without proof; nil if there is none, or the stream
	// has gone on since.
	unprovenStream *fleet.Server
	// hadUnproven: nothing showed that an earlier response was whole.
	hadUnproven bool
	// bodyStarted: that part is of a response that is no stream. No other server can go on with it.
	bodyStarted bool
	events      sequence
	// origin is where the stream began that is resumed; nil for a new stream.
	origin *origin.Origin
	// unsettled is set while it is not known which process began that stream.
	unsettled *unsettled
	// unknownProcess: a server did not get the request, as it is not known which process it is.
	unknownProcess  bool
	firstEventDelay time.Duration
	lastEventAt     time.Time
	maxEventGap     time.Duration
	// fallback is an error response of a backend server, which the caller gets if
	// no other server succeeds.
	fallback *bufferedResponse
	// cachedFingerprint is the result of fingerprint; 0: not computed yet.
	cachedFingerprint uint64
	// cachedFeatures is the result of features; nil: not computed yet.
	cachedFeatures []uint64
}

// admit reads and checks the request. It returns nil if the request may be
// forwarded.
func (call *call) admit() *refusal {
	options := call.handler.options
	if call.request.ContentLength != 0 {
		// A refusal by the head is sent when the body has been read. readBody sets the time that a body gets otherwise.
		_ = http.NewResponseController(call.writer).SetReadDeadline(call.work.Received.Add(maxRefusedHeadTime))
	}
	info, err := options.Headers.ParseRequest(call.request.Header)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "bad_header", detail: err.Error()}
	}
	call.info = info
	call.work.ID = info.ID
	call.conn.nameRequest(info.ID)
	current := options.Table.Load()
	if current == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_table"}
	}
	limit := current.Limits.BodyBytes
	if limit > 0 && call.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_long"}
	}
	if refusal := call.readBody(limit); refusal != nil {
		return refusal
	}
	call.conn.recordWhole()
	if refusal := call.matchRoute(); refusal != nil {
		return refusal
	}
	if !call.finishesInDrain(time.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving"}
	}
	return nil
}

// readBody reads the whole body, so that a retry can send it again and net/http
// can detect that the caller has closed its connection. It gives up a body that is not
// complete when the caller stops waiting.
func (call *call) readBody(limit int64) *refusal {
	if call.request.ContentLength == 0 {
		return nil
	}
	body := io.Reader(call.request.Body)
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	controller := http.NewResponseController(call.writer)
	// Errors mean that the writer has no deadlines, as in tests.
	_ = controller.SetReadDeadline(call.work.Received.Add(cmp.Or(call.info.Timeout, defaultTimeout)))
	disown := call.endReadsWhenStopping(controller)
	err := call.readWhole(body)
	disown()
	if memoryShortage(err) != "" {
		return call.refuseBody(body)
	}
	if err != nil && call.handler.stopping.Err() != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving", detail: err.Error()}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body_unread", detail: err.Error()}
	}
	if limit > 0 && int64(len(call.body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_long"}
	}
	// The deadline of a body that was not read whole stays: net/http reads the rest before it sends a refusal.
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// matchRoute finds the route and the workspace in the current routing table. It is
// called before each attempt, since a new version of the table may change both.
func (call *call) matchRoute() *refusal {
	options := call.handler.options
	current := options.Table.Load()
	route, ok := call.work.Route, true
	if current != call.table {
		route, ok = current.Match(call.request.Host, call.path())
	}
	// An unconfirmed table does not show either that there is no route.
	if needsProof(current, route) && !options.Proof.Valid(options.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "table_unconfirmed"}
	}
	if current == call.table {
		return nil
	}
	call.table = current
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	var workspace table.Workspace
	if current.RequiresKey() && !route.Anonymous {
		workspace, ok = current.Workspace(call.info.Key)
		if !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		call.work.Workspace = workspace.Name
	}
	call.work.Route, call.work.Rank = route, current.Rank(route, workspace)
	call.work.PromptTokens, call.work.OutputTokens = call.info.PromptTokens, call.info.OutputTokens
	call.work.Parts = call.info.Parts
	call.work.Service = call.pickService(route)
	call.leaveOtherQueue()
	if route.Resumable && !call.responseStarted {
		call.events.lastID, call.events.takenUpAfter = call.info.LastEventID, call.info.LastEventID
	}
	call.work.LowestPriority = current.Bulk(route, call.work.Service)
	call.setDeadline(call.deadline(route))
	return nil
}

// setDeadline sets the deadline of the request, which a new table may move.
func (call *call) setDeadline(deadline time.Time) {
	if call.ctx != nil && deadline.Equal(call.work.Deadline) {
		return
	}
	call.endContext()
	call.work.Deadline = deadline
	call.ctx, call.cancel = context.WithDeadline(call.request.Context(), deadline)
	// A new table, or a body that arrives slowly, may put the deadline long before now. The response still needs time.
	call.limitWrites(later(deadline, time.Now()))
}

// endContext releases what the context of the request holds.
func (call *call) endContext() {
	if call.cancel != nil {
		call.cancel()
	}
}

// needsProof reports whether requests of a route depend on keys, which may have been revoked.
func needsProof(current *table.Table, route table.Route) bool {
	return current.RequiresKey() && !route.Anonymous
}

// pickService returns the service for the request. A stream goes on at the one where it
// began, unless the route no longer leads there.
func (call *call) pickService(route table.Route) string {
	if call.origin != nil {
		began := func(target table.Target) bool { return target.Service == call.origin.Service }
		if slices.ContainsFunc(route.Targets, began) {
			return call.origin.Service
		}
	}
	return route.Pick(pick.SplitHash(cmp.Or(call.info.Resumes, call.work.ID)))
}

// limitWrites ends writes to a caller that does not read, callerReadGrace after the
// deadline of its request.
func (call *call) limitWrites(deadline time.Time) {
	// An error means that the writer has no deadlines, as in tests.
	_ = http.NewResponseController(call.writer).SetWriteDeadline(deadline.Add(callerReadGrace))
}

// callerReadGrace is how long after the deadline a caller may take to read a response.
// A caller that does not read holds a connection to a backend server.
const callerReadGrace = 5 * time.Second

// path returns the path exactly as the caller sent it, without the query.
func (call *call) path() string {
	path, _, _ := strings.Cut(call.request.RequestURI, "?")
	return path
}

// deadline returns when the request times out: after the shorter one of the
// caller's and the route's timeout.
func (call *call) deadline(route table.Route) time.Time {
	timeout := call.info.Timeout
	if timeout <= 0 || route.Timeout > 0 && route.Timeout < timeout {
		timeout = route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return call.work.Received.Add(timeout)
}

// defaultTimeout applies when neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// callerGone reports whether the caller has closed its connection.
func (call *call) callerGone() bool {
	return errors.Is(context.Cause(call.request.Context()), context.Canceled)
}

// recordOutcome records the outcome of the request in the metrics, unless it has one.
func (call *call) recordOutcome(outcome string, firstEvent time.Duration) {
	if call.outcome != "" {
		return
	}
	call.outcome = outcome
	call.handler.options.Meter.RecordForward(meter.ForwardResult{
		Outcome: outcome, Kind: string(call.work.Route.Kind), Rank: call.work.Rank,
		FirstEvent: firstEvent, Total: time.Since(call.work.Received),
	})
}

func (call *call) log(event event.Event, fields logrus.Fields) {
	fields["request_id"] = call.work.ID
	call.handler.options.Logger.Log(event, fields)
}
