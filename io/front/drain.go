package front

import (
	"context"
	"net/http"
	"time"

	"primrosegw/core/admit"
)

// stopMargin is how long before a draining host stops the requests that are still open are ended with a
// response. It is shorter than the time that admit.FinishesBefore keeps free after deadlines.
const stopMargin = 150 * time.Millisecond

// drain is the shutdown of a host.
type drain struct {
	started, deadline time.Time
}

// Drain makes the handler close each connection after its response, refuse requests that would not end
// before the deadline, at which the host stops, and end those that are open shortly before it.
func (handler *Handler) Drain(deadline time.Time) {
	handler.drain.Store(&drain{started: time.Now(), deadline: deadline})
	time.AfterFunc(time.Until(deadline)-stopMargin, handler.stop)
}

// finishesInDrain reports whether the request may be sent to a server now, if the host is draining. A
// request that may have run would be lost if no other server got it, so it is held to less.
func (call *call) finishesInDrain(now time.Time) bool {
	drain := call.handler.drain.Load()
	if drain == nil || admit.FinishesBefore(&call.work, drain.started, drain.deadline, now) {
		return true
	}
	return !call.state.NotRun() && admit.MayRunToShutdown(drain.started, now) && call.handler.stopping.Err() == nil
}

// exitMargin is how long before the host exits the last verdicts on responses that have ended are due.
const exitMargin = 20 * time.Millisecond

// beforeExit returns a time limit, or if the host exits earlier, shortly before that.
func (handler *Handler) beforeExit(limit time.Time) time.Time {
	if drain := handler.drain.Load(); drain != nil {
		return earlier(limit, drain.deadline.Add(-exitMargin))
	}
	return limit
}

// closeWhenOver closes a connection when the caller leaves or the host stops. The returned function ends
// that, and returns false if the connection has been closed.
func (call *call) closeWhenOver(closeConn func()) (disown func() bool) {
	disownCaller := context.AfterFunc(call.request.Context(), closeConn)
	disownStop := context.AfterFunc(call.handler.stopping, closeConn)
	return func() bool {
		caller, stop := disownCaller(), disownStop()
		return caller && stop
	}
}

// endReadsWhenStopping ends reads of the request's body when the host stops. The returned function ends that, and
// returns when no deadline is set any more.
func (call *call) endReadsWhenStopping(controller *http.ResponseController) (disown func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(call.handler.stopping, func() {
		defer close(done)
		// An error means that the writer has no deadlines, as in tests.
		_ = controller.SetReadDeadline(time.Now())
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// drainingMs returns for how long the host has been draining, or -1 if it is not.
func (handler *Handler) drainingMs(now time.Time) int64 {
	drain := handler.drain.Load()
	if drain == nil {
		return -1
	}
	return now.Sub(drain.started).Milliseconds()
}
