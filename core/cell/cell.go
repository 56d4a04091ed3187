package cell

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"primrosegw/core/event"
	"primrosegw/core/fault"
)

// Options configures a cell.
type Options struct {
	// Name identifies the cell in summaries and logs.
	Name string
	// Servers are the cell's backend servers at the start.
	Servers []Server
	// Logger receives one event for each decision; nil: none is written.
	Logger *event.Logger
}

// Cell schedules calls on the backend servers of one pool in one failure
// domain. It is safe for concurrent use.
type Cell struct {
	options Options

	mutex   sync.Mutex
	servers []*server
	waiting []*call
	closed  bool
}

// server is a backend server with its occupied slots.
type server struct {
	Server
	running int
	// removed: the last update did not list the server.
	removed bool
}

// call is a request that waits for a slot.
type call struct {
	request Request
	// assigned receives the server that the call was given, nil when the cell
	// closed first.
	assigned chan *server
}

// New returns a cell with the given servers.
func New(options Options) *Cell {
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	cell := &Cell{options: options}
	cell.Update(options.Servers)
	return cell
}

// Update replaces the cell's backend servers. A server that is no longer listed
// finishes what it runs and gets nothing new.
func (cell *Cell) Update(servers []Server) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	known := make(map[string]*server, len(cell.servers))
	for _, server := range cell.servers {
		server.removed = true
		known[server.Name] = server
	}
	updated := make([]*server, 0, len(servers))
	for _, wanted := range servers {
		entry, found := known[wanted.Name]
		if !found {
			entry = &server{}
		}
		entry.Server = wanted
		entry.removed = false
		updated = append(updated, entry)
	}
	cell.servers = updated
	cell.dispatch()
}

// Close hands queued work back with the kind Closed. Work that was dispatched
// goes on to its end.
func (cell *Cell) Close() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.closed = true
	for _, call := range cell.waiting {
		call.assigned <- nil
	}
	cell.waiting = nil
}

// Summary returns the cell's load.
func (cell *Cell) Summary() Summary {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	summary := Summary{Cell: cell.options.Name, Queued: len(cell.waiting), At: time.Now()}
	for _, server := range cell.servers {
		if server.Leaving {
			continue
		}
		summary.Slots += server.Slots
		summary.Free += max(0, server.Slots-server.running)
	}
	return summary
}

// Serve runs a request on a backend server and hands each piece of the answer
// to emit, in order. Serve calls emit from its own goroutine and never after
// it has returned. The outcome is valid with an error too; its Run is true.
func (cell *Cell) Serve(ctx context.Context, request Request, emit func(Chunk) error) (Outcome, error) {
	outcome := Outcome{Run: NotRun}
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	for {
		server, err := cell.wait(ctx, request)
		if err != nil {
			return outcome, err
		}
		outcome.Attempts++
		outcome.Server = server.Name
		err = generate(ctx, server, request, &outcome, emit)
		cell.release(server)
		if outcome.Tokens == 0 && fault.Is(err, Refused) {
			continue
		}
		return settle(ctx, outcome, err)
	}
}

// generate runs one attempt and relays its chunks.
func generate(ctx context.Context, server *server, request Request, outcome *Outcome, emit func(Chunk) error) error {
	call := Call{
		Request: request, Attempt: outcome.Attempts, Version: server.Version,
		ResumeTokens: request.ResumeTokens, ResumeText: request.ResumeText,
	}
	return server.Backend.Generate(ctx, call, func(chunk Chunk) error {
		outcome.Tokens += chunk.Tokens
		outcome.Finish = chunk.Finish
		return emit(chunk)
	})
}

// settle turns the end of the last attempt into the outcome.
func settle(ctx context.Context, outcome Outcome, err error) (Outcome, error) {
	outcome.Run = Ran
	if err == nil {
		return outcome, nil
	}
	if ctx.Err() != nil {
		return outcome, gone("cell.Serve", ctx.Err())
	}
	if fault.Is(err, Rejected) {
		outcome.Run = NotRun
		return outcome, err
	}
	outcome.Run = RunUnknown
	return outcome, fault.Wrap("cell.Serve", Unknown, err)
}

// gone returns the error for a call whose context ended.
func gone(op string, err error) error {
	if err == context.DeadlineExceeded {
		return fault.Wrap(op, Expired, err)
	}
	return fault.Wrap(op, Gone, err)
}

// wait queues a request until a server has a free slot for it.
func (cell *Cell) wait(ctx context.Context, request Request) (*server, error) {
	call := &call{request: request, assigned: make(chan *server, 1)}
	if err := cell.enqueue(call); err != nil {
		return nil, err
	}
	select {
	case server := <-call.assigned:
		if server == nil {
			return nil, fault.New("cell.Serve", Closed, "the cell is closed")
		}
		return server, nil
	case <-ctx.Done():
		cell.abandon(call)
		return nil, gone("cell.Serve", ctx.Err())
	}
}

// enqueue puts a call in the queue.
func (cell *Cell) enqueue(waiting *call) error {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.closed {
		return fault.New("cell.Serve", Closed, "the cell is closed")
	}
	position, _ := slices.BinarySearchFunc(cell.waiting, waiting, func(a, b *call) int {
		// Equal calls keep their order of arrival.
		return cmp.Or(cmp.Compare(a.request.Tier, b.request.Tier), a.request.FirstToken.Compare(b.request.FirstToken), -1)
	})
	cell.waiting = slices.Insert(cell.waiting, position, waiting)
	cell.dispatch()
	return nil
}

// abandon takes a call out of the queue, or frees the slot it was given.
func (cell *Cell) abandon(call *call) {
	cell.mutex.Lock()
	position := slices.Index(cell.waiting, call)
	if position >= 0 {
		cell.waiting = slices.Delete(cell.waiting, position, position+1)
	}
	cell.mutex.Unlock()
	if position >= 0 {
		return
	}
	if server := <-call.assigned; server != nil {
		cell.release(server)
	}
}

// release frees a slot.
func (cell *Cell) release(server *server) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	server.running--
	cell.dispatch()
}

// dispatch gives free slots to the head of the queue. The mutex is held.
func (cell *Cell) dispatch() {
	for len(cell.waiting) > 0 {
		server := cell.choose()
		if server == nil {
			return
		}
		server.running++
		cell.waiting[0].assigned <- server
		cell.waiting = cell.waiting[1:]
	}
}

// choose returns the server with the largest share of free slots, nil if none
// has a free slot.
func (cell *Cell) choose() *server {
	var best *server
	for _, server := range cell.servers {
		if server.Leaving || server.running >= server.Slots {
			continue
		}
		if best == nil || server.running*best.Slots < best.running*server.Slots {
			best = server
		}
	}
	return best
}
