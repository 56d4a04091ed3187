package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/limit"
	"primrosegw/io/engine"
)

// TestAnswer guards against an answer that loses, adds or changes words on its
// way to the caller.
func TestAnswer(t *testing.T) {
	side := newSide().serve(t)
	_, body := side.do(t, http.DefaultClient, ask{body: liveChat})
	text, done, failed := streamText(t, body)
	assert.Equal(t, "three spots", text)
	assert.True(t, done && !failed, "%s", body)
	assert.NotContains(t, body, "engine-id")

	var whole struct {
		Choices []struct {
			Message struct{ Content string }
			Finish  string `json:"finish_reason"`
		}
		Usage struct {
			Tokens int `json:"completion_tokens"`
		}
	}
	_, body = side.do(t, http.DefaultClient, ask{body: goodChat})
	require.NoError(t, json.Unmarshal([]byte(body), &whole))
	assert.Equal(t, "three spots", whole.Choices[0].Message.Content)
	assert.Equal(t, "stop", whole.Choices[0].Finish)
	assert.Equal(t, 2, whole.Usage.Tokens)
}

// TestTrimmedPiece guards against the loss of words of a piece whose payload
// was dropped when it was cut to the part that the caller lacks.
func TestTrimmedPiece(t *testing.T) {
	side := newSide()
	side.router = func(_ context.Context, _ cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
		for _, chunk := range []cell.Chunk{piece(0, "one ", ""), {Offset: 1, Tokens: 2, Text: "two three "}, {Offset: 3, Tokens: 1, Text: "four", FinishReason: "stop"}} {
			if err := emit(chunk); err != nil {
				return cell.Outcome{Run: cell.Ran}, err
			}
		}
		return cell.Outcome{Run: cell.Ran}, nil
	}
	side.serve(t)
	_, body := side.do(t, http.DefaultClient, ask{body: liveChat})
	text, done, _ := streamText(t, body)
	assert.Equal(t, "one two three four", text)
	assert.True(t, done)
	assert.Contains(t, body, `"finish_reason":"stop"`)

	_, body = side.do(t, http.DefaultClient, ask{path: plainPath, body: `{"model":"sketch","stream":true,"prompt":"x"}`})
	assert.Contains(t, body, `"text":"two three "`)
}

// TestRouterErrors guards against an error that tells the caller something
// else than what became of the request.
func TestRouterErrors(t *testing.T) {
	cases := map[string]struct {
		outcome cell.Outcome
		err     error
		status  int
		kind    string
		run     string
		retry   string
	}{
		"shed": {
			cell.Outcome{Run: cell.NotRun, RetryAfter: 2500 * time.Millisecond},
			fault.New("cell.serve", cell.Shed, "full"),
			http.StatusTooManyRequests, "overloaded", "not_run", "3",
		},
		"shed without a time": {
			cell.Outcome{Run: cell.NotRun},
			fault.New("cell.serve", cell.Shed, "full"),
			http.StatusTooManyRequests, "overloaded", "not_run", "1",
		},
		"refused": {
			cell.Outcome{Run: cell.NotRun},
			fault.New("cell.serve", cell.Refused, "no engine"),
			http.StatusServiceUnavailable, "unavailable", "not_run", "1",
		},
		"closed": {
			cell.Outcome{Run: cell.NotRun},
			fault.New("cell.serve", cell.Closed, "moved"),
			http.StatusServiceUnavailable, "unavailable", "not_run", "1",
		},
		"rejected": {
			cell.Outcome{Run: cell.NotRun},
			fault.New("cell.serve", cell.Rejected, "bad"),
			http.StatusBadRequest, "invalid_request_error", "not_run", "",
		},
		"expired in the queue": {
			cell.Outcome{Run: cell.NotRun},
			fault.New("cell.serve", cell.Expired, "late"),
			http.StatusGatewayTimeout, "deadline_exceeded", "not_run", "",
		},
		"expired in mid-run": {
			cell.Outcome{Run: cell.RunUnknown},
			context.DeadlineExceeded,
			http.StatusGatewayTimeout, "deadline_exceeded", "unknown", "",
		},
		"poison": {
			cell.Outcome{Run: cell.NotRun},
			fault.New("cell.serve", cell.Poison, "crashed two"),
			http.StatusUnprocessableEntity, "request_crashes_backend_servers", "not_run", "",
		},
		"lost": {
			cell.Outcome{Run: cell.RunUnknown},
			fault.New("cell.serve", cell.Unknown, "lost"),
			http.StatusBadGateway, "backend_server_lost", "unknown", "",
		},
		"not said": {
			cell.Outcome{},
			fault.New("cell.serve", cell.Broken, "lost"),
			http.StatusBadGateway, "backend_server_lost", "unknown", "",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			side := newSide()
			side.router = func(context.Context, cell.Request, func(cell.Chunk) error) (cell.Outcome, error) {
				return test.outcome, test.err
			}
			side.serve(t)
			for _, body := range []string{goodChat, liveChat} {
				response, answer := side.do(t, http.DefaultClient, ask{body: body})
				found := readProblem(t, response, answer)
				assert.Equal(t, test.status, response.StatusCode)
				assert.Equal(t, test.kind, found.Type)
				assert.Equal(t, test.run, found.Run)
				assert.NotContains(t, found.Message, "127.0.0.1", "an address of the platform")
				assert.Equal(t, test.retry, response.Header.Get("Retry-After"))
			}
		})
	}
}

