package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/tmaxmax/go-sse"

	"primrosegw/core/ending"
)

// Status says how a call ended.
type Status string

// The values of Status.
const (
	// Complete: the whole answer came.
	Complete Status = "complete"
	// Refused: the system said that the call was not run.
	Refused Status = "refused"
	// Expired: the caller gave up.
	Expired Status = "expired"
	// Broken: the answer ended before it was whole.
	Broken Status = "broken"
	// Failed: anything else.
	Failed Status = "failed"
)

const (
	// largestEvent bounds one event of an answer, in bytes.
	largestEvent = 1 << 20
	// dialAttempts is the number of hosts that a call tries to connect to.
	dialAttempts = 3
)

// sample is what was measured of one call.
type sample struct {
	call   Call
	status Status
	// firstToken is the time from the planned start to the first token.
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	// wrong says that the answer is complete and not the one expected.
	wrong bool
	// late is how much after its planned time the call was sent.
	late time.Duration
	// own says that the generator's own limits made the call fail.
	own bool
	// detail is the status code or the error, for the summary of failures.
	detail string
	// framing is what showed where the response with status 200 ends; empty: there was none.
	framing ending.Framing
	// short says that the response ended without its closing event as if it were complete.
	short bool
	// endedAt is the time of the run at which the call ended.
	endedAt time.Duration
}

// chatRequest is the body of a call.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	// OutputTokens tells a stand-in engine how long the answer is. The router
	// must not use it.
	OutputTokens int `json:"x_output_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// event is what the generator reads of a server-sent event.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

// problem is an error as the system reports it.
type problem struct {
	Type string `json:"type"`
	Run  string `json:"run"`
}

// caller sends calls.
type caller struct {
	profile   Profile
	client    *http.Client
	directory *directory
	expected  func(body []byte) (string, bool)
	began     time.Time
}

// send runs one call to its end. Times count from the planned start, so that a
// generator or a system that falls behind does not hide its delay.
func (caller *caller) send(ctx context.Context, call Call) sample {
	sample := caller.attempt(ctx, call)
	sample.endedAt = time.Since(caller.began)
	return sample
}

func (caller *caller) attempt(ctx context.Context, call Call) sample {
	planned := caller.began.Add(call.At)
	sample := sample{call: call, late: time.Since(planned)}
	class := caller.profile.Classes[call.Class]
	ctx, cancel := context.WithDeadline(ctx, planned.Add(milliseconds(class.DeadlineMs)))
	defer cancel()
	body := caller.body(call)
	response, err := caller.connect(ctx, call, body)
	if err != nil {
		sample.fail(ctx, err)
		return sample
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		sample.refuse(response)
		return sample
	}
	sample.framing = ending.FramingOf(response.ContentLength, len(response.TransferEncoding) > 0)
	answer, err := sample.read(response.Body, planned)
	if err != nil {
		sample.fail(ctx, err)
		return sample
	}
	sample.status = Complete
	if caller.expected != nil {
		want, known := caller.expected(body)
		sample.wrong = known && want != answer
	}
	return sample
}

// body returns the JSON of a call.
func (caller *caller) body(call Call) []byte {
	class := caller.profile.Classes[call.Class]
	data, err := json.Marshal(chatRequest{
		Model: class.Model, Messages: []chatMessage{{Role: "user", Content: call.Prompt}}, Stream: true,
		MaxTokens: class.MaximumTokens, OutputTokens: call.OutputTokens,
	})
	if err != nil {
		// A struct of strings and numbers always has a JSON form.
		return nil
	}
	return data
}

// connect sends a call to a host. A call that could not connect goes to another.
func (caller *caller) connect(ctx context.Context, call Call, body []byte) (*http.Response, error) {
	failed := make(map[string]bool)
	var last error
	for range dialAttempts {
		host, found := caller.directory.pick(failed)
		if !found {
			break
		}
		request, err := caller.request(ctx, host, call, body)
		if err != nil {
			return nil, err
		}
		response, err := caller.client.Do(request)
		if err == nil {
			return response, nil
		}
		last = err
		var operation *net.OpError
		if !errors.As(err, &operation) || operation.Op != "dial" {
			return nil, err
		}
		failed[host.Address] = true
	}
	if last == nil {
		last = errors.New("no entry host is known")
	}
	return nil, last
}

// request builds the call's HTTP request.
func (caller *caller) request(ctx context.Context, host address, call Call, body []byte) (*http.Request, error) {
	class, workspace := caller.profile.Classes[call.Class], caller.profile.Workspaces[call.Workspace]
	request, err := sling.New().Post("http://"+host.Address+"/v1/chat/completions").
		Set("Authorization", "Bearer "+workspace.Key).
		Set("Content-Type", "application/json").
		Set("X-Primrose-Class", class.Name).
		Set("X-Request-Id", fmt.Sprintf("load-%d-%d", caller.profile.Seed, call.Index)).
		Body(strings.NewReader(string(body))).Request()
	if err != nil {
		return nil, err
	}
	return request.WithContext(ctx), nil
}

// refuse notes an answer with an error status.
func (sample *sample) refuse(response *http.Response) {
	var body struct {
		Error problem `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(response.Body, largestEvent)).Decode(&body)
	sample.status = Failed
	if body.Error.Run == "not_run" {
		sample.status = Refused
	}
	sample.detail = fmt.Sprintf("%d %s", response.StatusCode, body.Error.Type)
}

// errIncomplete is the cause when an answer ends without its closing event.
var errIncomplete = errors.New("the answer ended early")

// read takes in the events of an answer and returns its text.
func (sample *sample) read(body io.Reader, planned time.Time) (string, error) {
	var text strings.Builder
	last := planned
	for found, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: largestEvent}) {
		if err != nil {
			return "", err
		}
		if found.Data == "[DONE]" {
			return text.String(), nil
		}
		var event event
		if err := json.Unmarshal([]byte(found.Data), &event); err != nil {
			return "", err
		}
		if event.Error != nil {
			return "", errors.Newf("%s, run %s", event.Error.Type, event.Error.Run)
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(event.Choices[0].Delta.Content)
		now := time.Now()
		sample.token(now.Sub(last))
		last = now
	}
	return "", errIncomplete
}

// token notes a token and the time since the one before.
func (sample *sample) token(passed time.Duration) {
	if sample.tokens == 0 {
		sample.firstToken = passed
	} else {
		sample.gaps = append(sample.gaps, passed)
	}
	sample.tokens++
}

// fail notes an error.
func (sample *sample) fail(ctx context.Context, err error) {
	sample.own, sample.short = errors.Is(err, syscall.EMFILE), errors.Is(err, errIncomplete)
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		// The method and the path are the same for all calls.
		err = wrapped.Err
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		sample.status, sample.detail = Expired, "the caller's deadline"
	case sample.tokens > 0:
		sample.status, sample.detail = Broken, err.Error()
	default:
		sample.status, sample.detail = Failed, err.Error()
	}
}

// inTarget reports whether the caller got the answer as the class promises: the
// first token in time, and the mean time between tokens within its target.
func (sample *sample) inTarget(class Class) bool {
	if sample.status != Complete || sample.wrong || sample.firstToken > milliseconds(class.FirstTokenMs) {
		return false
	}
	whole := time.Duration(0)
	for _, gap := range sample.gaps {
		whole += gap
	}
	return whole <= milliseconds(class.BetweenTokensMs)*time.Duration(len(sample.gaps))
}
