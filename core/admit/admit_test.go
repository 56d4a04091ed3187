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
		Route:    table.Route{Kind: table.Stream, Prompts: true, Objective: 1200 * time.Millisecond},
		Bulk:     true,
		Received: now,
		Deadline: now.Add(4 * time.Second),
	}
}

// Guards against an engine's time that goes to answers which are late, and
// against a refusal of what would be in time.
func TestBulkIsRefusedWhenItWouldBeLate(t *testing.T) {
	now := time.Now()
	require.True(t, admit.Decide(request(now), time.Second, now).Admitted)
	refused := admit.Decide(request(now), 1500*time.Millisecond, now)
	require.False(t, refused.Admitted)
	require.Positive(t, refused.After)
}

// Guards against a refusal of urgent work while less urgent work is begun, and of
// plain calls, whose servers say themselves when they are full.
func TestUrgentAndPlainAreNeverRefused(t *testing.T) {
	now := time.Now()
	urgent := request(now)
	urgent.Bulk = false
	require.True(t, admit.Decide(urgent, time.Minute, now).Admitted)
	plain := request(now)
	plain.Route = table.Route{Kind: table.Once, Objective: time.Millisecond}
	require.True(t, admit.Decide(plain, time.Minute, now).Admitted)
}

// Guards against a stream that is cut because its host left, and against a host
// that refuses what it could still serve.
func TestEnds(t *testing.T) {
	now := time.Now()
	gone := now.Add(5 * time.Second)
	short := request(now)
	require.True(t, admit.Ends(short, gone, now))
	long := request(now)
	long.Deadline = now.Add(12 * time.Second)
	require.True(t, admit.Ends(long, gone, now))
	require.False(t, admit.Ends(long, gone, now.Add(time.Second)))
	long.Route.Kind = table.Once
	require.False(t, admit.Ends(long, gone, now))
}
