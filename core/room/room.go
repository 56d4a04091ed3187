// Package room keeps the requests in flight at brittle backend servers, over all hosts together, within
// what the servers have room for.
package room

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"primrosegw/core/fleet"
)

const (
	// quietTimeout is the time without an answer that says so after which a server is no longer brittle.
	quietTimeout = 10 * time.Second
	// lowestLimit is the limit at the beginning of a brittle time and after a server fell over.
	lowestLimit = 1
	// raiseInterval is the time without a refusal after which the limit rises by one.
	raiseInterval = time.Second
	// cutFactor reduces the limit after a refusal.
	cutFactor = 0.5
	// settleTime is the time for which a host keeps to the smaller share after the hosts have changed,
	// because the others learn of the change at other times.
	settleTime = time.Second
	// heardTimeout is the time for which a host counts after it was last heard of.
	heardTimeout = 3 * time.Second
	// unansweredTime is the time for which a request without an answer counts as in flight, because the
	// server may still run it.
	unansweredTime = time.Second
	// soundTime is how long an answer that does not say that its server is brittle shows that the servers of its
	// service have room: servers let fewer requests wait some seconds after they began to say that they are brittle.
	soundTime = 2 * time.Second
	// noRoomWait is the time after which a server without room is asked for again if nothing is known of
	// how long requests run there.
	noRoomWait = 50 * time.Millisecond
	// holdAlpha is the weight of the newest request in the moving average of their durations.
	holdAlpha = 0.1
)

/*
Limiter divides the room of brittle servers among hosts without asking them for each request. The number
of requests in flight at a server over all hosts has a limit. It begins at lowestLimit, rises by one in
each raiseInterval up to the number of requests that the server works on at once, and is cut at each
refusal for want of room. All hosts derive it from what they tell each other, and divide it by rendezvous
hashing, so that the sum of their shares is the limit.

A brittle time is one of a service: servers of it that have not answered yet are taken for brittle, so that one that
has just started does not get all that waits before its first answer.

A brittle time may have begun unseen: before this host started, or while nothing was sent. Until one of the servers of a
service has answered lately, a server gets no more requests than it works on at once, divided in the same way, but at
least one from each host. It is not limited if it does not say how many it works on. Requests that have waited for that
for as long as they may are sent all the same: a server without room answers at once, so one that does not is silent.

A Limiter is safe for concurrent use. It limits nothing while the servers of a service say that they are not brittle.
*/
type Limiter struct {
	own     string
	mutex   sync.Mutex
	hosts   *hostSet
	past    []pastHosts
	heard   map[string]time.Time
	servers map[uint64]*server
	queues  map[string]*queue
	// brittle is the number of servers that are brittle, and brittleUntil the end of the brittle time of a service
	// unless one of its servers says again that it is brittle.
	brittle      int
	brittleUntil map[string]time.Time
	// soundAt is when a server of a service last answered without saying that it is brittle.
	soundAt map[string]time.Time
}

// New returns a limiter for a host that knows of no other hosts and no brittle servers.
func New(own string) *Limiter {
	return &Limiter{
		own: own, hosts: newHostSet([]string{own}), heard: make(map[string]time.Time), servers: make(map[uint64]*server), queues: make(map[string]*queue),
		brittleUntil: make(map[string]time.Time), soundAt: make(map[string]time.Time),
	}
}

// server returns the state of a server, which it adds if there is none.
func (limiter *Limiter) server(key uint64) *server {
	known := limiter.servers[key]
	if known == nil {
		known = &server{}
		limiter.servers[key] = known
	}
	return known
}

// Change is what an observation changed.
type Change string

// The changes.
const (
	None  Change = ""
	Began Change = "began"
	Ended Change = "ended"
)

