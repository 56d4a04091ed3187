package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/pick"
)

// Guards against unproven ends that change the choice among servers none of which frames, and against a
// server that is preferred or excluded although another one frames.
func TestUnprovenEndsCountOnlyAgainstServersThatFrame(t *testing.T) {
	now := time.Now()
	servers := fleet.New()
	for _, member := range members(3) {
		servers.Put(member.Server)
	}
	chosen := func(options pick.Options, tried ...string) string {
		without := map[string]bool{}
		for _, id := range tried {
			without[id] = true
		}
		choice, ok := pick.Server(options, plain(), servers.Members("engines", now), without, now)
		require.True(t, ok)
		return choice.Member.ID
	}
	first, last := members(3)[0].Server, members(3)[2].Server
	for range 5 {
		servers.RecordUnproven(first, now)
	}
	require.Equal(t, first.ID, chosen(options()), "none frames")
	second := options()
	second.PreferFraming = true
	require.Equal(t, "server-01", chosen(second), "not known whether it frames")
	servers.RecordFramed(last, now)
	require.NotEqual(t, first.ID, chosen(options()))
	require.Equal(t, last.ID, chosen(second))
	require.Equal(t, first.ID, chosen(second, "server-01", "server-02"), "not excluded")
	require.Equal(t, first.ID, chosen(options(), last.ID), "the one that frames has been tried")
}
