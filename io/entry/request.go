package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/google/uuid"

	"primrosegw/core/cell"
	"primrosegw/core/prefix"
	"primrosegw/core/spec"
)

// Headers of callers and of answers.
const (
	// HeaderClass chooses the class of a request.
	HeaderClass = "X-Primrose-Class"
	// HeaderRequestID carries the request's id, made here if the caller sent none.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotency names a call that may run at most once.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderReplayed marks an answer that was recorded by an earlier call.
	HeaderReplayed = "X-Primrose-Replayed"
)

// readyRetry is when a caller may ask again at a host that takes no work. It
// should ask another host first.
const readyRetry = time.Second

// maximumIDBytes bounds ids and idempotency keys that callers choose.
const maximumIDBytes = 128

// fields is what the router reads of a caller's body. All other fields go to
// the engine as they are.
type fields struct {
	Model               *string        `json:"model"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Messages            jsontext.Value `json:"messages"`
	Prompt              jsontext.Value `json:"prompt"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parsed is a caller's request after its checks.
type parsed struct {
	request   cell.Request
	workspace spec.Workspace
	class     spec.Class
	stream    bool
	usage     bool
	// idempotency is the caller's key, empty if it sent none.
	idempotency string
}

func (entry *Entry) authenticate(request *http.Request) (spec.Workspace, *problem) {
	if !entry.options.Directory.Ready() {
		return spec.Workspace{}, &problem{
			status: http.StatusServiceUnavailable, kind: "unavailable",
			message: "the host takes no work", run: cell.NotRun, retryAfter: readyRetry,
		}
	}
	key, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if ok {
		if workspace, found := entry.options.Directory.Workspace(key); found {
			return workspace, nil
		}
	}
	return spec.Workspace{}, &problem{
		status: http.StatusUnauthorized, kind: "authentication_error",
		message: "the Authorization header holds no key of a workspace", param: "Authorization", run: cell.NotRun,
	}
}

func (entry *Entry) class(request *http.Request, workspace spec.Workspace) (spec.Class, *problem) {
	name := request.Header.Get(HeaderClass)
	if name == "" {
		name = workspace.DefaultClass
	}
	class, found := entry.options.Directory.Class(name)
	if !found || !slices.Contains(workspace.Classes, name) {
		return spec.Class{}, invalid(HeaderClass, "found "+name+", allowed: "+strings.Join(workspace.Classes, ", "))
	}
	return class, nil
}

// readBody reads a body within its bounds of size and time.
func (entry *Entry) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, *problem) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, entry.options.Limits.BodyBytes))
	if err == nil {
		// The next request may use the connection.
		writer.Header().Del("Connection")
		_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
		return body, nil
	}
	refused := problem{
		status: http.StatusBadRequest, kind: "invalid_request_error",
		message: "the body did not arrive whole", param: "body", run: cell.NotRun,
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refused.status = http.StatusRequestEntityTooLarge
		refused.message = fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		refused.status = http.StatusRequestTimeout
		refused.message = "the body did not arrive whole in time"
	}
	return nil, &refused
}

// parse reads and checks a request for text.
func (entry *Entry) parse(writer http.ResponseWriter, request *http.Request, chat bool) (parsed, *problem) {
	arrived := time.Now()
	workspace, found := entry.authenticate(request)
	if found != nil {
		return parsed{}, found
	}
	class, found := entry.class(request, workspace)
	if found != nil {
		return parsed{}, found
	}
	body, found := entry.readBody(writer, request)
	if found != nil {
		return parsed{}, found
	}
	read, found := readFields(body)
	if found != nil {
		return parsed{}, found
	}
	if found := read.check(chat, entry.options.Directory.Models()); found != nil {
		return parsed{}, found
	}
	id, found := requestID(request)
	if found != nil {
		return parsed{}, found
	}
	result := parsed{workspace: workspace, class: class, stream: read.Stream}
	result.usage = read.StreamOptions != nil && read.StreamOptions.IncludeUsage
	result.idempotency = request.Header.Get(HeaderIdempotency)
	if found := checkIdempotency(result.idempotency, class.Idempotent); found != nil {
		return parsed{}, found
	}
	result.request = read.request(id, workspace, class, chat, body)
	result.request.Arrived = arrived
	result.request.FirstToken = arrived.Add(time.Duration(class.FirstTokenMs) * time.Millisecond)
	result.request.Deadline = arrived.Add(time.Duration(class.DeadlineMs) * time.Millisecond)
	return result, nil
}

