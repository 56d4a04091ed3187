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
		Route:    table.Route{Kind: table.Stream, HasPrompt: true, Objective: 1200 * time.Millisecond},
		Bulk:     true,
		Received: now,
		Deadline: now.Add(4 * time.Second),
	}
}

// Guards against an engine's time that goes to answers which are late, and
// against a refusal of what would be in time.
func TestBulkIsRefusedWhenItWouldBeLate(t *testing.T) {
	now := time.Now()
	for first, admitted := range map[time.Duration]bool{
		550 * time.Millisecond: true, 650 * time.Millisecond: false, 1500 * time.Millisecond: false,
	} {
		decision := admit.Decide(request(now), admit.Outlook{Wait: first / 2, First: first}, now)
		require.Equal(t, admitted, decision.Admitted, first)
		require.Equal(t, !admitted, decision.After > 0, first)
	}
}

// Guards against the longest prompts being refused by engines that are idle, and
// against one that can't begin before its caller gives up.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	now := time.Now()
	require.True(t, admit.Decide(request(now), admit.Outlook{Wait: 20 * time.Millisecond, First: 2 * time.Second}, now).Admitted)
	require.False(t, admit.Decide(request(now), admit.Outlook{Wait: 200 * time.Millisecond, First: 2 * time.Second}, now).Admitted)
	require.False(t, admit.Decide(request(now), admit.Outlook{First: 5 * time.Second}, now).Admitted)
}

// Guards against a refusal of urgent work while less urgent work is begun, and of
// plain calls, whose servers say themselves when they are full.
func TestUrgentAndPlainAreNeverRefused(t *testing.T) {
	now := time.Now()
	urgent := request(now)
	urgent.Bulk = false
	require.True(t, admit.Decide(urgent, admit.Outlook{Wait: time.Minute, First: time.Minute}, now).Admitted)
	plain := request(now)
	plain.Route = table.Route{Kind: table.Once, Objective: time.Millisecond}
	require.True(t, admit.Decide(plain, admit.Outlook{Wait: time.Minute, First: time.Minute}, now).Admitted)
}

// Guards against a stream that is cut because its host left, and against a host
// that refuses what it could still serve.
func TestEnds(t *testing.T) {
	now := time.Now()
	gone := now.Add(5 * time.Second)
	short := request(now)
	require.True(t, admit.Ends(short, gone, now))
	last := request(now)
	last.Route.Kind = table.Idempotent
	last.Deadline = gone.Add(-135 * time.Millisecond)
	require.False(t, admit.Ends(last, gone, now), "the host's own answer comes after the deadline")
	long := request(now)
	long.Deadline = now.Add(12 * time.Second)
	require.True(t, admit.Ends(long, gone, now))
	require.False(t, admit.Ends(long, gone, now.Add(time.Second)))
	long.Route.Kind = table.Once
	require.False(t, admit.Ends(long, gone, now))
}
