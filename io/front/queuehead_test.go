package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/room"
)

// Guards against requests that wait behind a stream which only a full server may go on with, though another one has room, and
// against a stream that then loses its turn.
func TestStreamOfAFullVersionDoesNotBlockTheOthers(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addVersion("a", "v1", breakThenResume())
	harness.post("/resume/", "x", "X-Id", "first")
	harness.addVersion("b", "v2", brittleSuccess())
	harness.fill("a")
	harness.room.Observe(harness.servers["b"], room.Observation{Number: 3, Slots: 1}, time.Now())
	taken := harness.start("/resume/", "next", "X-Resumes", "first", "X-Last", "3")
	for _, id := range []string{"id-1", "id-2", "id-3"} {
		require.Equal(t, 200, requireSoon(t, harness.start("/safe/", id), id).status)
	}
	harness.empty("a")
	got := requireSoon(t, taken, "the stream")
	require.Equal(t, events(4, 6), got.body)
}
