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
