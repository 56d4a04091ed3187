// Package cell schedules the backend servers of one pool in one failure domain.
package cell

import (
	"context"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/stream"
)

// Kind is the sort of a cell error.
type Kind string

// The kinds of errors of a cell and of its backends.
const (
	// Refused: the engine did not run the call.
	Refused Kind = "refused"
	// Rejected: the request itself is bad; no engine will run it.
	Rejected Kind = "rejected"
	// Broken: the connection was lost after dispatch.
	Broken Kind = "broken"
	// Crashed: the engine is known to have died while it ran the call.
	Crashed Kind = "crashed"
	// Stalled: the engine made no progress.
	Stalled Kind = "stalled"
	// Shed: not admitted, or dropped from the queue before dispatch.
	Shed Kind = "shed"
	// Expired: the deadline passed.
	Expired Kind = "expired"
	// Gone: the caller went away.
	Gone Kind = "gone"
	// Poison: the request crashed engines before and is not run again.
	Poison Kind = "poison"
	// Closed: the cell is closed; another host owns it.
	Closed Kind = "closed"
	// Unknown: the call may have run, and may not be run again.
	Unknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Run says whether a request was run.
type Run string

// The values of Run.
const (
	NotRun     Run = "not_run"
	Ran        Run = "ran"
	RunUnknown Run = "unknown"
)

// Request is one call for generated text.
type Request struct {
	ID        string `cbor:"id"`
	Workspace string `cbor:"workspace"`
	Class     string `cbor:"class"`
	Model     string `cbor:"model"`
	// Tier is the class's tier, 1 the highest.
	Tier         int     `cbor:"tier"`
	Priority     int     `cbor:"priority"`
	Weight       float64 `cbor:"weight"`
	PromptTokens int     `cbor:"prompt_tokens"`
	// MaxTokens bounds the answer; 0: no bound given.
	MaxTokens int `cbor:"max_tokens"`
	// Prefixes are hashes of the prompt's prefixes, the longest last.
	Prefixes    []uint64 `cbor:"prefixes"`
	Fingerprint uint64   `cbor:"fingerprint"`
	Idempotent  bool     `cbor:"idempotent"`
	// Arrived is when the entry host took the call.
	Arrived time.Time `cbor:"arrived"`
	// Deadline is when the caller gives up.
	Deadline time.Time `cbor:"deadline"`
	// FirstToken is the target instant for the first token.
	FirstToken time.Time `cbor:"first_token"`
	// Chat tells the chat endpoint from the plain completions endpoint.
	Chat bool `cbor:"chat"`
	// Body is the caller's JSON.
	Body []byte `cbor:"body"`
	// ResumeTokens and ResumeText are what the caller already has of the
	// answer, when an earlier cell owner was lost in mid-stream.
	ResumeTokens int    `cbor:"resume_tokens"`
	ResumeText   string `cbor:"resume_text"`
}

// Chunk is a piece of an answer. The last piece has a Finish: an answer that
// ends without one was cut.
type Chunk = stream.Chunk

// Call is one attempt at a request on one backend server.
type Call struct {
	Request      Request
	Attempt      int
	ResumeTokens int
	ResumeText   string
	Version      string
}

// Backend runs calls on one backend server.
type Backend interface {
	// Generate runs a call and hands each chunk to emit. It blocks until the
	// answer ends, the context ends or the server fails. Its errors are of
	// kinds Refused, Rejected, Broken, Crashed and Stalled, or the context's.
	Generate(ctx context.Context, call Call, emit func(Chunk) error) error
}

// Outcome says what became of a request.
type Outcome struct {
	Run      Run    `cbor:"run"`
	Server   string `cbor:"server"`
	Attempts int    `cbor:"attempts"`
	Tokens   int    `cbor:"tokens"`
	// Wasted counts tokens generated for this request and not delivered.
	Wasted     int           `cbor:"wasted"`
	Finish     string        `cbor:"finish"`
	RetryAfter time.Duration `cbor:"retry_after"`
}

// Server is a backend server as the cell sees it.
type Server struct {
	Name    string
	Slots   int
	Leaving bool
	Version string
	Backend Backend
}

// Summary is what a cell's owner tells others about the cell's load.
type Summary struct {
	Cell string `cbor:"cell"`
	// Free is the number of free slots, Slots the number of all.
	Free  int `cbor:"free"`
	Slots int `cbor:"slots"`
	// WaitMs is the estimated wait in milliseconds by tier; index 0 is tier 1.
	WaitMs [6]uint32 `cbor:"wait_ms"`
	// Queued is the number of queued calls.
	Queued int `cbor:"queued"`
	// At is the owner's time of the summary.
	At time.Time `cbor:"at"`
}
