package ending_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
)

// Guards against responses that count as whole by what was true before their end, or without an
// answer.
func TestVerdictByCase(t *testing.T) {
	end := time.Unix(100, 0)
	after := func(ms float64) time.Time { return end.Add(time.Duration(ms * float64(time.Millisecond))) }
	settled := after(float64(ending.Settle.Milliseconds()))
	evidence := func(outcome ending.Outcome, opened, connected, asked time.Time) ending.Evidence {
		return ending.Evidence{Framing: ending.Connection, EndedAt: end, OpenedAt: opened, ConnectedAt: connected, AskedAt: asked, Outcome: outcome}
	}
	unread := func(evidence ending.Evidence) ending.Evidence {
		evidence.UnreadFor = ending.MaxConnectTime
		return evidence
	}
	for name, test := range map[string]struct {
		evidence ending.Evidence
		verdict  ending.Verdict
	}{
		"a length":     {ending.Evidence{Framing: ending.Length, EndedAt: end}, ending.Whole},
		"a last chunk": {ending.Evidence{Framing: ending.Chunks, EndedAt: end}, ending.Whole},
		"the registered process on a new connection":   {evidence(ending.Registered, after(1), after(90), after(95)), ending.Whole},
		"asked as soon as it may be":                   {evidence(ending.Registered, end, after(1), settled), ending.Whole},
		"asked too early":                              {evidence(ending.Registered, after(0.1), after(0.2), after(0.3)), ending.Unknown},
		"a connection from before the end":             {evidence(ending.Registered, after(-0.1), after(0.1), settled), ending.Unknown},
		"the ID on a prompt connection":                {evidence(ending.SameID, after(0.1), after(0.2), settled), ending.Whole},
		"the ID on a connection that was opened later": {evidence(ending.SameID, after(0.1), after(11), settled), ending.Unknown},
		"the ID after a time without reading":          {unread(evidence(ending.SameID, after(0.1), after(0.2), settled)), ending.Unknown},
		"the ID, asked too early":                      {evidence(ending.SameID, after(0.1), after(0.2), after(0.3)), ending.Unknown},
		"the ID on a connection from before the end":   {evidence(ending.SameID, after(-1), after(-0.5), settled), ending.Unknown},
		"another process":                              {evidence(ending.OtherProcess, after(1), after(2), settled), ending.Ended},
		"nobody takes connections":                     {evidence(ending.Refused, after(1), time.Time{}, time.Time{}), ending.Ended},
		"no connection may be opened":                  {evidence(ending.NoConnection, after(1), time.Time{}, time.Time{}), ending.Unknown},
		"no answer":                                    {evidence(ending.NoAnswer, after(1), after(2), settled), ending.Unknown},
		"an answer without a name":                     {evidence(ending.Unnamed, after(1), after(2), settled), ending.Unknown},
		"not asked":                                    {evidence(ending.Unasked, time.Time{}, time.Time{}, time.Time{}), ending.Unknown},
		"nothing known":                                {ending.Evidence{}, ending.Unknown},
	} {
		require.Equal(t, test.verdict, test.evidence.Verdict(), name)
	}
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
