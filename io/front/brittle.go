package front

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/pick"
	"primrosegw/core/room"
	"primrosegw/core/steer"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

const (
	// retryRank puts a request that a server has turned away before those that were not sent yet: it has waited
	// before, and a retry has been spent on it.
	retryRank = -1
	// roomWaitShare is the share of the time left that a request without an objective may wait for room.
	roomWaitShare = 0.5
)

// observeBrittle records whether the server says that it is brittle, and logs a change. Only a success
// shows that it is not.
func (exchange *exchange) observeBrittle(response pipe.Response, info ResponseInfo) {
	if info.Brittle == 0 && (!isSuccess(response) || !info.Signed) {
		return
	}
	answer := room.Observation{Number: info.Brittle, Refused: info.NoRoom, SentAt: exchange.started}
	if info.Load != nil {
		answer.Slots = info.Load.Slots
	}
	options := exchange.call.handler.options
	switch options.Room.Observe(exchange.server, answer, time.Now()) {
	case room.Began:
		options.Meter.AddToCounter("servers_brittle", "change", "began", 1)
		exchange.call.log(event.ServerBrittle(), logrus.Fields{"server": exchange.server.ID, "number": info.Brittle, "slots": answer.Slots})
	case room.Ended:
		options.Meter.AddToCounter("servers_brittle", "change", "ended", 1)
		exchange.call.log(event.ServerNotBrittle(), logrus.Fields{"server": exchange.server.ID})
	case room.None:
	}
	if info.Brittle > 0 && info.NoRoom {
		options.Meter.AddToCounter("servers_brittle", "change", "refused", 1)
	}
}

// takeRoom counts an attempt at a server. It returns false if a brittle one has no room for it, or other
// requests come first.
func (call *call) takeRoom(server fleet.Server) bool {
	return call.handler.options.Room.Take(server, call.ticket, time.Now())
}

// attemptInRoom makes an attempt that takeRoom has counted. Its server counts as tried, unless the deadline has ended the
// attempt before a connection was open: that says nothing of the server, and a new table may have moved the deadline.
func (call *call) attemptInRoom(choice pick.Choice) work.Result {
	call.tried[choice.Member.ID] = true
	takenAt, result := time.Now(), work.Broken
	// A ticket is for one attempt.
	call.ticket = nil
	defer func() {
		call.handler.options.Room.Done(choice.Member.Server, result != work.Broken, takenAt, time.Now())
	}()
	result = call.attempt(choice, 0)
	if result == work.NoConnection && call.ctx.Err() != nil {
		delete(call.tried, choice.Member.ID)
	}
	return result
}

// awaitRoom waits until the request may find room at a brittle server. It returns a refusal if that
// takes too long.
func (call *call) awaitRoom() *refusal {
	now := time.Now()
	if call.ticket == nil {
		rank := call.work.Rank
		if call.reached > 0 {
			rank = retryRank
		}
		ticket, wait := call.handler.options.Room.Join(room.Request{
			Service: call.work.Service, Workspace: call.work.Workspace, Rank: rank, MaxWait: call.maxRoomWait(now),
			Except: call.excluded(call.handler.options.Fleet.Members(call.work.Service, now)),
		}, now)
		if ticket == nil {
			return &refusal{status: http.StatusServiceUnavailable, reason: steer.Brittle, retryAfter: wait}
		}
		call.ticket, call.joinedAt = ticket, now
	}
	// A table that has come since the request joined the queue may have moved its objective or its deadline.
	ctx, cancel := context.WithDeadline(call.ctx, call.joinedAt.Add(call.maxRoomWait(call.joinedAt)))
	defer cancel()
	if call.handler.options.Room.Await(ctx, call.ticket, call.handler.options.Table.Replaced(call.table)) {
		return nil
	}
	if call.ctx.Err() == nil && call.handler.options.Room.LetPass(call.ticket, time.Now()) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: steer.Brittle}
}

// maxRoomWait returns how long the request may wait for room from now on: until its objective has passed.
func (call *call) maxRoomWait(now time.Time) time.Duration {
	remaining := time.Duration(roomWaitShare * float64(call.work.Remaining(now)))
	if call.work.Route.Objective <= 0 {
		return remaining
	}
	return max(0, min(remaining, call.work.Received.Add(call.work.Route.Objective).Sub(now)))
}

// leaveQueue ends the wait for room.
func (call *call) leaveQueue() {
	if call.ticket != nil {
		call.handler.options.Room.Leave(call.ticket)
		call.ticket = nil
	}
}

// leaveOtherQueue ends the wait for room at a service to which the request is no longer to be sent.
func (call *call) leaveOtherQueue() {
	if call.ticket != nil && call.ticket.Service() != call.work.Service {
		call.leaveQueue()
	}
}
