// Package steer decides what a host does next with a request: send it to a
// backend server, refuse it, or give it up. It joins the decisions of the
// packages work, retry, pick and admit, so that the same code runs in hosts and in
// experiments.
package steer

import (
	"time"

	"primrosegw/core/admit"
	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/work"
)

// Action is what a host does next.
type Action string

// The actions.
const (
	// Send: the request goes to the chosen server.
	Send Action = "send"
	// Refuse: the request has not run and is turned away; the caller is told when
	// to come back.
	Refuse Action = "refuse"
	// GiveUp: no server will serve the request any more.
	GiveUp Action = "give_up"
)

// Why a request is refused or given up.
const (
	Overload = "overload"
	Deadline = "deadline"
	NoRetry  = "no_retry"
	NoServer = "no_server"
)

// Progress is what has become of a request so far.
type Progress struct {
	State work.State
	// Reached is the number of servers that may have seen the request.
	Reached int
	// Tried are the servers that are not asked again.
	Tried map[string]bool
}

// Budget pays for second attempts.
type Budget interface {
	// Spend takes one retry out of a service's budget, and reports false when the
	// budget does not cover it.
	Spend(service string) bool
}

// Step is the decision for a request at one moment.
type Step struct {
	Action Action
	// Reason is why the request is not sent.
	Reason string
	// Choice is the server that was found best; nil when none was weighed.
	Choice *pick.Choice
	// After is when a refused caller should come back; 0: soon.
	After time.Duration
}

// Next decides what to do with a request. Members are the servers of its service.
func Next(options pick.Options, request *work.Request, progress Progress, budget Budget, members []fleet.Member, now time.Time) Step {
	if request.Left(now) <= 0 {
		return Step{Action: GiveUp, Reason: Deadline}
	}
	if progress.Reached > 0 && !mayRetry(request, progress, budget) {
		return Step{Action: GiveUp, Reason: NoRetry}
	}
	choice, ok := pick.Server(options, request, members, progress.Tried, now)
	if !ok {
		return Step{Action: GiveUp, Reason: NoServer}
	}
	decision := admit.Decide(request, admit.Outlook{Wait: choice.Wait, First: choice.First}, now)
	if !decision.Admitted && progress.Reached == 0 {
		return Step{Action: Refuse, Reason: Overload, Choice: &choice, After: decision.After}
	}
	return Step{Action: Send, Choice: &choice}
}

// mayRetry reports whether another server may be sent the request, and pays for
// it.
func mayRetry(request *work.Request, progress Progress, budget Budget) bool {
	return work.MayRetry(request.Route, progress.State, progress.Reached) && budget.Spend(request.Service)
}
