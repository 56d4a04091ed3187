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
// that a wrong, missing or repeated token shows in the answer.
type engine struct {
	// first and gap are the times to the first and between tokens.
	first, gap time.Duration
	// before runs before each token; what it returns ends the attempt.
	before func(call cell.Call, offset int) error
	// label changes the pieces before they are sent; nil: as they are.
	label func(piece cell.Chunk) []cell.Chunk

	mutex sync.Mutex
	// down is closed when the engine dies; a restart replaces it.
	down    chan struct{}
	dead    bool
	frozen  bool
	crashes int
	running int
	peak    int
	runs    map[string]int
	// started counts the runs that the engine did not refuse.
	started map[string]int
}

func newEngine(first, gap time.Duration) *engine {
	return &engine{first: first, gap: gap, down: make(chan struct{}), runs: make(map[string]int), started: make(map[string]int)}
}

// length is the number of tokens of a request's answer.
func length(request cell.Request) int { return max(1, request.MaxTokens) }

// whole is the complete answer to a request.
func whole(request cell.Request) string {
	var text strings.Builder
	for offset := range length(request) {
		fmt.Fprintf(&text, "%s.%d ", request.ID, offset)
	}
	return text.String()
}

// Generate implements cell.Backend.
func (engine *engine) Generate(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error {
	down, err := engine.enter(call)
	if err != nil {
		return err
	}
	defer engine.leave()
	wait := engine.first
	for offset := call.ResumeTokens; offset <= length(call.Request); offset++ {
		if err := engine.sleep(ctx, down, wait); err != nil {
			return err
		}
		wait = engine.gap
		before, label := engine.hooks()
		if before != nil {
			if err := before(call, offset); err != nil {
				if !fault.Is(err, cell.Refused) {
					engine.start(call, offset)
				}
				return err
			}
		}
		engine.start(call, offset)
		if err := engine.send(call, offset, label, emit); err != nil {
			return err
		}
	}
	return nil
}

func (engine *engine) enter(call cell.Call) (chan struct{}, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.dead {
		return nil, fault.New("fake.Generate", cell.Refused, "the engine is down")
	}
	engine.running++
	engine.peak = max(engine.peak, engine.running)
	engine.runs[call.Request.ID]++
	return engine.down, nil
}

// start counts a run at its first token. Until then the engine may refuse it.
func (engine *engine) start(call cell.Call, offset int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if offset == call.ResumeTokens {
		engine.started[call.Request.ID]++
	}
}

func (engine *engine) leave() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running--
}

// sleep takes the time of a token; a frozen engine takes forever.
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
	return engine.before, engine.label
}

// hook replaces what the engine does to its pieces.
func (engine *engine) hook(before func(cell.Call, int) error, label func(cell.Chunk) []cell.Chunk) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.before, engine.label = before, label
}

func (engine *engine) send(
	call cell.Call, offset int, label func(cell.Chunk) []cell.Chunk, emit func(cell.Chunk) error,
) error {
	piece := cell.Chunk{
		Request: call.Request.ID, Attempt: call.Attempt, Offset: offset, Tokens: 1,
		Text: fmt.Sprintf("%s.%d ", call.Request.ID, offset),
	}
	if offset == length(call.Request) {
		piece.Tokens, piece.Text, piece.FinishReason = 0, "", "stop"
	}
	pieces := []cell.Chunk{piece}
	if label != nil {
		pieces = label(piece)
	}
	for _, piece := range pieces {
		if err := emit(piece); err != nil {
			return err
		}
	}
	return nil
}

// crash ends all that the engine runs; it comes back after a time.
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

// crashesAt makes the engine die at a token of the calls that match.
func (engine *engine) crashesAt(token int, match func(cell.Call) bool) {
	engine.hook(func(call cell.Call, offset int) error {
		if offset < token || !match(call) {
			return nil
		}
		engine.crash(5 * time.Second)
		return fault.New("fake.Generate", cell.Crashed, "the engine died")
	}, nil)
}

func (engine *engine) freeze(frozen bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.frozen = frozen
}

func (engine *engine) count(id string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.runs[id]
}

// servers lists engines as the cell's servers e0, e1, …
func servers(slots int, engines ...*engine) []cell.Server {
	servers := make([]cell.Server, 0, len(engines))
	for index, engine := range engines {
		servers = append(servers, cell.Server{Name: fmt.Sprint("e", index), Slots: slots, Backend: engine})
	}
	return servers
}

// answer is what the caller of one request got.
type answer struct {
	request cell.Request
	text    strings.Builder
	first   time.Duration
	took    time.Duration
	outcome cell.Outcome
	err     error
	ended   chan struct{}
}

// ask serves a request in a goroutine. Zero fields of the request get usual
// values.
func ask(ctx context.Context, subject *cell.Cell, request cell.Request) *answer {
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
				answer.first = time.Since(now)
			}
			answer.text.WriteString(chunk.Text)
			return nil
		})
		answer.took = time.Since(now)
	}()
	return answer
}

// requireWhole waits for an answer and checks that it is complete.
func (answer *answer) requireWhole(t *testing.T) {
	t.Helper()
	<-answer.ended
	require.NoError(t, answer.err)
	require.Equal(t, whole(answer.request), answer.text.String())
	require.Equal(t, cell.Ran, answer.outcome.Run)
}

// requireIdle checks that the cell holds no slot and no call.
func requireIdle(t require.TestingT, subject *cell.Cell) {
	require.Zero(t, subject.Summary().Queued, "queued calls")
	require.Zero(t, subject.Running(), "occupied slots")
}
