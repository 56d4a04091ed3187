// Package engine talks to a model engine: calls for text over the OpenAI-style
// HTTP interface, load reports, cache events and orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/io/socket"
)

const (
	// connectTimeout bounds the connection set-up to an engine.
	connectTimeout = time.Second
	// crashProbeTimeout bounds the check whether an engine that broke a stream
	// still runs.
	crashProbeTimeout = 300 * time.Millisecond
	// maximumErrorBytes bounds what is read of an engine's error answer.
	maximumErrorBytes = 16 << 10
	// maximumEventBytes bounds one server-sent event of an engine.
	maximumEventBytes = 1 << 20
	// idleConnections is the number of connections kept open to one engine.
	idleConnections = 64
)

// Backend runs calls on one engine. It implements cell.Backend.
type Backend struct {
	address string
	client  *http.Client
}

// MaxHeaderBytes limits the headers of an engine's response.
const MaxHeaderBytes = 64 << 10

// NewClient returns the HTTP client for calls of engines. One client serves them all. Each call
// has a connection of its own: on a kept one, an answer that an engine writes once more could be
// taken for that of the next call, as answers do not say to which call they belong.
func NewClient() *http.Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// NewControlClient returns the HTTP client for reports of engines and orders, which may come twice.
// One client serves all engines.
func NewControlClient() *http.Client {
	transport := newTransport()
	transport.MaxIdleConnsPerHost = idleConnections
	return &http.Client{Transport: transport}
}

func newTransport() *http.Transport {
	dialer := socket.Probed().Dialer(connectTimeout)
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: MaxHeaderBytes}
}

// New returns the backend of the engine at an address such as
// http://10.0.0.7:8000. The client is that of NewClient.
func New(address string, client *http.Client) *Backend {
	return &Backend{address: address, client: client}
}

// Generate implements cell.Backend.
func (backend *Backend) Generate(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error {
	request, err := backend.request(ctx, call)
	if err != nil {
		return err
	}
	response, err := backend.client.Do(request)
	if err != nil {
		return backend.classify(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	reader := answer{offset: call.ResumeTokens, emit: emit}
	if err := reader.read(response.Body); err != nil {
		return backend.classify(ctx, err)
	}
	return nil
}

// resume tells an engine what the caller already has of an answer.
type resume struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

func (backend *Backend) request(ctx context.Context, call cell.Call) (*http.Request, error) {
	const op = "engine.request"
	body, err := Body(call)
	if err != nil {
		return nil, err
	}
	path := "/v1/completions"
	if call.Request.Chat {
		path = "/v1/chat/completions"
	}
	request, err := sling.New().Base(backend.address).Post(path).
		Body(bytes.NewReader(body)).
		Set("Content-Type", "application/json").
		Set("X-Request-Id", call.Request.ID).
		Set("X-Attempt", strconv.Itoa(call.Attempt)).
		Request()
	if err != nil {
		return nil, fault.Wrap(op, cell.Rejected, err)
	}
	return request.WithContext(ctx), nil
}

// Body returns the caller's body with the fields that the router sets.
func Body(call cell.Call) ([]byte, error) {
	const op = "engine.body"
	fields := make(map[string]any)
	raw := make(map[string]json.RawMessage)
	if err := json.Unmarshal(call.Request.Body, &raw); err != nil {
		return nil, fault.Wrap(op, cell.Rejected, err)
	}
	for name, value := range raw {
		fields[name] = value
	}
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	fields["priority"] = call.Request.Priority
	fields["request_id"] = call.Request.ID
	if bound := call.Request.MaxTokens; bound > 0 {
		// The bound is the tightest of the caller's and the class's. Engines
		// differ in which of the two fields they prefer.
		fields["max_tokens"] = bound
		if _, set := raw["max_completion_tokens"]; set {
			fields["max_completion_tokens"] = bound
		}
	}
	if call.Version != "" {
		fields["version"] = call.Version
	}
	if call.ResumeTokens > 0 {
		fields["resume"] = resume{Tokens: call.ResumeTokens, Text: call.ResumeText}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.Wrap(op, cell.Rejected, err)
	}
	return body, nil
}

// refusal turns an error status into an error. Overload statuses mean that the call was not run if the engine
// says so itself, as a device on the way answers with them, too, when it has given up a call that the engine runs.
// Other client errors mean that it never will be run.
func refusal(response *http.Response) error {
	const op = "engine.generate"
	text, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
	refused := fault.New(op, cell.Broken, fmt.Sprintf("status %d", response.StatusCode))
	refused.Err = Say(string(bytes.TrimSpace(text)))
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable,
		status == http.StatusNotFound, status == http.StatusConflict:
		refused.Kind = cell.TurnedAway
		if isEnginesError(text) {
			refused.Kind = cell.Refused
		}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		refused.Kind = cell.Rejected
	}
	return refused
}

// isEnginesError reports whether an error answer has the form in which engines with an OpenAI-style interface
// describe errors: an object with the type of the error.
func isEnginesError(text []byte) bool {
	var found struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	return json.Unmarshal(text, &found) == nil && found.Error.Type != ""
}

// said is what an engine wrote about a call. It may quote the caller's text, so
// its Error, which goes into logs, leaves it out.
type said string

// Error returns the length of what the engine wrote.
func (said said) Error() string {
	return fmt.Sprintf("the engine gave a reason of %d bytes", len(said))
}

// Say returns the words of an engine as an error; nil if there are none.
func Say(text string) error {
	if text == "" {
		return nil
	}
	return said(text)
}

// Said returns the words of an engine in an error, for the caller whose call it
// is about; empty if there are none.
func Said(err error) string {
	var found said
	if errors.As(err, &found) {
		return string(found)
	}
	return ""
}

// classify says what a transport error means for the call.
func (backend *Backend) classify(ctx context.Context, err error) error {
	const op = "engine.generate"
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	var known *cell.Error
	if errors.As(err, &known) {
		if known.Kind == cell.Broken && !backend.alive() {
			return fault.Wrap(op, cell.Crashed, err)
		}
		return err
	}
	if dialing(err) {
		return fault.Wrap(op, cell.Refused, err)
	}
	if !backend.alive() {
		return fault.Wrap(op, cell.Crashed, err)
	}
	return fault.Wrap(op, cell.Broken, err)
}

// dialing reports whether the error came before any byte of the call was sent.
func dialing(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// alive reports whether the engine still runs after it broke a stream. It is held
// to be dead if it refuses connections, or if whatever restarts it answers that
// the engine is not available. A time out says nothing: a frozen engine is not a
// crashed one.
func (backend *Backend) alive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	request, err := sling.New().Base(backend.address).Get("/control/load").Request()
	if err != nil {
		return true
	}
	response, err := backend.client.Do(request.WithContext(ctx))
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = response.Body.Close()
	return response.StatusCode != http.StatusServiceUnavailable
}