func (fields *fields) check(chat bool, models []string) *problem {
	switch {
	case fields.Model == nil:
		return invalid("model", "model is missing")
	case !slices.Contains(models, *fields.Model):
		return &problem{
			status: http.StatusNotFound, kind: "model_not_found",
			message: "found " + *fields.Model + ", allowed: " + strings.Join(models, ", "),
			param:   "model", run: cell.NotRun,
		}
	case fields.N != nil && *fields.N != 1:
		return invalid("n", "only one answer for each request is served")
	case fields.MaxTokens != nil && *fields.MaxTokens < 1:
		return invalid("max_tokens", "max_tokens is 1 at least")
	case fields.MaxCompletionTokens != nil && *fields.MaxCompletionTokens < 1:
		return invalid("max_completion_tokens", "max_completion_tokens is 1 at least")
	case chat:
		return checkMessages(fields.Messages)
	default:
		return checkPrompt(fields.Prompt)
	}
}

func requestID(request *http.Request) (string, *problem) {
	id := request.Header.Get(HeaderRequestID)
	if len(id) > maximumIDBytes {
		return "", invalid(HeaderRequestID, "the request id is longer than 128 bytes")
	}
	if !printable(id) {
		return "", invalid(HeaderRequestID, "the request id holds other characters than printable ASCII")
	}
	// A caller's id is kept for its own logs, but never used as the only
	// identity: two callers may send the same one.
	unique := uuid.NewString()
	if id == "" {
		return unique, nil
	}
	return id + "." + unique[:8], nil
}

func checkIdempotency(key string, idempotent bool) *problem {
	if !idempotent && key == "" {
		return invalid(HeaderIdempotency, "a call that may run only once needs an idempotency key")
	}
	if len(key) > maximumIDBytes {
		return invalid(HeaderIdempotency, "the idempotency key is longer than 128 bytes")
	}
	if !printable(key) {
		return invalid(HeaderIdempotency, "the idempotency key holds other characters than printable ASCII")
	}
	return nil
}

// printable reports whether a text is printable ASCII. Ids and keys cross links
// in CBOR texts, which peers refuse if they are not valid UTF-8.
func printable(text string) bool {
	for _, char := range []byte(text) {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

func (fields *fields) request(id string, workspace spec.Workspace, class spec.Class, chat bool, body []byte) cell.Request {
	prompt := prefix.PromptText(json.RawMessage(fields.Prompt))
	if chat {
		prompt = prefix.ChatText(json.RawMessage(fields.Messages))
	}
	return cell.Request{
		ID:           id,
		Workspace:    workspace.Name,
		Class:        class.Name,
		Model:        *fields.Model,
		Tier:         class.Tier,
		Priority:     class.Priority,
		Weight:       workspace.Weight,
		PromptTokens: 1 + len(prompt)/prefix.BytesPerToken,
		MaxTokens:    fields.bound(class.MaximumTokens),
		Prefixes:     prefix.Hashes(prompt),
		Fingerprint:  fingerprint(workspace.Name, body),
		Idempotent:   class.Idempotent,
		Chat:         chat,
		Body:         body,
	}
}

// bound returns the tightest limit on the answer's length; 0: none.
func (fields *fields) bound(class int) int {
	bound := math.MaxInt
	for _, limit := range []*int{fields.MaxTokens, fields.MaxCompletionTokens, &class} {
		if limit != nil && *limit > 0 {
			bound = min(bound, *limit)
		}
	}
	if bound == math.MaxInt {
		return 0
	}
	return bound
}

// fingerprint identifies a request that its caller sends again.
func fingerprint(workspace string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}
