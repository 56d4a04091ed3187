// Package cell schedules calls on the backend servers of one pool in one
// failure domain.
package cell

import (
	"context"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/poison"
	"primrosegw/core/stream"
)

// Kind classifies the errors of a cell.
type Kind string

// The kinds of errors of a cell and of its backends.
const (
	// Refused: the engine did not run the call.
	Refused Kind = "refused"
	// TurnedAway: the call was refused, but not for certain by the engine. A device between the two may have
	// given up a call that the engine runs.
	TurnedAway Kind = "turned_away"
	// Rejected: the request is invalid; no engine will run it.
	Rejected Kind = "rejected"
	// Broken: the connection was lost after dispatch.
	Broken Kind = "broken"
	// Crashed: the engine is known to have died while running the call.
	Crashed Kind = "crashed"
	// Stalled: the engine made no progress.
	Stalled Kind = "stalled"
	// Shed: the call was not admitted, or was removed from the queue before
	// dispatch.
	Shed Kind = "shed"
	// Expired: the deadline passed.
	Expired Kind = "expired"
	// Gone: the caller cancelled the call.
	Gone Kind = "gone"
	// Poison: the request has crashed engines and is not run again.
	Poison Kind = "poison"
	// Closed: the cell is closed because another host owns it now.
	Closed Kind = "closed"
	// Unknown: the call may have been run and must not be run again.
	Unknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RunStatus says whether a request was run.
type RunStatus string

// The values of Run.
const (
	NotRun     RunStatus = "not_run"
	Ran        RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Request is a text generation request.
type Request struct {
	ID        string `cbor:"id"`
	Workspace string `cbor:"workspace"`
	Class     string `cbor:"class"`
	Model     string `cbor:"model"`
	// Tier is the tier of the class; 1 is the highest.
	Tier         int     `cbor:"tier"`
	Priority     int     `cbor:"priority"`
	Weight       float64 `cbor:"weight"`
	PromptTokens int     `cbor:"prompt_tokens"`
	// MaxTokens limits the length of the answer; 0 means no limit was given.
	MaxTokens int `cbor:"max_tokens"`
	// Prefixes are hashes of prefixes of the prompt, in order of increasing
	// length.
	Prefixes    []uint64 `cbor:"prefixes"`
	Fingerprint uint64   `cbor:"fingerprint"`
	Idempotent  bool     `cbor:"idempotent"`
	// Arrived is when the entry host received the call.
	Arrived time.Time `cbor:"arrived"`
	// Deadline is when the caller gives up.
	Deadline time.Time `cbor:"deadline"`
	// FirstToken is the target time for the first token.
	FirstToken time.Time `cbor:"first_token"`
	// Chat selects the chat endpoint instead of the plain completions endpoint.
	Chat bool `cbor:"chat"`
	// Body is the JSON body sent by the caller.
	Body []byte `cbor:"body"`
	// ResumeTokens and ResumeText are the part of the answer that the caller
	// already has, if the previous owner of the cell was lost in mid-stream.
	ResumeTokens int    `cbor:"resume_tokens"`
	ResumeText   string `cbor:"resume_text"`
}

// features returns what other requests may have in common with this one: its fingerprint and
// the prefixes of its prompt.
func (request *Request) features() []uint64 {
	return poison.Features(request.Fingerprint, request.Prefixes)
}

// Chunk is a piece of an answer. The last chunk has a Finish; an answer that
// ends without one is incomplete.
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
	// Generate runs a call and passes each chunk to emit. It blocks until the
	// answer is complete, the context is done or the server fails. Its error has
	// kind Refused, TurnedAway, Rejected, Broken, Crashed or Stalled, or is the error of the
	// context.
	Generate(ctx context.Context, call Call, emit func(Chunk) error) error
}

// Outcome describes how a request ended.
type Outcome struct {
	Run      RunStatus `cbor:"run"`
	Server   string    `cbor:"server"`
	Attempts int       `cbor:"attempts"`
	Tokens   int       `cbor:"tokens"`
	// Wasted counts tokens generated for this request but not delivered.
	Wasted     int           `cbor:"wasted"`
	Finish     string        `cbor:"finish"`
	RetryAfter time.Duration `cbor:"retry_after"`
}

// Server configures a backend server of the cell.
type Server struct {
	Name    string
	Slots   int
	Leaving bool
	Version string
	// Address is where the server is reached. One with another address is another server.
	Address string
	Backend Backend
}

// Summary is a cell's load, as its owner publishes it to other hosts.
type Summary struct {
	Cell string `cbor:"cell"`
	// Free is the number of free slots, Slots the total.
	Free  int `cbor:"free"`
	Slots int `cbor:"slots"`
	// OnProbation is set if there are no slots, but servers whose health allows only probes: the
	// cell sends them its calls as such.
	OnProbation bool `cbor:"on_probation,omitempty"`
	// WaitMs is the estimated queueing time in milliseconds by tier; index 0 is
	// tier 1.
	WaitMs [6]uint32 `cbor:"wait_ms"`
	// Queued is the number of queued calls.
	Queued int `cbor:"queued"`
	// At is when the summary was made, by the owner's clock.
	At time.Time `cbor:"at"`
}
