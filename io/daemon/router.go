package daemon

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/route"
)

const (
	// maximumTries bounds the cells and owners that one request is sent to.
	maximumTries = 6
	// probeTimeout bounds that question. A cell that does not answer in this
	// time is chosen by what is known.
	probeTimeout = 50 * time.Millisecond
)

// routing follows one request through the cells it is sent to.
type routing struct {
	daemon  *Daemon
	request cell.Request
	emit    func(cell.Chunk) error
	// tokens and text are what the caller has of the answer.
	tokens int
	text   strings.Builder
	// tried are the cells and owners that the request was sent to in vain.
	tried map[string]bool
	total cell.Outcome
	// sheds counts the cells that turned the request away.
	sheds int
}

/*
Generate implements entry.Router. A request is sent to one cell after another
until one of them ends it. What happens next depends on how a try ended:

  - The owner was not reached, or it answered that the request was not run: the
    next cell or owner is tried.
  - The owner was lost after it had the request, or its engines broke the stream:
    idempotent work goes to the next cell with the tokens that the caller already
    has, other work ends with "unknown".
  - Anything else ends the request.
*/
func (daemon *Daemon) Generate(ctx context.Context, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	routing := &routing{daemon: daemon, request: request, emit: emit, tried: make(map[string]bool)}
	routing.total.Run = cell.NotRun
	daemon.recent.add(request)
	var last error
	for range maximumTries {
		decision, err := routing.choose(ctx)
		if err != nil {
			daemon.logger.Log(event.RouteNone(), logrus.Fields{"request_id": request.ID, "model": request.Model, "error": err.Error()})
			return routing.total, routing.exhausted(last, err)
		}
		last = routing.send(ctx, decision)
		if last == nil || !routing.again(ctx, last) {
			return routing.total, routing.settle(last)
		}
		daemon.logger.Log(event.RouteFailed(), logrus.Fields{
			"request_id": request.ID, "cell": decision.Chosen.Cell, "owner": decision.Chosen.Owner.Name,
			"tokens": routing.tokens, "error": last.Error(),
		})
	}
	return routing.total, routing.settle(last)
}

// send runs the request at the chosen cell.
func (routing *routing) send(ctx context.Context, decision route.Decision) error {
	daemon := routing.daemon
	chosen := decision.Chosen
	request := routing.request
	request.ResumeTokens = routing.tokens
	request.ResumeText = routing.text.String()
	routing.tried[tryKey(chosen)] = true
	var outcome cell.Outcome
	var err error
	if chosen.Owner.Name == daemon.self.Name {
		outcome, err = daemon.serveHere(ctx, chosen.Cell, route.MaximumHops, request, routing.take)
	} else {
		outcome, err = daemon.forward(ctx, chosen.Owner, prepare(chosen.Cell, 1, request), routing.take)
	}
	routing.add(outcome)
	if routing.tokens > 0 {
		daemon.affinity.store(chosen.Cell, routing.request.Prefixes)
	}
	return err
}

// take hands a chunk to the caller. The caller gets each token once and in
// order: a piece that it has already is dropped, and a gap ends the try.
func (routing *routing) take(chunk cell.Chunk) error {
	if chunk.Offset < routing.tokens {
		return nil
	}
	if chunk.Offset > routing.tokens {
		return fault.New("daemon.take", cell.Broken, "the stream has a gap")
	}
	routing.tokens += chunk.Tokens
	routing.text.WriteString(chunk.Text)
	return routing.emit(chunk)
}

// add sums up the outcomes of the tries.
func (routing *routing) add(outcome cell.Outcome) {
	routing.total.Attempts += outcome.Attempts
	routing.total.Wasted += outcome.Wasted
	routing.total.Tokens = routing.tokens
	routing.total.RetryAfter = outcome.RetryAfter
	if outcome.Server != "" {
		routing.total.Server = outcome.Server
	}
	if outcome.Finish != "" {
		routing.total.Finish = outcome.Finish
	}
	if outcome.Run != cell.NotRun && routing.total.Run != cell.Ran {
		routing.total.Run = outcome.Run
	}
}

// again reports whether the request may go to another cell or owner.
func (routing *routing) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	var failed *lost
	if errors.As(err, &failed) {
		return !failed.delivered || routing.request.Idempotent
	}
	switch kindOf(err) {
	case cell.Shed:
		// What was known of the cell was too old. Another one is tried once;
		// under overload of all cells more tries would only add work.
		routing.sheds++
		return routing.total.Run == cell.NotRun && routing.sheds <= 1
	case cell.Closed, cell.Refused:
		return routing.total.Run == cell.NotRun || routing.request.Idempotent
	case cell.Broken, cell.Crashed, cell.Stalled:
		return routing.request.Idempotent
	default:
		return false
	}
}

