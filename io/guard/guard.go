// Package guard keeps a process alive when the handling of one input fails with a panic.
// The panic is logged with its stack and counted.
package guard

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
)

// maxStackBytes limits the part of a stack that is logged.
const maxStackBytes = 4 << 10

// Counter counts panics.
type Counter interface {
	AddToCounter(name, tag, tagValue string, delta int64)
}

// Guard recovers from panics. It is safe for concurrent use.
type Guard struct {
	logger  *event.Logger
	counter Counter
}

// New returns a guard that logs to logger and counts with counter.
func New(logger *event.Logger, counter Counter) *Guard {
	return &Guard{logger: logger, counter: counter}
}

// Run calls action and reports whether it returned without a panic. Input names what is
// handled, such as "datagram".
func (guard *Guard) Run(input string, action func()) (ok bool) {
	defer func() {
		if reason := recover(); reason != nil {
			guard.report(input, reason)
			ok = false
		}
	}()
	action()
	return true
}

// Handler returns a handler that reports the panics of another one and then aborts the
// response, so that a part of it does not look complete. The panic with which a handler
// aborts a response itself is not reported.
func (guard *Guard) Handler(input string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if reason != http.ErrAbortHandler {
				guard.report(input, reason)
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(writer, request)
	})
}

// report logs and counts a panic.
func (guard *Guard) report(input string, reason any) {
	stack := debug.Stack()
	guard.counter.AddToCounter("panics_recovered", "input", input, 1)
	guard.logger.Log(event.PanicRecovered(), logrus.Fields{
		"input": input, "error": fmt.Sprint(reason), "stack": string(stack[:min(len(stack), maxStackBytes)]),
	})
}
