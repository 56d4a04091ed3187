package cell

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/health"
	"primrosegw/core/length"
	"primrosegw/core/poison"
	"primrosegw/core/queue"
	"primrosegw/core/retry"
)

// Cell schedules calls on the backend servers of one pool in one failure
// domain. It is safe for concurrent use.
//
// Each call is driven by the goroutine that called Serve: it handles the call's
// grants, chunks, ends and timers one at a time. Each attempt has a goroutine
// that runs the backend and sends messages to the call. The queue, the slots
// and the estimates are shared and guarded by one mutex; dispatch runs under it
// whenever one of them changes.
type Cell struct {
	options Options

	mutex    sync.Mutex
	servers  []*server
	health   *health.Tracker
	queue    *queue.Queue[*call]
	lengths  *length.Estimator
	retries  *retry.Budget
	hedges   *retry.Budget
	backoff  retry.Backoff
	suspects []*call
	copies   map[uint64]int
	proven   *memory
	// granted is the tier of the call that was given the last slot.
	granted int
	// present is the time of the last call of each class.
	present map[string]time.Time
	// queued is the expected work queued of each class, in tokens.
	queued map[string]float64
	// medians caches the median length of each class.
	medians map[string]float64
	// demands is the work that comes in, by tier.
	demands map[int]*demand
	// recheck runs dispatch again when a weight may have changed; nil: not set.
	recheck  *time.Timer
	sequence uint64
	stats    Stats
	closed   bool
}

// Stats counts what a cell did since New.
type Stats struct {
	// Calls counts calls to Serve, Completed those with a whole answer.
	Calls     int
	Completed int
	// Dispatched counts attempts.
	Dispatched int
	Shed       int
	Preempted  int
	Hedged     int
	// HedgesWon counts hedges that gave the first token.
	HedgesWon int
	// Resumed counts attempts that replaced one that broke.
	Resumed int
	Refused int
	Stalled int
	Crashed int
	// Unknown counts calls whose callers were told that they may have run.
	Unknown int
	Poison  int
	Probed  int
	// Tokens counts tokens delivered, Wasted those generated and not delivered.
	Tokens int
	Wasted int
}

// New returns a cell with the given servers.
func New(options Options) *Cell {
	options = withDefaults(options)
	cell := &Cell{
		options: options,
		health:  health.New(options.Health),
		lengths: length.New(length.Options{}),
		retries: retry.New(retry.Options{
			Share: options.RetryShare, MaxBalance: retry.DefaultMaxBalance, RefillPerSecond: retry.DefaultRefillPerSecond,
		}),
		hedges:  retry.New(retry.Options{Share: options.HedgeShare, MaxBalance: hedgeReserve}),
		backoff: retry.Backoff{BaseDelay: retry.DefaultBaseDelay, MaxDelay: retry.DefaultMaxDelay, Random: options.Random},
		copies:  make(map[uint64]int),
		proven:  newMemory(provenCapacity),
		present: make(map[string]time.Time),
		queued:  make(map[string]float64),
		medians: make(map[string]float64),
		demands: make(map[int]*demand),
	}
	cell.queue = queue.New[*call](cell.queueOptions())
	cell.Update(options.Servers)
	return cell
}

// queueOptions returns the queue's options. Without the minimum share a class
// gains so little that it is never owed a dispatch.
func (cell *Cell) queueOptions() queue.Options {
	options := queue.Options{Capacity: cell.options.Capacity, MinimumShares: cell.options.MinimumShares}
	if cell.options.Switches.DisableMinimumShare {
		options.MinimumShares = nil
		options.DefaultShare = 1e-12
	}
	return options
}

