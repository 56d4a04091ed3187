// Package length estimates how many tokens an answer will have: quantiles of the
// output length by class, learnt from finished answers.
package length

import (
	"math"
	"sort"
)

const (
	// bucketGrowth is the ratio of neighbouring bucket bounds; interpolation
	// keeps the error of a quantile well below it.
	bucketGrowth = 1.2
	// bucketCount covers answers of up to 1.2^72, about 500,000 tokens.
	bucketCount = 72
	// rescaleAt is the weight of an observation at which all weights are scaled
	// back, so that they stay in the range of floating point numbers.
	rescaleAt = 1e9
	// tailExponent is the exponent of the Pareto tail that is assumed past the
	// longest bucket: what has run for long is expected to run for long.
	tailExponent = 2
)

// Prior is what is assumed of a class before answers were seen.
type Prior struct {
	// Median and High are the 0.5 and the 0.95 quantile in tokens.
	Median float64
	High   float64
}

// Options configures an estimator. A zero field takes its default.
type Options struct {
	// Priors holds the assumptions by class.
	Priors map[string]Prior
	// Prior is the assumption for the other classes.
	Prior Prior
	// PriorWeight is the number of answers that the prior counts as.
	PriorWeight float64
	// Window is the number of answers over which the estimate forgets.
	Window float64
}

// Defaults of Options.
const (
	// DefaultMedian and DefaultHigh are those of chat answers, in tokens.
	DefaultMedian = 150
	DefaultHigh   = 1500
	// DefaultPriorWeight lets the first answer of a class outweigh the prior: at
	// 10, a class of 30 tokens needed ten answers to get from 150 tokens to its
	// own length, and a class with few calls was served too late meanwhile.
	DefaultPriorWeight = 0.5
	// DefaultWindow follows a change of the answers within a few minutes at
	// some calls per second.
	DefaultWindow = 1000
)

// Estimator holds a histogram for each class. Its memory is bounded by the
// number of classes. It is not safe for concurrent use.
//
// The histogram has buckets of logarithmic width. Each new answer weighs a
// little more than the one before, which has the effect of exponential decay at
// a constant cost of one addition.
type Estimator struct {
	options    Options
	histograms map[string]*histogram
	unseen     map[string]*histogram
	// all counts the answers of all classes.
	all *histogram
}

// histogram is the weighted counts of one class.
type histogram struct {
	// weights[i] counts answers of a length in (bound(i-1), bound(i)].
	weights [bucketCount + 1]float64
	// weight is that of the next answer.
	weight float64
}

// New returns an estimator that knows the priors only.
func New(options Options) *Estimator {
	if options.Prior.Median <= 0 {
		options.Prior = Prior{Median: DefaultMedian, High: DefaultHigh}
	}
	if options.PriorWeight <= 0 {
		options.PriorWeight = DefaultPriorWeight
	}
	if options.Window <= 1 {
		options.Window = DefaultWindow
	}
	estimator := &Estimator{options: options, histograms: make(map[string]*histogram), unseen: make(map[string]*histogram)}
	for class := range options.Priors {
		estimator.unseen[class] = estimator.fresh(class)
	}
	estimator.all = estimator.fresh("")
	return estimator
}

// initial returns the histogram with which a class starts at its first answer:
// its own prior, or the distribution of all classes' answers at the weight of
// the prior.
func (estimator *Estimator) initial(class string) *histogram {
	if _, named := estimator.unseen[class]; named {
		return estimator.fresh(class)
	}
	total := 0.0
	for _, weight := range estimator.all.weights {
		total += weight
	}
	made := &histogram{weight: 1}
	for index, weight := range estimator.all.weights {
		made.weights[index] = weight * estimator.options.PriorWeight / total
	}
	return made
}

