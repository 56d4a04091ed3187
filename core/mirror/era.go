package mirror

import (
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/store"
)

// unknownEra is the era before the first response of the store.
const unknownEra = -1

/*
ObserveEra records the era of the store in a response or in a message of another host.

A store that was restored from a copy begins a new era. It lacks the latest changes and
gives their revisions out again, so nothing that is kept beside a revision holds any
longer: the position, the history and the expected position are dropped, and all keys
are listed again.
*/
func (mirror *Mirror) ObserveEra(era int64) {
	if mirror.beginEra(era) {
		mirror.options.OnRestored()
	}
}

// beginEra implements ObserveEra. It reports whether the store was restored.
func (mirror *Mirror) beginEra(era int64) bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	previous := mirror.position
	if era <= previous.Era {
		return false
	}
	mirror.position = store.Position{Era: era}
	mirror.options.Grace.Begin(era)
	if previous.Era == unknownEra {
		return false
	}
	mirror.restored, mirror.expected = true, store.Position{}
	mirror.history.reset()
	if mirror.cancelPoll != nil {
		mirror.cancelPoll()
	}
	mirror.options.Logger.Log(event.StoreRestored(), logrus.Fields{
		"era": era, "position": previous.Revision, "probed_revision": mirror.probed.Revision,
	})
	mirror.recordRestored()
	return true
}

// recordRestored records that the store's clients write again what was lost.
func (mirror *Mirror) recordRestored() {
	mirror.healthMutex.Lock()
	defer mirror.healthMutex.Unlock()
	mirror.regainedAt = time.Now()
}

// isRestored reports whether the keys of a restored store are to be listed.
func (mirror *Mirror) isRestored() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.restored
}
