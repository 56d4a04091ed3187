package heads_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
)

const environment = "test"

// step is one call of an operator's script.
type step struct {
	action  heads.Action
	subject int
	passes  bool
	// pause is the delay before the call. timeout limits the call, which also
	// stands for a restart of the operator's client.
	pause, timeout time.Duration
	plan           []callPlan
}

// report is the result of a step as the client returned it.
type report struct {
	step   step
	reason string
	result heads.Result
	err    error
}

// documents returns five documents of three lots, some with components of other
// lots.
func documents() []heads.Document {
	var all []heads.Document
	for i, lots := range [][]string{{"lot-0"}, {"lot-1"}, {"lot-2", "lot-0"}, {"lot-1", "lot-2"}, {"lot-0"}} {
		data := fmt.Appendf(nil, "document %d", i)
		all = append(all, heads.Document{Data: data, Digest: heads.Digest(data), Lot: lots[0], ComponentLots: lots[1:]})
	}
	return all
}

// genPlan generates the delays and faults of the service during one step.
func genPlan() *rapid.Generator[[]callPlan] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) callPlan {
		return callPlan{
			wait: time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * 10 * time.Millisecond,
			mode: rapid.SampledFrom([]faultMode{noFault, noFault, noFault, noFault, noFault, noFault, unavailable, lostNotWritten, lostWritten, lostWrittenLate}).Draw(t, "outcome"),
		}
	}), 0, 5)
}

// genScripts generates the scripts of two to four concurrent operators.
func genScripts() *rapid.Generator[[][]step] {
	single := rapid.Custom(func(t *rapid.T) step {
		return step{
			action:  rapid.SampledFrom([]heads.Action{heads.ActionTrial, heads.ActionVerdict, heads.ActionPromote, heads.ActionPromote, heads.ActionRecall}).Draw(t, "action"),
			subject: rapid.IntRange(0, 4).Draw(t, "subject"),
			passes:  rapid.IntRange(0, 4).Draw(t, "passes") > 0,
			pause:   time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * 10 * time.Millisecond,
			timeout: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second, time.Minute}).Draw(t, "timeout"),
			plan:    genPlan().Draw(t, "plan"),
		}
	})
	// A round is a single step or a trial followed by its verdict and promotion.
	round := rapid.Custom(func(t *rapid.T) []step {
		if rapid.Bool().Draw(t, "single") {
			return []step{single.Draw(t, "step")}
		}
		steps := rapid.SliceOfN(single, 3, 3).Draw(t, "steps")
		steps[0].action, steps[1].action, steps[2].action = heads.ActionTrial, heads.ActionVerdict, heads.ActionPromote
		return steps
	})
	script := rapid.Custom(func(t *rapid.T) []step {
		return slices.Concat(rapid.SliceOfN(round, 1, 4).Draw(t, "rounds")...)
	})
	return rapid.SliceOfN(script, 2, 4)
}

// perform executes one step. A verdict or promotion usually applies to the
// document that is currently in trial, as for an operator who reads the status
// first. The reason is unique to the step and identifies its writes.
func perform(client *heads.Client, memory *memoryStore, step step, operator, reason string) report {
	ctx, cancel := context.WithTimeout(context.Background(), step.timeout+time.Millisecond/2)
	defer cancel()
	document := documents()[step.subject]
	digest := document.Digest
	if entry, err := memory.get(heads.Key(environment)); err == nil && step.subject < 4 {
		if state, err := heads.Parse(entry.Value); err == nil && state.Trial != nil {
			digest = state.Trial.Digest
		}
	}
	var result heads.Result
	var err error
	switch step.action {
	case heads.ActionTrial:
		result, err = client.Trial(ctx, document, operator, reason)
	case heads.ActionVerdict:
		checks := []heads.Check{{Name: "valid", Passed: step.passes}}
		result, err = client.Verdict(ctx, heads.Verdict{Digest: digest, Checks: checks}, operator, reason)
	case heads.ActionPromote:
		result, err = client.Promote(ctx, digest, operator, reason)
	case heads.ActionRecall:
		result, err = client.Recall(ctx, fmt.Sprintf("lot-%d", step.subject%3), operator, reason)
	}
	return report{step, reason, result, err}
}

