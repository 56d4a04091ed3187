package daemon

import (
	"encoding/json"
	"math"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/route"
	"primrosegw/io/engine"
)

// The names of messages between hosts.
const (
	messageForward     = "forward"
	messageProbe       = "probe"
	messageMember      = "member"
	messageSpread      = "spread"
	messageLedger      = "ledger"
	messageClaim       = "claim"
	messageSuspects    = "suspects"
	messageRecords     = "records"
	messageEvidence    = "evidence"
	messageQuarantines = "quarantines"
)

// forward asks a cell's owner to run a request.
type forward struct {
	Cell    string       `cbor:"cell"`
	Hops    int          `cbor:"hops"`
	Request cell.Request `cbor:"request"`
	// LeftMs is the time left until the caller's deadline, in milliseconds.
	// Hosts' clocks may differ, so no instant crosses a link.
	LeftMs int64 `cbor:"left_ms"`
	// FirstTokenMs is the time left until the target for the first token.
	FirstTokenMs int64 `cbor:"first_token_ms"`
}

// The bounds of what a forward may ask for.
const (
	lowestTier = 6
	// longestCall is above any deadline that a document can set.
	longestCall = 24 * time.Hour
	// longestAnswer bounds the counts of tokens, so that their sums can't overflow.
	longestAnswer = 1 << 30
)

// check refuses what no entry host sends. A peer with a fault must not end this
// host or hold its slots.
func (forward forward) check() error {
	request := forward.Request
	count := func(tokens int) bool { return tokens >= 0 && tokens <= longestAnswer }
	span := func(milliseconds int64) bool {
		return milliseconds >= -longestCall.Milliseconds() && milliseconds <= longestCall.Milliseconds()
	}
	checks := []struct {
		field string
		valid bool
	}{
		{"request.id", request.ID != ""},
		{"hops", forward.Hops >= 1 && forward.Hops <= route.MaximumHops},
		{"request.tier", request.Tier >= 1 && request.Tier <= lowestTier},
		{"request.weight", request.Weight > 0 && !math.IsInf(request.Weight, 0)},
		{"request.prompt_tokens", count(request.PromptTokens)},
		{"request.max_tokens", count(request.MaxTokens)},
		{"request.resume_tokens", count(request.ResumeTokens)},
		{"request.body", json.Valid(request.Body)},
		{"left_ms", span(forward.LeftMs)},
		{"first_token_ms", span(forward.FirstTokenMs)},
	}
	for _, check := range checks {
		if !check.valid {
			return fault.Field("daemon.forward", cell.Rejected, check.field, "is out of its bounds")
		}
	}
	return nil
}

// frame is one answer to a forward. Exactly one of its parts is set; a frame
// without any says that the request still waits or runs.
type frame struct {
	// Request tells the frames of one request from those of another.
	Request string      `cbor:"request"`
	Chunk   *cell.Chunk `cbor:"chunk"`
	Final   *final      `cbor:"final"`
}

// final ends the answer to a forward.
type final struct {
	Outcome cell.Outcome `cbor:"outcome"`
	Kind    cell.Kind    `cbor:"kind"`
	Text    string       `cbor:"text"`
	// Said is what the engine wrote about the call, for its caller only.
	Said    string       `cbor:"said,omitempty"`
	Summary cell.Summary `cbor:"summary"`
}

// probe asks a cell's owner for its load.
type probe struct {
	Cell string `cbor:"cell"`
}

// prepare turns instants into spans for the way over a link.
func prepare(name string, hops int, request cell.Request) forward {
	return forward{
		Cell: name, Hops: hops, Request: request,
		LeftMs:       time.Until(request.Deadline).Milliseconds(),
		FirstTokenMs: time.Until(request.FirstToken).Milliseconds(),
	}
}

// request turns spans back into instants of this host's clock.
func (forward forward) request() cell.Request {
	request := forward.Request
	now := time.Now()
	request.Arrived = now
	request.Deadline = now.Add(time.Duration(forward.LeftMs) * time.Millisecond)
	request.FirstToken = now.Add(time.Duration(forward.FirstTokenMs) * time.Millisecond)
	return request
}

// err turns a final frame back into the owner's error.
func (final final) err() error {
	if final.Kind == "" {
		return nil
	}
	err := fault.New("cell.serve", final.Kind, final.Text)
	err.Err = engine.Say(final.Said)
	return err
}
