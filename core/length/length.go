// Package length estimates the length of answers in tokens. It learns the quantiles of
// the output length of each class from finished answers.
package length

import (
	"math"
	"sort"
)

const (
	// bucketGrowth is the ratio of adjacent bucket bounds. Interpolation keeps the
	// error of a quantile well below it.
	bucketGrowth = 1.2
	// bucketCount covers answers of up to 1.2^72 tokens, about 500,000.
	bucketCount = 72
	// rescaleThreshold is the weight of an observation above which all weights are
	// scaled down, so that they stay within floating-point range.
	rescaleThreshold = 1e9
	// paretoExponent is the exponent of the Pareto tail that is assumed beyond the
	// last bucket: an answer that is already long is expected to continue for long.
	paretoExponent = 2
)

// Prior is the assumed length distribution of a class without observed answers.
type Prior struct {
	// Median and P95 are the 0.5 and the 0.95 quantile in tokens.
	Median float64
	P95    float64
}

// Options configures an estimator. A zero field takes its default.
type Options struct {
	// Priors holds the priors of individual classes.
	Priors map[string]Prior
	// FallbackPrior is the prior of all other classes.
	FallbackPrior Prior
	// PriorWeight is the weight of the prior, in answers.
	PriorWeight float64
	// Window is the decay constant of old answers, in answers.
	Window float64
}

// Defaults of Options.
const (
	// DefaultMedian and DefaultP95 are typical of chat answers, in tokens.
	DefaultMedian = 150
	DefaultP95    = 1500
	// DefaultPriorWeight lets the first answer of a class outweigh the prior. At 10, a
	// class with answers of 30 tokens needed ten of them to move from 150 tokens to its
	// own length, and a class with few calls was served too late in the meantime.
	DefaultPriorWeight = 0.5
	// DefaultWindow adapts to a change in answer length within a few minutes at a few
	// calls per second.
	DefaultWindow = 1000
)

// Estimator holds a histogram of answer lengths for each class. Its memory is bounded
// by the number of classes. It is not safe for concurrent use.
//
// The histogram buckets have logarithmic width. Each new answer weighs slightly more
// than the previous one, which is equivalent to exponential decay of old answers at the
// cost of one addition per answer.
type Estimator struct {
	options    Options
	histograms map[string]*histogram
	priors     map[string]*histogram
	// overall counts the answers of all classes.
	overall *histogram
}

// histogram holds the weighted counts of one class.
type histogram struct {
	// weights[i] counts answers with a length in (upperBound(i-1), upperBound(i)].
	weights [bucketCount + 1]float64
	// nextWeight is the weight of the next answer.
	nextWeight float64
}

// New returns an estimator that has only the priors.
func New(options Options) *Estimator {
	if options.FallbackPrior.Median <= 0 {
		options.FallbackPrior = Prior{Median: DefaultMedian, P95: DefaultP95}
	}
	if options.PriorWeight <= 0 {
		options.PriorWeight = DefaultPriorWeight
	}
	if options.Window <= 1 {
		options.Window = DefaultWindow
	}
	estimator := &Estimator{options: options, histograms: make(map[string]*histogram), priors: make(map[string]*histogram)}
	for class := range options.Priors {
		estimator.priors[class] = estimator.priorHistogram(class)
	}
	estimator.overall = estimator.priorHistogram("")
	return estimator
}

// initialHistogram returns the histogram of a class before its first answer: its own
// prior if it has one, or else the distribution of the answers of all classes, scaled to
// the weight of a prior.
func (estimator *Estimator) initialHistogram(class string) *histogram {
	if _, hasPrior := estimator.priors[class]; hasPrior {
		return estimator.priorHistogram(class)
	}
	total := 0.0
	for _, weight := range estimator.overall.weights {
		total += weight
	}
	result := &histogram{nextWeight: 1}
	for index, weight := range estimator.overall.weights {
		result.weights[index] = weight * estimator.options.PriorWeight / total
	}
	return result
}

// priorHistogram returns the histogram of a class's prior: a log-normal distribution
// with the prior's median and 0.95 quantile.
func (estimator *Estimator) priorHistogram(class string) *histogram {
	prior := estimator.options.Priors[class]
	if prior.Median <= 0 {
		prior = estimator.options.FallbackPrior
	}
	// 1.645 is the 0.95 quantile of the standard normal distribution.
	deviation := max(math.Log(prior.P95/prior.Median)/1.645, 0.1)
	cdf := func(tokens float64) float64 {
		return math.Erfc(-math.Log(tokens/prior.Median)/(deviation*math.Sqrt2)) / 2
	}
	result := &histogram{nextWeight: 1}
	previous := 0.0
	for index := range bucketCount {
		current := cdf(upperBound(index))
		result.weights[index] = estimator.options.PriorWeight * (current - previous)
		previous = current
	}
	result.weights[bucketCount] = estimator.options.PriorWeight * (1 - previous)
	return result
}