// Observation is what an answer of a server says.
type Observation struct {
	// Number is the number of refusals within a second that the server bears; 0: it does not say that it
	// is brittle.
	Number int
	// Slots is the number of requests that it works on at once; 0: unknown.
	Slots int
	// Refused: the server had no room for the request.
	Refused bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Observe records an answer of a server.
func (limiter *Limiter) Observe(registered fleet.Server, answer Observation, now time.Time) Change {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	key := fleet.ServerHash(registered.ID)
	if answer.Number == 0 {
		limiter.recordSound(registered.Service, now)
		return limiter.observeSound(key, answer, now)
	}
	known := limiter.server(key)
	known.id, known.service, known.own = registered.ID, registered.Service, true
	known.slots = cmp.Or(answer.Slots, registered.Slots, known.slots)
	began := limiter.set(known, answer.Number, now, now)
	if answer.Refused {
		known.cut(max(lowestLimit, min(known.limit(now)*cutFactor, float64(known.inFlight))), now)
	}
	if began {
		return Began
	}
	return None
}

// recordSound records that a server of a service does not say that it is brittle.
func (limiter *Limiter) recordSound(service string, now time.Time) {
	wasUnknown := limiter.isUnknown(service, now)
	limiter.soundAt[service] = now
	if wasUnknown {
		limiter.wake(service)
	}
}

// isUnknown reports whether no server of a service has lately shown that it has room.
func (limiter *Limiter) isUnknown(service string, now time.Time) bool {
	return now.Sub(limiter.soundAt[service]) >= soundTime
}

// observeSound records an answer that does not say that its server is brittle.
func (limiter *Limiter) observeSound(key uint64, answer Observation, now time.Time) Change {
	known := limiter.servers[key]
	if known == nil || limiter.brittle == 0 || !answer.SentAt.After(known.observedAt) || !answer.SentAt.After(known.assumedAt) {
		return None
	}
	wasBrittle := known.number > 0
	if !known.own && limiter.isBrittleTime(known.service, now) || now.Before(known.assumedUntil) {
		// Other hosts take it for brittle.
		known.changedAt = now
	}
	known.own = known.own || wasBrittle || limiter.isBrittleTime(known.service, now)
	limiter.set(known, 0, now, now)
	limiter.wake(known.service)
	if !wasBrittle {
		return None
	}
	return Ended
}

// set records what a server says. It reports whether that is new.
func (limiter *Limiter) set(known *server, number int, observedAt, now time.Time) bool {
	isNew := (number > 0) != known.saysBrittle(now)
	known.observedAt, known.assumedUntil = observedAt, time.Time{}
	if number > 0 {
		limiter.brittleUntil[known.service] = observedAt.Add(quietTimeout)
	} else if isNew {
		delete(limiter.brittleUntil, known.service)
	}
	if known.number != number {
		known.changedAt = now
	}
	if (number > 0) != (known.number > 0) {
		limiter.brittle += map[bool]int{true: 1, false: -1}[number > 0]
	}
	if number > 0 && isNew {
		known.base, known.cutAt, known.refused, known.changedAt = lowestLimit, now, false, now
	}
	known.number = number
	return isNew
}

// RecordCrash records that a server refuses connections. It starts again with the lowest limit.
func (limiter *Limiter) RecordCrash(registered fleet.Server, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if known := limiter.servers[fleet.ServerHash(registered.ID)]; known != nil && known.isBrittle(now) {
		known.cut(lowestLimit, now)
	}
}

// Expire ends the brittle times of servers that have long said nothing. It returns their IDs.
func (limiter *Limiter) Expire(now time.Time) []string {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var ended []string
	for key, known := range limiter.servers {
		if known.number > 0 && !known.saysBrittle(now) {
			limiter.brittle--
			known.number = 0
			ended = append(ended, known.id)
		}
		if known.number == 0 && known.inFlight == 0 && now.Sub(known.observedAt) > quietTimeout && !known.isBrittle(now) {
			delete(limiter.servers, key)
		}
	}
	maps.DeleteFunc(limiter.brittleUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	return ended
}

// assume takes a server for brittle that has said nothing lately, if another one of its service says that it is
// brittle. It returns the state of the server, nil if there is none.
func (limiter *Limiter) assume(key uint64, registered fleet.Server, now time.Time) *server {
	known := limiter.servers[key]
	if !limiter.isBrittleTime(registered.Service, now) {
		return known
	}
	known = limiter.server(key)
	if known.isBrittle(now) || now.Sub(known.observedAt) < quietTimeout {
		return known
	}
	known.id, known.service, known.slots = registered.ID, registered.Service, cmp.Or(known.slots, registered.Slots)
	known.base, known.cutAt, known.refused = lowestLimit, now, false
	known.assumedAt, known.assumedUntil = now, now.Add(quietTimeout)
	return known
}

// isBrittleTime reports whether a server of a service has lately said that it is brittle.
func (limiter *Limiter) isBrittleTime(service string, now time.Time) bool {
	return now.Before(limiter.brittleUntil[service])
}

// isLimited reports whether the requests in flight at a server are limited.
func (limiter *Limiter) isLimited(known *server, now time.Time) bool {
	return known.isBrittle(now) || known.slots > 0 && limiter.isUnknown(known.service, now)
}

// share returns this host's part of the limit of a server that has one.
func (limiter *Limiter) share(key uint64, known *server, now time.Time) int {
	if !known.isBrittle(now) {
		return max(1, limiter.hosts.share(limiter.own, key, known.slots))
	}
	if now.Before(known.blockedUntil) {
		return 0
	}
	limit := int(known.limit(now))
	share := limiter.hosts.share(limiter.own, key, limit)
	for _, past := range limiter.past {
		if now.Sub(past.replacedAt) < settleTime {
			share = min(share, past.share(limiter.own, key, limit))
		}
	}
	if limiter.isIsolated(now) {
		return min(1, share)
	}
	return share
}

// Wait returns the time after which this host may have room for a request at a server; 0: it has.
func (limiter *Limiter) Wait(registered fleet.Server, now time.Time) time.Duration {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.brittle == 0 && !limiter.isUnknown(registered.Service, now) {
		return 0
	}
	key := fleet.ServerHash(registered.ID)
	known := limiter.assume(key, registered, now)
	if known == nil || limiter.hasRoom(key, known, now) {
		return 0
	}
	return limiter.holdTime(registered.Service)
}

func (limiter *Limiter) hasRoom(key uint64, known *server, now time.Time) bool {
	return !limiter.isLimited(known, now) || known.inFlight < limiter.share(key, known, now)
}

// Limit returns the limit of a server and this host's share of it; false: it is not brittle.
func (limiter *Limiter) Limit(registered fleet.Server, now time.Time) (limit, share int, isBrittle bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	key := fleet.ServerHash(registered.ID)
	known := limiter.servers[key]
	if known == nil || !known.isBrittle(now) {
		return 0, 0, false
	}
	return int(known.limit(now)), limiter.share(key, known, now), true
}

// Take counts a request that is about to be sent to a server. It returns false if there is no room for
// it, or if other requests come first. Ticket is nil for a request that has not waited.
func (limiter *Limiter) Take(registered fleet.Server, ticket *Ticket, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	key := fleet.ServerHash(registered.ID)
	known := limiter.server(key)
	limiter.assume(key, registered, now)
	known.id, known.service, known.slots = registered.ID, registered.Service, cmp.Or(known.slots, registered.Slots)
	mayPass := ticket != nil && ticket.passes && !known.isBrittle(now)
	if limiter.isLimited(known, now) && !mayPass {
		if !limiter.hasRoom(key, known, now) || !limiter.isNext(registered.Service, key, ticket) {
			return false
		}
	}
	known.inFlight++
	if ticket != nil {
		limiter.leave(ticket, true)
	}
	return true
}

// Done ends a request that Take has counted at takenAt. One without an answer may still run at a brittle
// server, so it counts a while longer.
func (limiter *Limiter) Done(registered fleet.Server, answered bool, takenAt, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	known := limiter.servers[fleet.ServerHash(registered.ID)]
	if known == nil {
		return
	}
	if answered || !known.isBrittle(now) {
		limiter.release(known)
		if known.number > 0 {
			limiter.queue(known.service).observe(now.Sub(takenAt))
		}
		return
	}
	time.AfterFunc(unansweredTime, func() {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.release(known)
	})
}

// release ends a request at a server.
func (limiter *Limiter) release(known *server) {
	known.inFlight--
	limiter.wake(known.service)
}
