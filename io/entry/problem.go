package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/ledger"
	"primrosegw/io/engine"
	"primrosegw/io/plain"
)

// problem is an error as callers see it.
type problem struct {
	status  int
	kind    string
	message string
	// param names the field at fault, empty if there is none.
	param string
	run   cell.RunStatus
	// retryAfter is when another try makes sense; 0: not said.
	retryAfter time.Duration
}

// statusClientGone is logged for callers that went away before the answer.
const statusClientGone = 499

type problemBody struct {
	Error problemFields `json:"error"`
}

type problemFields struct {
	Type    string         `json:"type"`
	Message string         `json:"message"`
	Run     cell.RunStatus `json:"run"`
	Param   *string        `json:"param"`
	Code    *string        `json:"code"`
}

func (problem problem) body() problemBody {
	fields := problemFields{Type: problem.kind, Message: problem.message, Run: problem.run}
	if problem.param != "" {
		fields.Param = &problem.param
	}
	return problemBody{Error: fields}
}

func (problem problem) write(writer http.ResponseWriter) {
	if problem.retryAfter > 0 {
		seconds := int(math.Ceil(problem.retryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	_ = writeJSON(writer, problem.status, problem.body())
}

func invalid(param, message string) *problem {
	return &problem{
		status: http.StatusBadRequest, kind: "invalid_request_error",
		message: message, param: param, run: cell.NotRun,
	}
}

// refuse answers a request that was not routed.
func (entry *Entry) refuse(writer http.ResponseWriter, request *http.Request, problem problem) {
	entry.options.Logger.Log(event.RequestRefused(), logrus.Fields{
		"method": request.Method, "path": request.URL.Path, "status": problem.status,
		"type": problem.kind, "param": problem.param,
	})
	entry.options.Meter.CountRefused(problem.kind)
	entry.expire(writer)
	problem.write(writer)
}

// reply answers with a value, within the time that a caller has to read it.
func (entry *Entry) reply(writer http.ResponseWriter, status int, value any) {
	entry.expire(writer)
	_ = writeJSON(writer, status, value)
}

// expire bounds the write of a whole answer.
func (entry *Entry) expire(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(entry.options.Limits.WriteTimeout))
}

// describe turns the router's error into what the caller is told.
func describe(outcome cell.Outcome, err error) problem {
	result := problem{run: outcome.Run, retryAfter: outcome.RetryAfter}
	if result.run == "" {
		result.run = cell.RunUnknown
	}
	result.status, result.kind = status(err)
	result.message = message(result.kind, err)
	if fault.Is(err, Running) {
		result.retryAfter = runningRetry
	}
	if field := faultField(err); field != "" {
		result.param = field
	}
	passing := result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable
	if passing && result.retryAfter == 0 {
		result.retryAfter = defaultRetry
	}
	return result
}

// defaultRetry is when a caller may come back after a passing shortage whose
// end is not known.
const defaultRetry = time.Second

// message explains an error to the caller. Errors of the parts behind this one
// hold addresses of hosts and engines, which are for the log only. What an
// engine says about a bad request is passed on.
func message(kind string, err error) string {
	switch kind {
	case "overloaded":
		return "the estimated wait passes the target of the request's class"
	case "unavailable":
		return "no backend server can take the request now"
	case "deadline_exceeded":
		return "the deadline of the request's class passed"
	case "request_crashes_backend_servers":
		return "the request crashed backend servers before and is not run again"
	case "backend_server_lost":
		return "the backend server was lost before the answer was whole"
	case "caller_gone":
		return "the caller went away"
	case "idempotency_key_reused":
		return "the idempotency key was used with another body"
	case "ledger_unavailable":
		return "the call can't be recorded now"
	}
	if reason := engine.Said(err); reason != "" {
		return "the model's engine refuses the request: " + reason
	}
	var own *Error
	if errors.As(err, &own) {
		return own.Detail
	}
	return err.Error()
}

// faultField returns the input field that an error of the ledger names.
func faultField(err error) string {
	var found *ledger.Error
	if errors.As(err, &found) && found.Field != "" {
		return HeaderIdempotency
	}
	return ""
}

// status returns the HTTP status and the type of an error.
func status(err error) (int, string) {
	switch {
	case errors.Is(err, context.Canceled):
		return statusClientGone, "caller_gone"
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout, "deadline_exceeded"
	}
	if kind := fault.KindOf[cell.Kind](err); kind != "" {
		return cellStatus(kind)
	}
	if kind := fault.KindOf[ledger.Kind](err); kind != "" {
		return ledgerStatus(kind)
	}
	if kind := fault.KindOf[Kind](err); kind != "" {
		return onceStatus(kind)
	}
	if kind := fault.KindOf[plain.Kind](err); kind == plain.Refused {
		return http.StatusServiceUnavailable, "unavailable"
	}
	return http.StatusBadGateway, "backend_server_lost"
}

func cellStatus(kind cell.Kind) (int, string) {
	switch kind {
	case cell.Shed:
		return http.StatusTooManyRequests, "overloaded"
	case cell.Refused, cell.Closed:
		return http.StatusServiceUnavailable, "unavailable"
	case cell.Rejected:
		return http.StatusBadRequest, "invalid_request_error"
	case cell.Expired:
		return http.StatusGatewayTimeout, "deadline_exceeded"
	case cell.Poison:
		return http.StatusUnprocessableEntity, "request_crashes_backend_servers"
	case cell.Gone:
		return statusClientGone, "caller_gone"
	default:
		return http.StatusBadGateway, "backend_server_lost"
	}
}

func ledgerStatus(kind ledger.Kind) (int, string) {
	switch kind {
	case ledger.Mismatch:
		return http.StatusUnprocessableEntity, "idempotency_key_reused"
	case ledger.Invalid:
		return http.StatusBadRequest, "invalid_request_error"
	default:
		return http.StatusServiceUnavailable, "ledger_unavailable"
	}
}

func onceStatus(kind Kind) (int, string) {
	switch kind {
	case Running, Begun:
		return http.StatusConflict, string(kind)
	case Late:
		return http.StatusServiceUnavailable, string(kind)
	default:
		return http.StatusGone, string(kind)
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) error {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	return json.NewEncoder(writer).Encode(value)
}
