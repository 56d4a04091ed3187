// Package ending decides whether a response is whole. A response with neither a length nor chunks
// ends with its connection, and so does the response of a process that ends in the middle of it.
// Only what is learned after the end tells them apart.
package ending

import "time"

const (
	// Settle is the time between the end of a response's connection and the question whether its
	// process still runs. A process that shuts down by itself closes its connections one after
	// another and answers on the last ones: in our play for up to 15 ms, on a busy machine for longer.
	Settle = 50 * time.Millisecond
	// TimeLimit limits the time from the end of a response to its verdict, because the caller waits.
	// It leaves a server the 300 ms after Settle that it has for its report elsewhere.
	TimeLimit = 350 * time.Millisecond
	// MaxConnectTime is the time after the end within which the connection must have been opened on
	// which a server names its ID only: later, a process that started again under the ID may take it.
	// 3 ms broke off responses of sound servers on a busy machine.
	MaxConnectTime = 10 * time.Millisecond
)

// Framing is what shows where a response ends.
type Framing string

// The framings.
const (
	Length     Framing = "length"
	Chunks     Framing = "chunks"
	Connection Framing = "connection"
)

// FramingOf returns the framing of a response with a length, -1 if it has none, and with or without
// chunks.
func FramingOf(length int64, isChunked bool) Framing {
	switch {
	case isChunked:
		return Chunks
	case length >= 0:
		return Length
	}
	return Connection
}

// Outcome is what came of asking a server, after the end of a response, which process it is.
type Outcome string

// The outcomes.
const (
	// Unasked: there is no question by which the server could say it, or the questions have lately
	// been in vain.
	Unasked Outcome = "unasked"
	// NoConnection: this host may open no connection.
	NoConnection Outcome = "no_connection"
	// Refused: no process takes connections at the server's address.
	Refused Outcome = "refused"
	// NoAnswer: the server did not answer in time, or closed the connection.
	NoAnswer Outcome = "no_answer"
	// Unnamed: the server answered and did not say which process it is.
	Unnamed Outcome = "unnamed"
	// OtherProcess: another process than the registered one answered.
	OtherProcess Outcome = "other_process"
	// Registered: the registered process answered and said when it started.
	Registered Outcome = "registered"
	// SameID: a process with the registered ID answered, which did not say when it started.
	SameID Outcome = "same_id"
)

// Verdict says whether a response is whole.
type Verdict string

// The verdicts.
const (
	// Whole: the response is proven to be complete.
	Whole Verdict = "whole"
	// Ended: the process that sent the response has ended.
	Ended Verdict = "ended"
	// Unknown: the end of the response proves nothing. It must not count as complete.
	Unknown Verdict = "unknown"
)

// Evidence is what is known after the end of a response.
type Evidence struct {
	Framing Framing
	// EndedAt is when the response's connection was seen to have ended. It may have ended earlier by
	// up to UnreadFor, for which the host did not read.
	EndedAt   time.Time
	UnreadFor time.Duration
	// OpenedAt is when the opening of the connection began on which the server was asked,
	// ConnectedAt when it was open, and AskedAt when the server was asked; zero: it was not.
	OpenedAt, ConnectedAt, AskedAt time.Time
	Outcome                        Outcome
}

// Verdict returns whether the response is whole. Its connection's end proves that only together
// with an answer of the registered process to a question that was asked Settle later, on a
// connection that was opened after the end: earlier ones may outlive the process. A process that
// names its ID only must also have taken the connection within MaxConnectTime.
func (evidence Evidence) Verdict() Verdict {
	if evidence.Framing == Length || evidence.Framing == Chunks {
		return Whole
	}
	isEarly := evidence.OpenedAt.Before(evidence.EndedAt) || evidence.AskedAt.Sub(evidence.EndedAt) < Settle
	switch evidence.Outcome {
	case Refused, OtherProcess:
		return Ended
	case Registered:
		if !isEarly {
			return Whole
		}
	case SameID:
		if !isEarly && evidence.ConnectedAt.Sub(evidence.EndedAt)+evidence.UnreadFor <= MaxConnectTime {
			return Whole
		}
	}
	return Unknown
}
