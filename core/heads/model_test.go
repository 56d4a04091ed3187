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

// deed is one thing an operator does.
type deed struct {
	action  heads.Action
	subject int
	passes  bool
	// pause is waited before; patience bounds the call, as a restart of the
	// operator's client would.
	pause, patience time.Duration
	plan            []planned
}

// answer is what an operator was told about a deed.
type answer struct {
	deed   deed
	reason string
	result heads.Result
	err    error
}

// documents are five documents of three lots; some hold parts of other lots.
func documents() []heads.Document {
	var all []heads.Document
	for i, lots := range [][]string{{"lot-0"}, {"lot-1"}, {"lot-2", "lot-0"}, {"lot-1", "lot-2"}, {"lot-0"}} {
		data := fmt.Appendf(nil, "document %d", i)
		all = append(all, heads.Document{Data: data, Digest: heads.Digest(data), Lot: lots[0], Parts: lots[1:]})
	}
	return all
}

// genPlan draws the behaviour of the service for one deed.
func genPlan() *rapid.Generator[[]planned] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) planned {
		return planned{
			wait:    time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * 10 * time.Millisecond,
			outcome: rapid.SampledFrom([]outcome{fine, fine, fine, fine, fine, fine, down, lostBefore, lostAfter, lostDelayed}).Draw(t, "outcome"),
		}
	}), 0, 5)
}

// genScripts draws what two to four operators do at the same time.
func genScripts() *rapid.Generator[[][]deed] {
	one := rapid.Custom(func(t *rapid.T) deed {
		return deed{
			action:   rapid.SampledFrom([]heads.Action{heads.Tried, heads.Judged, heads.Promoted, heads.Promoted, heads.Withdrew}).Draw(t, "action"),
			subject:  rapid.IntRange(0, 4).Draw(t, "subject"),
			passes:   rapid.IntRange(0, 4).Draw(t, "passes") > 0,
			pause:    time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * 10 * time.Millisecond,
			patience: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second, time.Minute}).Draw(t, "patience"),
			plan:     genPlan().Draw(t, "plan"),
		}
	})
	// A round is a single deed, or a trial with its verdict and promotion.
	round := rapid.Custom(func(t *rapid.T) []deed {
		if rapid.Bool().Draw(t, "single") {
			return []deed{one.Draw(t, "deed")}
		}
		deeds := rapid.SliceOfN(one, 3, 3).Draw(t, "deeds")
		deeds[0].action, deeds[1].action, deeds[2].action = heads.Tried, heads.Judged, heads.Promoted
		return deeds
	})
	script := rapid.Custom(func(t *rapid.T) []deed {
		return slices.Concat(rapid.SliceOfN(round, 1, 4).Draw(t, "rounds")...)
	})
	return rapid.SliceOfN(script, 2, 4)
}

// perform lets an operator do one deed. The subject of a verdict and of a
// promotion is mostly what is in trial, as with a person who looks first.
// Each deed has a reason of its own, by which its writes are told.
func perform(client *heads.Client, memory *memory, deed deed, operator, reason string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deed.patience+time.Millisecond/2)
	defer cancel()
	document := documents()[deed.subject]
	digest := document.Digest
	if entry, err := memory.get(heads.Key(environment)); err == nil && deed.subject < 4 {
		if state, err := heads.Parse(entry.Value); err == nil && state.Trial != nil {
			digest = state.Trial.Digest
		}
	}
	var result heads.Result
	var err error
	switch deed.action {
	case heads.Tried:
		result, err = client.Trial(ctx, document, operator, reason)
	case heads.Judged:
		checks := []heads.Check{{Name: "valid", Passed: deed.passes}}
		result, err = client.Verdict(ctx, heads.Verdict{Digest: digest, Checks: checks}, operator, reason)
	case heads.Promoted:
		result, err = client.Promote(ctx, digest, operator, reason)
	case heads.Withdrew:
		result, err = client.Recall(ctx, fmt.Sprintf("lot-%d", deed.subject%3), operator, reason)
	}
	return answer{deed, reason, result, err}
}

// explore runs the scripts against one service and returns what the operators
// were told and what is wrong with the outcome.
func explore(t *testing.T, scripts [][]deed, seed uint64, spoil func(*memory)) (answers []answer, wrong error) {
	synctest.Test(t, func(*testing.T) {
		memory := newMemory(heads.Key(environment))
		spoil(memory)
		var mutex sync.Mutex
		var wait sync.WaitGroup
		for i, script := range scripts {
			wait.Go(func() {
				operator := fmt.Sprintf("operator-%d", i)
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				// Operators, late writes and the ends of calls fall on different
				// instants, so that the order of events is the same in every run.
				time.Sleep(time.Duration(2*i) * time.Millisecond)
				for number, deed := range script {
					time.Sleep(deed.pause)
					connection := &session{memory: memory, plan: slices.Clone(deed.plan)}
					client, err := heads.New(heads.Options{
						Store: connection, Environment: environment, Host: operator, Random: random,
					})
					if err != nil {
						panic(err)
					}
					told := perform(client, memory, deed, operator, fmt.Sprintf("%s deed %d", operator, number))
					mutex.Lock()
					answers = append(answers, told)
					mutex.Unlock()
				}
			})
		}
		wait.Wait()
		time.Sleep(2 * lateness)
		values := memory.written()
		wrong = errors.Join(checkValues(values), checkAnswers(values, answers))
	})
	return answers, wrong
}

