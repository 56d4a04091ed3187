package ending_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
)

// Guards against responses that count as whole by what was true before their end, by another proof
// than that of their own run, or without an answer.
func TestVerdictByCase(t *testing.T) {
	end := time.Unix(100, 0)
	after := func(ms float64) time.Time { return end.Add(time.Duration(ms * float64(time.Millisecond))) }
	settled := after(float64(ending.Settle.Milliseconds()))
	evidence := func(outcome ending.Outcome, opened, connected, asked time.Time) ending.Evidence {
		return ending.Evidence{
			Framing: ending.Connection, Trusted: true, EndedAt: end, OpenedAt: opened, ConnectedAt: connected, AskedAt: asked,
			Outcome: outcome, Events: 3, RunEvents: ending.NotListed,
		}
	}
	unread := func(evidence ending.Evidence) ending.Evidence {
		evidence.UnreadFor = ending.MaxConnectTime
		return evidence
	}
	listed := func(evidence ending.Evidence, events int) ending.Evidence {
		evidence.RunEvents = events
		return evidence
	}
	begunFramed := func(evidence ending.Evidence) ending.Evidence {
		evidence.BegunFramed = true
		return evidence
	}
	registered := evidence(ending.Registered, after(1), after(90), after(95))
	for name, test := range map[string]struct {
		evidence ending.Evidence
		reason   ending.Case
		verdict  ending.Verdict
	}{
		"a length":     {ending.Evidence{Framing: ending.Length, EndedAt: end}, ending.Framed, ending.Whole},
		"a last chunk": {ending.Evidence{Framing: ending.Chunks, EndedAt: end}, ending.Framed, ending.Whole},
		"the registered process on a new connection":   {registered, "registered", ending.Whole},
		"asked as soon as it may be":                   {evidence(ending.Registered, end, after(1), settled), "registered", ending.Whole},
		"asked too early":                              {evidence(ending.Registered, after(0.1), after(0.2), after(0.3)), ending.AskedEarly, ending.Unknown},
		"a connection from before the end":             {evidence(ending.Registered, after(-0.1), after(0.1), settled), ending.AskedEarly, ending.Unknown},
		"the ID on a prompt connection":                {evidence(ending.SameID, after(0.1), after(0.2), settled), "same_id", ending.Whole},
		"the ID on a connection that was opened later": {evidence(ending.SameID, after(0.1), after(11), settled), ending.ConnectedLate, ending.Unknown},
		"the ID after a time without reading":          {unread(evidence(ending.SameID, after(0.1), after(0.2), settled)), ending.ConnectedLate, ending.Unknown},
		"the ID, asked too early":                      {evidence(ending.SameID, after(0.1), after(0.2), after(0.3)), ending.AskedEarly, ending.Unknown},
		"the ID on a connection from before the end":   {evidence(ending.SameID, after(-1), after(-0.5), settled), ending.AskedEarly, ending.Unknown},
		"another process":                              {evidence(ending.OtherProcess, after(1), after(2), settled), "other_process", ending.Ended},
		"nobody takes connections":                     {evidence(ending.Refused, after(1), time.Time{}, time.Time{}), "refused", ending.Ended},
		"no connection may be opened":                  {evidence(ending.NoConnection, after(1), time.Time{}, time.Time{}), "no_connection", ending.Unknown},
		"no answer":                                    {evidence(ending.NoAnswer, after(1), after(2), settled), "no_answer", ending.Unknown},
		"an answer without a name":                     {evidence(ending.Unnamed, after(1), after(2), settled), "unnamed", ending.Unknown},
		"not asked":                                    {evidence(ending.Unasked, time.Time{}, time.Time{}, time.Time{}), "unasked", ending.Unknown},
		"no question in the protocol":                  {evidence(ending.NoQuestion, time.Time{}, time.Time{}, time.Time{}), "no_question", ending.Whole},
		"a run with more events":                       {listed(registered, 4), ending.RunCut, ending.Cut},
		"a run with more events, asked too early":      {listed(evidence(ending.Registered, after(0.1), after(0.2), after(0.3)), 4), ending.RunCut, ending.Cut},
		"a run with as many events":                    {listed(registered, 3), "registered", ending.Whole},
		"a run with fewer events, as lists are old":    {listed(registered, 1), "registered", ending.Whole},
		"more events of a run of another process":      {listed(evidence(ending.OtherProcess, after(1), after(2), settled), 4), "other_process", ending.Ended},
		"a last chunk for what began with chunks":      {begunFramed(ending.Evidence{Framing: ending.Chunks, EndedAt: end}), ending.Framed, ending.Whole},
		"a connection's end for what began with them":  {begunFramed(registered), ending.BegunFramed, ending.Unknown},
		"nothing known":                                {ending.Evidence{}, ending.Untrusted, ending.Unknown},
	} {
		reason, verdict := test.evidence.Judge()
		require.Equal(t, test.reason, reason, name)
		require.Equal(t, test.verdict, verdict, name)
	}
}

