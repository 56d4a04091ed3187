package front

import (
	"context"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/ending"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/table"
	"primrosegw/io/pipe"
)

// takeoverTime is how long after a process has registered in place of another one that one may still
// take connections.
const takeoverTime = 5 * time.Second

// lookTime limits the time in which a server must take a last connection before a stream is passed on.
const lookTime = 50 * time.Millisecond

// maxEndConns is the number of connections on which a server is asked after the end of a response, at most. The
// next one is opened ending.Settle after the last, as a process that ends closes those that it still takes.
const maxEndConns = 4

// endCheck asks a server after the end of a response which process it is.
type endCheck struct {
	ending.Evidence
	handler *Handler
	server  fleet.Server
	table   *table.Table
	// requestID is the ID of the request whose run is looked up; empty: none is.
	requestID string
	// senderOpenedAt is when the connection of the response was opened.
	senderOpenedAt time.Time
	// caller ends when nobody waits for the verdict any more.
	caller context.Context
	// awaitsClearing: the cuts that count for the response may be cleared before it has waited for long.
	awaitsClearing bool
	// lost: the server closed a connection that was opened after the end. One that names its ID only
	// may have started again since, and proves nothing any more.
	lost bool
	// closed: it closed such a connection before it was asked. Another process may take the next one.
	closed bool
	// silent: it left the newest connection open without an answer.
	silent bool
	err    error
}

// run asks the server until the time limit, unless the caller leaves or the host exits before, and
// records what came of it.
func (check *endCheck) run(limit time.Time) {
	handler, server := check.handler, check.server
	over, cancelOver := context.WithCancel(check.caller)
	defer cancelOver()
	defer context.AfterFunc(handler.stopping, func() { time.AfterFunc(stopMargin-exitMargin, cancelOver) })()
	ctx, cancel := context.WithDeadline(over, limit)
	defer cancel()
	for tries := range maxEndConns {
		if tries > 0 {
			sleepUntil(ctx, check.OpenedAt.Add(ending.Settle))
		}
		question := check.nextQuestion()
		if question == nil && !check.watchesConnection() {
			return
		}
		check.OpenedAt = time.Now()
		conn, err := handler.options.Pool.Open(ctx, connectionKey(server), server.Address, check.connectionLimit())
		if err != nil {
			check.Outcome, check.err = connectOutcome(err), err
			return
		}
		check.ConnectedAt = time.Now()
		if !check.askOn(ctx, over, conn, question, limit) {
			return
		}
	}
}

// watchesConnection reports whether a connection is evidence, though the server can't be asked: one that stays
// open, or one that is refused.
func (check *endCheck) watchesConnection() bool { return !check.Trusted }

// connectionLimit returns the number of connections to the server that this host may open; 0: unlimited.
func (check *endCheck) connectionLimit() int {
	return check.handler.connectionLimit(check.table, check.server)
}

/*
settle waits until it is known that the registered process sent a stream and that no other one has taken
its address since, if the verdict depends on that: a server that does not say when it started names no
process. One that gave no answer may be silent for a moment, and is asked again.
*/
func (check *endCheck) settle(deadline time.Time) {
	handler := check.handler
	until := earlier(deadline, check.EndedAt.Add(settleTime))
	for check.isInDoubt() && check.caller.Err() == nil && !check.isReplaced() && (check.SenderKnown || check.mayKnowSender()) {
		left := time.Until(handler.beforeExit(until)) - lookTime
		if left <= 0 {
			check.Overdue = true
			check.lookAgain()
			return
		}
		check.observeRegistrations()
		if !check.isInDoubt() {
			check.lookAgain()
			return
		}
		time.Sleep(min(settlePoll, left))
		switch {
		case !check.MaySettle():
			check.run(earlier(time.Now().Add(ending.TimeLimit), until))
		case check.silent && !check.ConnectedInTime():
			// Time alone shows nothing on a connection that was taken late, but an answer may.
			check.run(handler.beforeExit(until).Add(-lookTime))
		}
	}
}

// settleLate waits until no other process can have registered, if a server that was silent named its ID only. One
// whose registration does not say when it started leaves no trace there if it starts again.
func (check *endCheck) settleLate(deadline time.Time) {
	until := check.handler.beforeExit(earlier(deadline, check.EndedAt.Add(ending.SilenceLimit+settlePatience)))
	for check.AwaitsRegistrations() && !check.server.Started.IsZero() && check.caller.Err() == nil && !check.isReplaced() {
		check.observeRegistrations()
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(settlePoll)
	}
}

