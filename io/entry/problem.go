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
	problem.write(writer)
}

// describe turns the router's error into what the caller is told.
func describe(outcome cell.Outcome, err error) problem {
	result := problem{run: outcome.Run, message: err.Error(), retryAfter: outcome.RetryAfter}
	if result.run == "" {
		result.run = cell.RunUnknown
	}
	result.status, result.kind = status(err)
	return result
}

func status(err error) (int, string) {
	if errors.Is(err, context.Canceled) {
		return statusClientGone, "caller_gone"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return http.StatusGatewayTimeout, "deadline_exceeded"
	}
	var found *cell.Error
	if !errors.As(err, &found) {
		return http.StatusInternalServerError, "internal_error"
	}
	statuses := map[cell.Kind]int{
		cell.Shed:     http.StatusTooManyRequests,
		cell.Refused:  http.StatusServiceUnavailable,
		cell.Closed:   http.StatusServiceUnavailable,
		cell.Rejected: http.StatusBadRequest,
		cell.Expired:  http.StatusGatewayTimeout,
		cell.Poison:   http.StatusUnprocessableEntity,
		cell.Gone:     statusClientGone,
		cell.Broken:   http.StatusBadGateway,
		cell.Crashed:  http.StatusBadGateway,
		cell.Stalled:  http.StatusBadGateway,
		cell.Unknown:  http.StatusBadGateway,
	}
	kinds := map[cell.Kind]string{
		cell.Shed:     "overloaded",
		cell.Refused:  "unavailable",
		cell.Closed:   "unavailable",
		cell.Rejected: "invalid_request_error",
		cell.Expired:  "deadline_exceeded",
		cell.Poison:   "request_crashes_backend_servers",
		cell.Gone:     "caller_gone",
	}
	code, ok := statuses[found.Kind]
	if !ok {
		code = http.StatusInternalServerError
	}
	kind, ok := kinds[found.Kind]
	if !ok {
		kind = "backend_server_lost"
	}
	return code, kind
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
