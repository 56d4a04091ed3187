package front_test

import (
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/table"
)

// Guards against streams that break off because attempts which new tables ended have used up the retries.
func TestAttemptsThatNewTablesEndCostNoRetry(t *testing.T) {
	harness := newHarness(t, nil)
	var dials atomic.Int64
	harness.whileDialing = func() {
		version := 1 + dials.Add(1)
		harness.adopt(func(data *table.Data) { data.Version = version })
	}
	for _, id := range []string{"a", "b", "c"} {
		harness.addVersion(id, "v1", breakThenResume())
	}
	for number := range 10 {
		got := harness.post("/resume/", "x", "X-Id", strconv.Itoa(number))
		require.NoError(t, got.err, "stream %d: the budget holds 10 retries", number)
		require.Equal(t, events(1, 6), got.body)
	}
}
