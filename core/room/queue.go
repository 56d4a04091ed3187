package room

import (
	"cmp"
	"context"
	"slices"
	"time"

	"primrosegw/core/fleet"
)

// pollInterval is the time after which the first request of a queue looks for room again: limits rise and
// shares change without a request that ends.
const pollInterval = 25 * time.Millisecond

// queue holds the requests of a service that wait for room at its brittle servers. Workspaces of a rank
// take turns: each request has a virtual start time, which is one later than that of the request before
// it of the same workspace, and not before that of the last one that was sent (start-time fair queueing).
type queue struct {
	// waiting is in the order in which the requests are sent.
	waiting []*Ticket
	// now is the virtual start time of the last request that was sent, by rank.
	now map[int]int64
	// next is the virtual start time of the next request, by rank and workspace.
	next map[turn]int64
	// last is the number of the last ticket.
	last int64
	// hold is a moving average of the durations of requests.
	hold time.Duration
}

// turn identifies the requests of a workspace with one rank.
type turn struct {
	rank      int
	workspace string
}

// Ticket is the place of a request in a queue.
type Ticket struct {
	service string
	turn    turn
	start   int64
	number  int64
	// except holds the hashes of the servers to which the request may not be sent.
	except map[uint64]bool
	woken  chan struct{}
	left   bool
	// passes: the request has waited for as long as it may, and no server was brittle.
	passes bool
}

func (ticket *Ticket) compare(other *Ticket) int {
	return cmp.Or(cmp.Compare(ticket.turn.rank, other.turn.rank), cmp.Compare(ticket.start, other.start), cmp.Compare(ticket.number, other.number))
}

// Service returns the service at whose servers the request waits for room.
func (ticket *Ticket) Service() string { return ticket.service }

// Request is what the order of a request depends on.
type Request struct {
	Service, Workspace string
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// MaxWait is the longest time that the request may wait.
	MaxWait time.Duration
	// Except holds the IDs of servers of the service to which the request may not be sent.
	Except map[string]bool
}

func (limiter *Limiter) queue(service string) *queue {
	known := limiter.queues[service]
	if known == nil {
		known = &queue{now: make(map[int]int64), next: make(map[turn]int64), hold: noRoomWait}
		limiter.queues[service] = known
	}
	return known
}

func (queue *queue) observe(hold time.Duration) {
	queue.hold += time.Duration(holdAlpha * float64(hold-queue.hold))
}

func (limiter *Limiter) holdTime(service string) time.Duration {
	if known := limiter.queues[service]; known != nil {
		return max(time.Millisecond, known.hold)
	}
	return noRoomWait
}

// Join queues a request. It returns nil, and the time after which room is likely, if the request would
// wait for longer than it may at servers that are brittle.
func (limiter *Limiter) Join(request Request, now time.Time) (*Ticket, time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	queue := limiter.queue(request.Service)
	turn := turn{request.Rank, request.Workspace}
	ticket := &Ticket{service: request.Service, turn: turn, start: max(queue.now[request.Rank], queue.next[turn]), number: queue.last + 1, except: hashes(request.Except), woken: make(chan struct{}, 1)}
	position, _ := slices.BinarySearchFunc(queue.waiting, ticket, (*Ticket).compare)
	wait := limiter.expectedWait(request.Service, position, now)
	if wait > request.MaxWait && limiter.isBrittleTime(request.Service, now) {
		if wait == unlikely {
			// Another host has the room.
			wait = limiter.holdTime(request.Service)
		}
		return nil, wait
	}
	queue.last++
	queue.next[turn] = ticket.start + 1
	queue.waiting = slices.Insert(queue.waiting, position, ticket)
	return ticket, wait
}

func hashes(ids map[string]bool) map[uint64]bool {
	result := make(map[uint64]bool, len(ids))
	for id := range ids {
		result[fleet.ServerHash(id)] = true
	}
	return result
}

// unlikely is the expected wait of a host that has no share of any server.
const unlikely = time.Hour

