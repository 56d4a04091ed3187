package cell_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// engine is a fake backend server. Token n of request r is always "r.n ", so
// that a wrong, missing or repeated token is visible in the answer.
type engine struct {
	// firstToken and tokenGap are the times to the first token and between
	// tokens.
	firstToken, tokenGap time.Duration
	// beforeToken runs before each token; an error ends the attempt.
	beforeToken func(call cell.Call, offset int) error
	// rewriteChunk replaces each chunk before it is sent; nil sends it
	// unchanged.
	rewriteChunk func(chunk cell.Chunk) []cell.Chunk

	mutex sync.Mutex
	// down is closed when the engine crashes and replaced when it restarts.
	down        chan struct{}
	dead        bool
	frozen      bool
	crashes     int
	running     int
	peakRunning int
	runs        map[string]int
	// started counts the runs that the engine did not refuse, by request ID.
	started map[string]int
}

func newEngine(firstToken, tokenGap time.Duration) *engine {
	return &engine{
		firstToken: firstToken, tokenGap: tokenGap, down: make(chan struct{}),
		runs: make(map[string]int), started: make(map[string]int),
	}
}

// answerLength returns the number of tokens in the answer to a request.
func answerLength(request cell.Request) int { return max(1, request.MaxTokens) }

// completeAnswer returns the complete answer to a request.
func completeAnswer(request cell.Request) string {
	var text strings.Builder
	for offset := range answerLength(request) {
		fmt.Fprintf(&text, "%s.%d ", request.ID, offset)
	}
	return text.String()
}

// Generate implements cell.Backend.
func (engine *engine) Generate(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error {
	down, err := engine.begin(call)
	if err != nil {
		return err
	}
	defer engine.end()
	wait := engine.firstToken
	for offset := call.ResumeTokens; offset <= answerLength(call.Request); offset++ {
		if err := engine.sleep(ctx, down, wait); err != nil {
			return err
		}
		wait = engine.tokenGap
		beforeToken, rewriteChunk := engine.hooks()
		if beforeToken != nil {
			if err := beforeToken(call, offset); err != nil {
				if !fault.Is(err, cell.Refused) {
					engine.recordStart(call, offset)
				}
				return err
			}
		}
		engine.recordStart(call, offset)
		if err := engine.send(call, offset, rewriteChunk, emit); err != nil {
			return err
		}
	}
	return nil
}

func (engine *engine) begin(call cell.Call) (chan struct{}, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.dead {
		return nil, fault.New("fake.Generate", cell.Refused, "the engine is down")
	}
	engine.running++
	engine.peakRunning = max(engine.peakRunning, engine.running)
	engine.runs[call.Request.ID]++
	return engine.down, nil
}

// recordStart counts a run at its first token. Until then the engine may still
// refuse it.
func (engine *engine) recordStart(call cell.Call, offset int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if offset == call.ResumeTokens {
		engine.started[call.Request.ID]++
	}
}

func (engine *engine) end() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running--
}

// sleep waits for the duration of a token; a frozen engine blocks until it is
// cancelled or crashes.
func (engine *engine) sleep(ctx context.Context, down chan struct{}, wait time.Duration) error {
	engine.mutex.Lock()
	if engine.frozen {
		wait = 24 * time.Hour
	}
	engine.mutex.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-down:
		return fault.New("fake.Generate", cell.Crashed, "the engine died")
	case <-time.After(wait):
		return nil
	}
}

func (engine *engine) hooks() (func(cell.Call, int) error, func(cell.Chunk) []cell.Chunk) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.beforeToken, engine.rewriteChunk
}

// setHooks replaces the functions that run before each token and on each chunk.
func (engine *engine) setHooks(beforeToken func(cell.Call, int) error, rewriteChunk func(cell.Chunk) []cell.Chunk) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.beforeToken, engine.rewriteChunk = beforeToken, rewriteChunk
}

func (engine *engine) send(
	call cell.Call, offset int, rewriteChunk func(cell.Chunk) []cell.Chunk, emit func(cell.Chunk) error,
) error {
	chunk := cell.Chunk{
		Request: call.Request.ID, Attempt: call.Attempt, Offset: offset, Tokens: 1,
		Text: fmt.Sprintf("%s.%d ", call.Request.ID, offset),
	}
	if offset == answerLength(call.Request) {
		chunk.Tokens, chunk.Text, chunk.FinishReason = 0, "", "stop"
	}
	chunks := []cell.Chunk{chunk}
	if rewriteChunk != nil {
		chunks = rewriteChunk(chunk)
	}
	for _, chunk := range chunks {
		if err := emit(chunk); err != nil {
			return err
		}
	}
	return nil
}

// crash ends all runs of the engine, which restarts after the outage.
func (engine *engine) crash(outage time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.dead {
		return
	}
	engine.dead = true
	engine.crashes++
	close(engine.down)
	time.AfterFunc(outage, func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.dead = false
		engine.down = make(chan struct{})
	})
}

// crashAt makes the engine crash when a matching call reaches a token.
func (engine *engine) crashAt(token int, match func(cell.Call) bool) {
	engine.setHooks(func(call cell.Call, offset int) error {
		if offset < token || !match(call) {
			return nil
		}
		engine.crash(5 * time.Second)
		return fault.New("fake.Generate", cell.Crashed, "the engine died")
	}, nil)
}

func (engine *engine) setFrozen(frozen bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.frozen = frozen
}

func (engine *engine) runCount(id string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.runs[id]
}

// servers returns the engines as backend servers e0, e1, and so on.
func servers(slots int, engines ...*engine) []cell.Server {
	servers := make([]cell.Server, 0, len(engines))
	for index, engine := range engines {
		servers = append(servers, cell.Server{Name: fmt.Sprint("e", index), Slots: slots, Backend: engine})
	}
	return servers
}

// answer is what the caller of one request received.
type answer struct {
	request    cell.Request
	text       strings.Builder
	firstToken time.Duration
	duration   time.Duration
	outcome    cell.Outcome
	err        error
	ended      chan struct{}
}

// startCall serves a request in a goroutine. Zero fields of the request are set
// to defaults.
func startCall(ctx context.Context, subject *cell.Cell, request cell.Request) *answer {
	now := time.Now()
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(5 * time.Minute)
	}
	request.Arrived = now
	request.Tier = max(1, request.Tier)
	answer := &answer{request: request, ended: make(chan struct{})}
	go func() {
		defer close(answer.ended)
		answer.outcome, answer.err = subject.Serve(ctx, request, func(chunk cell.Chunk) error {
			if answer.text.Len() == 0 {
				answer.firstToken = time.Since(now)
			}
			answer.text.WriteString(chunk.Text)
			return nil
		})
		answer.duration = time.Since(now)
	}()
	return answer
}

// requireComplete waits for the end of a call and requires a complete answer.
func (answer *answer) requireComplete(t *testing.T) {
	t.Helper()
	<-answer.ended
	require.NoError(t, answer.err)
	require.Equal(t, completeAnswer(answer.request), answer.text.String())
	require.Equal(t, cell.Ran, answer.outcome.Run)
}

// requireIdle requires that the cell has no occupied slot and no queued call.
func requireIdle(t require.TestingT, subject *cell.Cell) {
	require.Zero(t, subject.Summary().Queued, "queued calls")
	require.Zero(t, subject.Running(), "occupied slots")
}
