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
	"primrosegw/io/plain"
)

// problem is an error as callers see it.
type problem struct {
	status  int
	kind    string
	message string
	// param names the field at fault, empty if there is none.
	param string
	run   cell.Run
	// retryAfter is when another try makes sense; 0: not said.
	retryAfter time.Duration
}

// statusClientGone is logged for callers that went away before the answer.
const statusClientGone = 499

type problemBody struct {
	Error problemFields `json:"error"`
}

type problemFields struct {
	Type    string   `json:"type"`
	Message string   `json:"message"`
	Run     cell.Run `json:"run"`
	Param   *string  `json:"param"`
	Code    *string  `json:"code"`
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
	writeJSON(writer, problem.status, problem.body())
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
	entry.options.Meter.Refused(problem.kind)
	entry.expire(writer)
	problem.write(writer)
}

// reply answers with a value, within the time that a caller has to read it.
func (entry *Entry) reply(writer http.ResponseWriter, status int, value any) {
	entry.expire(writer)
	writeJSON(writer, status, value)
}

// expire bounds the write of a whole answer.
func (entry *Entry) expire(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(entry.options.Limits.WriteTimeout))
}

// describe turns the router's error into what the caller is told.
func describe(outcome cell.Outcome, err error) problem {
	result := problem{run: outcome.Run, message: err.Error(), retryAfter: outcome.RetryAfter}
	if result.run == "" {
		result.run = cell.RunUnknown
	}
	result.status, result.kind = status(err)
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

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
