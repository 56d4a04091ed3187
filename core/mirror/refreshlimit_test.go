package mirror_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against reads of the store without limit while streams wait for a current copy and reads prove nothing:
// beside a store that was restored, or that holds an older configuration than is known.
func TestRefreshesAreLimitedWhileReadsProveNothing(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.outdated.Store(true)
		time.Sleep(2 * time.Second)
		before := harness.calls("get")
		for range 1000 {
			harness.mirror.Refresh()
			time.Sleep(5 * time.Millisecond)
		}
		assert.LessOrEqual(t, harness.calls("get")-before, 21, "reads in 5 s")
	})
}
