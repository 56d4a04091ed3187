package mirror_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/store"
)

// Guards against a restored store that leaves no trace in the log.
func TestRestoredStoreIsLogged(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.put("config", "2")
		time.Sleep(time.Second)
		harness.source.restore(1)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Contains(t, harness.log.String(), `"event_name":"store_restored"`)
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

// Guards against a standby host that waits for changes of a store that was restored, although
// other hosts know it.
func TestStandbyHostLearnsOfARestoredStore(t *testing.T) {
	runWithRole(t, false, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.put("servers/a", "lost")
		harness.mirror.ApplyBatch(batch(1, 2, "servers/a", "lost"))
		harness.source.restore(1)
		harness.source.put("servers/b", "kept")
		harness.mirror.ExpectPosition(store.Position{Era: 1, Revision: 2})
		time.Sleep(time.Second)
		require.Empty(t, harness.sink.value("servers/a"))
		require.Equal(t, "kept", harness.sink.value("servers/b"))
		harness.mirror.ApplyBatch(batch(2, 3, "servers/b", "of the era before"))
		require.Equal(t, "kept", harness.sink.value("servers/b"))
	})
}

// Guards against a proof by a restored store that holds an older value than was confirmed.
func TestOutdatedValueOfARestoredStoreProvesNothing(t *testing.T) {
	run(t, func(harness *harness) {
		time.Sleep(time.Second)
		harness.source.put("config", "2")
		time.Sleep(time.Second)
		harness.source.restore(1)
		harness.outdated.Store(true)
		time.Sleep(2 * time.Second)
		age, _ := harness.proof.Age(harness.now())
		require.GreaterOrEqual(t, age, 2*time.Second)
		harness.outdated.Store(false)
		harness.provenEra.Store(1)
		time.Sleep(time.Second)
		require.True(t, harness.proof.Valid(harness.now()))
		age, _ = harness.proof.Age(harness.now())
		require.Less(t, age, time.Second)
	})
}

// Guards against a proof by a read that began before a restored store held the newest value again, and whose answer came
// late.
func TestReadFromBeforeTheEndOfTheWaitProvesNothing(t *testing.T) {
	for _, name := range []string{"the wait ends", "an era passes"} {
		run(t, func(harness *harness) {
			time.Sleep(time.Second)
			harness.source.set(func() { harness.source.getDelay = 600 * time.Millisecond })
			harness.outdated.Store(name == "the wait ends")
			for harness.calls("get") < 3 {
				time.Sleep(10 * time.Millisecond)
			}
			harness.provenEra.Store(map[string]int64{"the wait ends": 0, "an era passes": 1}[name])
			reads := harness.calls("get")
			for harness.calls("get") == reads {
				time.Sleep(time.Millisecond)
			}
			before, _ := harness.proof.Age(harness.now())
			time.Sleep(300 * time.Millisecond)
			harness.outdated.Store(false)
			time.Sleep(310 * time.Millisecond)
			age, _ := harness.proof.Age(harness.now())
			require.GreaterOrEqual(t, age, before+600*time.Millisecond, name)
			harness.provenEra.Store(0)
			time.Sleep(3 * time.Second)
			age, _ = harness.proof.Age(harness.now())
			require.Less(t, age, 2*time.Second, name)
		})
	}
}
