// Package admit decides whether a model request is worth sending now. Under
// overload it refuses requests that would be answered late anyway, before they
// have cost an engine anything, so that the engines' time goes to requests that
// are answered in time. It answers the load in which long prompts arrive faster
// than engines read them.
package admit

import (
	"time"

	"primrosegw/core/table"
	"primrosegw/core/work"
)

const (
	// lateShare is the share of the latency objective that the predicted wait for
	// the first event may take.
	lateShare = 0.9
	// lateDeadlineShare is the share of the time left that it may take for a
	// request that has missed its objective already.
	lateDeadlineShare = 0.5
	// shortestPause is the shortest time after which a refused caller comes back.
	shortestPause = 100 * time.Millisecond
)

// Decision says whether a request is sent.
type Decision struct {
	Admitted bool
	// After is when a refused caller should come back.
	After time.Duration
}

// Decide weighs a request by the predicted wait for its first event. Only the
// least urgent requests of a service are refused: engines take the others first.
func Decide(request *work.Request, predicted time.Duration, now time.Time) Decision {
	if !request.Bulk || !request.Route.Prompts || request.Route.Objective <= 0 {
		return Decision{Admitted: true}
	}
	limit := allowed(request, now)
	if predicted <= limit {
		return Decision{Admitted: true}
	}
	return Decision{After: max(shortestPause, predicted-limit/2)}
}

// allowed is the longest predicted wait with which a request is still sent.
func allowed(request *work.Request, now time.Time) time.Duration {
	waited := now.Sub(request.Received)
	inTime := time.Duration(lateShare*float64(request.Route.Objective)) - waited
	if inTime > 0 {
		return inTime
	}
	return time.Duration(lateDeadlineShare * float64(request.Left(now)))
}

// leaveTime is the time that a leaving host needs to end a stream that it has
// begun to forward.
const leaveTime = 4500 * time.Millisecond

// Ends reports whether a request is certain enough to end before the host is
// gone. Streams that may last longer are taken only while there is time for all
// but the longest ones.
func Ends(request *work.Request, gone, now time.Time) bool {
	if !request.Deadline.After(gone) {
		return true
	}
	return request.Route.Kind == table.Stream && gone.Sub(now) >= leaveTime
}
