// Package work describes a request while a host handles it and tracks whether it may
// have run, so that a host reports "it has not run" only if that is certain.
package work

import (
	"net/http"
	"time"

	"primrosegw/core/table"
)

// Part is a part of a prompt. Requests that share it can share its cache entries.
type Part struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that routing and admission use.
type Request struct {
	// ID identifies this attempt. The caller chooses it.
	ID        string
	Route     table.Route
	Service   string
	Workspace string
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// LowestPriority is set if the service has more urgent requests, but none that
	// are less urgent.
	LowestPriority bool
	// Received is when the host received the request.
	Received time.Time
	// Deadline is the earlier of the deadlines of the caller and the route.
	Deadline time.Time
	// PromptTokens and OutputTokens are 0 for plain services. OutputTokens is the
	// maximum number of tokens to generate.
	PromptTokens int
	OutputTokens int
	Parts        []Part
	// TakenUp is set if the caller takes up a stream that was broken off.
	TakenUp bool
}

// Remaining returns the time until the deadline; it is negative after the deadline.
func (request *Request) Remaining(now time.Time) time.Duration {
	return request.Deadline.Sub(now)
}

// State is what a host knows about whether a request has run.
type State string

// The states of a request.
const (
	// Unsent: no byte of the request was sent to a backend server.
	Unsent State = "unsent"
	// Refused: each backend server that received the request reported that it did not
	// run it.
	Refused State = "refused"
	// Unsure: a backend server may have run the request.
	Unsure State = "unsure"
	// Answered: a backend server returned an answer.
	Answered State = "answered"
)

// NotRun reports whether it is certain that the request has not run.
func (state State) NotRun() bool { return state == Unsent || state == Refused }

// SaysNotRun reports whether callers take a status for the promise that their request has not run and
// never will.
func SaysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Result is the outcome of one attempt at a backend server.
type Result string

// The results of an attempt.
const (
	// NoConnection: the server could not be reached; nothing was sent.
	NoConnection Result = "no_connection"
	// Declined: the server reported that it did not run the request.
	Declined Result = "declined"
	// Broken: the connection broke, or the answer did not belong to this request.
	Broken Result = "broken"
	// Failed: the server answered with an error.
	Failed Result = "failed"
	// Served: the server answered with success.
	Served Result = "served"
)

// Next returns the state of a request after an attempt. A request that may have run
// never returns to Refused: a later refusal says nothing about an earlier attempt.
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

// MayRetry reports whether a request in this state may be sent to another backend
// server. Reached is the number of servers that may already have received it.
func MayRetry(route table.Route, state State, reached int) bool {
	if reached >= max(1, route.MaxAttempts) {
		return false
	}
	return state.NotRun() || route.Repeatable()
}
