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
	// lateShare is the share of the latency objective that the predicted time to
	// the first event may take. What comes beside the prediction needs the rest:
	// urgent prompts that arrive later, slow moments of the engine.
	lateShare = 0.5
	// quietShare is the share of the latency objective up to which a wait does not
	// matter: a long prompt is not refused for its own length.
	quietShare = 0.02
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

// Outlook is what is predicted for a request at the best server.
type Outlook struct {
	// Wait is the time before the server begins with the request, First the time to
	// the first event.
	Wait  time.Duration
	First time.Duration
}

// Decide weighs a request by its outlook. Only the least urgent requests of a
// service are refused: engines take the others first.
func Decide(request *work.Request, outlook Outlook, now time.Time) Decision {
	if !request.Bulk || !request.Route.HasPrompt || request.Route.Objective <= 0 {
		return Decision{Admitted: true}
	}
	limit := allowed(request, now)
	quiet := time.Duration(quietShare * float64(request.Route.Objective))
	if outlook.First <= limit || outlook.Wait <= quiet && outlook.First <= request.Left(now) {
		return Decision{Admitted: true}
	}
	return Decision{After: max(shortestPause, outlook.First-limit/2)}
}

// allowed is the longest predicted time to the first event with which a request is still sent.
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

// answerTime is how long after its deadline a request may be answered at the latest:
// a silent server is awaited a little longer, as it ends the work by itself.
const answerTime = 300 * time.Millisecond

// Ends reports whether a request is certain enough to end before the host is
// gone. Streams that may last longer are taken only while there is time for all
// but the longest ones.
func Ends(request *work.Request, gone, now time.Time) bool {
	if !request.Deadline.Add(answerTime).After(gone) {
		return true
	}
	return request.Route.Kind == table.Stream && gone.Sub(now) >= leaveTime
}
