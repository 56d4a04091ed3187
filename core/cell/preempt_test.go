package cell_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
)

// Guards against endless preemption for a call that fits no free slot, here a
// long call above the long cap: each freed slot goes to a lower tier, is
// preempted again, and so on. Without the tier check in wakePreemptor the test
// never ends, because the fake clock does not advance meanwhile.
func TestPreemptionForBlockedCallIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{
			Servers: servers(4, newEngine(firstToken, tokenGap)), LongShare: 0.25,
			Switches: cell.Switches{DisableAdmission: true},
		})
		low := cell.Request{Class: "low", Tier: 6, MaxTokens: 20, Idempotent: true}
		long := cell.Request{Class: "long", Tier: 2, MaxTokens: 300, Idempotent: true}
		attainment(sendCalls(t, subject, 20, 500*time.Millisecond, low))
		attainment(sendCalls(t, subject, 3, time.Second, long))
		attainment(sendCalls(t, subject, 1, time.Second, low))
		answers := sendCalls(t, subject, 1, time.Second, cell.Request{Class: "long", Tier: 1, MaxTokens: 300})
		answers = append(answers, sendCalls(t, subject, 12, 0, low)...)
		answers = append(answers, sendCalls(t, subject, 1, 0, long)...)
		for _, answer := range answers {
			answer.requireComplete(t)
		}
		require.Positive(t, subject.Stats().Preempted)
		require.Less(t, subject.Stats().Preempted, 200)
		requireIdle(t, subject)
	})
}
