// Package plain calls the plain services that stand beside the engines.
package plain

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/ending"
	"primrosegw/core/fault"
	"primrosegw/core/retry"
	"primrosegw/core/spec"
	"primrosegw/io/socket"
)

// Kind is the sort of a plain error.
type Kind string

// The kinds of plain errors.
const (
	// Refused: no address of the service took the call; it was not run.
	Refused Kind = "refused"
	// Broken: the call may have run, but its answer was lost.
	Broken Kind = "broken"
	// Oversized: the answer is larger than is passed on.
	Oversized Kind = "oversized"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// maximumAnswerBytes bounds an answer that is passed on.
	maximumAnswerBytes = 4 << 20
	connectTimeout     = time.Second
	// maximumTries bounds the tries of one call over all addresses.
	maximumTries = 4
)

// Call is one call of a service.
type Call struct {
	Method string
	// Path is the part after the service's name, without a leading slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// Answer is what the service said.
type Answer struct {
	Status int
	// Header has Transfer-Encoding: identity if the answer had neither a length nor chunks, and must be
	// passed on so: its service is trusted to end answers with their connection. Trailers have the prefix
	// http.TrailerPrefix.
	Header http.Header
	Body   []byte
	// URL is the address that answered.
	URL string
	// Tries counts the addresses asked.
	Tries int
}

// Options are the dependencies of a Service.
type Options struct {
	// Retries sizes the budget that all calls share; zero takes the defaults of
	// package retry.
	Retries retry.Options
	// Random draws the jitter of the pauses.
	Random *rand.Rand
}

// Service calls plain services. It is safe for concurrent use.
type Service struct {
	client *http.Client
	// turn spreads calls over a service's addresses.
	turn atomic.Uint64

	// mutex guards the budget and the random source of the backoff.
	mutex   sync.Mutex
	budget  *retry.Budget
	backoff retry.Backoff
}

// New returns a client for plain services.
func New(options Options) *Service {
	if options.Retries == (retry.Options{}) {
		options.Retries = retry.Options{
			Share: retry.DefaultRetryShare, MaxBalance: retry.DefaultMaxBalance, RefillPerSecond: retry.DefaultRefillPerSecond,
		}
	}
	dialer := socket.Probed().Dialer(connectTimeout)
	return &Service{
		budget:  retry.New(options.Retries),
		backoff: retry.Backoff{BaseDelay: retry.DefaultBaseDelay, MaxDelay: retry.DefaultMaxDelay, Random: options.Random},
		client: &http.Client{
			// Each call has a connection of its own: on a kept one, an answer that a service writes
			// once more would be taken for that of the next call.
			Transport:     &http.Transport{DialContext: dialChecked(dialer), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// maxHeaderBytes limits the headers of a response.
const maxHeaderBytes = 64 << 10

// Do sends a call to one address of a service. Calls with a repeatable method
// are sent again after a broken connection or an overload status; others only
// when they certainly were not run. Errors are Refused, Broken and Oversized; after
// a try that may have run, none is Refused.
func (service *Service) Do(ctx context.Context, target spec.Service, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(target.TimeoutMs)*time.Millisecond)
	defer cancel()
	repeatable := slices.Contains(target.RepeatableMethods, call.Method)
	first := service.turn.Add(1)
	var answer Answer
	var err error
	mayHaveRun := false
	for try := range maximumTries {
		address := target.URLs[(first+uint64(try))%uint64(len(target.URLs))]
		answer, err = service.once(ctx, address, target.TrustConnectionEnds, call)
		answer.Tries = try + 1
		mayHaveRun = mayHaveRun || !fault.Is(err, Refused)
		if !again(answer, err, repeatable) || !service.wait(ctx, try) {
			break
		}
	}
	if err == nil {
		service.earn()
	}
	if mayHaveRun {
		err = doubt(err)
	}
	return answer, err
}

// doubt returns the error of a call whose last try had an error, and of which an earlier try may have run.
func doubt(err error) error {
	var refused *Error
	if !errors.As(err, &refused) || refused.Kind != Refused {
		return err
	}
	// The refusal must not be in the chain, where fault.Is would find it.
	broken := fault.Wrap("plain.do", Broken, refused.Err)
	broken.Detail = "an earlier try may have run"
	return broken
}

// again reports whether a call may and should be sent once more.
func again(answer Answer, err error, repeatable bool) bool {
	switch {
	case fault.Is(err, Refused):
		return true
	case fault.Is(err, Broken):
		return repeatable
	case err != nil:
		return false
	default:
		overloaded := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusBadGateway
		return repeatable && overloaded
	}
}

func (service *Service) earn() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.budget.Deposit()
}

// spend takes one retry out of the budget and returns the pause before it.
func (service *Service) spend(try int) (time.Duration, bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if !service.budget.TryWithdraw() {
		return 0, false
	}
	return service.backoff.Delay(try + 1), true
}

// wait spends one retry and waits for its backoff.
func (service *Service) wait(ctx context.Context, try int) bool {
	pause, paid := service.spend(try)
	if !paid {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (service *Service) once(ctx context.Context, address string, trusted bool, call Call) (Answer, error) {
	const op = "plain.do"
	target := strings.TrimSuffix(address, "/") + "/" + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	// sling has no call for an arbitrary method, so the request is made by hand.
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{URL: address}, fault.Wrap(op, Refused, err)
	}
	copyHeader(request.Header, call.Header)
	keepSingle(request)
	response, err := service.client.Do(request)
	if err != nil {
		return Answer{URL: address}, classify(err)
	}
	defer response.Body.Close()
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return Answer{URL: address}, fault.New(op, Broken, "invalid status "+strconv.Itoa(response.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes+1))
	if err != nil {
		return Answer{URL: address}, fault.Wrap(op, Broken, err)
	}
	if len(body) > maximumAnswerBytes {
		return Answer{URL: address}, fault.New(op, Oversized, "the answer is larger than 4 MiB")
	}
	header := passed(response.Header)
	if call.Method != http.MethodHead {
		evidence := ending.Evidence{Framing: framing(response), Trusted: trusted, Outcome: ending.NoQuestion, RunEvents: ending.NotListed}
		if reason, verdict := evidence.Judge(); verdict != ending.Whole {
			return Answer{URL: address}, fault.New(op, Broken, "nothing shows that the answer is whole: "+string(reason))
		}
		if evidence.Framing == ending.Connection {
			header.Set("Transfer-Encoding", "identity")
		}
	}
	addTrailers(header, response.Trailer)
	return Answer{Status: response.StatusCode, Header: header, Body: body, URL: address}, nil
}

// minStatus and maxStatus bound the statuses of HTTP; net/http accepts all numbers of three digits.
const (
	minStatus = 100
	maxStatus = 599
)

// framing returns what shows where an answer ends.
func framing(response *http.Response) ending.Framing {
	return ending.FramingOf(response.ContentLength, len(response.TransferEncoding) > 0)
}

// keepSingle stops net/http from sending a request again by itself, whatever connection
// it uses. It does so when a kept connection breaks, for requests with a key under the canonical
// name of the header; the key goes out under the name in lower case instead.
func keepSingle(request *http.Request) {
	const name = "Idempotency-Key"
	if values, found := request.Header[name]; found {
		delete(request.Header, name)
		request.Header["idempotency-key"] = values
	}
	request.GetBody = nil
}

// classify tells a call that never left from one that may have run.
func classify(err error) error {
	const op = "plain.do"
	// The URL holds the caller's query, which belongs into no log.
	var located *url.Error
	if errors.As(err, &located) {
		err = located.Err
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fault.Wrap(op, Refused, err)
	}
	return fault.Wrap(op, Broken, err)
}

// passedHeaders lists the headers that go through in either direction. Keys of
// callers and headers of one connection do not.
func passedHeaders() []string {
	return []string{
		"Accept", "Accept-Language", "Content-Type", "Content-Language", "Etag", "If-Match", "If-None-Match",
		"Last-Modified", "Location", "Cache-Control", "Idempotency-Key", "X-Request-Id", "Retry-After",
	}
}

func passed(header http.Header) http.Header {
	kept := make(http.Header)
	copyHeader(kept, header)
	return kept
}

// addTrailers adds the trailers of an answer that are passed on to its header. A service may report a failure there.
func addTrailers(to, trailer http.Header) {
	for name, values := range trailer {
		if len(values) > 0 && !slices.Contains(droppedTrailers(), name) {
			to[http.TrailerPrefix+name] = values
		}
	}
}

// droppedTrailers returns the names of trailers that hold for one connection, or that a caller must not take from a
// trailer (RFC 9110, section 6.5.1). net/http drops those that say where an answer ends.
func droppedTrailers() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Upgrade", "Www-Authenticate", "Proxy-Authenticate",
		"Set-Cookie", "Content-Type", "Content-Encoding", "Location", "Cache-Control", "Retry-After", "X-Request-Id",
	}
}

func copyHeader(to, from http.Header) {
	for _, name := range passedHeaders() {
		if values := from.Values(name); len(values) > 0 {
			to[name] = slices.Clone(values)
		}
	}
}
