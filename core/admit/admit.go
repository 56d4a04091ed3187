// Package admit implements admission control for model requests. When long prompts
// arrive faster than engines can prefill them, it refuses requests that would be
// answered late anyway, before they consume any engine time, so that this time goes
// to requests that can be answered in time.
package admit

import (
	"time"

	"primrosegw/core/table"
	"primrosegw/core/work"
)

const (
	// objectiveShare is the share of the latency objective that the predicted time to
	// the first event may take. The rest is a margin for what the prediction does not
	// cover: urgent prompts that arrive later and temporary slowdowns of the engine.
	objectiveShare = 0.5
	// negligibleDelayShare is the share of the latency objective up to which a queue
	// delay is ignored, so that an idle engine does not refuse a long prompt for its
	// length.
	negligibleDelayShare = 0.02
	// deadlineShare is the share of the remaining time until the deadline that the
	// predicted time to the first event may take after objectiveShare of the objective
	// has passed.
	deadlineShare = 0.5
	// minRetryAfter is the shortest delay after which a refused caller may retry.
	minRetryAfter = 100 * time.Millisecond
)

// Decision is the result of admission control for one request.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

// Prediction is the predicted latency of a request at the best server.
type Prediction struct {
	// QueueDelay is the time before the server starts on the request, and FirstEvent
	// the time to the first event.
	QueueDelay time.Duration
	FirstEvent time.Duration
}

// Decide admits or refuses a request by its prediction. Only requests of the lowest
// priority of a service are refused, because engines serve the others first.
func Decide(request *work.Request, prediction Prediction, now time.Time) Decision {
	if !request.LowestPriority || !request.Route.HasPrompt || request.Route.Objective <= 0 {
		return Decision{Admitted: true}
	}
	limit := maxFirstEvent(request, now)
	negligible := time.Duration(negligibleDelayShare * float64(request.Route.Objective))
	if prediction.FirstEvent <= limit || prediction.QueueDelay <= negligible && prediction.FirstEvent <= request.Remaining(now) {
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: max(minRetryAfter, prediction.FirstEvent-limit/2)}
}

// maxFirstEvent returns the longest predicted time to the first event with which a
// request is admitted.
func maxFirstEvent(request *work.Request, now time.Time) time.Duration {
	elapsed := now.Sub(request.Received)
	budget := time.Duration(objectiveShare*float64(request.Route.Objective)) - elapsed
	if budget > 0 {
		return budget
	}
	return time.Duration(deadlineShare * float64(request.Remaining(now)))
}

// streamDrainTime is the time that a draining host needs to finish a stream that it
// has started to forward.
const streamDrainTime = 4500 * time.Millisecond

// deadlineGrace is how long after its deadline a request may still be answered. The
// host waits a little longer for a silent server, because the server ends the work by
// itself.
const deadlineGrace = 300 * time.Millisecond

// maxLateSend is the time after the start of a drain in which requests may be sent whose deadline is
// after the shutdown. One that is sent later must not be cut off; one that is sent by then may be, up to
// 3 s after the start. The rest covers the time until it is written.
const maxLateSend = 2800 * time.Millisecond

// FinishesBefore reports whether a request is likely enough to finish before the host
// shuts down, after a drain. Streams whose deadline is later are accepted only while at least
// streamDrainTime is left, enough for all but the longest ones.
func FinishesBefore(request *work.Request, drainStart, shutdown, now time.Time) bool {
	if !request.Deadline.Add(deadlineGrace).After(shutdown) {
		return true
	}
	return request.Route.Kind == table.Stream && shutdown.Sub(now) >= streamDrainTime && MayRunToShutdown(drainStart, now)
}

// MayRunToShutdown reports whether it is early enough in a drain to send a request which may still run
// when the host shuts down.
func MayRunToShutdown(drainStart, now time.Time) bool { return now.Sub(drainStart) <= maxLateSend }
