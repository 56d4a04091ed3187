// Package trickle finds backend servers that keep requests until their deadlines without serving
// them: they go on sending something, so that nothing but the deadline ends the response.
package trickle

import (
	"sync"
	"time"

	"primrosegw/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Trickles is why a server is suspended that has kept several requests in a row until their deadlines.
const Trickles Kind = "trickles"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// suspendAfter is the number of wasted attempts in a row after which a server is suspended.
	suspendAfter = 3
	// silentShare is the share of an attempt, up to its end, in which a sound server that is in the
	// middle of a response has sent a complete part.
	silentShare = 0.75
	// minTimeShare is the share of the route's time that an attempt must have had. A server can't be
	// blamed for a caller that waits for a moment only.
	minTimeShare = 0.5
	// pauseFactor is the first suspension as a multiple of the time that an attempt wasted. Each further
	// wasted attempt doubles it, up to maxPause.
	pauseFactor = 2
	maxPause    = time.Minute
	// maxServers limits the number of servers that are remembered. Those without progress or wasted
	// attempts for forgetAfter are forgotten first.
	maxServers  = 4096
	forgetAfter = 5 * time.Minute
)

// Attempt is a request at a server that ended at its deadline without a complete response.
type Attempt struct {
	// Server is the server's process.
	Server  string
	Service string
	Started time.Time
	Ended   time.Time
	// Allowed is the time that the route gives a request.
	Allowed time.Duration
	// Received: the server has sent something.
	Received bool
	// LastPart is when the caller had taken the last complete part of the response, such as an event;
	// zero if there was none.
	LastPart time.Time
	// CallerHeld is the time for which the caller kept the server waiting.
	CallerHeld time.Duration
}

// isWasted reports whether the server sent something, but nothing that is of use, for most of the
// time, and had enough of it.
func (attempt Attempt) isWasted() bool {
	took := attempt.Ended.Sub(attempt.Started)
	if !attempt.Received || took < time.Duration(minTimeShare*float64(attempt.Allowed)) {
		return false
	}
	silent := took - attempt.CallerHeld
	if !attempt.LastPart.IsZero() {
		silent = min(silent, attempt.Ended.Sub(attempt.LastPart))
	}
	return silent > time.Duration(silentShare*float64(took))
}

// Part is a complete part of a response, such as an event, or a whole response.
type Part struct {
	// Server is the server's process.
	Server  string
	Service string
	// Started is when the attempt started, and Completed when the part was complete.
	Started   time.Time
	Completed time.Time
	// Allowed is the time that the route gives a request.
	Allowed time.Duration
	// Whole: the response is complete.
	Whole bool
}

// isProgress reports whether no wasted attempt contains such a part. A server that trickles may begin
// each response with events.
func (part Part) isProgress() bool {
	return part.Whole || part.Completed.Sub(part.Started) > time.Duration((1-silentShare)*float64(part.Allowed))
}

// Verdict is what follows from an attempt.
type Verdict struct {
	// Wasted: the attempt counts as a failure of the server.
	Wasted bool
	// Pause is how long the server gets nothing; 0: it goes on.
	Pause time.Duration
}

/*
Judge tells servers that trickle from slow ones. It is safe for concurrent use.

An attempt counts against a server if it was wasted while the server made no progress with any other
response, and another server of the service did: it completed a response, or a part of one that is past
its beginning. So sound streams with long pauses, overload that concerns all servers, and a host that is
cut off count against none. Progress clears a server.
*/
type Judge struct {
	mutex   sync.Mutex
	servers map[string]*server
}

// server is what is known about a server's process.
type server struct {
	service string
	// progressAt is when it last made progress.
	progressAt time.Time
	wastedAt   time.Time
	// wasted counts the wasted attempts since the last progress.
	wasted int
}

// New returns a Judge that knows no server.
func New() *Judge { return &Judge{servers: map[string]*server{}} }

// RecordPart records that a server has completed a part of a response.
func (judge *Judge) RecordPart(part Part) {
	if !part.isProgress() {
		return
	}
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	known := judge.find(part.Server, part.Service, part.Completed)
	known.progressAt, known.wasted = part.Completed, 0
}

// JudgeDeadline judges an attempt that ended at its deadline.
func (judge *Judge) JudgeDeadline(attempt Attempt) Verdict {
	if !attempt.isWasted() {
		return Verdict{}
	}
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	known := judge.find(attempt.Server, attempt.Service, attempt.Ended)
	silentSince := attempt.Ended.Add(-time.Duration(silentShare * float64(attempt.Ended.Sub(attempt.Started))))
	if known.progressAt.After(silentSince) || !judge.othersServe(attempt) {
		return Verdict{}
	}
	known.wasted++
	known.wastedAt = attempt.Ended
	if known.wasted < suspendAfter {
		return Verdict{Wasted: true}
	}
	pause := pauseFactor * attempt.Ended.Sub(attempt.Started)
	for range min(known.wasted-suspendAfter, 16) {
		pause = min(2*pause, maxPause)
	}
	return Verdict{Wasted: true, Pause: min(pause, maxPause)}
}

// othersServe reports whether another server of the service made progress during the attempt. The
// mutex is held.
func (judge *Judge) othersServe(attempt Attempt) bool {
	for name, other := range judge.servers {
		if name != attempt.Server && other.service == attempt.Service && other.progressAt.After(attempt.Started) {
			return true
		}
	}
	return false
}

// find returns the entry of a server, and adds it. The mutex is held.
func (judge *Judge) find(name, service string, now time.Time) *server {
	if known := judge.servers[name]; known != nil {
		known.service = service
		return known
	}
	if len(judge.servers) >= maxServers {
		judge.forget(now)
	}
	known := &server{service: service}
	judge.servers[name] = known
	return known
}

// forget removes the servers that were not heard of lately, and all if there are none. The mutex is held.
func (judge *Judge) forget(now time.Time) {
	for name, known := range judge.servers {
		if now.Sub(known.progressAt) > forgetAfter && now.Sub(known.wastedAt) > forgetAfter {
			delete(judge.servers, name)
		}
	}
	if len(judge.servers) >= maxServers {
		clear(judge.servers)
	}
}
