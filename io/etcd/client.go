// Package etcd reaches the platform's key-value service by its published etcd
// v3 JSON gateway.
package etcd

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"

	"primrosegw/core/fault"
	"primrosegw/core/store"
	"primrosegw/io/socket"
)

const (
	// defaultTimeout bounds one call. The service answers in milliseconds; a
	// second leaves room for a slow spell.
	defaultTimeout = time.Second
	// defaultCallsPerSecond and defaultBurst are one host's part of the service
	// among many: 340 hosts at this rate take 1,700 of about 2,300 calls a second.
	defaultCallsPerSecond = 5
	defaultBurst          = 50
	// fleetCalls is what all hosts together take, in calls a second.
	fleetCalls = defaultCallsPerSecond * 340
	// maximumCallsPerSecond bounds one host of a small fleet. A ledger with 8 of
	// 64 partitions at 4 writes a second needs 32.
	maximumCallsPerSecond = 50
	// minimumBackoff and maximumBackoff bound the time that a failed endpoint is
	// left alone.
	minimumBackoff = 50 * time.Millisecond
	maximumBackoff = 2 * time.Second
	// replyLimit bounds a reply, in bytes: 48 values of the largest size in
	// base64.
	replyLimit = 64 << 20
)

// Options configure a Client.
type Options struct {
	// Endpoints are base URLs such as "http://10.0.0.1:2379".
	Endpoints []string
	// Timeout bounds each call; 0: one second.
	Timeout time.Duration
	// CallsPerSecond and Burst are the budget of calls, kv_calls; 0: 5 and 50.
	CallsPerSecond float64
	Burst          int
	// HTTP is the client for calls; nil: a client of its own.
	HTTP *http.Client
	// Random draws the jitter of back-offs; nil: seeded from the runtime.
	Random *rand.Rand
}

// Client is a store.Store over the gateway. Its errors are store.Error.
type Client struct {
	http      *http.Client
	timeout   time.Duration
	endpoints endpoints
	budget    *rate.Limiter
	mutex     sync.Mutex
	calls     map[string]int
	cluster   cluster
}

// New returns a client. It fails with Refused when an option is bad.
func New(options Options) (*Client, error) {
	if len(options.Endpoints) == 0 {
		return nil, fault.Field("etcd.new", store.Refused, "endpoints", "at least one is needed")
	}
	options = options.withDefaults()
	client := &Client{
		http: options.HTTP, timeout: options.Timeout, calls: map[string]int{},
		cluster: cluster{versions: map[string]version{}, leases: map[int64]uint64{}},
		budget:  rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
		endpoints: endpoints{
			random: options.Random, minimum: minimumBackoff, maximum: maximumBackoff,
			first: options.Random.IntN(len(options.Endpoints)),
		},
	}
	for _, address := range options.Endpoints {
		client.endpoints.list = append(client.endpoints.list, &endpoint{address: address})
	}
	return client, nil
}

func (options Options) withDefaults() Options {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.CallsPerSecond == 0 {
		options.CallsPerSecond = defaultCallsPerSecond
	}
	if options.Burst == 0 {
		options.Burst = defaultBurst
	}
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: &http.Transport{DialContext: socket.Probed().Dialer(0).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes}}
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return options
}

// maxHeaderBytes limits the headers of a response.
const maxHeaderBytes = 64 << 10

// Calls returns the number of calls sent, by kind: range, txn, grant,
// keepalive, revoke and watch. It is the metric kv_calls.
func (client *Client) Calls() map[string]int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return maps.Clone(client.calls)
}

// Share sets the budget to one host's part among a number of live hosts, at most
// 50 calls a second. It replaces Options.CallsPerSecond.
func (client *Client) Share(hosts int) {
	client.budget.SetLimit(rate.Limit(min(maximumCallsPerSecond, fleetCalls/float64(max(hosts, 1)))))
}

// spend waits for the budget and counts the call. Renewals do not wait, since a
// lease would be lost to other calls of the same host; they still use up budget,
// and later calls wait for longer.
func (client *Client) spend(ctx context.Context, kind string) error {
	if kind == "keepalive" {
		client.budget.Reserve()
	} else if err := client.budget.Wait(ctx); err != nil {
		return fault.Wrap("etcd."+kind, store.Unavailable, err)
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.calls[kind]++
	return nil
}

// call describes one exchange with the service.
type call struct {
	kind, path string
	write      bool
	message    any
	answer     any
}

// attempt is the result of one try at one endpoint.
type attempt struct {
	err error
	// sent says that some of the request may have reached the service.
	sent bool
	// failed says that the endpoint is at fault.
	failed bool
}

// do runs a call at the endpoints in turn. A write moves on to another endpoint
// only if it was certainly not sent; otherwise it is uncertain, since a service
// that answers with an error or not at all may still apply it.
func (client *Client) do(ctx context.Context, call call) error {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	last := error(fault.New("etcd."+call.kind, store.Unavailable, "all endpoints are backing off"))
	tried := map[*endpoint]bool{}
	for {
		endpoint := client.endpoints.choose(tried)
		if endpoint == nil {
			return last
		}
		tried[endpoint] = true
		if err := client.spend(ctx, call.kind); err != nil {
			client.endpoints.settle(endpoint, false)
			return err
		}
		attempt := client.try(ctx, endpoint, call)
		// A caller that gives up says nothing about the endpoint.
		client.endpoints.settle(endpoint, attempt.failed && caller.Err() == nil)
		if attempt.err == nil || !attempt.failed {
			return attempt.err
		}
		if call.write && attempt.sent {
			return fault.Wrap("etcd."+call.kind, store.Uncertain, attempt.err)
		}
		last = fault.Wrap("etcd."+call.kind, store.Unavailable, attempt.err)
	}
}

// try runs a call at one endpoint.
func (client *Client) try(ctx context.Context, endpoint *endpoint, call call) attempt {
	response, sent, err := client.open(ctx, endpoint, call)
	if err != nil {
		return attempt{err: err, sent: sent, failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(call.kind, response)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, replyLimit)).Decode(call.answer)
	if answer, ok := call.answer.(reply); ok && err == nil {
		client.cluster.observe(answer.head())
	}
	return attempt{err: err, sent: true, failed: err != nil}
}

// open sends a request and returns the response, and whether some of the
// request may have reached the service. A request that got no connection was
// not sent.
func (client *Client) open(ctx context.Context, endpoint *endpoint, call call) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := sling.New().Base(endpoint.address).Post(call.path).BodyJSON(call.message).Request()
	if err != nil {
		return nil, false, err
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := client.http.Do(request)
	return response, sent.Load(), err
}

// refusal maps an error of the gateway by its status. The statuses listed are
// decided before a write is applied; any other error leaves the write open.
func refusal(kind string, response *http.Response) attempt {
	var message struct {
		Error string `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(response.Body, 64<<10)).Decode(&message)
	op, detail := "etcd."+kind, response.Status+": "+message.Error
	switch response.StatusCode {
	case http.StatusNotFound:
		return attempt{err: fault.New(op, store.Expired, detail), sent: true}
	case http.StatusTooManyRequests:
		return attempt{err: fault.New(op, store.Unavailable, detail), failed: true}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusPreconditionFailed:
		return attempt{err: fault.New(op, store.Refused, detail), sent: true}
	}
	return attempt{err: fault.New(op, store.Unavailable, detail), sent: true, failed: true}
}
