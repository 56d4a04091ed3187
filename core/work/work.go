// Package work describes a request on its way through a host and decides how it
// may end, so that "it has not run" is said only where that is certain.
package work

import (
	"time"

	"primrosegw/core/table"
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what decisions know about a request.
type Request struct {
	// ID is the caller's name for this attempt.
	ID        string
	Route     table.Route
	Service   string
	Workspace string
	// Rank is the urgency, 0 for the most urgent requests.
	Rank int
	// Bulk: the service has no requests that are less urgent, but more urgent ones.
	Bulk bool
	// Received is when the request was read.
	Received time.Time
	// Deadline is when the caller or the route gives up, whichever is first.
	Deadline time.Time
	// PromptTokens and OutputTokens are 0 for plain services. OutputTokens is
	// the most that may be generated.
	PromptTokens int
	OutputTokens int
	Parts        []Part
}

// Left returns the time until the deadline.
func (request *Request) Left(now time.Time) time.Duration {
	return request.Deadline.Sub(now)
}

// State says whether a request has run, as far as the host can know.
type State string

// The states of a request.
const (
	// Unsent: no byte of the request has left for a backend server.
	Unsent State = "unsent"
	// Refused: each backend server that got the request said it did not run it.
	Refused State = "refused"
	// Unsure: a backend server may have run the request.
	Unsure State = "unsure"
	// Answered: a backend server gave an answer of its own.
	Answered State = "answered"
)

// NotRun reports whether it is certain that the request has not run.
func (state State) NotRun() bool { return state == Unsent || state == Refused }

// Result is how one attempt at a backend server ended.
type Result string

// The results of an attempt.
const (
	// NoConnection: the server could not be reached; nothing was sent.
	NoConnection Result = "no_connection"
	// Declined: the server said that it did not run the request.
	Declined Result = "declined"
	// Broken: the connection broke, or the answer was not one to this request.
	Broken Result = "broken"
	// Failed: the server answered with a failure of its own.
	Failed Result = "failed"
	// Served: the server answered with success.
	Served Result = "served"
)

// Next returns the state of a request after an attempt. A doubt never goes
// away: a later refusal says nothing of the attempt before.
func (state State) Next(result Result) State {
	switch result {
	case Failed, Served:
		return Answered
	case Broken:
		return Unsure
	case Declined:
		if state == Unsent {
			return Refused
		}
	}
	return state
}

// MayRetry reports whether a request in this state may be sent to a backend
// server again. Reached is the number of servers that were sent it.
func MayRetry(route table.Route, state State, reached int) bool {
	if reached >= max(1, route.MaxAttempts) {
		return false
	}
	return state.NotRun() || route.Repeatable()
}
