// Package ending decides whether a response is whole, and what becomes of one that is not. A response
// with neither a length nor chunks ends with its connection. Nothing that can be asked of the server
// proves that the run had ended: a device in between, or a server that gives up one run, closes the
// connection in the same way.
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
	// SilenceLimit replaces TimeLimit for a response of a trusted service, which is lost without an answer: a sound
	// server may be silent for up to 2 s.
	SilenceLimit = 2500 * time.Millisecond
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
	// Accepted: the server took a connection and left it open. It was not asked, as there is no question
	// by which it could say which process it is.
	Accepted Outcome = "accepted"
	// NoQuestion: the protocol has no question by which any server could say it.
	NoQuestion Outcome = "no_question"
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
	// Cut: the run had made more than arrived.
	Cut Verdict = "cut"
	// PassedOn: nothing speaks against the response, and nothing proves it. The caller is told as much as
	// the host knows: neither a length nor a last chunk.
	PassedOn Verdict = "passed_on"
	// Unknown: the end of the response proves nothing. It must not count as complete.
	Unknown Verdict = "unknown"
)

// Serves reports whether the response may be given to the caller to its end.
func (verdict Verdict) Serves() bool { return verdict == Whole || verdict == PassedOn }

// Case is the reason for a verdict. Those that are not listed here have the name of an outcome.
type Case string

// The cases that are no outcomes.
const (
	// Framed: the response has a length or chunks.
	Framed Case = "framed"
	// NoCuts: no connection of the kind is known to have been closed in order within a response (Cuts).
	NoCuts Case = "no_cuts"
	// Untrusted: the response ended with its connection, its service is not trusted to end responses so,
	// and cuts are known. No question is asked.
	Untrusted Case = "untrusted"
	// BegunFramed: the service is trusted, but the response to the caller began with chunks. A last one
	// would say more than is known.
	BegunFramed Case = "begun_framed"
	// RunCut: the server lists the run with more events than arrived.
	RunCut Case = "run_cut"
	// NoEvents: a stream ended before its first event.
	NoEvents Case = "no_events"
	// AskedEarly: the process named itself, but on a connection or at a time at which one that ends
	// still may.
	AskedEarly Case = "asked_early"
	// SenderUnknown: the registered process named itself, but another one may have sent the response.
	SenderUnknown Case = "sender_unknown"
	// ConnectedLate: the server named its ID only, on a connection that a process which has started
	// again under the ID may have taken.
	ConnectedLate Case = "connected_late"
	// AnsweredLate: the server of a trusted service named its ID only, so late that a process which has started
	// again under the ID may have taken the listener over.
	AnsweredLate Case = "answered_late"
)

// NotListed is in place of a number of events that the server does not list the run.
const NotListed = -1

// Evidence is what is known after the end of a response.
type Evidence struct {
	Framing Framing
	// Trusted: the operators say that the service's responses may end with their connection, and that
	// no device closes it before.
	Trusted bool
	// NoCuts: Cuts knows none that count for the response, or they may be cleared while it waits.
	NoCuts bool
	// Stream: the response is a stream, whose early end would leave out events. Other responses that end
	// early are mostly found out by their content.
	Stream bool
	// SenderKnown: the registered process is known to have sent the response.
	SenderKnown bool
	// Settled: no other process has registered at the server's address since before the end, although
	// there was time to. Overdue: there is no time left to find that out, or who sent the response.
	Settled, Overdue bool
	// BegunFramed: the response to the caller began with chunks.
	BegunFramed bool
	// EndedAt is when the response's connection was seen to have ended. It may have ended earlier by
	// up to UnreadFor, for which the host did not read.
	EndedAt   time.Time
	UnreadFor time.Duration
	// OpenedAt is when the opening of the connection began on which the server was asked,
	// ConnectedAt when it was open, and AskedAt when the server was asked; zero: it was not.
	OpenedAt, ConnectedAt, AskedAt time.Time
	// AnsweredAt is when the outcome was known; zero: it was not asked for.
	AnsweredAt time.Time
	Outcome    Outcome
	// Events is the number of events of the run that arrived. RunEvents is how many it has made as
	// the registered process says, some hundred milliseconds late.
	Events, RunEvents int
}

// NeedsAnswer reports whether the verdict depends on what the server says of its process.
func (evidence Evidence) NeedsAnswer() bool {
	return evidence.Framing == Connection && (evidence.Trusted || evidence.NoCuts) && !evidence.BegunFramed
}