// runScripts runs the scripts concurrently against one service. It returns the
// results of all steps, and an error if they or the written values are wrong.
func runScripts(t *testing.T, scripts [][]step, seed uint64, configure func(*memoryStore)) (reports []report, violation error) {
	synctest.Test(t, func(*testing.T) {
		memory := newMemoryStore(heads.Key(environment))
		configure(memory)
		var mutex sync.Mutex
		var wait sync.WaitGroup
		for i, script := range scripts {
			wait.Go(func() {
				operator := fmt.Sprintf("operator-%d", i)
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				// Operators, late writes and call timeouts have different offsets, so
				// that no two events coincide and their order is deterministic.
				time.Sleep(time.Duration(2*i) * time.Millisecond)
				for number, step := range script {
					time.Sleep(step.pause)
					connection := &connection{memoryStore: memory, plan: slices.Clone(step.plan)}
					client, err := heads.New(heads.Options{
						Store: connection, Environment: environment, Host: operator, Random: random,
					})
					if err != nil {
						panic(err)
					}
					reported := perform(client, memory, step, operator, fmt.Sprintf("%s step %d", operator, number))
					mutex.Lock()
					reports = append(reports, reported)
					mutex.Unlock()
				}
			})
		}
		wait.Wait()
		time.Sleep(2 * delayedWriteLatency)
		values := memory.recorded()
		violation = errors.Join(checkValues(values), checkReports(values, reports))
	})
	return reports, violation
}

// referenceModel is a simplified model of the expected heads after each change.
type referenceModel struct {
	generation uint64
	production string
	trial      string
	passed     bool
	accepted   []string
	recalled   map[string]bool
}

// apply replays one change on the model. It returns an error if the change should
// have been rejected.
func (reference *referenceModel) apply(change heads.Change, value heads.Heads) error {
	all := map[string]heads.Document{"": {}}
	for _, document := range documents() {
		all[document.Digest] = document
	}
	subject := all[change.Digest]
	recalled := reference.recalled[subject.Lot] ||
		slices.ContainsFunc(subject.ComponentLots, func(lot string) bool { return reference.recalled[lot] })
	switch change.Action {
	case heads.ActionTrial:
		if recalled {
			return errors.New("a recalled lot was put in trial")
		}
		reference.trial, reference.passed = change.Digest, false
	case heads.ActionVerdict:
		if reference.trial != change.Digest {
			return errors.New("verdict on a document that was not in trial")
		}
		reference.passed = value.Trial.Verdict.Checks[0].Passed
	case heads.ActionPromote:
		if reference.trial != change.Digest || !reference.passed || recalled {
			return errors.New("promotion without a passing trial or of a recalled lot")
		}
		reference.generation++
		reference.production, reference.trial = change.Digest, ""
		reference.accepted = append(reference.accepted, change.Digest)
	case heads.ActionRecall:
		reference.generation++
		reference.recalled[change.Lot] = true
		if !reference.applyRecall(change.Lot, all) {
			reference.trial = ""
		}
	}
	return nil
}

// applyRecall applies a recall and reports whether the trial continues.
func (reference *referenceModel) applyRecall(lot string, all map[string]heads.Document) bool {
	if all[reference.production].Lot == lot {
		reference.production = ""
		for _, digest := range reference.accepted {
			if !reference.recalled[all[digest].Lot] {
				reference.production = digest
			}
		}
	}
	trial := all[reference.trial]
	return trial.Lot != lot && !slices.Contains(trial.ComponentLots, lot)
}

