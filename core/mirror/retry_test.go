package mirror_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that is back from a cut and learns of removed servers up to a retry delay later than it could.
func TestStoreIsReadAtOnceWhenTheNetworkIsBack(t *testing.T) {
	run(t, func(harness *harness) {
		harness.idle.Store(true)
		time.Sleep(2 * time.Second)
		harness.mirror.RetryNow()
		harness.source.set(func() { harness.source.down = true })
		time.Sleep(10 * time.Second)
		harness.source.set(func() { harness.source.down = false })
		require.False(t, harness.proof.Valid(harness.now()))
		harness.mirror.RetryNow()
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		require.True(t, harness.proof.Valid(harness.now()))
	})
}

// Guards against a host that calls a store that is away without a pause.
func TestRetryNowEndsOneDelay(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(2 * time.Second)
		harness.source.set(func() { harness.source.down = true })
		time.Sleep(10 * time.Second)
		before := harness.calls("get")
		harness.mirror.RetryNow()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, before+1, harness.calls("get"))
	})
}