// lookAgain finds out whether the server has closed its listener since it was asked. A process that closes its
// connections one after another may have answered before.
func (check *endCheck) lookAgain() {
	ctx, cancel := context.WithTimeout(check.caller, lookTime)
	defer cancel()
	conn, err := check.handler.options.Pool.Open(ctx, connectionKey(check.server), check.server.Address, check.connectionLimit())
	if err == nil {
		conn.ReleaseUnused()
		return
	}
	if outcome := connectOutcome(err); outcome == ending.Refused {
		check.Outcome, check.err = outcome, err
	}
}

// observeRegistrations updates what the registrations show of the processes.
func (check *endCheck) observeRegistrations() {
	handler := check.handler
	check.SenderKnown = check.SenderKnown || check.mayKnowSender() && handler.isSettled(check.server, check.senderOpenedAt)
	check.Settled = handler.isSettled(check.server, check.EndedAt)
	handler.options.Registrations.Refresh()
}

// mayKnowSender reports whether the registrations can show that the registered process has sent the
// response: one that replaces another at its address may share its listener for a moment.
func (check *endCheck) mayKnowSender() bool {
	return check.senderOpenedAt.Sub(check.handler.options.Fleet.TookOver(check.server)) >= takeoverTime
}

// isInDoubt reports whether a stream would be passed on if more were known of its process.
func (check *endCheck) isInDoubt() bool {
	reason, verdict := check.Judge()
	return check.Stream && !check.Trusted && check.NeedsAnswer() && verdict == ending.Unknown && reason != ending.NoEvents
}

// isPassedOn reports whether nothing speaks against the response.
func (check *endCheck) isPassedOn() bool {
	_, verdict := check.Judge()
	return verdict == ending.PassedOn
}

// isReplaced reports whether another process has registered in place of the server since the end, or the
// server has been removed.
func (check *endCheck) isReplaced() bool {
	return !check.handler.maySettle(check.server, check.EndedAt)
}

// connectOutcome returns the outcome of a connection that could not be opened.
func connectOutcome(err error) ending.Outcome {
	switch {
	case fault.Is(err, pipe.TooManyConnections):
		return ending.NoConnection
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		// A listener that is closed while it takes the connection resets it.
		return ending.Refused
	}
	return ending.NoAnswer
}

// askOn asks the server on a new connection, once or, if the first question does not name the
// process, with the next one. Over ends when nobody waits for the answer any more. It reports whether
// another connection may bring more.
func (check *endCheck) askOn(ctx, over context.Context, conn *pipe.Conn, question *endQuestion, limit time.Time) bool {
	silent := check.handler.ending
	isQuiet := conn.AwaitQuiet(ctx, check.quietUntil(question))
	if !isQuiet || ctx.Err() != nil {
		conn.Discard()
		check.Outcome, check.lost = ending.NoAnswer, true
		check.closed = check.closed || !isQuiet
		return ctx.Err() == nil
	}
	if question == nil {
		check.AskedAt, check.Outcome = time.Now(), ending.Accepted
		if check.closed {
			check.Outcome = ending.NoAnswer
		}
	}
	for ; question != nil; question = check.nextQuestion() {
		check.AskedAt = time.Now()
		var reusable bool
		disown := context.AfterFunc(over, conn.Close)
		check.Outcome, reusable, check.err = check.ask(conn, question, limit)
		check.AnsweredAt = time.Now()
		if !disown() {
			// No answer says nothing of the server.
			conn.Discard()
			return false
		}
		if !check.wasCutShort() {
			silent.Record(question.key, check.Outcome, time.Now())
		}
		if check.Outcome == ending.SameID {
			check.recordNamed()
		}
		if check.silent = check.isSilent(); check.silent {
			conn.Discard()
			check.Outcome = ending.Accepted
			return false
		}
		if !reusable {
			conn.Discard()
			check.lost = check.Outcome == ending.NoAnswer
			return (check.lost || check.Outcome == ending.Unnamed) && ctx.Err() == nil
		}
		if check.Outcome != ending.Unnamed {
			conn.ReleaseUnused()
			return false
		}
	}
	conn.ReleaseUnused()
	return false
}

// isSilent reports whether a server that took the connection has left it open without an answer, as one does that
// can't be asked. A stream needs no answer from either.
func (check *endCheck) isSilent() bool {
	return check.Stream && !check.Trusted && !check.closed && !check.lost && check.Outcome == ending.NoAnswer && errors.Is(check.err, os.ErrDeadlineExceeded)
}