// Guards against a service that is trusted by default: whatever its server answers, the end of a
// connection proves nothing, and no question is asked.
func TestNoAnswerProvesTheEndOfARunByDefault(t *testing.T) {
	end := time.Unix(100, 0)
	for _, outcome := range []ending.Outcome{
		ending.Unasked, ending.NoQuestion, ending.NoConnection, ending.Refused, ending.NoAnswer, ending.Unnamed, ending.OtherProcess, ending.Registered, ending.SameID, "",
	} {
		evidence := ending.Evidence{Framing: ending.Connection, EndedAt: end, OpenedAt: end, ConnectedAt: end, AskedAt: end.Add(ending.Settle), Outcome: outcome, RunEvents: ending.NotListed}
		reason, verdict := evidence.Judge()
		require.Equal(t, ending.Untrusted, reason, outcome)
		require.Equal(t, ending.Unknown, verdict, outcome)
		require.False(t, evidence.NeedsAnswer())
		evidence.Trusted = true
		require.True(t, evidence.NeedsAnswer())
	}
	require.False(t, ending.Evidence{Framing: ending.Connection, Trusted: true, BegunFramed: true}.NeedsAnswer())
	require.False(t, ending.Evidence{Framing: ending.Chunks, Trusted: true}.NeedsAnswer())
	require.False(t, ending.Evidence{Framing: ending.Length, Trusted: true}.NeedsAnswer())
}

// Guards against work that runs again where its route does not allow it, and against a part of a
// response that another one stands behind.
func TestRemedyByRoute(t *testing.T) {
	for number := range 16 {
		progress := ending.Progress{Delivered: number&1 > 0, Resumable: number&2 > 0, Provable: number&4 > 0, Repeatable: number&8 > 0}
		var want ending.Remedy
		switch {
		case !progress.Delivered && progress.Repeatable:
			want = ending.Repeat
		case !progress.Delivered:
			want = ending.Refuse
		case progress.Resumable && progress.Provable:
			want = ending.Resume
		default:
			want = ending.BreakOff
		}
		require.Equal(t, want, progress.Remedy(), "%+v", progress)
	}
}

// Guards against a response that is given out though its process has ended with it or cuts are known,
// and against sound ones that are not because their server can't be asked.
func TestResponsesArePassedOnWhileNoCutsAreKnown(t *testing.T) {
	end := time.Unix(100, 0)
	for _, outcome := range []ending.Outcome{
		ending.Unasked, ending.NoConnection, ending.Refused, ending.NoAnswer, ending.Unnamed, ending.OtherProcess, ending.Registered, ending.SameID,
	} {
		evidence := ending.Evidence{Framing: ending.Connection, NoCuts: true, EndedAt: end, Outcome: outcome, RunEvents: ending.NotListed}
		require.True(t, evidence.NeedsAnswer())
		reason, verdict := evidence.Judge()
		if outcome == ending.Refused || outcome == ending.OtherProcess {
			require.Equal(t, ending.Case(outcome), reason)
			require.Equal(t, ending.Ended, verdict)
			require.False(t, verdict.Serves())
			continue
		}
		require.Equal(t, ending.NoCuts, reason, outcome)
		require.Equal(t, ending.PassedOn, verdict, outcome)
		require.True(t, verdict.Serves())
		evidence.NoCuts = false
		_, verdict = evidence.Judge()
		require.False(t, verdict.Serves(), outcome)
	}
	require.False(t, ending.Evidence{Framing: ending.Connection, NoCuts: true, BegunFramed: true}.NeedsAnswer())
}

// Guards against a response whose end is taken from another framing than it has.
func TestFraming(t *testing.T) {
	require.Equal(t, ending.Length, ending.FramingOf(0, false))
	require.Equal(t, ending.Chunks, ending.FramingOf(-1, true))
	require.Equal(t, ending.Connection, ending.FramingOf(-1, false))
}

// Guards against callers that each wait for an answer which never comes, and against a server that
// is never asked again.
func TestSilentServersAreAskedNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := ending.NewSilent()
		for range 3 {
			require.True(t, silent.MayAsk("a", time.Now()))
			silent.Record("a", ending.NoAnswer, time.Now())
		}
		require.False(t, silent.MayAsk("a", time.Now()))
		require.True(t, silent.MayAsk("b", time.Now()))
		time.Sleep(ending.NoAnswerPause)
		require.True(t, silent.MayAsk("a", time.Now()))
		require.False(t, silent.MayAsk("a", time.Now()), "one trial after the pause")
		silent.Record("a", ending.NoAnswer, time.Now())
		require.False(t, silent.MayAsk("a", time.Now()))
		time.Sleep(ending.NoAnswerPause)
		require.True(t, silent.MayAsk("a", time.Now()))
		silent.Record("a", ending.Registered, time.Now())
		for range 2 {
			require.True(t, silent.MayAsk("a", time.Now()))
			silent.Record("a", ending.NoAnswer, time.Now())
		}
		require.True(t, silent.MayAsk("a", time.Now()), "single lost answers do not count")
	})
}

// Guards against a server that is asked for each response though it never names its process.
func TestUnnamedServersAreNotAskedForEachResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := ending.NewSilent()
		silent.Record("a", ending.Unnamed, time.Now())
		require.False(t, silent.MayAsk("a", time.Now()))
		time.Sleep(ending.UnnamedPause)
		require.True(t, silent.MayAsk("a", time.Now()))
	})
}

// Guards against a record that grows with each process that has ever served.
func TestSilentServersAreForgotten(t *testing.T) {
	silent := ending.NewSilent()
	for number := range 10_000 {
		silent.Record(fmt.Sprint(number), ending.Unnamed, time.Unix(int64(number), 0))
	}
	require.False(t, silent.MayAsk("9999", time.Unix(10_000, 0)))
	require.True(t, silent.MayAsk("0", time.Unix(10_000, 0)))
}
