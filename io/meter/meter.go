// Package meter keeps the metrics of a host and serves them as text.
package meter

import (
	"io"
	"net/http"
	"strconv"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Meter records what a host does. The names of all metrics are in
// docs/metrics.md.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns the metrics of a host.
func New() *Meter {
	// Each host has a registry of its own: several may run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "primrosegw",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Close ends the reporting.
func (meter *Meter) Close() { _ = meter.closer.Close() }

// Handler serves the metrics in the Prometheus text format.
func (meter *Meter) Handler() http.Handler { return meter.reporter.HTTPHandler() }

// Refused counts a request refused before it was routed.
func (meter *Meter) Refused(kind string) {
	meter.scope.Tagged(map[string]string{"kind": kind}).Counter("requests_refused").Inc(1)
}

// Answer is what a request came to.
type Answer struct {
	Class    string
	Status   int
	Run      string
	Tokens   int
	Wasted   int
	Attempts int
	// FirstToken and Gap are zero if there was no token.
	FirstToken time.Duration
	Gap        time.Duration
	InTarget   bool
}

// Answered records a request that was routed.
func (meter *Meter) Answered(answer Answer) {
	class := meter.scope.Tagged(map[string]string{"class": answer.Class})
	class.Tagged(map[string]string{"status": strconv.Itoa(answer.Status), "run": answer.Run}).Counter("requests").Inc(1)
	class.Counter("tokens_delivered").Inc(int64(answer.Tokens))
	class.Counter("tokens_wasted").Inc(int64(answer.Wasted))
	class.Counter("attempts").Inc(int64(answer.Attempts))
	if answer.InTarget {
		class.Counter("requests_in_target").Inc(1)
	}
	if answer.FirstToken > 0 {
		class.Histogram("first_token_seconds", firstTokenBuckets()).RecordDuration(answer.FirstToken)
	}
	if answer.Gap > 0 {
		class.Histogram("between_tokens_seconds", gapBuckets()).RecordDuration(answer.Gap)
	}
}

// Count adds to a counter with one tag.
func (meter *Meter) Count(name, tag, value string, delta int64) {
	meter.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(delta)
}

// Gauge sets a gauge with one tag.
func (meter *Meter) Gauge(name, tag, value string, level float64) {
	meter.scope.Tagged(map[string]string{tag: value}).Gauge(name).Update(level)
}

// firstTokenBuckets cover 10 ms to 20 s around the target of 530 ms.
func firstTokenBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)
}

// gapBuckets cover 2 ms to 2 s around the target of 56 ms.
func gapBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.5, 18)
}

// End is what became of a request that was forwarded or turned away.
type End struct {
	// Outcome is the status that the caller got, or why the host turned the
	// request away.
	Outcome string
	Kind    string
	// Rank is the urgency: by the workspace's priority, then by the route's.
	Rank int
	// First is the time to the first event or the whole answer; 0: there was none.
	First time.Duration
	Total time.Duration
}

// Ended records what became of a request that was forwarded or turned away.
func (meter *Meter) Ended(end End) {
	scope := meter.scope.Tagged(map[string]string{"outcome": end.Outcome, "kind": end.Kind})
	scope.Counter("forwarded_requests").Inc(1)
	if end.First > 0 {
		scope.Histogram("forwarded_first_seconds", firstTokenBuckets()).RecordDuration(end.First)
	}
	scope.Histogram("forwarded_total_seconds", firstTokenBuckets()).RecordDuration(end.Total)
	rank := map[string]string{"rank": strconv.Itoa(end.Rank), "outcome": end.Outcome}
	meter.scope.Tagged(rank).Counter("ranked_requests").Inc(1)
}

// The names of levels of a gateway.
const (
	ProofAgeSeconds  = "proof_age_seconds"
	RequestsInFlight = "requests_in_flight"
	RetriesLeft      = "retries_left"
	BackendServers   = "backend_servers"
	ListedHosts      = "listed_hosts"
)

// RequestsByRank sets the requests in flight of an urgency.
func (meter *Meter) RequestsByRank(rank, requests int) {
	meter.Gauge("requests_in_flight_by_rank", "rank", strconv.Itoa(rank), float64(requests))
}

// Level sets one of the levels of a gateway.
func (meter *Meter) Level(name string, level float64) {
	meter.scope.Gauge(name).Update(level)
}

// StoreCall counts a call to the store by the kind of its error.
func (meter *Meter) StoreCall(call, kind string) {
	if kind == "" {
		kind = "none"
	}
	meter.scope.Tagged(map[string]string{"call": call, "error": kind}).Counter("store_calls").Inc(1)
}
