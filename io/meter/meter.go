// Package meter records the metrics of a host and exports them to Prometheus.
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

// Meter records the metrics of a host. docs/metrics.md lists them.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a Meter without any values. Close stops it.
func New() *Meter {
	// The default registry would be shared by hosts that run in the same process.
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

// Close stops the reporting goroutine.
func (meter *Meter) Close() { _ = meter.closer.Close() }

// Handler returns an HTTP handler that serves the metrics in the Prometheus text
// format.
func (meter *Meter) Handler() http.Handler { return meter.reporter.HTTPHandler() }

// CountRefused counts a request that was refused before it was routed, by the
// kind of the error.
func (meter *Meter) CountRefused(kind string) {
	meter.scope.Tagged(map[string]string{"kind": kind}).Counter("requests_refused").Inc(1)
}

// RequestResult is the outcome of a routed request.
type RequestResult struct {
	Class  string
	Status int
	// Run says whether the request ran: not_run, ran or unknown.
	Run             string
	DeliveredTokens int
	WastedTokens    int
	Attempts        int
	// FirstToken is the time to the first token and BetweenTokens the mean time
	// between tokens. They are zero if there was no token.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// InTarget reports whether both times met the targets of the class.
	InTarget bool
}

// RecordRequest records the outcome of a routed request.
func (meter *Meter) RecordRequest(result RequestResult) {
	class := meter.scope.Tagged(map[string]string{"class": result.Class})
	class.Tagged(map[string]string{"status": strconv.Itoa(result.Status), "run": result.Run}).Counter("requests").Inc(1)
	class.Counter("tokens_delivered").Inc(int64(result.DeliveredTokens))
	class.Counter("tokens_wasted").Inc(int64(result.WastedTokens))
	class.Counter("attempts").Inc(int64(result.Attempts))
	if result.InTarget {
		class.Counter("requests_in_target").Inc(1)
	}
	if result.FirstToken > 0 {
		class.Histogram("first_token_seconds", firstTokenBuckets()).RecordDuration(result.FirstToken)
	}
	if result.BetweenTokens > 0 {
		class.Histogram("between_tokens_seconds", betweenTokensBuckets()).RecordDuration(result.BetweenTokens)
	}
}

// AddToCounter adds delta to a counter with one tag.
func (meter *Meter) AddToCounter(name, tag, tagValue string, delta int64) {
	meter.scope.Tagged(map[string]string{tag: tagValue}).Counter(name).Inc(delta)
}

// SetTaggedGauge sets a gauge with one tag.
func (meter *Meter) SetTaggedGauge(name, tag, tagValue string, value float64) {
	meter.scope.Tagged(map[string]string{tag: tagValue}).Gauge(name).Update(value)
}

// firstTokenBuckets returns buckets from 10 ms to 20 s. The target is 530 ms.
func firstTokenBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)
}

// betweenTokensBuckets returns buckets from 2 ms to 2 s. The target is 56 ms.
func betweenTokensBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.5, 18)
}

// ForwardResult is the outcome of a request that the host forwarded or refused.
type ForwardResult struct {
	// Outcome is the HTTP status sent to the caller, or the reason why there was
	// no complete answer from a backend server.
	Outcome string
	Kind    string
	// Rank is the request's urgency, ordered by the priority of the workspace and
	// then of the route; 0 is the most urgent.
	Rank int
	// FirstEvent is the time to the first event of a stream or to the whole
	// answer; 0: there was neither.
	FirstEvent time.Duration
	Total      time.Duration
}

// RecordForward records the outcome of a request that the host forwarded or
// refused.
func (meter *Meter) RecordForward(result ForwardResult) {
	scope := meter.scope.Tagged(map[string]string{"outcome": result.Outcome, "kind": result.Kind})
	scope.Counter("forwarded_requests").Inc(1)
	if result.FirstEvent > 0 {
		scope.Histogram("forwarded_first_seconds", firstTokenBuckets()).RecordDuration(result.FirstEvent)
	}
	scope.Histogram("forwarded_total_seconds", firstTokenBuckets()).RecordDuration(result.Total)
	rank := map[string]string{"rank": strconv.Itoa(result.Rank), "outcome": result.Outcome}
	meter.scope.Tagged(rank).Counter("ranked_requests").Inc(1)
}

// The names of the gauges without tags of a gateway, for SetGauge.
const (
	ProofAgeSeconds  = "proof_age_seconds"
	RequestsInFlight = "requests_in_flight"
	RetriesLeft      = "retries_left"
	BackendServers   = "backend_servers"
	ListedHosts      = "listed_hosts"
	OmittedHosts     = "omitted_hosts"
	// ServersInSlowStart is the number of servers whose requests in flight are limited, and SpeedSpread
	// the ratio of the slowest to the fastest server of a service.
	ServersInSlowStart = "servers_in_slow_start"
	SpeedSpread        = "speed_spread"
	// MemoryHeldBytes is the part of MemoryBudgetBytes that is in use.
	MemoryHeldBytes   = "memory_held_bytes"
	MemoryBudgetBytes = "memory_budget_bytes"
	// RelayOpen is the number of open tunnels of other hosts.
	RelayOpen = "relay_open"
)

// SetRequestsByRank sets the number of requests in flight of a rank.
func (meter *Meter) SetRequestsByRank(rank, requests int) {
	meter.SetTaggedGauge("requests_in_flight_by_rank", "rank", strconv.Itoa(rank), float64(requests))
}

// SetServersOrdered sets the number of servers that are ordered of a kind in a failure domain.
func (meter *Meter) SetServersOrdered(service, failureDomain, kind string, servers int) {
	tags := map[string]string{"service": service, "failure_domain": failureDomain, "kind": kind}
	meter.scope.Tagged(tags).Gauge("servers_ordered").Update(float64(servers))
}

// SetGauge sets a gauge without tags.
func (meter *Meter) SetGauge(name string, value float64) {
	meter.scope.Gauge(name).Update(value)
}

// CountStoreCall counts a call to the store by operation and kind of error; an
// empty kind means success.
func (meter *Meter) CountStoreCall(operation, kind string) {
	meter.countCall("store_calls", operation, kind)
}

// CountCloudCall is CountStoreCall for calls to the platform's interface.
func (meter *Meter) CountCloudCall(operation, kind string) {
	meter.countCall("cloud_calls", operation, kind)
}

func (meter *Meter) countCall(counter, operation, kind string) {
	if kind == "" {
		kind = "none"
	}
	meter.scope.Tagged(map[string]string{"call": operation, "error": kind}).Counter(counter).Inc(1)
}
