package bench_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/standin/engine"
)

// record says what became of one call.
type record struct {
	class class
	at    time.Duration
	// first and last are the times of the first and the latest token since the
	// caller sent the call; zero: none came.
	first, last time.Duration
	tokens      int
	// whole: the answer ended without an error.
	whole bool
	// wrong: what came is not a part of the call's own answer.
	wrong bool
	// open: the run ended before the call did.
	open     bool
	shed     int
	attempts int
	err      error
	// until is the age at which the call or the run ended.
	until time.Duration
	text  strings.Builder
}

// verdict says whether a call met its target.
type verdict int

// The verdicts; undecided calls were open at the end and not yet late.
const (
	undecided verdict = iota
	met
	missed
)

// verdict judges a call by its class's targets: the first token in time, the
// mean time between tokens, and the whole answer.
func (record *record) verdict() verdict {
	if record.wrong || !record.whole && !record.open {
		return missed
	}
	if record.first == 0 && record.until <= record.class.firstToken {
		return undecided
	}
	if record.first == 0 || record.first > record.class.firstToken {
		return missed
	}
	end, gaps := record.last, record.tokens-1
	if record.open {
		end, gaps = record.until, record.tokens
	}
	if gaps > 0 && (end-record.first)/time.Duration(gaps) > record.class.between {
		return missed
	}
	if record.open {
		return undecided
	}
	return met
}

// result is what one run brought.
type result struct {
	profile  profile
	scenario scenario
	policy   string
	seed     uint64
	records  []*record
	totals   engine.Stats
	// audit is that of the router; nil for the baselines.
	audit *audit
}

// policy is a router with the scenarios that it is measured in.
type policy struct {
	name string
	// scenarios names the workloads; nil: all.
	scenarios []string
	build     func(ctx context.Context, fleet *fleet, seed uint64) router
}

// run measures a policy in a scenario, under a paused clock.
func run(t *testing.T, profile profile, scenario scenario, policy policy, seed uint64) result {
	result := result{profile: profile, scenario: scenario, policy: policy.name, seed: seed}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), scenario.horizon)
		defer cancel()
		fleet := newFleet(profile, scenario, seed)
		if scenario.faults != nil {
			scenario.faults(fleet)
		}
		runner := &runner{profile: profile, scenario: scenario, router: policy.build(ctx, fleet, seed), begun: time.Now()}
		runner.play(ctx, arrivalsOf(profile, scenario, seed))
		result.records = runner.records
		result.totals = fleet.totals()
		if primrose, ok := runner.router.(*primrose); ok {
			result.audit = primrose.audit
		}
		cancel()
		synctest.Wait()
	})
	return result
}

// runner plays the callers of one run.
type runner struct {
	profile  profile
	scenario scenario
	router   router
	begun    time.Time
	group    sync.WaitGroup
	records  []*record
}

// play sends all calls at their times and waits for their ends.
func (runner *runner) play(ctx context.Context, arrivals []arrival) {
	if runner.scenario.poison {
		runner.group.Go(func() { runner.sendPoison(ctx, arrivals[0]) })
	}
	for i := range arrivals {
		arrival := &arrivals[i]
		time.Sleep(arrival.at - time.Since(runner.begun))
		record := &record{class: arrival.class, at: arrival.at}
		runner.records = append(runner.records, record)
		runner.group.Go(func() { runner.call(ctx, fmt.Sprintf("r%d", i), arrival, record) })
	}
	runner.group.Wait()
}

// call sends one call; a caller that insists comes back when it is shed.
func (runner *runner) call(ctx context.Context, id string, arrival *arrival, record *record) {
	begun := time.Now()
	for {
		outcome, err := runner.attempt(ctx, id, arrival, record, begun)
		record.err = err
		record.attempts += outcome.Attempts
		if !fault.Is(err, cell.Shed) {
			break
		}
		record.shed++
		insists := runner.scenario.insist && arrival.class.name == runner.profile.lowest
		if !insists || !sleep(ctx, max(outcome.RetryAfter, time.Second)) {
			break
		}
	}
	record.until = time.Since(begun)
	record.whole = record.err == nil
	record.open = !record.whole && ctx.Err() != nil
	record.check(arrival)
}

// sleep waits, and reports false when the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends a call once. The delays on the way are slept on the way in and
// added to the times on the way back.
func (runner *runner) attempt(ctx context.Context, id string, arrival *arrival, record *record, begun time.Time) (cell.Outcome, error) {
	time.Sleep(clientDelay)
	way := clientDelay + runner.profile.delay
	return runner.router.serve(ctx, arrival.host, arrival.pool, arrival.request(id, runner.profile), func(chunk cell.Chunk) error {
		if chunk.Offset != record.tokens {
			record.wrong = true
		}
		if chunk.Tokens == 0 {
			return nil
		}
		record.last = time.Since(begun) + way
		if record.tokens == 0 {
			record.first = record.last
		}
		record.tokens += chunk.Tokens
		record.text.WriteString(chunk.Text)
		return nil
	})
}

// check compares what came with the call's own answer.
func (record *record) check(arrival *arrival) {
	want, _, err := engine.Answer(arrival.body)
	got := record.text.String()
	if err != nil || !strings.HasPrefix(want, got) || record.whole && want != got {
		record.wrong = true
	}
	record.text.Reset()
}

// sendPoison sends a call that crashes engines and sends it again after each
// failure, each time through another entry host.
func (runner *runner) sendPoison(ctx context.Context, like arrival) {
	const begin, pause, sends = 3 * time.Second, time.Second, 8
	like.class, like.pool = runner.profile.classes[1], 0
	like.setPrompt(poisonMark)
	if !sleep(ctx, begin) {
		return
	}
	for i := range sends {
		like.host = i % entryHosts
		record := &record{class: like.class}
		_, err := runner.attempt(ctx, fmt.Sprintf("poison%d", i), &like, record, time.Now())
		if err == nil || !sleep(ctx, pause) {
			return
		}
	}
}