// wasCutShort reports whether a server of a trusted service had less than the time of a silence for its answer. It
// may answer the next question, and without one each response would be lost.
func (check *endCheck) wasCutShort() bool {
	return check.Trusted && errors.Is(check.err, os.ErrDeadlineExceeded) && time.Now().Before(check.EndedAt.Add(ending.SilenceLimit))
}

// quietUntil returns when the server is asked on the connection that has been opened. One that can't be asked is
// watched for as long on each connection.
func (check *endCheck) quietUntil(question *endQuestion) time.Time {
	if question == nil {
		return check.OpenedAt.Add(ending.Settle)
	}
	return check.EndedAt.Add(ending.Settle)
}

// endQuestion is a question to a server which process it is.
type endQuestion struct {
	key     string
	request pipe.Request
	// read returns the outcome of a complete answer.
	read func(answer serverAnswer) ending.Outcome
}

// nextQuestion returns the first question that the server may answer: its report if that says when
// it started, else its health path. It returns nil if there is none.
func (check *endCheck) nextQuestion() *endQuestion {
	handler, server := check.handler, check.server
	headers, silent, now := handler.options.Headers, handler.ending, time.Now()
	if key := connectionKey(server) + " report"; check.reports() && !server.Started.IsZero() && silent.MayAsk(key, now) {
		return &endQuestion{key: key, request: headers.ReportRequest(server), read: check.readReport}
	}
	for _, path := range check.healthPaths() {
		if key := healthKey(server, path); !check.lost && silent.MayAsk(key, now) {
			return &endQuestion{key: key, request: headers.HealthRequest(server, path), read: check.readHealth}
		}
	}
	return nil
}

// healthKey names the question on a health path of a server.
func healthKey(server fleet.Server, path string) string {
	return connectionKey(server) + " health " + path
}

// services returns the server's service as the newest configuration has it, which the server may follow, and
// as the one does by which the request was sent. Either may lack it.
func (check *endCheck) services() []table.Service {
	var services []table.Service
	for _, known := range []*table.Table{check.handler.options.Table.Load(), check.table} {
		if known == nil {
			continue
		}
		if service, ok := known.Service(check.server.Service); ok {
			services = append(services, service)
		}
	}
	return services
}

// reports reports whether the server has a report.
func (check *endCheck) reports() bool {
	return slices.ContainsFunc(check.services(), func(service table.Service) bool { return service.Engine != nil })
}

// healthPaths returns the paths on which the server may name its ID.
func (check *endCheck) healthPaths() []string {
	var paths []string
	for _, service := range check.services() {
		if service.HealthPath != "" && !slices.Contains(paths, service.HealthPath) {
			paths = append(paths, service.HealthPath)
		}
	}
	return paths
}

// recordNamed records that the server names its ID on one of its health paths. It may follow the configuration
// on the others soon.
func (check *endCheck) recordNamed() {
	for _, path := range check.healthPaths() {
		check.handler.ending.Record(healthKey(check.server, path), ending.SameID, time.Now())
	}
}

func (check *endCheck) readReport(answer serverAnswer) ending.Outcome {
	handler, server := check.handler, check.server
	report := handler.options.Headers.ParseReport(answer.body)
	known := !report.Started.IsZero()
	switch {
	case !known && answer.status >= http.StatusInternalServerError:
		return ending.NoAnswer
	case !known:
		return ending.Unnamed
	case !report.Started.Equal(server.Started):
		handler.recordReplaced(server, report.Started)
		return ending.OtherProcess
	}
	check.RunEvents = report.eventsOf(check.requestID)
	handler.options.Fleet.ConfirmProcess(server, check.AskedAt)
	return ending.Registered
}

func (check *endCheck) readHealth(answer serverAnswer) ending.Outcome {
	instance := answer.info.Instance
	switch {
	case instance == "" && answer.status >= http.StatusInternalServerError:
		return ending.NoAnswer
	case instance == "" || answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable:
		return ending.Unnamed
	case instance != check.server.ID:
		return ending.OtherProcess
	}
	return ending.SameID
}

// ask asks a question on a connection, and reports whether the connection can be used again.
func (check *endCheck) ask(conn *pipe.Conn, question *endQuestion, limit time.Time) (outcome ending.Outcome, reusable bool, err error) {
	outcome = ending.NoAnswer
	err = check.handler.askServer(conn, check.server, question.request, limit, func(answer serverAnswer) {
		if answer.readErr == nil {
			outcome, reusable = question.read(answer), answer.reusable
		}
	})
	if outcome == ending.Registered {
		confirm(conn, check.server)
	}
	return outcome, reusable, err
}
