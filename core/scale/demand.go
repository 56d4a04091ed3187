package scale

import (
	"sync"
	"time"
)

const (
	// holdPeak is how long a peak of demand counts.
	holdPeak = 30 * time.Second
	// burstFactor is the growth of long prompts that engines are kept for.
	burstFactor = 2.5
	// trendSamples is the number of samples that a trend is taken from, and maxGrowth the most that is
	// forecast from it: regular ups and downs by a quarter have slopes of 15 in 100 a second.
	trendSamples, maxGrowth = 5, 1.3
	// rateSamples is the number of samples that the current demand is the mean of.
	rateSamples = 2
	// processTTL is how long the counters of a process are kept after its last message. What it counts in
	// a longer pause would look like the demand of a second when it is heard again.
	processTTL = 5 * time.Second
)

// Counters holds the demand for a service that a host has seen since its start.
type Counters struct {
	// Requests is the number of requests, Refused of those that were refused because of overload.
	Requests int64 `cbor:"1,keyasint"`
	Refused  int64 `cbor:"2,keyasint,omitempty"`
	// Tokens is the number of prompt tokens that are not expected in a cache, Bulk and Urgent those of the
	// least and of the most urgent requests.
	Tokens int64 `cbor:"3,keyasint,omitempty"`
	Bulk   int64 `cbor:"4,keyasint,omitempty"`
	Urgent int64 `cbor:"5,keyasint,omitempty"`
}

// plus returns the sum, with other times sign.
func (counters Counters) plus(other Counters, sign int64) Counters {
	return Counters{
		counters.Requests + sign*other.Requests, counters.Refused + sign*other.Refused,
		counters.Tokens + sign*other.Tokens, counters.Bulk + sign*other.Bulk, counters.Urgent + sign*other.Urgent,
	}
}

// Load is a demand for engines.
type Load struct {
	// Tokens is the number of prompt tokens to prefill per second, Burst the same with a burst of long
	// prompts, and UrgentTokens the part of the most urgent requests.
	Tokens, Burst, UrgentTokens float64
	// InFlight is the number of requests that engines hold, running or waiting; UrgentInFlight counts
	// those that mostly generate.
	InFlight, UrgentInFlight float64
}

// max returns the larger of each figure.
func (load Load) max(other Load) Load {
	return Load{
		max(load.Tokens, other.Tokens), max(load.Burst, other.Burst), max(load.UrgentTokens, other.UrgentTokens),
		max(load.InFlight, other.InFlight), max(load.UrgentInFlight, other.UrgentInFlight),
	}
}

// Demand is what is known of the demand for a service.
type Demand struct {
	// Now is the demand of the last seconds, Held the highest within holdPeak, and Peak the same with the
	// forecast growth of the tokens and of the requests that engines hold.
	Now, Held, Peak Load
	// RefusedShare is the share of refused requests in the last seconds.
	RefusedShare float64
	// Known is set once there has been a request, and Settled if that was longer than holdPeak ago.
	Known, Settled bool
}

// InFlight is the requests that the engines of a service hold.
type InFlight struct{ All, Urgent int }

// Tracker follows the demand for services, from the counters of all hosts. It is safe for concurrent use.
type Tracker struct {
	mutex     sync.Mutex
	processes map[string]*process
	services  map[string]*history
}

// process is the last counters of a process of a host.
type process struct {
	counters map[string]Counters
	heardAt  time.Time
}

// history is the demand for a service over time.
type history struct {
	// pending is what has been counted since the last sample, which was taken at sampledAt.
	pending   Counters
	sampledAt time.Time
	samples   []sample
	peaks     []peak
	firstAt   time.Time
}

type sample struct {
	counted  Counters
	inFlight InFlight
	elapsed  time.Duration
}

// peak is the demand at a time, and what was forecast then.
type peak struct {
	at             time.Time
	load, forecast Load
}

// NewTracker returns a Tracker that knows of no demand.
func NewTracker() *Tracker {
	return &Tracker{processes: make(map[string]*process), services: make(map[string]*history)}
}

