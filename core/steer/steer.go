// Package steer decides the next action for a request: send it to a backend server,
// refuse it, or give up. It combines the decisions of the packages work, retry, pick
// and admit, so that hosts and experiments run the same code.
package steer

import (
	"slices"
	"time"

	"primrosegw/core/admit"
	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/work"
)

// Action is the next action of a host for a request.
type Action string

// The actions.
const (
	// Send: the request goes to the chosen server.
	Send Action = "send"
	// Refuse: the request has not run and is rejected; the caller is told when to
	// retry.
	Refuse Action = "refuse"
	// Await: the request may wait for room at a brittle server.
	Await Action = "await"
	// GiveUp: the request is not sent to any further server.
	GiveUp Action = "give_up"
)

// The reasons for refusing or giving up a request.
const (
	Overload = "overload"
	Deadline = "deadline"
	NoRetry  = "no_retry"
	NoServer = "no_server"
	// ServerLimit: the servers that could take the request accept none now.
	ServerLimit = "server_limit"
	// TurnedAway: the servers that could take the request want none of this host for a time.
	TurnedAway = "turned_away"
	// Brittle: the servers that could take the request are brittle and have no room now.
	Brittle = "brittle"
)

// Progress is the history of a request's attempts.
type Progress struct {
	State work.State
	// Reached is the number of servers that may have received the request.
	Reached int
	// Tried holds the IDs of the servers that are not tried again.
	Tried map[string]bool
}

// Budget limits retries.
type Budget interface {
	// TryWithdraw takes one retry out of a service's budget. It returns false if the
	// balance is too low.
	TryWithdraw(service string) bool
}

// Decision is the next action for a request.
type Decision struct {
	Action Action
	// Reason is why the request is not sent; empty if it is sent.
	Reason string
	// Choice is the best server; nil if no server was evaluated.
	Choice *pick.Choice
	// RetryAfter is the delay after which a refused caller should retry; 0 means soon.
	RetryAfter time.Duration
}

// Next decides the next action for a request. Members are the servers of its service.
// Overload refuses only requests that no server has received yet; a retry is sent
// regardless, and so is a stream that its caller takes up: few servers may go on with it,
// and what the caller has of it would be lost.
func Next(options pick.Options, request *work.Request, progress Progress, budget Budget, members []fleet.Member, now time.Time) Decision {
	if request.Remaining(now) <= 0 {
		return Decision{Action: GiveUp, Reason: Deadline}
	}
	if progress.Reached > 0 && !acquireRetry(request, progress, budget) {
		return Decision{Action: GiveUp, Reason: NoRetry}
	}
	choice, ok := pick.Server(options, request, members, progress.Tried, now)
	if !ok {
		return withoutServer(options, request, progress, members, now)
	}
	admission := admit.Decide(request, admit.Prediction{QueueDelay: choice.QueueDelay, FirstEvent: choice.FirstEvent}, now)
	if !admission.Admitted && progress.Reached == 0 && !request.TakenUp {
		return Decision{Action: Refuse, Reason: Overload, Choice: &choice, RetryAfter: admission.RetryAfter}
	}
	return Decision{Action: Send, Choice: &choice}
}

// withoutServer decides about a request that no server can take. If one will accept it
// later, a caller whose request has not run is told when.
func withoutServer(options pick.Options, request *work.Request, progress Progress, members []fleet.Member, now time.Time) Decision {
	wait := options.ShortestWait(members, progress.Tried, now)
	hasNotRun := progress.Reached == 0 || progress.State.NotRun()
	isAway := func(member fleet.Member) bool { return member.AwayFor(now) > 0 }
	switch {
	case options.LacksRoomOnly(members, progress.Tried, now) && progress.Reached == 0:
		return Decision{Action: Await, Reason: Brittle, RetryAfter: wait}
	case options.LacksRoomOnly(members, progress.Tried, now) && hasNotRun:
		return Decision{Action: Refuse, Reason: Brittle, RetryAfter: wait}
	case wait > 0 && hasNotRun && slices.ContainsFunc(members, isAway):
		return Decision{Action: Refuse, Reason: TurnedAway, RetryAfter: wait + spread(request.ID, wait)}
	case wait > 0 && progress.Reached == 0:
		return Decision{Action: Refuse, Reason: ServerLimit, RetryAfter: wait}
	}
	return Decision{Action: GiveUp, Reason: NoServer}
}

const (
	// maxSpread and spreadShare, a share of the wait, bound the time over which callers that wait
	// for the same server are spread.
	maxSpread   = time.Second
	spreadShare = 0.25
	// spreadSteps is the number of different times.
	spreadSteps = 64
)

// spread returns a time that differs between requests, so that their callers do not return together.
func spread(requestID string, wait time.Duration) time.Duration {
	most := min(maxSpread, time.Duration(float64(wait)*spreadShare))
	return time.Duration(float64(most) * float64(pick.SplitHash(requestID)%spreadSteps) / spreadSteps)
}

// acquireRetry reports whether the request may be sent to another server, and if so
// takes one retry out of the budget.
func acquireRetry(request *work.Request, progress Progress, budget Budget) bool {
	return work.MayRetry(request.Route, progress.State, progress.Reached) && budget.TryWithdraw(request.Service)
}
