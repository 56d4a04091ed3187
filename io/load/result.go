package load

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the measurements of a run.
type Result struct {
	Seed           uint64  `json:"seed"`
	ElapsedSeconds float64 `json:"elapsed_seconds"`
	// Void says that the generator dropped calls or ran out of open files, so
	// that the load was not the one asked for.
	Void bool `json:"void"`
	// LatestMs is the greatest delay of a call behind its planned time.
	LatestMs float64       `json:"latest_ms"`
	All      ClassResult   `json:"all"`
	Classes  []ClassResult `json:"classes"`
	// Failures counts the calls that were not completed by what was reported.
	Failures map[string]int `json:"failures"`
	Seconds  []Second       `json:"seconds"`
	// Responses counts the responses that began, by phase and framing.
	Responses []ResponseCount `json:"responses"`
}

// ClassResult is the measurements of one class.
type ClassResult struct {
	Class   string `json:"class"`
	Sent    int    `json:"sent"`
	Dropped int    `json:"dropped"`
	// Complete, Refused, Expired, Broken and Failed add up to Sent.
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Expired  int `json:"expired"`
	Broken   int `json:"broken"`
	Failed   int `json:"failed"`
	// Wrong counts complete answers that are not the expected ones.
	Wrong int `json:"wrong"`
	// InTarget counts answers that were complete, right and in target;
	// Attainment is its part of Sent.
	InTarget   int     `json:"in_target"`
	Attainment float64 `json:"attainment"`
	// GoodputTokens is the tokens of the answers in target per second of the
	// time in which calls were sent, GoodputCalls the same in answers.
	GoodputTokens float64 `json:"goodput_tokens_per_second"`
	GoodputCalls  float64 `json:"goodput_calls_per_second"`
	Tokens        int     `json:"tokens"`
	// WastedTokens came to callers that did not get a whole answer, or got a
	// wrong one. What engines generated and nobody got is not seen here.
	WastedTokens  int         `json:"wasted_tokens"`
	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`
}

// Percentiles is a distribution in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Second is the calls that were planned for one second of the run.
type Second struct {
	Second   int `json:"second"`
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	InTarget int `json:"in_target"`
	Refused  int `json:"refused"`
	// FirstTokenP95Ms is by class; a class without answers is left out.
	FirstTokenP95Ms map[string]float64 `json:"first_token_p95_ms"`
}

const (
	// longestTime bounds the histograms, in microseconds.
	longestTime = int64(3 * time.Hour / time.Microsecond)
	// figures is the number of significant figures of the histograms.
	figures = 3
	// largestFailures bounds the number of different failures that are listed.
	largestFailures = 100
)

// tally collects the samples of a run.
type tally struct {
	profile Profile

	mutex   sync.Mutex
	open    int
	classes []classTally
	seconds []secondTally
	latest  time.Duration
	void    bool
	failed  map[string]int

	responses map[responseKey]*ResponseCount
}

// classTally collects the samples of a class.
type classTally struct {
	result  ClassResult
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	// goodTokens counts the tokens of answers in target.
	goodTokens int
}

// secondTally collects the samples of a second.
type secondTally struct {
	result Second
	first  map[int][]time.Duration
}

// newTally returns an empty tally.
func newTally(profile Profile) *tally {
	tally := &tally{profile: profile, failed: make(map[string]int), responses: make(map[responseKey]*ResponseCount)}
	for _, class := range profile.Classes {
		tally.classes = append(tally.classes, newClassTally(class.Name))
	}
	return tally
}

func newClassTally(name string) classTally {
	return classTally{
		result:  ClassResult{Class: name},
		first:   hdrhistogram.New(1, longestTime, figures),
		between: hdrhistogram.New(1, longestTime, figures),
	}
}

// start counts a call and reports whether it may be sent.
func (tally *tally) start(most int, call Call) bool {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	class := &tally.classes[call.Class].result
	if tally.open >= most {
		class.Dropped++
		tally.void = true
		return false
	}
	tally.open++
	class.Sent++
	tally.second(call).result.Sent++
	return true
}

// second returns the second of a call.
func (tally *tally) second(call Call) *secondTally {
	index := int(call.At / time.Second)
	for len(tally.seconds) <= index {
		tally.seconds = append(tally.seconds, secondTally{
			result: Second{Second: len(tally.seconds)}, first: make(map[int][]time.Duration),
		})
	}
	return &tally.seconds[index]
}

// end takes in a sample.
func (tally *tally) end(sample sample) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.open--
	tally.latest = max(tally.latest, sample.late)
	tally.void = tally.void || sample.own
	tally.countResponse(sample)
	second := tally.second(sample.call)
	inTarget := sample.inTarget(tally.profile.Classes[sample.call.Class])
	tally.classes[sample.call.Class].add(sample, inTarget)
	if sample.tokens > 0 {
		second.first[sample.call.Class] = append(second.first[sample.call.Class], sample.firstToken)
	}
	if inTarget {
		second.result.InTarget++
	}
	switch sample.status {
	case Complete:
		second.result.Complete++
	case Refused:
		second.result.Refused++
	default:
	}
	if sample.status != Complete && (len(tally.failed) < largestFailures || tally.failed[sample.detail] > 0) {
		tally.failed[sample.detail]++
	}
}

// add takes in a sample of the class.
func (class *classTally) add(sample sample, inTarget bool) {
	counts := map[Status]*int{
		Complete: &class.result.Complete, Refused: &class.result.Refused, Expired: &class.result.Expired,
		Broken: &class.result.Broken, Failed: &class.result.Failed,
	}
	*counts[sample.status]++
	class.result.Tokens += sample.tokens
	if sample.wrong {
		class.result.Wrong++
	}
	if sample.status != Complete || sample.wrong {
		class.result.WastedTokens += sample.tokens
	}
	if inTarget {
		class.result.InTarget++
		class.goodTokens += sample.tokens
	}
	if sample.tokens > 0 {
		record(class.first, sample.firstToken)
	}
	for _, gap := range sample.gaps {
		record(class.between, gap)
	}
}

// record adds a time to a histogram; a time past its range counts as the last.
func record(histogram *hdrhistogram.Histogram, passed time.Duration) {
	_ = histogram.RecordValue(min(max(passed.Microseconds(), 1), longestTime))
}

// merge adds the samples of another class.
func (class *classTally) merge(other *classTally) {
	class.first.Merge(other.first)
	class.between.Merge(other.between)
	class.goodTokens += other.goodTokens
	sum, more := &class.result, &other.result
	sum.Sent += more.Sent
	sum.Dropped += more.Dropped
	sum.Complete += more.Complete
	sum.Refused += more.Refused
	sum.Expired += more.Expired
	sum.Broken += more.Broken
	sum.Failed += more.Failed
	sum.Wrong += more.Wrong
	sum.InTarget += more.InTarget
	sum.Tokens += more.Tokens
	sum.WastedTokens += more.WastedTokens
}

// finish computes the figures of a class over the time in which calls were sent.
func (class *classTally) finish(seconds float64) ClassResult {
	result := class.result
	if result.Sent > 0 {
		result.Attainment = float64(result.InTarget) / float64(result.Sent)
	}
	if seconds > 0 {
		result.GoodputCalls = float64(result.InTarget) / seconds
		result.GoodputTokens = float64(class.goodTokens) / seconds
	}
	result.FirstToken = percentiles(class.first)
	result.BetweenTokens = percentiles(class.between)
	return result
}

// percentiles reads a histogram of microseconds.
func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) float64 { return float64(histogram.ValueAtPercentile(percentile)) / 1000 }
	return Percentiles{
		P50: at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9), Max: float64(histogram.Max()) / 1000,
	}
}

// result computes the result of a run.
func (tally *tally) result(elapsed time.Duration) Result {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	result := Result{
		Seed: tally.profile.Seed, ElapsedSeconds: elapsed.Seconds(),
		LatestMs: float64(tally.latest.Microseconds()) / 1000, Failures: maps.Clone(tally.failed),
	}
	sending := min(elapsed.Seconds(), tally.profile.DurationSeconds)
	all := newClassTally("all")
	for index := range tally.classes {
		class := &tally.classes[index]
		all.merge(class)
		result.Classes = append(result.Classes, class.finish(sending))
	}
	result.All = all.finish(sending)
	result.Void, result.Responses = tally.void, tally.responseCounts()
	for _, second := range tally.seconds {
		result.Seconds = append(result.Seconds, second.finish(tally.profile))
	}
	return result
}

// finish computes the figures of a second.
func (second secondTally) finish(profile Profile) Second {
	result := second.result
	result.FirstTokenP95Ms = make(map[string]float64, len(second.first))
	for class, times := range second.first {
		slices.Sort(times)
		passed := times[(len(times)*95+99)/100-1]
		result.FirstTokenP95Ms[profile.Classes[class].Name] = float64(passed.Microseconds()) / 1000
	}
	return result
}

// line returns the state of the run in one line.
func (tally *tally) line() string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	sum := newClassTally("")
	for index := range tally.classes {
		sum.merge(&tally.classes[index])
	}
	return fmt.Sprintf("sent %d, open %d, complete %d, in target %d, refused %d, expired %d, broken %d, failed %d, first token p95 %.0f ms",
		sum.result.Sent, tally.open, sum.result.Complete, sum.result.InTarget, sum.result.Refused, sum.result.Expired,
		sum.result.Broken, sum.result.Failed, percentiles(sum.first).P95)
}
