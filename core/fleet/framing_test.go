package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
)

// Guards against a server that is avoided for ever because of unproven ends, and against ends of another process that count.
func TestUnprovenRateFadesAndEndsWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fleet.New()
		first := fleet.Server{ID: "a", Service: "engines", Started: time.Unix(1, 0)}
		second := first
		second.Started = time.Unix(2, 0)
		servers.Put(first)
		member := func() *fleet.Member { return &servers.Members("engines", time.Now())[0] }
		servers.RecordFramed(first, time.Now())
		servers.RecordUnproven(first, time.Now())
		require.InDelta(t, 0.3, member().UnprovenRate(time.Now()), 0.01)
		require.True(t, member().FramesResponses(time.Now()), "one unframed response of a sound server")
		for range 20 {
			servers.RecordUnproven(first, time.Now())
		}
		require.Greater(t, member().UnprovenRate(time.Now()), 0.9)
		require.False(t, member().FramesResponses(time.Now()))
		require.Zero(t, member().FailureRate)
		time.Sleep(3 * time.Second)
		require.Zero(t, member().UnprovenRate(time.Now()))
		servers.RecordUnproven(first, time.Now())
		servers.Put(second)
		servers.RecordUnproven(first, time.Now())
		servers.RecordFramed(first, time.Now())
		require.Zero(t, member().UnprovenRate(time.Now()))
		require.False(t, member().FramesResponses(time.Now()))
	})
}
