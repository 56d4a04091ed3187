package poison

import (
	"slices"
	"time"
)

// ObserveSurvived records that a process of a server ran at a time. Its responses that had ended with
// their connections before did not end with a crash: their requests become no suspects, and no
// feature of them caused the crashes before those ends.
func (detector *CrashDetector) ObserveSurvived(process string, at, now time.Time) {
	var change QuarantineChange
	defer func() { detector.notify(change) }()
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	responses := dropStale(detector.broken[process], now)
	var survived []brokenResponse
	kept := slices.DeleteFunc(responses, func(response brokenResponse) bool {
		hasSurvived := response.ambiguous && response.at.Before(at)
		if hasSurvived {
			survived = append(survived, response)
		}
		return hasSurvived
	})
	if len(kept) == 0 {
		delete(detector.broken, process)
	} else {
		detector.broken[process] = kept
	}
	for _, response := range survived {
		change = change.join(detector.addCleared(response.features, response.at, now))
	}
}