// TestFailureAfterFirstToken guards against a cut answer that looks whole.
func TestFailureAfterFirstToken(t *testing.T) {
	cases := map[string]error{
		"error": fault.New("cell.serve", cell.Unknown, "the engine was lost"),
		// The router claims success, but no piece carried a reason for the end.
		"no finish": nil,
	}
	for name, failure := range cases {
		t.Run(name, func(t *testing.T) {
			side := newSide()
			side.router = func(_ context.Context, _ cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
				if err := emit(piece(0, "three ", "")); err != nil {
					return cell.Outcome{Run: cell.Ran}, err
				}
				return cell.Outcome{Run: cell.RunUnknown}, failure
			}
			side.serve(t)
			_, body := side.do(t, http.DefaultClient, ask{body: liveChat})
			text, done, failed := streamText(t, body)
			assert.Equal(t, "three ", text)
			assert.False(t, done, "%s", body)
			assert.True(t, failed, "%s", body)
			assert.Contains(t, body, `"run":"unknown"`)

			response, body := side.do(t, http.DefaultClient, ask{body: goodChat})
			assert.Equal(t, http.StatusBadGateway, response.StatusCode)
			assert.Equal(t, "unknown", readProblem(t, response, body).Run)
		})
	}
}

// TestVanishedCaller guards against work that goes on, and a permit that is
// held, for a caller who went away.
func TestVanishedCaller(t *testing.T) {
	side := newSide()
	side.limits = map[string]limit.Limit{"alpha": {InFlight: 1}}
	started := make(chan struct{})
	ended := make(chan error, 1)
	side.router = func(ctx context.Context, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
		if request.MaxTokens != 1 {
			return answerWith("x")(ctx, request, emit)
		}
		close(started)
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return cell.Outcome{Run: cell.RunUnknown}, ctx.Err()
	}
	side.serve(t)
	ctx, cancel := context.WithCancel(t.Context())
	request := side.request(ctx, t, ask{body: strings.Replace(liveChat, "{", `{"max_tokens":1,`, 1)})
	failed := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		failed <- err
	}()
	<-started
	cancel()
	require.Error(t, <-failed)
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Eventually(t, func() bool {
		response, _ := side.do(t, http.DefaultClient, ask{body: goodChat})
		return response.StatusCode == http.StatusOK
	}, patience, time.Millisecond, "the permit is still held")
	require.Eventually(t, func() bool { return strings.Contains(side.log.String(), `"status":499`) }, patience, time.Millisecond)
}

// TestSlowCaller guards against a caller who does not read and so holds an
// engine for longer than the write timeout.
func TestSlowCaller(t *testing.T) {
	side := newSide()
	side.bounds.WriteTimeout = 100 * time.Millisecond
	ended := make(chan error, 1)
	side.router = func(_ context.Context, _ cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
		// 64 MB is far above the buffers of a loopback connection.
		text := strings.Repeat("x", 64<<10)
		for offset := range 1000 {
			if err := emit(piece(offset, text, "")); err != nil {
				ended <- err
				return cell.Outcome{Run: cell.Ran}, err
			}
		}
		ended <- nil
		return cell.Outcome{Run: cell.Ran}, nil
	}
	side.serve(t)
	connection := dial(t, side.address)
	_, err := connection.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + keyAlpha +
		"\r\nContent-Length: " + strconv.Itoa(len(liveChat)) + "\r\n\r\n" + liveChat))
	require.NoError(t, err)
	require.True(t, fault.Is(<-ended, cell.Gone))
	require.Eventually(t, func() bool { return strings.Contains(side.log.String(), `"status":499`) }, patience, time.Millisecond)
}

