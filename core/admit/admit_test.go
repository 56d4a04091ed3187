package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/admit"
	"primrosegw/core/table"
	"primrosegw/core/work"
)

func request(now time.Time) *work.Request {
	return &work.Request{
		Route:          table.Route{Kind: table.Stream, HasPrompt: true, Objective: 1200 * time.Millisecond},
		LowestPriority: true,
		Received:       now,
		Deadline:       now.Add(4 * time.Second),
	}
}

// Guards against spending engine time on answers that will be late, and against
// refusing requests that would be answered in time.
func TestBulkIsRefusedWhenItWouldBeLate(t *testing.T) {
	now := time.Now()
	for first, admitted := range map[time.Duration]bool{
		550 * time.Millisecond: true, 650 * time.Millisecond: false, 1500 * time.Millisecond: false,
	} {
		decision := admit.Decide(request(now), admit.Prediction{QueueDelay: first / 2, FirstEvent: first}, now)
		require.Equal(t, admitted, decision.Admitted, first)
		require.Equal(t, !admitted, decision.RetryAfter > 0, first)
	}
}

// Guards against refusing the longest prompts while engines are idle, and against
// admitting one whose first event would come after its caller gives up.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	now := time.Now()
	require.True(t, admit.Decide(request(now), admit.Prediction{QueueDelay: 20 * time.Millisecond, FirstEvent: 2 * time.Second}, now).Admitted)
	require.False(t, admit.Decide(request(now), admit.Prediction{QueueDelay: 200 * time.Millisecond, FirstEvent: 2 * time.Second}, now).Admitted)
	require.False(t, admit.Decide(request(now), admit.Prediction{FirstEvent: 5 * time.Second}, now).Admitted)
}

// Guards against refusing urgent requests while less urgent ones are started, and
// against refusing plain requests, whose servers report themselves when they are full.
func TestUrgentAndPlainAreNeverRefused(t *testing.T) {
	now := time.Now()
	urgent := request(now)
	urgent.LowestPriority = false
	require.True(t, admit.Decide(urgent, admit.Prediction{QueueDelay: time.Minute, FirstEvent: time.Minute}, now).Admitted)
	plain := request(now)
	plain.Route = table.Route{Kind: table.Once, Objective: time.Millisecond}
	require.True(t, admit.Decide(plain, admit.Prediction{QueueDelay: time.Minute, FirstEvent: time.Minute}, now).Admitted)
}

// Guards against streams that are cut because their host shut down, and against a
// draining host that refuses requests that it could still serve.
func TestEnds(t *testing.T) {
	now := time.Now()
	shutdown := now.Add(5 * time.Second)
	short := request(now)
	require.True(t, admit.FinishesBefore(short, now, shutdown, now))
	last := request(now)
	last.Route.Kind = table.Idempotent
	last.Deadline = shutdown.Add(-135 * time.Millisecond)
	require.False(t, admit.FinishesBefore(last, now, shutdown, now), "the host may answer after the deadline")
	long := request(now)
	long.Deadline = now.Add(12 * time.Second)
	require.True(t, admit.FinishesBefore(long, now, shutdown, now))
	require.False(t, admit.FinishesBefore(long, now, shutdown, now.Add(time.Second)))
	far := now.Add(time.Minute)
	long.Deadline = far
	require.True(t, admit.FinishesBefore(long, now, far, now.Add(2700*time.Millisecond)))
	require.False(t, admit.FinishesBefore(long, now, far, now.Add(3*time.Second)), "a stream that is sent late must not be cut")
	long.Route.Kind = table.Once
	require.False(t, admit.FinishesBefore(long, now, shutdown, now))
}
