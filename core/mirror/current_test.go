package mirror_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a copy that counts as complete while a write that was made before is missing in it.
func TestCopyIsNotCurrentWhileItLags(t *testing.T) {
	for _, watcher := range []bool{true, false} {
		runWithRole(t, watcher, func(harness *harness) {
			time.Sleep(time.Second)
			harness.source.set(func() { harness.source.stalled = true })
			harness.source.put("servers/a", "2")
			written := time.Now()
			for range 10 {
				harness.mirror.Refresh()
				time.Sleep(100 * time.Millisecond)
				if harness.sink.value("servers/a") == "" {
					require.False(t, harness.mirror.CurrentAsOf().After(written))
				}
			}
			harness.source.set(func() { harness.source.stalled = false })
			time.Sleep(3 * time.Second)
			require.Equal(t, "2", harness.sink.value("servers/a"))
			require.False(t, harness.mirror.CurrentAsOf().Before(written))
		})
	}
}

// Guards against reads of the store without limit, and against none, while streams wait for them.
func TestRefreshesAreLimited(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		before := harness.calls("get")
		for range 100 {
			harness.mirror.Refresh()
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, harness.calls("get")-before, 21)
		require.Less(t, time.Since(harness.mirror.CurrentAsOf()), 400*time.Millisecond)
	})
}
