package grace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/grace"
)

const length = 2 * time.Second

// start is when the plays begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a record of an earlier era that ends the period of a newer one, which a host knows from another host
// before it has read the store.
func TestRecordsOfEarlierErasEndNoPeriod(t *testing.T) {
	period := grace.New(length)
	require.False(t, period.Over(at(9)), "no era is known")
	period.Begin(1, at(0))
	period.Settle(1)
	require.True(t, period.Over(at(0)))
	period.Begin(2, at(5))
	require.False(t, period.Over(at(5)))
	period.Settle(1)
	require.False(t, period.Over(at(6)))
	period.Begin(1, at(6))
	require.Equal(t, int64(2), period.Era())
	period.Settle(2)
	require.True(t, period.Over(at(6)))
}
