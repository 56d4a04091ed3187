package mirror_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a restored store that leaves no trace in the log.
func TestRestoredStoreIsLogged(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.put("config", "2")
		time.Sleep(time.Second)
		harness.source.restore(1)
		time.Sleep(3 * time.Second)
		require.Contains(t, harness.log.String(), `"event_name":"store_restored"`)
		require.Contains(t, harness.log.String(), `"event_name":"revision_dropped"`)
	})
}

// Guards against a value of the probed key that is taken for known because a restored store
// gives its revision out again.
func TestProbedKeyOfARestoredStoreIsDelivered(t *testing.T) {
	for _, watcher := range []bool{true, false} {
		runWithRole(t, watcher, func(harness *harness) {
			time.Sleep(time.Second)
			for _, value := range []string{"2", "3", "4"} {
				harness.source.put("config", value)
			}
			time.Sleep(5 * time.Second)
			require.Equal(t, "4", harness.sink.value("config"))
			harness.source.restore(1)
			harness.source.put("config", "4")
			harness.source.put("config", "5")
			time.Sleep(6 * time.Second)
			require.Equal(t, "5", harness.sink.value("config"), "watcher: %v", watcher)
		})
	}
}
