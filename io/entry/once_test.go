package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/ledger"
	"primrosegw/io/plain"
)

// TestLedgerAnswers guards against a call that runs although the ledger says
// otherwise, and against an answer that does not say whether it ran.
func TestLedgerAnswers(t *testing.T) {
	soon := time.Now().Add(time.Hour)
	cases := map[string]struct {
		decision ledger.Decision
		err      error
		status   int
		kind     string
		run      string
		retry    string
	}{
		"unknown":     {ledger.Decision{Verdict: ledger.Unknown}, nil, http.StatusConflict, "outcome_unknown", "unknown", ""},
		"in progress": {ledger.Decision{Verdict: ledger.InProgress}, nil, http.StatusConflict, "in_progress", "unknown", "1"},
		"late":        {ledger.Decision{Verdict: ledger.Run, DispatchUntil: time.Now()}, nil, http.StatusServiceUnavailable, "late", "not_run", "1"},
		"trimmed": {
			ledger.Decision{Verdict: ledger.Recorded, DispatchUntil: soon, Outcome: ledger.Outcome{Status: 200, Trimmed: true}},
			nil,
			http.StatusGone, "answer_not_kept", "ran", "",
		},
		"mismatch": {
			ledger.Decision{},
			fault.Field("ledger.begin", ledger.Mismatch, "idempotency_key", "used with another body"),
			http.StatusUnprocessableEntity, "idempotency_key_reused", "not_run", "",
		},
		"outage": {
			ledger.Decision{},
			fault.New("ledger.begin", ledger.NotRun, "no answer"),
			http.StatusServiceUnavailable, "ledger_unavailable", "not_run", "1",
		},
		"full": {
			ledger.Decision{},
			fault.New("ledger.begin", ledger.Full, "full"),
			http.StatusServiceUnavailable, "ledger_unavailable", "not_run", "1",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			side := newSide()
			side.router = func(context.Context, cell.Request, func(cell.Chunk) error) (cell.Outcome, error) {
				t.Error("the call was run")
				return cell.Outcome{}, nil
			}
			side.services = func(plain.Call) (plain.Answer, error) {
				t.Error("the service was called")
				return plain.Answer{}, nil
			}
			side.ledger.decision, side.ledger.err = test.decision, test.err
			side.serve(t)
			header := map[string]string{"Idempotency-Key": "k", "X-Primrose-Class": filing}
			for _, asked := range []ask{{body: goodChat, header: header}, {body: liveChat, header: header}, {path: servicePath, body: "x", header: header}} {
				response, body := side.do(t, http.DefaultClient, asked)
				found := readProblem(t, response, body)
				assert.Equal(t, test.status, response.StatusCode, "%s", asked.path)
				assert.Equal(t, test.kind, found.Type)
				assert.Equal(t, test.run, found.Run)
				assert.Equal(t, test.retry, response.Header.Get("Retry-After"))
			}
		})
	}
}

// TestReplay guards against a recorded answer that differs from the first one.
func TestReplay(t *testing.T) {
	header := map[string]string{"Idempotency-Key": "k", "X-Primrose-Class": filing}
	side := newSide().serve(t)
	_, first := side.do(t, http.DefaultClient, ask{body: goodChat, header: header})
	_, firstService := side.do(t, http.DefaultClient, ask{path: servicePath, body: "x", header: header})
	require.Len(t, side.ledger.finished, 2)
	for index, want := range []string{first, firstService} {
		again := newSide()
		again.ledger.decision = ledger.Decision{Verdict: ledger.Recorded, Outcome: side.ledger.finished[index]}
		again.serve(t)
		asked := []ask{{body: goodChat, header: header}, {path: servicePath, body: "x", header: header}}[index]
		response, body := again.do(t, http.DefaultClient, asked)
		assert.Equal(t, "true", response.Header.Get("X-Primrose-Replayed"))
		if index == 0 {
			assert.Equal(t, content(t, want), content(t, body))
			_, live := again.do(t, http.DefaultClient, ask{body: liveChat, header: header})
			text, done, _ := streamText(t, live)
			assert.Equal(t, "three spots", text)
			assert.True(t, done)
			continue
		}
		assert.Equal(t, want, body)
	}
}

