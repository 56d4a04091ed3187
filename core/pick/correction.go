package pick

import (
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of the newest answer in the moving average.
	smoothingFactor = 0.03
	// minPrediction is the shortest prediction that is used for learning. Shorter
	// times consist mostly of network delay.
	minPrediction = 100 * time.Millisecond
	// maxFactor and minFactor bound the correction.
	maxFactor = 3.0
	minFactor = 0.5
)

// LatencyCorrection learns, for each service, the ratio of the actual to the
// predicted time to the first event. The two differ when a prompt is not cached
// where it was expected, or when engines prefill at another rate than assumed. It is
// safe for concurrent use.
type LatencyCorrection struct {
	mutex   sync.Mutex
	factors map[string]float64
}

// NewLatencyCorrection returns a correction whose factor is 1 for every service.
func NewLatencyCorrection() *LatencyCorrection {
	return &LatencyCorrection{factors: make(map[string]float64)}
}

// Factor returns the factor by which predictions for a service are multiplied. It is
// 1 for a nil correction.
func (correction *LatencyCorrection) Factor(service string) float64 {
	if correction == nil {
		return 1
	}
	correction.mutex.Lock()
	defer correction.mutex.Unlock()
	if factor, ok := correction.factors[service]; ok {
		return factor
	}
	return 1
}

// Observe updates a service's factor from the actual time to the first event and the
// prediction, to which the factor at that time was already applied.
func (correction *LatencyCorrection) Observe(service string, predicted, actual time.Duration) {
	if correction == nil || predicted < minPrediction {
		return
	}
	correction.mutex.Lock()
	defer correction.mutex.Unlock()
	factor, ok := correction.factors[service]
	if !ok {
		factor = 1
	}
	observed := factor * float64(actual) / float64(predicted)
	factor += smoothingFactor * (min(maxFactor, observed) - factor)
	correction.factors[service] = min(maxFactor, max(minFactor, factor))
}
