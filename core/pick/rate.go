package pick

import (
	"slices"
	"sync"
	"time"

	"primrosegw/core/work"
)

const (
	// DefaultTokensPerMs is the assumed prefill rate of engines of which too little has
	// been observed, in prompt tokens per millisecond.
	DefaultTokensPerMs = 50.0
	// minRateTokens is the smallest number of tokens whose prefill is observed. The
	// time to the first event of shorter prompts says little about the rate.
	minRateTokens = 2500
	// firstEventOverhead is the part of the time to the first event that does not
	// depend on the prompt: the network, the start of the request and the first tokens.
	firstEventOverhead = 40 * time.Millisecond
	// rateWindow is the number of observations that are kept, and minObservedRates the
	// number from which on they are used.
	rateWindow       = 64
	minObservedRates = 6
	// rateQuantile is the quantile of the observations that is used. Most errors make
	// an engine look slower than it is: prompts that other hosts sent, and parts that
	// were not cached as expected.
	rateQuantile = 0.9
)

// PrefillRates learns at which rate the engines of each service prefill prompts, from
// the latest observations. It is safe for concurrent use.
type PrefillRates struct {
	initial  float64
	mutex    sync.Mutex
	services map[string]*observedRates
}

// observedRates holds the latest observations of a service, in tokens per millisecond.
type observedRates struct {
	latest []float64
	next   int
	rate   float64
}

// NewPrefillRates returns rates that are tokensPerMs until enough is observed.
func NewPrefillRates(tokensPerMs float64) *PrefillRates {
	return &PrefillRates{initial: tokensPerMs, services: make(map[string]*observedRates)}
}

// TokensPerMs returns the rate of a service's engines at normal speed.
func (rates *PrefillRates) TokensPerMs(service string) float64 {
	rates.mutex.Lock()
	defer rates.mutex.Unlock()
	if observed := rates.services[service]; observed != nil && observed.rate > 0 {
		return observed.rate
	}
	return rates.initial
}

// Observed returns the rate of a service's engines at normal speed, 0 while too little is observed.
func (rates *PrefillRates) Observed(service string) float64 {
	rates.mutex.Lock()
	defer rates.mutex.Unlock()
	if observed := rates.services[service]; observed != nil {
		return observed.rate
	}
	return 0
}

// Observe updates the rate from a request that an engine began at once: its tokens without
// the cached ones, the time to its first event, and the engine's slowness.
func (rates *PrefillRates) Observe(service string, tokens int, firstEvent time.Duration, slowness float64) {
	if rates == nil || slowness <= 0 || tokens < minRateTokens || firstEvent <= firstEventOverhead {
		return
	}
	prefillMs := float64(firstEvent-firstEventOverhead) / float64(time.Millisecond)
	rates.mutex.Lock()
	defer rates.mutex.Unlock()
	observed := rates.services[service]
	if observed == nil {
		observed = &observedRates{}
		rates.services[service] = observed
	}
	observed.add(float64(tokens) * slowness * batchingOverhead / prefillMs)
}

// add replaces the oldest observation by a new one.
func (observed *observedRates) add(rate float64) {
	if len(observed.latest) < rateWindow {
		observed.latest = append(observed.latest, rate)
	} else {
		observed.latest[observed.next] = rate
		observed.next = (observed.next + 1) % rateWindow
	}
	if len(observed.latest) >= minObservedRates {
		sorted := slices.Sorted(slices.Values(observed.latest))
		observed.rate = sorted[int(rateQuantile*float64(len(sorted)-1))]
	}
}

// ObserveFirstEvent updates the estimators of the options when the first event of a request
// arrives from the chosen engine.
func (options Options) ObserveFirstEvent(request *work.Request, choice *Choice, elapsed time.Duration, now time.Time) {
	options.Correction.Observe(request.Service, choice.FirstEvent, elapsed)
	options.Cached.Observe(request, choice.Member.Server, choice.rendezvous, now)
	options.Cached.count(request, choice)
	options.observePace(request, choice, elapsed, now)
	if choice.QueueDelay == 0 {
		slowness := max(1, choice.Member.BaselineSlowness, choice.Member.Load.Slowness)
		if choice.total > 0 {
			slowness = choice.total
		}
		options.Rates.Observe(request.Service, choice.Share.PrefillTokens, elapsed, slowness)
	}
}
