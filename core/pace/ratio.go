package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// minSlowness is the lowest reported slowness that is believed.
	minSlowness = 0.1
	// ratioAlpha is the least weight of the newest observation in the moving averages.
	ratioAlpha = 0.04
	// minObservations is the number from which on a ratio is used.
	minObservations = 4
	// fullConfidence is the number of recent observations at which the confidence is 1.
	fullConfidence = 16
	// halfLife is the time in which the weight of past observations halves.
	halfLife = 40 * time.Second
	// changeRun is the number of successive observations on one side of the average, each at least
	// changeDeviations from it, that replace it. So a server that turns slow is known by the third answer.
	changeRun        = 3
	changeDeviations = 2.5
	// deadBand is the logarithm of the ratio up to which a server counts as usual, and errorMargin the
	// number of standard errors that are subtracted. Fleets of equal servers stay at 1.
	deadBand    = 0.1
	errorMargin = 2.0
	// prefillError is the standard error of speeds that are known from prefills only, however many: the
	// prompts that a server gets differ from those of others.
	prefillError = 0.1
	// minPrefills is the number from which on prefills alone tell a speed: the first prompts find nothing
	// cached, here more and there less.
	minPrefills = 24
	// maxLog bounds an estimate, as a wrong one must not exclude a server.
	maxLog = 1.2
	// alignmentRounds is the number of rounds in which offsets and speeds are computed from each other.
	alignmentRounds = 4
	// maxObserved bounds the logarithm of an observation; that of Work is one of seconds. maxUntold is the
	// number of observations that are told at a time.
	maxObserved = 8
	maxUntold   = 100
	// speedStep is the step of the binary logarithm to which speeds are rounded for choices on which hosts
	// have to agree, and speedMargin the distance from which on the rounded speed changes.
	speedStep   = 1.0 / 3
	speedMargin = 0.25
)

// minDeviation bounds the deviation of single observations from below, as the first ones may agree by chance.
// The time to a first event depends on what is cached, and the prompts that other hosts have sent.
func minDeviation(kind Kind) float64 {
	switch kind {
	case Prefill:
		return 0.6
	case Work:
		return 0.3
	}
	return 0.15
}

// ratio is the moving average of the logarithm of a ratio and of its variance.
type ratio struct {
	mean, variance float64
	// count is the number of observations, which decays.
	count float64
	at    time.Time
	// run holds the latest observations that deviate to one side.
	run []float64
	// untold is the sum of the observations that other hosts are still to be told, and untoldCount their
	// number.
	untold      float64
	untoldCount int
}

// observe adds an observation of this host.
func (ratio *ratio) observe(value float64, kind Kind, now time.Time) {
	if !(value > 0) || math.IsInf(value, 0) {
		return
	}
	observed := min(maxObserved, max(-maxObserved, math.Log(value)))
	if ratio.untoldCount < maxUntold {
		ratio.untold += observed
		ratio.untoldCount++
	}
	ratio.add(observed, 1, kind, now)
}

// add adds a number of observations with a mean.
func (ratio *ratio) add(observed float64, number int, kind Kind, now time.Time) {
	ratio.count = ratio.weight(now) + float64(number)
	ratio.at = now
	deviation := observed - ratio.mean
	if ratio.count > minObservations && ratio.changes(observed, deviation, kind) {
		return
	}
	weight := max(1-math.Pow(1-ratioAlpha, float64(number)), float64(number)/ratio.count)
	ratio.variance = (1 - weight) * (ratio.variance + weight*deviation*deviation*float64(number))
	ratio.mean += weight * deviation
}

// changes reports whether an observation completes a run that shows another speed, which it then adopts.
func (ratio *ratio) changes(observed, deviation float64, kind Kind) bool {
	if math.Abs(deviation) < changeDeviations*ratio.deviation(kind) {
		ratio.run = ratio.run[:0]
		return false
	}
	if len(ratio.run) > 0 && (ratio.run[0] > ratio.mean) != (observed > ratio.mean) {
		ratio.run = ratio.run[:0]
	}
	ratio.run = append(ratio.run, observed)
	if len(ratio.run) < changeRun {
		return false
	}
	sum := 0.0
	for _, one := range ratio.run {
		sum += one
	}
	ratio.mean, ratio.count, ratio.run = sum/changeRun, minObservations, nil
	return true
}

// deviation is the standard deviation of single observations.
func (ratio *ratio) deviation(kind Kind) float64 {
	return max(minDeviation(kind), math.Sqrt(ratio.variance))
}

// weight is the number of observations that the ratio is worth now.
func (ratio *ratio) weight(now time.Time) float64 {
	if ratio.count == 0 {
		return 0
	}
	return ratio.count * math.Exp2(-now.Sub(ratio.at).Seconds()/halfLife.Seconds())
}

// measured is the logarithm of a speed with its standard error; count 0: unknown.
type measured struct {
	log, err, count float64
	// prefillsOnly: no other kind of outcome has shown the speed.
	prefillsOnly bool
}

// combined returns the server's speed by the ratios of all kinds, each with the inverse of its variance.
func (server *server) combined(offsets [kindCount]float64, now time.Time) measured {
	sum, precision, count, systematic := 0.0, 0.0, 0.0, prefillError*prefillError
	for kind := range kindCount {
		one := &server.ratios[kind]
		// Old observations still say something: servers keep their machines.
		recent := min(2/ratioAlpha-1, one.weight(now))
		if one.count < minObservations || recent < 1 {
			continue
		}
		weight := recent / (one.deviation(kind) * one.deviation(kind))
		sum += weight * (one.mean - offsets[kind])
		precision += weight
		count += recent
		if kind != Prefill {
			systematic = 0
		}
	}
	if precision == 0 {
		return measured{}
	}
	return measured{sum / precision, math.Sqrt(1/precision + systematic), count, systematic > 0}
}

// offset returns the median by which the ratios of a kind differ from the servers' speeds.
func offset(members []*server, speeds []measured, kind Kind) float64 {
	var differences []float64
	for index, one := range members {
		if known := &one.ratios[kind]; known.count >= minObservations {
			differences = append(differences, known.mean-speeds[index].log)
		}
	}
	return median(differences)
}

// center moves the speeds so that the usual one is 0.
func center(speeds []measured) {
	var known []float64
	for _, one := range speeds {
		if one.count > 0 {
			known = append(known, one.log)
		}
	}
	middle := median(known)
	for index := range speeds {
		if speeds[index].count > 0 {
			speeds[index].log -= middle
		}
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// estimate returns the estimate, and whether the server surely differs from the usual.
func (measured measured) estimate() (Estimate, bool) {
	if measured.count == 0 {
		return usual(), false
	}
	size := min(maxLog, math.Abs(measured.log)-errorMargin*measured.err)
	confidence := min(1, measured.count/fullConfidence)
	if size < deadBand || measured.prefillsOnly && measured.count < minPrefills {
		return Estimate{Prefill: 1, Gap: 1, Work: 1, Confidence: confidence}, false
	}
	factor := math.Exp(math.Copysign(min(maxLog, math.Abs(measured.log)), measured.log))
	return Estimate{Prefill: factor, Gap: factor, Work: factor, Confidence: confidence}, true
}