// upperBound returns the upper bound of a bucket in tokens.
func upperBound(index int) float64 { return math.Pow(bucketGrowth, float64(index)) }

// bucketOf returns the index of the bucket that contains a length.
func bucketOf(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	index := int(math.Ceil(math.Log(tokens) / math.Log(bucketGrowth)))
	return min(index, bucketCount)
}

// Observe records the length of a finished answer of a class. Answers that were cut off
// by the caller or by the loss of a server must not be recorded.
func (estimator *Estimator) Observe(class string, tokens int) {
	found, ok := estimator.histograms[class]
	if !ok {
		found = estimator.initialHistogram(class)
		estimator.histograms[class] = found
	}
	found.observe(tokens, estimator.options.Window)
	estimator.overall.observe(tokens, estimator.options.Window)
}

// observe adds an answer and increases the weight of the next one.
func (histogram *histogram) observe(tokens int, window float64) {
	histogram.weights[bucketOf(float64(tokens))] += histogram.nextWeight
	histogram.nextWeight *= 1 + 1/window
	if histogram.nextWeight > rescaleThreshold {
		for index := range histogram.weights {
			histogram.weights[index] /= histogram.nextWeight
		}
		histogram.nextWeight = 1
	}
}

// Quantile returns the q-quantile of the remaining tokens of an answer of which some
// were already generated: with probability q, the total length is at most generated plus
// the result. A class without finished answers and without its own prior uses the
// distribution of all classes.
func (estimator *Estimator) Quantile(class string, q float64, generated int) float64 {
	found, ok := estimator.histograms[class]
	if !ok {
		found, ok = estimator.priors[class]
	}
	if !ok {
		found = estimator.overall
	}
	return found.remaining(min(max(q, 0), 0.999), max(0, float64(generated)))
}

// remaining returns the quantile of the remaining length, given that the answer is
// longer than the generated tokens.
func (histogram *histogram) remaining(q, generated float64) float64 {
	lastBound := upperBound(bucketCount - 1)
	if generated >= lastBound {
		return paretoQuantile(generated, q) - generated
	}
	// above[i] is the weight of the answers longer than the lower bound of bucket i.
	var above [bucketCount + 2]float64
	for index := bucketCount; index >= 0; index-- {
		above[index] = above[index+1] + histogram.weights[index]
	}
	firstBucket := bucketOf(generated)
	// The part of the first bucket below generated is excluded.
	remainingWeight := above[firstBucket+1] + histogram.weights[firstBucket]*(1-fractionBelow(firstBucket, generated))
	if remainingWeight <= 0 {
		return paretoQuantile(max(generated, 1), q) - generated
	}
	targetWeight := remainingWeight * (1 - q)
	index := sort.Search(bucketCount+1, func(index int) bool { return above[index+1] <= targetWeight })
	if index >= bucketCount {
		// The fraction targetWeight/above of the answers beyond the last bound is longer
		// than the quantile.
		return paretoQuantile(lastBound, 1-targetWeight/max(above[bucketCount], targetWeight)) - generated
	}
	if histogram.weights[index] <= 0 {
		// Only reached for q = 0, if the weights of all shorter answers have decayed to
		// zero.
		return max(0, lowerBound(index)-generated)
	}
	fraction := (above[index] - targetWeight) / histogram.weights[index]
	return max(0, interpolate(index, fraction)-generated)
}

// lowerBound returns the lower bound of a bucket in tokens.
func lowerBound(index int) float64 {
	if index == 0 {
		return 0
	}
	return upperBound(index - 1)
}

// fractionBelow returns the fraction of a bucket that lies below a length.
func fractionBelow(index int, tokens float64) float64 {
	low, high := lowerBound(index), upperBound(index)
	return min(max((tokens-low)/(high-low), 0), 1)
}

// interpolate returns the length below which a fraction of a bucket lies.
func interpolate(index int, fraction float64) float64 {
	low, high := lowerBound(index), upperBound(index)
	return low + min(max(fraction, 0), 1)*(high-low)
}

// paretoQuantile returns the q-quantile of a Pareto distribution with the given
// minimum.
func paretoQuantile(minimum, q float64) float64 {
	return minimum * math.Pow(1-q, -1.0/paretoExponent)
}