// TestLateAndCrossedPieces guards against the words of one caller in the answer
// of another: a piece that arrives after its request ended, and a piece that
// names another request.
func TestLateAndCrossedPieces(t *testing.T) {
	side := newSide()
	var late func(cell.Chunk) error
	lateErrors := make(chan error, 2)
	side.router = func(ctx context.Context, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
		if late == nil {
			late = emit
			return answerWith("first")(ctx, request, emit)
		}
		lateErrors <- late(piece(1, "LATE", ""))
		for _, chunk := range []cell.Chunk{piece(0, "second ", ""), piece(1, "CROSSED", ""), piece(1, "answer", "stop")} {
			if chunk.Text == "CROSSED" {
				chunk.Request = "another"
			}
			if err := emit(chunk); err != nil {
				return cell.Outcome{Run: cell.Ran}, err
			}
		}
		lateErrors <- late(piece(1, "LATE", ""))
		return cell.Outcome{Run: cell.Ran}, nil
	}
	side.serve(t)
	// One connection for both requests: the late piece would go into its buffer.
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	_, body := side.do(t, client, ask{body: liveChat})
	text, done, _ := streamText(t, body)
	assert.Equal(t, "first", text)
	assert.True(t, done)
	_, body = side.do(t, client, ask{body: liveChat})
	text, done, _ = streamText(t, body)
	assert.Equal(t, "second answer", text)
	assert.True(t, done)
	assert.NotContains(t, body, "LATE")
	for range 2 {
		assert.True(t, fault.Is(<-lateErrors, cell.Gone))
	}
}

// TestLogsHoldNoSecrets guards against keys and texts of callers in the logs.
func TestLogsHoldNoSecrets(t *testing.T) {
	side := newSide().serve(t)
	for _, body := range []string{goodChat, liveChat, `{"model":"sketch","messages":"How many spots?"}`, `{"How many spots?`} {
		side.do(t, http.DefaultClient, ask{body: body, header: map[string]string{"Idempotency-Key": "k"}})
		side.do(t, http.DefaultClient, ask{path: servicePath + "?secret=hidden", body: "How many spots?", header: map[string]string{"Idempotency-Key": "k"}})
	}
	require.NotEmpty(t, side.log.String())
	for _, secret := range []string{keyAlpha, "spots", "hidden", "Bearer"} {
		assert.NotContains(t, side.log.String(), secret)
	}
}

// TestPauseOverHTTP2 guards against an answer that is cut because no piece came
// for longer than the write timeout: in HTTP/2 a write deadline ends a stream.
func TestPauseOverHTTP2(t *testing.T) {
	side := newSide()
	side.bounds.WriteTimeout = 50 * time.Millisecond
	side.router = func(_ context.Context, _ cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
		if err := emit(piece(0, "three ", "")); err != nil {
			return cell.Outcome{Run: cell.Ran}, err
		}
		// The pause itself is what is tested.
		<-time.After(3 * side.bounds.WriteTimeout)
		return cell.Outcome{Run: cell.Ran}, emit(piece(1, "spots", "stop"))
	}
	server := httptest.NewUnstartedServer(side.handler())
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+chatPath, strings.NewReader(liveChat))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+keyAlpha)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, 2, response.ProtoMajor)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	text, done, _ := streamText(t, string(body))
	assert.Equal(t, "three spots", text)
	assert.True(t, done)
}

// TestEngineReason guards against a caller who is not told what an engine has
// against the request, and against that text in the log.
func TestEngineReason(t *testing.T) {
	side := newSide()
	side.router = func(context.Context, cell.Request, func(cell.Chunk) error) (cell.Outcome, error) {
		return cell.Outcome{Run: cell.NotRun}, fault.Wrap("engine.generate", cell.Rejected, engine.Say("no tool named spots"))
	}
	side.serve(t)
	response, body := side.do(t, http.DefaultClient, ask{body: goodChat})
	assert.Contains(t, readProblem(t, response, body).Message, "no tool named spots")
	require.Eventually(t, func() bool { return strings.Contains(side.log.String(), "request_done") }, patience, time.Millisecond)
	assert.NotContains(t, side.log.String(), "spots")
}
