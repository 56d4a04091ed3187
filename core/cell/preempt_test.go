package cell_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
)

// Guards against a call that no free slot suits, here long work above its cap,
// and that preempts without end the lower-tier calls that get the slots taken
// back for it. Without the bound in wakeRelieved the test does not end, because
// the clock of the bubble stands still meanwhile.
func TestPreemptionForBlockedCallIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{
			Servers: servers(4, newEngine(first, gap)), LongShare: 0.25,
			Switches: cell.Switches{DisableAdmission: true},
		})
		low := cell.Request{Class: "low", Tier: 6, MaxTokens: 20, Idempotent: true}
		long := cell.Request{Class: "long", Tier: 2, MaxTokens: 300, Idempotent: true}
		attainment(stream(t, subject, 20, 500*time.Millisecond, low))
		attainment(stream(t, subject, 3, time.Second, long))
		attainment(stream(t, subject, 1, time.Second, low))
		answers := stream(t, subject, 1, time.Second, cell.Request{Class: "long", Tier: 1, MaxTokens: 300})
		answers = append(answers, stream(t, subject, 12, 0, low)...)
		answers = append(answers, stream(t, subject, 1, 0, long)...)
		for _, answer := range answers {
			answer.requireWhole(t)
		}
		require.Positive(t, subject.Stats().Preempted)
		require.Less(t, subject.Stats().Preempted, 200)
		requireIdle(t, subject)
	})
}