/*
Judge returns whether the response is whole, and why. If it ended with its connection, nothing proves
that it is, and what can be known may speak against it: cuts are known for it, its process has ended, or
the process lists the run with more events than arrived. That list is old, so that a run without more
events may have made some since.

A response of a trusted service is whole if the process is shown to run, and if it was silent before and names its
ID only, no other one has registered meanwhile. Any other one is passed on if
nothing speaks against it, a stream only if it has events and the process is shown to run. That is shown by a question
that was asked Settle later, on a connection that was opened after the end, as earlier ones may outlive
the process. Only the time at which it started names a process. For a server that does not say it, a
trusted response is whole if the connection was taken within MaxConnectTime. A stream is passed on once
no other process has registered meanwhile, and if that takes too long, under the same condition.
*/
func (evidence Evidence) Judge() (Case, Verdict) {
	switch {
	case evidence.Framing == Length || evidence.Framing == Chunks:
		return Framed, Whole
	case !evidence.Trusted && !evidence.NoCuts:
		return Untrusted, Unknown
	case evidence.BegunFramed:
		return BegunFramed, Unknown
	case evidence.Outcome == Refused || evidence.Outcome == OtherProcess:
		return Case(evidence.Outcome), Ended
	case evidence.Outcome == Registered && evidence.RunEvents > evidence.Events:
		return RunCut, Cut
	case evidence.Trusted:
		return evidence.judgeTrusted()
	case evidence.Stream && evidence.Events == 0:
		return NoEvents, Unknown
	case evidence.Stream && !evidence.showsProcess():
		return evidence.doubt(), Unknown
	}
	return NoCuts, PassedOn
}

// judgeTrusted is Judge for a trusted service, if nothing speaks against the response.
func (evidence Evidence) judgeTrusted() (Case, Verdict) {
	switch evidence.Outcome {
	case NoQuestion:
		return Case(evidence.Outcome), Whole
	case Registered, SameID:
		if evidence.isEarly() || evidence.Outcome == SameID && evidence.isLate() {
			return evidence.doubt(), Unknown
		}
		if evidence.AwaitsRegistrations() {
			return AnsweredLate, Unknown
		}
		return Case(evidence.Outcome), Whole
	}
	return Case(evidence.Outcome), Unknown
}

// AwaitsRegistrations reports whether a trusted response is whole once no other process can have registered: its
// server named its ID only, after a silence in which another process may have taken its listener over.
func (evidence Evidence) AwaitsRegistrations() bool {
	return evidence.Trusted && evidence.Outcome == SameID && !evidence.Settled && evidence.AnsweredAt.Sub(evidence.EndedAt) > TimeLimit
}

// showsProcess reports whether the process that sent a stream is shown to run after its end.
func (evidence Evidence) showsProcess() bool {
	switch evidence.Outcome {
	case Registered:
		return !evidence.isEarly() && (evidence.SenderKnown || evidence.Overdue)
	case SameID, Unnamed, Accepted:
		return !evidence.isEarly() && (evidence.Settled || evidence.Overdue && !evidence.isLate())
	}
	return false
}

// MaySettle reports whether time can show what the answer does not: that no other process has taken the
// server's address.
func (evidence Evidence) MaySettle() bool {
	switch evidence.Outcome {
	case Registered, SameID, Unnamed, Accepted:
		return !evidence.isEarly()
	}
	return false
}

// isEarly reports whether the server was asked on a connection or at a time at which a process that ends
// may still answer.
func (evidence Evidence) isEarly() bool {
	return evidence.OpenedAt.Before(evidence.EndedAt) || evidence.AskedAt.Sub(evidence.EndedAt) < Settle
}

// isLate reports whether a process that has started since may have taken the connection.
func (evidence Evidence) isLate() bool {
	return evidence.ConnectedAt.Sub(evidence.EndedAt)+evidence.UnreadFor > MaxConnectTime
}

// ConnectedInTime reports whether no process that has started since can have taken the connection.
func (evidence Evidence) ConnectedInTime() bool { return !evidence.isLate() }

// doubt returns the reason why an answer does not show that the process runs.
func (evidence Evidence) doubt() Case {
	switch evidence.Outcome {
	case Registered, SameID, Unnamed, Accepted:
		switch {
		case evidence.isEarly():
			return AskedEarly
		case evidence.Outcome == Registered:
			return SenderUnknown
		}
		return ConnectedLate
	}
	return Case(evidence.Outcome)
}