// Update replaces the cell's backend servers. A server that is no longer listed
// finishes what it runs and gets nothing new.
func (cell *Cell) Update(servers []Server) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	known := make(map[string]*server, len(cell.servers))
	for _, server := range cell.servers {
		server.Leaving = true
		known[server.Name] = server
	}
	updated := make([]*server, 0, len(servers))
	names := make([]string, 0, len(servers))
	for _, wanted := range servers {
		entry, found := known[wanted.Name]
		if !found {
			entry = &server{cached: newMemory(affinityCapacity), Server: Server{Name: wanted.Name}}
		}
		entry.set(wanted)
		updated = append(updated, entry)
		names = append(names, wanted.Name)
	}
	cell.servers = updated
	cell.health.SetServers(names)
	cell.log(event.CellServers(), logrus.Fields{"servers": strings.Join(names, " ")})
	cell.dispatch()
}

// SetShares replaces the minimum shares of the classes.
func (cell *Cell) SetShares(shares map[string]float64) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.options.MinimumShares = shares
	cell.queue.SetShares(cell.queueOptions().MinimumShares)
}

// Report takes a load report of a backend server.
func (cell *Cell) Report(server string, load health.Load) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.health.Report(server, load)
	cell.dispatch()
}

// Cached takes a backend server's cache events: prompt prefixes that it holds
// now and prefixes that it dropped. They are a hint for the choice of a server.
func (cell *Cell) Cached(name string, stored, dropped []uint64) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	for _, server := range cell.servers {
		if server.Name != name {
			continue
		}
		for _, prefix := range stored {
			server.cached.add(prefix)
		}
		for _, prefix := range dropped {
			server.cached.remove(prefix)
		}
	}
}

// Close hands queued work back with the kind Closed. Work that was dispatched
// goes on to its end.
func (cell *Cell) Close() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.closed {
		return
	}
	cell.closed = true
	handed := 0
	for _, item := range cell.queue.Drain() {
		call := item.Value
		cell.unqueued(call)
		if call.fresh() {
			call.grants <- grant{err: closed()}
			handed++
			continue
		}
		// The call ran before: it goes on here.
		cell.requeue(call)
	}
	for _, call := range slices.Clone(cell.suspects) {
		if call.fresh() {
			cell.removeSuspect(call)
			call.grants <- grant{err: closed()}
			handed++
		}
	}
	cell.log(event.CellClosed(), logrus.Fields{"handed_back": handed, "queued": cell.queue.Len()})
}

// Summary returns the cell's load.
func (cell *Cell) Summary() Summary {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	now := time.Now()
	summary := Summary{Cell: cell.options.Name, Queued: cell.queue.Len() + len(cell.suspects), At: now}
	for _, server := range cell.servers {
		slots := cell.slots(server)
		summary.Slots += slots
		if server.open() {
			summary.Free += max(0, slots-len(server.attempts))
		}
	}
	for index := range summary.WaitMs {
		wait := outageWait
		if summary.Slots > 0 {
			wait = cell.wait(index+1, now.Add(time.Hour), "")
		}
		summary.WaitMs[index] = uint32(min(wait.Milliseconds(), 1<<31))
	}
	return summary
}

// Running returns the number of occupied slots.
func (cell *Cell) Running() int {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	running, _ := cell.turnover(time.Now())
	return running
}

// Stats returns the counts so far.
func (cell *Cell) Stats() Stats {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	return cell.stats
}

// Review withdraws running copies of requests that have become suspects. The
// daemon calls it after it has merged records of other hosts.
func (cell *Cell) Review() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.review()
}

// review withdraws running copies of suspects. The mutex is held.
func (cell *Cell) review() {
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			request := &attempt.call.request
			verdict := cell.suspicion(request)
			if verdict == poison.Shared || verdict == poison.Exclusive && attempt.alone {
				continue
			}
			if attempt.yielding || !request.Idempotent {
				continue
			}
			attempt.yielding = true
			attempt.cancel(errWithdrawn)
			cell.log(event.CellWithdrawn(), attempt.fields())
		}
	}
}

// log writes an event of the cell. The mutex may be held.
func (cell *Cell) log(event event.Event, fields logrus.Fields) {
	if !cell.options.Logger.Enabled(event) {
		return
	}
	fields["cell"] = cell.options.Name
	cell.options.Logger.Log(event, fields)
}
