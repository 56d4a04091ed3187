package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// Guards against a row of failures that a crash ends which looks like the end of a response, and against one that a sound response does not end.
func TestArrivedResponseEndsARowOfFailuresUnlessTheServerCrashed(t *testing.T) {
	for _, survived := range []bool{true, false} {
		servers, now := fleet.New(), time.Now()
		registered := fleet.Server{ID: "a", Service: "engines"}
		servers.Put(registered)
		servers.RecordBrokenAnswer("a", now)
		servers.RecordBrokenAnswer("a", now)
		servers.RecordArrived("a", now)
		servers.RecordSurvived(registered, now.Add(-time.Second))
		if survived {
			servers.RecordSurvived(registered, now.Add(time.Second))
		}
		servers.RecordBrokenAnswer("a", now)
		require.Zero(t, servers.SuspendedFor("a", now), "survived %v", survived)
		servers.RecordUnreachable("a", now)
		want := 2
		if !survived {
			want = 4
		}
		require.Equal(t, want, servers.Members("engines", now)[0].ConsecutiveFailures, "survived %v", survived)
	}
}