// Observe takes the counters of a process of a host. The first ones of a process are where counting begins.
func (tracker *Tracker) Observe(name string, counters map[string]Counters, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.processes[name]
	if known == nil || now.Sub(known.heardAt) > processTTL {
		tracker.processes[name] = &process{counters, now}
		return
	}
	known.heardAt = now
	for service, latest := range counters {
		last := known.counters[service]
		if latest.Requests < last.Requests {
			// The message was overtaken by a later one.
			return
		}
		history := tracker.history(service, now)
		history.pending = history.pending.plus(latest, 1).plus(last, -1)
	}
	known.counters = counters
}

// history returns the history of a service. The mutex is held.
func (tracker *Tracker) history(service string, now time.Time) *history {
	known := tracker.services[service]
	if known == nil {
		known = &history{sampledAt: now}
		tracker.services[service] = known
	}
	return known
}

// Sample ends a sample of the demand for a service and returns the demand. Boot is the time to forecast.
func (tracker *Tracker) Sample(service string, inFlight InFlight, boot time.Duration, now time.Time) Demand {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for name, one := range tracker.processes {
		if now.Sub(one.heardAt) > processTTL {
			delete(tracker.processes, name)
		}
	}
	return tracker.history(service, now).sample(inFlight, boot, now)
}

// sample implements Sample.
func (history *history) sample(inFlight InFlight, boot time.Duration, now time.Time) Demand {
	if elapsed := now.Sub(history.sampledAt); elapsed > 0 {
		history.samples = append(history.samples, sample{history.pending, inFlight, elapsed})
		history.samples = history.samples[max(0, len(history.samples)-trendSamples):]
		if history.firstAt.IsZero() && history.pending.Requests > 0 {
			history.firstAt = now
		}
		history.pending, history.sampledAt = Counters{}, now
	}
	current, refused := history.current()
	forecast, growth := current, history.growth(boot+time.Second)
	forecast.Tokens, forecast.InFlight = current.Tokens*growth, current.InFlight*growth
	history.peaks = append(history.peaks, peak{now, current, forecast})
	held, highest := Load{}, Load{}
	for len(history.peaks) > 0 && now.Sub(history.peaks[0].at) > holdPeak {
		history.peaks = history.peaks[1:]
	}
	for _, one := range history.peaks {
		held, highest = held.max(one.load), highest.max(one.forecast)
	}
	isKnown := !history.firstAt.IsZero()
	return Demand{Now: current, Held: held, Peak: highest, RefusedShare: refused, Known: isKnown, Settled: isKnown && now.Sub(history.firstAt) >= holdPeak}
}

// current returns the mean of the latest samples, and the share of refused requests.
func (history *history) current() (Load, float64) {
	latest := history.samples[max(0, len(history.samples)-rateSamples):]
	counted, load, elapsed := Counters{}, Load{}, 0.0
	for _, one := range latest {
		counted = counted.plus(one.counted, 1)
		elapsed += one.elapsed.Seconds()
		load.InFlight = max(load.InFlight, float64(one.inFlight.All))
		load.UrgentInFlight = max(load.UrgentInFlight, float64(one.inFlight.Urgent))
	}
	if elapsed == 0 {
		return load, 0
	}
	load.Tokens = float64(counted.Tokens) / elapsed
	load.Burst = load.Tokens + (burstFactor-1)*float64(counted.Bulk)/elapsed
	load.UrgentTokens = float64(counted.Urgent) / elapsed
	return load, float64(counted.Refused) / float64(max(1, counted.Requests))
}

// growth returns the factor by which the demand grows within a time, from the trend of the prompt tokens
// with a burst; 1 if it falls.
func (history *history) growth(ahead time.Duration) float64 {
	if len(history.samples) < trendSamples {
		return 1
	}
	// The slope of the least squares line through the rates, at the seconds since the first sample.
	var at, sumAt, sumRate, sumProduct, sumSquare float64
	count := float64(len(history.samples))
	for _, one := range history.samples {
		rate := (float64(one.counted.Tokens) + (burstFactor-1)*float64(one.counted.Bulk)) / one.elapsed.Seconds()
		sumAt, sumRate = sumAt+at, sumRate+rate
		sumProduct, sumSquare = sumProduct+at*rate, sumSquare+at*at
		at += one.elapsed.Seconds()
	}
	spread := count*sumSquare - sumAt*sumAt
	if spread <= 0 || sumRate <= 0 {
		return 1
	}
	slope := (count*sumProduct - sumAt*sumRate) / spread
	return min(maxGrowth, 1+max(0, slope)*ahead.Seconds()/(sumRate/count))
}
