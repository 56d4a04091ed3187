package pick

import (
	"sync"
	"time"
)

const (
	// paceDecay is the weight of the newest answer in the pace.
	paceDecay = 0.03
	// shortestPredicted is the prediction from which an answer says something of
	// the pace: shorter ones are mostly delays of the network.
	shortestPredicted = 100 * time.Millisecond
	// slowestPace and fastestPace bound the correction.
	slowestPace = 3.0
	fastestPace = 0.5
)

// Pace learns by how much first events come later than predicted, by service:
// prompts that are not cached where they should be, and engines that read at
// another rate than assumed. It is safe for concurrent use.
type Pace struct {
	mutex   sync.Mutex
	factors map[string]float64
}

// NewPace returns a pace that corrects nothing yet.
func NewPace() *Pace { return &Pace{factors: make(map[string]float64)} }

// Factor returns the correction for predictions of a service.
func (pace *Pace) Factor(service string) float64 {
	if pace == nil {
		return 1
	}
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	if factor, ok := pace.factors[service]; ok {
		return factor
	}
	return 1
}

// Learn takes over how long a first event took that was predicted with the
// factor at that time.
func (pace *Pace) Learn(service string, predicted, took time.Duration) {
	if pace == nil || predicted < shortestPredicted {
		return
	}
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	factor, ok := pace.factors[service]
	if !ok {
		factor = 1
	}
	seen := factor * float64(took) / float64(predicted)
	factor += paceDecay * (min(slowestPace, seen) - factor)
	pace.factors[service] = min(slowestPace, max(fastestPace, factor))
}