// TestReplayOfTools guards against a recorded answer that loses its calls of
// functions.
func TestReplayOfTools(t *testing.T) {
	header := map[string]string{"Idempotency-Key": "k", "X-Primrose-Class": filing}
	side := newSide()
	side.router = func(_ context.Context, _ cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
		parts := []string{
			`{"index":0,"id":"call_1","type":"function","function":{"name":"file","arguments":"{\"day\":"}}`,
			`{"index":0,"function":{"arguments":"1}"}}`,
		}
		for offset, part := range parts {
			data := `{"choices":[{"index":0,"delta":{"tool_calls":[` + part + `]},"finish_reason":null}]}`
			if err := emit(cell.Chunk{Offset: offset, Tokens: 1, Data: []byte(data)}); err != nil {
				return cell.Outcome{Run: cell.Ran}, err
			}
		}
		last := `{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`
		return cell.Outcome{Run: cell.Ran}, emit(cell.Chunk{Offset: 2, FinishReason: "tool_calls", Data: []byte(last)})
	}
	side.serve(t)
	_, first := side.do(t, http.DefaultClient, ask{body: goodChat, header: header})
	assert.Contains(t, first, `"arguments":"{\"day\":1}"`)
	require.Len(t, side.ledger.finished, 1)
	again := newSide()
	again.ledger.decision = ledger.Decision{Verdict: ledger.Recorded, Outcome: side.ledger.finished[0]}
	again.serve(t)
	_, replayed := again.do(t, http.DefaultClient, ask{body: goodChat, header: header})
	assert.Equal(t, content(t, first), content(t, replayed))
	_, live := again.do(t, http.DefaultClient, ask{body: liveChat, header: header})
	assert.Contains(t, live, `"arguments":"{\"day\":1}"`)
}

// content returns the message of a whole answer.
func content(t *testing.T, body string) string {
	t.Helper()
	var whole struct {
		Choices []struct {
			Message json.RawMessage `json:"message"`
			Finish  string          `json:"finish_reason"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(body), &whole), "%s", body)
	require.Len(t, whole.Choices, 1, "%s", body)
	return string(whole.Choices[0].Message) + whole.Choices[0].Finish
}

// TestSettle guards against a key that stays taken for a call that was not run,
// and against one that is given back for a call that may have run.
func TestSettle(t *testing.T) {
	cases := map[string]struct {
		outcome   cell.Outcome
		err       error
		finished  int
		abandoned int
	}{
		"not run": {cell.Outcome{Run: cell.NotRun}, fault.New("cell.serve", cell.Shed, "full"), 0, 1},
		"unknown": {cell.Outcome{Run: cell.RunUnknown}, fault.New("cell.serve", cell.Unknown, "lost"), 0, 0},
		"cut":     {cell.Outcome{Run: cell.Ran}, fault.New("cell.serve", cell.Broken, "lost"), 0, 0},
		// The router claims success without a whole answer.
		"not whole": {cell.Outcome{Run: cell.Ran}, nil, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			side := newSide()
			side.router = func(context.Context, cell.Request, func(cell.Chunk) error) (cell.Outcome, error) {
				return test.outcome, test.err
			}
			side.serve(t)
			side.do(t, http.DefaultClient, ask{body: goodChat, header: map[string]string{"Idempotency-Key": "k", "X-Primrose-Class": filing}})
			assert.Len(t, side.ledger.finished, test.finished)
			assert.Equal(t, test.abandoned, side.ledger.abandoned)
		})
	}
}

// TestWorkspacesHaveOwnKeys guards against one workspace that sees the recorded
// answer of another because both use the same idempotency key.
func TestWorkspacesHaveOwnKeys(t *testing.T) {
	side := newSide().serve(t)
	for _, key := range []string{keyAlpha, keyBeta} {
		side.do(t, http.DefaultClient, ask{body: goodChat, header: map[string]string{"Authorization": "Bearer " + key, "Idempotency-Key": "k"}})
	}
	require.Len(t, side.ledger.begun, 2)
	assert.Equal(t, "alpha", side.ledger.begun[0].Workspace)
	assert.Equal(t, "beta", side.ledger.begun[1].Workspace)
}

// TestServicePath guards against a path that reaches a service as another one:
// escaped question marks, percent signs and parent directories.
func TestServicePath(t *testing.T) {
	cases := map[string]string{
		"a/b":          "a/b",
		"a%3Fadmin=1":  "a%3Fadmin=1",
		"100%25":       "100%25",
		"a%20b":        "a%20b",
		"a%2F..%2F..c": "..c",
		"%2e%2e%2fx":   "x",
	}
	for path, want := range cases {
		t.Run(path, func(t *testing.T) {
			side := newSide()
			seen := make(chan plain.Call, 1)
			side.services = func(call plain.Call) (plain.Answer, error) {
				seen <- call
				return plain.Answer{Status: 200}, nil
			}
			side.serve(t)
			response, body := side.do(t, http.DefaultClient, ask{method: "GET", path: "/v1/services/archive/" + path})
			require.Equal(t, http.StatusOK, response.StatusCode, "%s", body)
			assert.Equal(t, want, (<-seen).Path)
		})
	}
}