// reference is the small model: what the heads should be after each change.
type reference struct {
	generation uint64
	production string
	trial      string
	passed     bool
	accepted   []string
	recalled   map[string]bool
}

// step replays one change on the model and returns why it should not have been
// made.
func (reference *reference) step(change heads.Change, value heads.Heads) error {
	all := map[string]heads.Document{"": {}}
	for _, document := range documents() {
		all[document.Digest] = document
	}
	subject := all[change.Digest]
	bad := reference.recalled[subject.Lot] ||
		slices.ContainsFunc(subject.Parts, func(lot string) bool { return reference.recalled[lot] })
	switch change.Action {
	case heads.Tried:
		if bad {
			return errors.New("a recalled lot was put in trial")
		}
		reference.trial, reference.passed = change.Digest, false
	case heads.Judged:
		if reference.trial != change.Digest {
			return errors.New("verdict on a document that was not in trial")
		}
		reference.passed = value.Trial.Verdict.Checks[0].Passed
	case heads.Promoted:
		if reference.trial != change.Digest || !reference.passed || bad {
			return errors.New("promotion without a passing trial or of a recalled lot")
		}
		reference.generation++
		reference.production, reference.trial = change.Digest, ""
		reference.accepted = append(reference.accepted, change.Digest)
	case heads.Withdrew:
		reference.generation++
		reference.recalled[change.Lot] = true
		if !reference.fallBack(change.Lot, all) {
			reference.trial = ""
		}
	}
	return nil
}

// fallBack applies a recall and reports whether the trial goes on.
func (reference *reference) fallBack(lot string, all map[string]heads.Document) bool {
	if all[reference.production].Lot == lot {
		reference.production = ""
		for _, digest := range reference.accepted {
			if !reference.recalled[all[digest].Lot] {
				reference.production = digest
			}
		}
	}
	trial := all[reference.trial]
	return trial.Lot != lot && !slices.Contains(trial.Parts, lot)
}

// checkValues replays all writes on the model.
func checkValues(values [][]byte) error {
	model := reference{recalled: map[string]bool{}}
	for i, data := range values {
		value, err := heads.Parse(data)
		if err != nil {
			return err
		}
		change := value.Last()
		if err := model.step(change, value); err != nil {
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
			return fmt.Errorf("write %d has other heads than the model", i)
		case len(value.Withdrawn) != len(model.recalled):
			return fmt.Errorf("write %d forgot a recalled lot", i)
		}
	}
	return nil
}

// checkAnswers compares what operators were told with what was written.
func checkAnswers(values [][]byte, answers []answer) error {
	written := map[string]int{}
	for _, data := range values {
		value, err := heads.Parse(data)
		if err != nil {
			return err
		}
		written[value.Last().Reason]++
	}
	for _, told := range answers {
		count := written[told.reason]
		switch {
		case told.err == nil && count != 1:
			return fmt.Errorf("%s was reported as done and written %d times", told.deed.action, count)
		case fault.Is(told.err, heads.Unsettled) && count > 1:
			return fmt.Errorf("an unsettled %s was written %d times", told.deed.action, count)
		case told.err != nil && !fault.Is(told.err, heads.Unsettled) && count != 0:
			return fmt.Errorf("%s was reported as not done (%w) and was written", told.deed.action, told.err)
		case fault.Is(told.err, heads.Conflict) && (told.result.Winner.Operator == "" || told.result.Winner.At.IsZero()):
			return errors.New("a conflict doesn't name its winner")
		}
	}
	return nil
}

// modelSeeds is the number of scripts explored.
const modelSeeds = 1000

// Guards against lost updates, changes reported wrongly, and reversals, when
// operators act at the same time while replies get lost or come late.
func TestHeadsAgreeWithTheModel(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", fmt.Sprint(modelSeeds)))
	require.NoError(t, flag.Set("rapid.seed", "1"))
	tally := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		scripts := genScripts().Draw(rt, "scripts")
		answers, err := explore(t, scripts, 1, func(*memory) {})
		if err != nil {
			rt.Fatal(err)
		}
		for _, told := range answers {
			tally[string(told.deed.action)+"/"+string(fault.KindOf[heads.Kind](told.err))]++
			tally["settlement/"+string(told.result.Settlement)]++
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

// violations returns how many of the scripts end wrongly with a spoilt service.
func violations(t *testing.T, spoil func(*memory)) int {
	scripts, found := genScripts(), 0
	for seed := range 100 {
		if _, err := explore(t, scripts.Example(seed), 1, spoil); err != nil {
			found++
		}
	}
	return found
}

// Guards against a model test that would pass without the revision fence or
// without reading back.
func TestModelNoticesMissingSafeguards(t *testing.T) {
	require.Zero(t, violations(t, func(*memory) {}))
	unfenced := violations(t, func(memory *memory) { memory.unfenced = true })
	blind := violations(t, func(memory *memory) { memory.blind = true })
	t.Logf("of 100 scripts wrong: without fence %d, without read-back %d", unfenced, blind)
	require.NotZero(t, unfenced)
	require.NotZero(t, blind)
}
