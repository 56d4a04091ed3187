package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests of processes that lived on after their ends, which become suspects of a later crash, and against a crash
// that is not found because the process ran before the end, or another one survived.
func TestOnlyEndsThatAProcessSurvivedAreNoSuspects(t *testing.T) {
	detector, now := newDetector(), time.Now()
	sent, ended := now.Add(-100*time.Millisecond), now
	detector.ObserveAmbiguousEnd("a", []uint64{1, 2}, sent, ended)
	detector.ObserveSurvived("a", ended, ended)
	detector.ObserveSurvived("b", ended.Add(time.Second), ended.Add(time.Second))
	require.Equal(t, 1, detector.ObserveConnectionFailure("a", ended.Add(time.Second)))
	detector.ObserveAmbiguousEnd("b", []uint64{1, 2}, sent, ended)
	detector.ObserveBrokenResponse("b", []uint64{3}, sent, ended)
	detector.ObserveSurvived("b", ended.Add(time.Millisecond), ended.Add(2*time.Millisecond))
	require.Equal(t, 1, detector.ObserveConnectionFailure("b", ended.Add(time.Second)), "the broken response only")
}

// Guards against a feature that all requests share and that is refused after crashes for other reasons, though its requests end without a
// crash in between, and against a request that crashes each of its servers and is taken for harmless.
func TestSurvivedEndsClearTheirFeatures(t *testing.T) {
	for _, survived := range []bool{true, false} {
		detector, now := newDetector(), time.Now()
		for index := range uint64(6) {
			crashed, other := fmt.Sprint("crashed-", index), fmt.Sprint("other-", index)
			detector.ObserveAmbiguousEnd(crashed, []uint64{1, 100 + index}, now, now)
			detector.ObserveConnectionFailure(crashed, now.Add(time.Millisecond))
			now = now.Add(5 * time.Second)
			detector.ObserveAmbiguousEnd(other, []uint64{1, 200 + index}, now, now)
			if survived {
				detector.ObserveSurvived(other, now.Add(time.Millisecond), now.Add(2*time.Millisecond))
			}
			now = now.Add(5 * time.Second)
			detector.Advance(now)
		}
		require.Equal(t, !survived, detector.Refuses([]uint64{1, 300}, now), "survived %v", survived)
	}
}
