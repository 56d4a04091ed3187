package emul

import (
	"slices"

	"primrosegw/core/fleet"
	"primrosegw/core/steer"
	"primrosegw/core/work"
)

// Policy is a way to decide. The policies beside Production show what a part of it
// is worth.
type Policy string

// The policies.
const (
	// Production: as hosts do.
	Production Policy = "production"
	// OwnOnly: hosts know only the requests that they forward themselves.
	OwnOnly Policy = "own_only"
	// NoRefusal: no request is refused at overload.
	NoRefusal Policy = "no_refusal"
	// LeastRunning: each request goes to the server with the fewest of the host's
	// requests, and none is refused.
	LeastRunning Policy = "least_running"
	// Informed: as Production, but hosts know at each moment all that the engines
	// hold, have cached and how fast they are. No word between hosts can do better.
	Informed Policy = "informed"
	// NoPace: hosts learn no speeds of servers, and send recently started ones any number of requests.
	NoPace Policy = "no_pace"
)

// Policies are all policies.
func Policies() []Policy {
	return []Policy{Production, OwnOnly, NoRefusal, LeastRunning, Informed, NoPace}
}

// Known reports whether there is such a policy.
func (policy Policy) Known() bool { return slices.Contains(Policies(), policy) }

// overrule replaces a decision where the policy decides otherwise.
func (policy Policy) overrule(step steer.Decision, request *work.Request, members []fleet.Member, tried map[string]bool) steer.Decision {
	if policy != NoRefusal && policy != LeastRunning || step.Choice == nil {
		return step
	}
	step.Action = steer.Send
	if policy == NoRefusal {
		return step
	}
	open := slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool { return tried[member.ID] })
	if len(open) > 0 {
		step.Choice.Member = slices.MinFunc(open, func(a, b fleet.Member) int { return a.Own.Running - b.Own.Running })
		step.Choice.Share = fleet.RequestLoad{Rank: request.Rank, PrefillTokens: request.PromptTokens}
	}
	return step
}
