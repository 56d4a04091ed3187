package work_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/table"
	"primrosegw/core/work"
)

func results() []work.Result {
	return []work.Result{work.NoConnection, work.Declined, work.Broken, work.Failed, work.Served}
}

// Guards against reporting "it has not run" for a request that a server may have run.
// This happens if a refusal by a later server hides the unknown outcome at an earlier
// one.
func TestDoubtStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, mayHaveRun := work.Unsent, false
		for _, result := range rapid.SliceOf(rapid.SampledFrom(results())).Draw(t, "results") {
			state = state.Next(result)
			mayHaveRun = mayHaveRun || result == work.Broken || result == work.Failed || result == work.Served
			require.Equal(t, !mayHaveRun, state.NotRun(), "%s after %s", state, result)
		}
	})
}

// Guards against running a request twice that may run only once, and against more
// attempts than the route allows.
func TestMayRetry(t *testing.T) {
	once := table.Route{Kind: table.Once, MaxAttempts: 3}
	idempotent := table.Route{Kind: table.Idempotent, MaxAttempts: 2}
	stream := table.Route{Kind: table.Stream, MaxAttempts: 2}
	resumable := table.Route{Kind: table.Stream, Resumable: true, MaxAttempts: 2}
	for _, test := range []struct {
		route   table.Route
		state   work.State
		reached int
		want    bool
	}{
		{once, work.Refused, 1, true},
		{once, work.Refused, 3, false},
		{once, work.Unsure, 1, false},
		{once, work.Answered, 1, false},
		{idempotent, work.Unsure, 1, true},
		{idempotent, work.Answered, 1, true},
		{idempotent, work.Unsure, 2, false},
		{stream, work.Unsure, 1, false},
		{stream, work.Refused, 1, true},
		{resumable, work.Unsure, 1, true},
		{table.Route{Kind: table.Idempotent}, work.Unsure, 1, false},
	} {
		require.Equal(t, test.want, work.MayRetry(test.route, test.state, test.reached), "%+v", test)
	}
}

// Guards against giving a server a time limit that is not measured from the current
// time.
func TestRemaining(t *testing.T) {
	now := time.Now()
	request := work.Request{Deadline: now.Add(time.Second)}
	require.Equal(t, 400*time.Millisecond, request.Remaining(now.Add(600*time.Millisecond)))
}