// expectedWait returns the time until a request is sent that has others before it.
func (limiter *Limiter) expectedWait(service string, before int, now time.Time) time.Duration {
	places := 0
	for key, known := range limiter.servers {
		if known.service == service && limiter.isLimited(known, now) {
			places += limiter.share(key, known, now)
		}
	}
	if places == 0 {
		return unlikely
	}
	return limiter.holdTime(service) * time.Duration(before+1) / time.Duration(places)
}

// Await waits until the request of a ticket may find room, or until what it is to be sent to has changed, as a closed
// channel tells. It returns false if the context is done before.
func (limiter *Limiter) Await(ctx context.Context, ticket *Ticket, changed <-chan struct{}) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ticket.woken:
			return true
		case <-changed:
			return true
		case <-ctx.Done():
			return false
		case <-timer.C:
			if limiter.isFirst(ticket) {
				return true
			}
			timer.Reset(pollInterval)
		}
	}
}

// LetPass lets the request of a ticket that has waited for as long as it may be sent to servers that have said nothing: they
// are silent rather than without room, or work for long. It returns false if servers of the service are brittle, or
// if it has let the request pass before.
func (limiter *Limiter) LetPass(ticket *Ticket, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if ticket.passes || limiter.isBrittleTime(ticket.service, now) {
		return false
	}
	ticket.passes = true
	return true
}

// Passes reports whether LetPass lets the request pass.
func (ticket *Ticket) Passes() bool { return ticket.passes }

// Brittle is the view of a limiter that limits only servers that are brittle.
type Brittle struct{ limiter *Limiter }

// Brittle returns the view of the limiter for requests that LetPass lets pass.
func (limiter *Limiter) Brittle() Brittle { return Brittle{limiter} }

// Wait is that of Limiter for a server that is brittle, and 0 for others.
func (brittle Brittle) Wait(registered fleet.Server, now time.Time) time.Duration {
	limiter := brittle.limiter
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	key := fleet.ServerHash(registered.ID)
	known := limiter.assume(key, registered, now)
	if known == nil || !known.isBrittle(now) || limiter.hasRoom(key, known, now) {
		return 0
	}
	return limiter.holdTime(registered.Service)
}

// isFirst reports whether the request of a ticket is the next one for some server: those before it may not be sent to all.
func (limiter *Limiter) isFirst(ticket *Ticket) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return slices.Contains(limiter.queue(ticket.service).firsts(), ticket)
}

// firsts returns the requests that may be the next one for a server: up to the first that may be sent to all.
func (queue *queue) firsts() []*Ticket {
	last := slices.IndexFunc(queue.waiting, func(ticket *Ticket) bool { return len(ticket.except) == 0 })
	if last < 0 {
		return queue.waiting
	}
	return queue.waiting[:last+1]
}

// isNext reports whether no other request of the service comes before that of the ticket at a server.
func (limiter *Limiter) isNext(service string, server uint64, ticket *Ticket) bool {
	known := limiter.queues[service]
	if known == nil {
		return true
	}
	next := slices.IndexFunc(known.waiting, func(other *Ticket) bool { return other == ticket || !other.except[server] })
	return next < 0 || known.waiting[next] == ticket
}

// Leave removes a request from its queue that is not sent.
func (limiter *Limiter) Leave(ticket *Ticket) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.leave(ticket, false)
}

func (limiter *Limiter) leave(ticket *Ticket, isSent bool) {
	if ticket.left {
		return
	}
	ticket.left = true
	queue := limiter.queues[ticket.service]
	queue.waiting = slices.DeleteFunc(queue.waiting, func(other *Ticket) bool { return other == ticket })
	if isSent {
		queue.now[ticket.turn.rank] = max(queue.now[ticket.turn.rank], ticket.start)
	} else {
		queue.next[ticket.turn]--
	}
	if len(queue.waiting) == 0 {
		clear(queue.now)
		clear(queue.next)
		return
	}
	limiter.wake(ticket.service)
}

// wake lets the requests of a service look for room that may be the next ones.
func (limiter *Limiter) wake(service string) {
	known := limiter.queues[service]
	if known == nil {
		return
	}
	for _, ticket := range known.firsts() {
		select {
		case ticket.woken <- struct{}{}:
		default:
		}
	}
}