// settle turns the last try's error into the caller's.
func (routing *routing) settle(err error) error {
	var failed *lost
	if !errors.As(err, &failed) {
		return err
	}
	if !failed.delivered && routing.total.Run == cell.NotRun {
		return fault.Wrap("daemon.generate", cell.Refused, err)
	}
	routing.total.Run = cell.RunUnknown
	return fault.Wrap("daemon.generate", cell.Unknown, err)
}

// exhausted is the error when no cell is left to try: the last try's, if there
// was one, as it tells more.
func (routing *routing) exhausted(last, none error) error {
	if last != nil {
		return routing.settle(last)
	}
	return fault.Wrap("daemon.generate", cell.Refused, none)
}

// choose picks the next cell and logs the decision.
func (routing *routing) choose(ctx context.Context) (route.Decision, error) {
	daemon := routing.daemon
	candidates := routing.candidates()
	decision, err := daemon.pick(routing.request, candidates)
	if err != nil {
		return route.Decision{}, err
	}
	chosen := decision.Chosen
	if decision.Probe {
		daemon.probe(ctx, candidates)
		decision, err = daemon.pick(routing.request, routing.candidates())
		if err != nil {
			return route.Decision{}, err
		}
		chosen = decision.Chosen
	}
	daemon.logger.Log(event.RouteChosen(), logrus.Fields{
		"request_id": routing.request.ID, "tier": routing.request.Tier, "cell": chosen.Cell, "owner": chosen.Owner.Name,
		"over": over(decision), "reason": decision.Reason, "wait_ms": decision.Wait.Milliseconds(), "summary_age_ms": chosen.Age.Milliseconds(),
		"resume_tokens": routing.tokens,
	})
	daemon.meter.AddToCounter("route_decisions", "reason", string(decision.Reason), 1)
	return decision, nil
}

// over describes the cells that the chosen one was compared with.
func over(decision route.Decision) string {
	described := make([]string, 0, len(decision.Alternatives))
	for _, other := range decision.Alternatives {
		described = append(described, fmt.Sprintf("%s:%dms", other.Cell, other.Wait.Milliseconds()))
	}
	return strings.Join(described, " ")
}

// candidates lists the cells of the request's model with what is known of each.
func (routing *routing) candidates() []route.Candidate {
	daemon := routing.daemon
	view := daemon.directory.current.Load()
	pool, _ := view.Pool(routing.request.Model)
	matches := daemon.affinity.match(routing.request.Prefixes)
	var candidates []route.Candidate
	for _, plan := range view.cells {
		if plan.Pool.Name != pool.Name {
			continue
		}
		candidate := route.Candidate{Cell: plan.Name, FailureDomain: plan.FailureDomain}
		for _, owner := range host.Rank(plan.Name, daemon.ownersOf(plan)) {
			candidate.Owner = owner
			if !routing.tried[tryKey(candidate)] {
				break
			}
		}
		if candidate.Owner.Name == "" {
			continue
		}
		candidate.Failed = routing.tried[tryKey(candidate)]
		daemon.know(&candidate)
		candidate.PrefixMatch = matches[plan.Name]
		candidates = append(candidates, candidate)
	}
	return candidates
}

func tryKey(candidate route.Candidate) string {
	return candidate.Cell + "\x00" + candidate.Owner.Name
}

// know fills in the candidate's load: exact for this host's own cells, as last
// heard for others.
func (daemon *Daemon) know(candidate *route.Candidate) {
	if candidate.Owner.Name == daemon.self.Name {
		candidate.Summary = daemon.cells.summary(candidate.Cell)
		candidate.Known = candidate.Summary.Cell != ""
		return
	}
	candidate.Summary, candidate.Age, candidate.Known = daemon.loads.get(candidate.Cell)
}

// probe asks the owners of cells whose load is not known well enough.
func (daemon *Daemon) probe(ctx context.Context, candidates []route.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan cell.Summary, len(candidates))
	asked := 0
	for _, candidate := range candidates {
		if candidate.Failed || candidate.Owner.Name == daemon.self.Name || candidate.Known && candidate.Age <= route.DefaultProbeAge {
			continue
		}
		asked++
		go func() {
			var summary cell.Summary
			_ = daemon.link.Ask(ctx, candidate.Owner.LinkAddress, messageProbe, probe{Cell: candidate.Cell}, &summary)
			answers <- summary
		}()
	}
	for range asked {
		daemon.loads.record(<-answers)
	}
}