// fresh returns the histogram of a prior: a log-normal distribution through its
// two quantiles.
func (estimator *Estimator) fresh(class string) *histogram {
	prior := estimator.options.Priors[class]
	if prior.Median <= 0 {
		prior = estimator.options.Prior
	}
	// 1.645 is the 0.95 quantile of the normal distribution.
	deviation := max(math.Log(prior.High/prior.Median)/1.645, 0.1)
	below := func(tokens float64) float64 {
		return math.Erfc(-math.Log(tokens/prior.Median)/(deviation*math.Sqrt2)) / 2
	}
	made := &histogram{weight: 1}
	previous := 0.0
	for index := range bucketCount {
		current := below(bound(index))
		made.weights[index] = estimator.options.PriorWeight * (current - previous)
		previous = current
	}
	made.weights[bucketCount] = estimator.options.PriorWeight * (1 - previous)
	return made
}

// bound returns the upper bound of a bucket in tokens.
func bound(index int) float64 { return math.Pow(bucketGrowth, float64(index)) }

// bucketOf returns the bucket of a length.
func bucketOf(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	index := int(math.Ceil(math.Log(tokens) / math.Log(bucketGrowth)))
	return min(index, bucketCount)
}

// Observe counts a finished answer of a class. Answers that were cut off, by the
// caller or by a lost server, must not be counted.
func (estimator *Estimator) Observe(class string, tokens int) {
	found, ok := estimator.histograms[class]
	if !ok {
		found = estimator.initial(class)
		estimator.histograms[class] = found
	}
	found.add(tokens, estimator.options.Window)
	estimator.all.add(tokens, estimator.options.Window)
}

// add counts an answer and raises the weight of the next one.
func (histogram *histogram) add(tokens int, window float64) {
	histogram.weights[bucketOf(float64(tokens))] += histogram.weight
	histogram.weight *= 1 + 1/window
	if histogram.weight > rescaleAt {
		for index := range histogram.weights {
			histogram.weights[index] /= histogram.weight
		}
		histogram.weight = 1
	}
}

// Quantile returns the q-quantile of the tokens that remain of an answer of a
// class of which served tokens were generated already: the length has
// probability q to be at most served plus the result. A class without finished
// answers and without a prior of its own is taken for the mean of the other
// classes.
func (estimator *Estimator) Quantile(class string, q float64, served int) float64 {
	found, ok := estimator.histograms[class]
	if !ok {
		found, ok = estimator.unseen[class]
	}
	if !ok {
		found = estimator.all
	}
	return found.remaining(min(max(q, 0), 0.999), max(0, float64(served)))
}

// remaining returns the conditional quantile of what remains after served.
func (histogram *histogram) remaining(q, served float64) float64 {
	last := bound(bucketCount - 1)
	if served >= last {
		return tail(served, q) - served
	}
	// above[i] is the weight of the answers longer than bucket i's lower bound.
	var above [bucketCount + 2]float64
	for index := bucketCount; index >= 0; index-- {
		above[index] = above[index+1] + histogram.weights[index]
	}
	first := bucketOf(served)
	// A part of the first bucket is below served.
	beyond := above[first+1] + histogram.weights[first]*(1-within(first, served))
	if beyond <= 0 {
		return tail(max(served, 1), q) - served
	}
	goal := beyond * (1 - q)
	index := sort.Search(bucketCount+1, func(index int) bool { return above[index+1] <= goal })
	if index >= bucketCount {
		// Past the last bound, a share of goal/above of the answers is left.
		return tail(last, 1-goal/max(above[bucketCount], goal)) - served
	}
	if histogram.weights[index] <= 0 {
		// Only for q = 0, when no short answer is left in the histogram.
		return max(0, lower(index)-served)
	}
	part := (above[index] - goal) / histogram.weights[index]
	return max(0, inside(index, part)-served)
}

// lower returns the lower bound of a bucket in tokens.
func lower(index int) float64 {
	if index == 0 {
		return 0
	}
	return bound(index - 1)
}

// within returns the part of a bucket that lies below a length.
func within(index int, tokens float64) float64 {
	low, high := lower(index), bound(index)
	return min(max((tokens-low)/(high-low), 0), 1)
}

// inside returns the length below which a part of a bucket lies.
func inside(index int, part float64) float64 {
	low, high := lower(index), bound(index)
	return low + min(max(part, 0), 1)*(high-low)
}

// tail returns the q-quantile of a Pareto distribution from a lower bound.
func tail(from, q float64) float64 {
	return from * math.Pow(1-q, -1.0/tailExponent)
}
