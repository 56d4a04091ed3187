package entry

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
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

// maximumIDBytes bounds ids and idempotency keys that callers choose.
const maximumIDBytes = 128

// fields is what the router reads of a caller's body. All other fields go to
// the engine as they are.
type fields struct {
	Model               *string         `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
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
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(entry.options.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, entry.options.Limits.BodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problem{
			status: http.StatusRequestEntityTooLarge, kind: "invalid_request_error",
			message: "the body is larger than the limit in bytes", param: "body", run: cell.NotRun,
		}
	case err != nil:
		return nil, &problem{
			status: http.StatusRequestTimeout, kind: "invalid_request_error",
			message: "the body did not arrive whole in time", param: "body", run: cell.NotRun,
		}
	}
	return body, nil
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
	var read fields
	if err := json.Unmarshal(body, &read); err != nil {
		return parsed{}, describeJSON(err)
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
	result.request = read.request(id, workspace, class, body)
	result.request.Chat = chat
	result.request.Arrived = arrived
	result.request.FirstToken = arrived.Add(time.Duration(class.FirstTokenMs) * time.Millisecond)
	result.request.Deadline = arrived.Add(time.Duration(class.DeadlineMs) * time.Millisecond)
	return result, nil
}

func describeJSON(err error) *problem {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(wrongType.Field, "found a "+wrongType.Value+", allowed: "+wrongType.Type.String())
	}
	return invalid("body", "the body is not a JSON object: "+err.Error())
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
	case len(fields.Prompt) == 0 || string(fields.Prompt) == "null":
		return invalid("prompt", "prompt is missing")
	}
	return nil
}

func checkMessages(raw json.RawMessage) *problem {
	var messages []struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(raw, &messages); err != nil {
		return invalid("messages", "messages is not a list of messages")
	}
	if len(messages) == 0 {
		return invalid("messages", "messages is empty")
	}
	for _, message := range messages {
		if message.Role == "" {
			return invalid("messages.role", "a message has no role")
		}
	}
	return nil
}

func requestID(request *http.Request) (string, *problem) {
	id := request.Header.Get(HeaderRequestID)
	if len(id) > maximumIDBytes {
		return "", invalid(HeaderRequestID, "the request id is longer than 128 bytes")
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
	return nil
}

func (fields *fields) request(id string, workspace spec.Workspace, class spec.Class, body []byte) cell.Request {
	prompt := prefix.Prompt(fields.Prompt)
	if len(fields.Messages) > 0 {
		prompt = prefix.Chat(fields.Messages)
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