// checkValues replays all written values on the model and compares the results.
func checkValues(values [][]byte) error {
	model := referenceModel{recalled: map[string]bool{}}
	for i, data := range values {
		value, err := heads.Parse(data)
		if err != nil {
			return err
		}
		change := value.LastChange()
		if err := model.apply(change, value); err != nil {
			return fmt.Errorf("write %d: %w", i, err)
		}
		trial := ""
		if value.Trial != nil {
			trial = value.Trial.Digest
		}
		switch {
		case value.Sequence != uint64(i+1):
			return fmt.Errorf("write %d has sequence %d: a write was lost", i, value.Sequence)
		case value.Generation != model.generation:
			return fmt.Errorf("write %d has generation %d, want %d", i, value.Generation, model.generation)
		case value.Production.Digest != model.production || trial != model.trial:
			return fmt.Errorf("write %d has heads that differ from the model", i)
		case len(value.RecalledLots) != len(model.recalled):
			return fmt.Errorf("write %d has a different number of recalled lots than the model", i)
		}
	}
	return nil
}

// checkReports compares the results returned to operators with the written values.
func checkReports(values [][]byte, reports []report) error {
	written := map[string]int{}
	for _, data := range values {
		value, err := heads.Parse(data)
		if err != nil {
			return err
		}
		written[value.LastChange().Reason]++
	}
	for _, reported := range reports {
		count := written[reported.reason]
		switch {
		case reported.err == nil && count != 1:
			return fmt.Errorf("%s succeeded but was written %d times", reported.step.action, count)
		case fault.Is(reported.err, heads.Unsettled) && count > 1:
			return fmt.Errorf("an unsettled %s was written %d times", reported.step.action, count)
		case reported.err != nil && !fault.Is(reported.err, heads.Unsettled) && count != 0:
			return fmt.Errorf("%s failed (%w) but was written", reported.step.action, reported.err)
		case fault.Is(reported.err, heads.Conflict) && (reported.result.ConflictingChange.Operator == "" || reported.result.ConflictingChange.At.IsZero()):
			return errors.New("a conflict doesn't name the conflicting change")
		}
	}
	return nil
}

// scriptCount is the number of script sets that the model test runs.
const scriptCount = 1000

// Guards against lost updates, wrongly reported outcomes and reverted changes when
// operators act concurrently while replies are lost or writes are delayed.
func TestHeadsAgreeWithTheModel(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", fmt.Sprint(scriptCount)))
	require.NoError(t, flag.Set("rapid.seed", "1"))
	tally := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		scripts := genScripts().Draw(rt, "scripts")
		reports, err := runScripts(t, scripts, 1, func(*memoryStore) {})
		if err != nil {
			rt.Fatal(err)
		}
		for _, reported := range reports {
			tally[string(reported.step.action)+"/"+string(fault.KindOf[heads.Kind](reported.err))]++
			tally["settlement/"+string(reported.result.Settlement)]++
		}
	})
	t.Logf("outcomes %v", tally)
	for _, outcome := range []string{
		"promote/", "recall/", "promote/conflict", "recall/conflict", "trial/conflict", "recall/recalled",
		"promote/not_tried", "trial/recalled", "recall/unsettled", "settlement/written", "settlement/not_written",
	} {
		require.NotZero(t, tally[outcome], "the scripts never led to %s", outcome)
	}
}

// countViolations returns how many of 100 script sets fail the checks with the given
// store configuration.
func countViolations(t *testing.T, configure func(*memoryStore)) int {
	scripts, found := genScripts(), 0
	for seed := range 100 {
		if _, err := runScripts(t, scripts.Example(seed), 1, configure); err != nil {
			found++
		}
	}
	return found
}

// Guards against a model test that would pass without the revision check or
// without reading the value back after a lost reply.
func TestModelNoticesMissingSafeguards(t *testing.T) {
	require.Zero(t, countViolations(t, func(*memoryStore) {}))
	unchecked := countViolations(t, func(memory *memoryStore) { memory.skipRevisionCheck = true })
	misreported := countViolations(t, func(memory *memoryStore) { memory.misreportLostReply = true })
	t.Logf("violations in 100 script sets: without revision check %d, without read-back %d", unchecked, misreported)
	require.NotZero(t, unchecked)
	require.NotZero(t, misreported)
}
