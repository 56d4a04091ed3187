package idstep_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/idstep"
)

var version = idstep.Version{Service: "a", Version: "v1"}

func observe(registry *idstep.Registry, steps ...int64) {
	for _, step := range steps {
		registry.Observe(version, step, time.Now())
	}
}

// Guards against steps of other versions, and against a step that is assumed without any observation.
func TestUsualStepIsThatOfTheVersion(t *testing.T) {
	registry := idstep.New()
	require.EqualValues(t, idstep.Default, registry.Usual(version))
	observe(registry, 20, 20, 20)
	require.EqualValues(t, 20, registry.Usual(version))
	require.EqualValues(t, idstep.Default, registry.Usual(idstep.Version{Service: "a", Version: "v2"}))
	require.EqualValues(t, idstep.Default, registry.Usual(idstep.Version{Service: "b", Version: "v1"}))
	observe(registry, 0, -5)
	require.EqualValues(t, 20, registry.Usual(version))
}

// Guards against a server that leaves out events and makes larger steps usual, and against an old step that
// stays usual.
func TestFewLargerStepsAreNotUsual(t *testing.T) {
	registry := idstep.New()
	observe(registry, 6, 12)
	require.EqualValues(t, 6, registry.Usual(version))
	for range 30 {
		observe(registry, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 12)
		require.EqualValues(t, 6, registry.Usual(version))
	}
	for range 70 {
		observe(registry, 1)
	}
	require.EqualValues(t, 1, registry.Usual(version))
}

// Guards against steps that count as even after too few of them, or beside others.
func TestIsEven(t *testing.T) {
	registry := idstep.New()
	require.False(t, registry.IsEven(version))
	observe(registry, 5, 5, 5, 5, 5, 5, 5)
	require.False(t, registry.IsEven(version))
	observe(registry, 5)
	require.True(t, registry.IsEven(version))
	observe(registry, 4)
	require.False(t, registry.IsEven(version))
}

// Guards against uneven steps of which most count as unusual.
func TestMostUnevenStepsAreUsual(t *testing.T) {
	registry, random := idstep.New(), rand.New(rand.NewPCG(1, 2))
	for range 200 {
		observe(registry, 1+random.Int64N(8))
	}
	require.GreaterOrEqual(t, registry.Usual(version), int64(7))
}

// Guards against hosts that have seen no stream and do not learn the step, and against messages for each event.
func TestOtherHostsLearnTheStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, idle, started := idstep.New(), idstep.New(), idstep.New(), idstep.New()
		messages := 0
		tell := func(from *idstep.Registry, to ...*idstep.Registry) {
			for _, message := range from.TakeDue() {
				messages++
				for _, registry := range to {
					registry.Apply(message, time.Now())
				}
			}
		}
		require.True(t, first.Observe(version, 20, time.Now()), "news")
		tell(first, second, idle)
		require.EqualValues(t, 20, idle.Usual(version))
		for range 1000 {
			observe(first, 20)
			observe(second, 20)
			tell(first, second, idle)
			tell(second, first, idle)
			time.Sleep(150 * time.Millisecond)
		}
		require.Equal(t, 3, messages)
		started.Apply(idle.Newest(), time.Now())
		require.EqualValues(t, 20, started.Usual(version))
		observe(started, 5)
		require.EqualValues(t, 20, started.Usual(version), "one sample of its own is not enough")
		observe(started, 5, 5, 5, 5, 5, 5, 5)
		require.EqualValues(t, 5, started.Usual(version))
	})
}

// Guards against a report without need where events are numbered one by one.
func TestDefaultStepIsNotTold(t *testing.T) {
	registry := idstep.New()
	observe(registry, 1, 1, 1, 1)
	require.Empty(t, registry.TakeDue())
	require.Empty(t, registry.Newest())
}

// Guards against memory that grows with what other hosts tell, and impossible steps.
func TestReportsAreBounded(t *testing.T) {
	registry, now := idstep.New(), time.Unix(1000, 0)
	for number := range 1000 {
		now = now.Add(time.Millisecond)
		registry.Apply([]idstep.Report{{Service: fmt.Sprint(number), Version: "v1", Step: 7}}, now)
	}
	require.Len(t, registry.Newest(), 16)
	require.Equal(t, "999", registry.Newest()[0].Service)
	require.EqualValues(t, idstep.Default, registry.Usual(idstep.Version{Service: "1", Version: "v1"}), "the oldest ones are forgotten")
	registry.Apply([]idstep.Report{{Service: "a", Version: "v1", Step: -7}, {Service: string(make([]byte, 1000)), Version: "v1", Step: 7}}, now)
	require.EqualValues(t, idstep.Default, registry.Usual(version))
}
