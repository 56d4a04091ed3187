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
// The goroutine that calls Serve runs the event loop of that call and handles
// its decisions, chunks, attempt ends and timers one at a time. Each attempt
// has its own goroutine, which runs the backend and sends messages to the call.
// The queue, the slots and the estimates are shared and guarded by one mutex;
// dispatch runs under it whenever one of them changes.
type Cell struct {
	options Options

	mutex   sync.Mutex
	servers []*server
	health  *health.Tracker
	queue   *queue.Queue[*call]
	lengths *length.Estimator
	retries *retry.Budget
	hedges  *retry.Budget
	backoff retry.Backoff
	// suspects are the waiting calls that must run alone on a server, ordered by
	// tier and target.
	suspects []*call
	// attemptsByFingerprint counts the running attempts of each request.
	attemptsByFingerprint map[uint64]int
	// completed holds the fingerprints of requests that recently completed.
	completed *recentSet
	// lastGrantedTier is the tier of the call that was assigned a slot last.
	lastGrantedTier int
	// lastCallAt is the time of the last call of each class.
	lastCallAt map[string]time.Time
	// queuedTokens is the expected number of tokens of the queued calls of each
	// class.
	queuedTokens map[string]float64
	// medianLengths caches the median answer length of each class.
	medianLengths map[string]float64
	// demandByTier is the rate of incoming work of each tier.
	demandByTier map[int]*demand
	// recheckTimer runs dispatch again when the passing of time alone may have
	// made queued work eligible; nil if not running.
	recheckTimer *time.Timer
	sequence     uint64
	stats        Stats
	closed       bool
}

// Stats holds counters since the cell was created.
type Stats struct {
	// Calls counts calls to Serve, Completed those that returned a complete
	// answer.
	Calls     int
	Completed int
	// Dispatched counts attempts.
	Dispatched int
	Shed       int
	Preempted  int
	Hedged     int
	// HedgesWon counts hedges that produced the first token.
	HedgesWon int
	// Resumed counts attempts that replaced a failed one.
	Resumed int
	Refused int
	Stalled int
	Crashed int
	// Unknown counts calls that ended with kind Unknown because they may have
	// run.
	Unknown int
	Poison  int
	Probed  int
	// Tokens counts delivered tokens, Wasted those generated but not delivered.
	Tokens int
	Wasted int
}

// New returns a cell with the given options.
func New(options Options) *Cell {
	options = withDefaults(options)
	cell := &Cell{
		options: options,
		health:  health.New(options.Health),
		lengths: length.New(length.Options{}),
		retries: retry.New(retry.Options{
			Share: options.RetryShare, MaxBalance: retry.DefaultMaxBalance, RefillPerSecond: retry.DefaultRefillPerSecond,
		}),
		hedges:                retry.New(retry.Options{Share: options.HedgeShare, MaxBalance: hedgeReserve}),
		backoff:               retry.Backoff{BaseDelay: retry.DefaultBaseDelay, MaxDelay: retry.DefaultMaxDelay, Random: options.Random},
		attemptsByFingerprint: make(map[uint64]int),
		completed:             newRecentSet(completedCapacity),
		lastCallAt:            make(map[string]time.Time),
		queuedTokens:          make(map[string]float64),
		medianLengths:         make(map[string]float64),
		demandByTier:          make(map[int]*demand),
	}
	cell.queue = queue.New[*call](cell.queueOptions())
	cell.Update(options.Servers)
	return cell
}

// queueOptions returns the queue's options. With the minimum share disabled,
// every class gets a negligible share that never entitles it to a dispatch.
func (cell *Cell) queueOptions() queue.Options {
	options := queue.Options{Capacity: cell.options.Capacity, MinimumShares: cell.options.MinimumShares}
	if cell.options.Switches.DisableMinimumShare {
		options.MinimumShares = nil
		options.DefaultShare = 1e-12
	}
	return options
}

// Update replaces the list of backend servers. A server that is no longer
// listed finishes its running calls and gets no new ones.
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
	for _, config := range servers {
		entry, found := known[config.Name]
		if !found || entry.Address != config.Address {
			entry = &server{cachedPrefixes: newRecentSet(cachedPrefixCapacity), Server: Server{Name: config.Name}}
		}
		entry.applyConfig(config)
		updated = append(updated, entry)
		names = append(names, config.Name)
	}
	cell.servers = updated
	// What is known of a server holds for no other one with its name.
	cell.health.SetServers(slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return known[name] != nil && !slices.Contains(updated, known[name])
	}))
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

// ReportLoad processes a load report of a backend server.
func (cell *Cell) ReportLoad(server string, load health.Load) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.health.Report(server, load)
	cell.dispatch()
}

// ApplyCacheEvents updates the set of prompt prefixes that a backend server is
// believed to have cached. The set is a hint for server selection.
func (cell *Cell) ApplyCacheEvents(name string, stored, dropped []uint64) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	for _, server := range cell.servers {
		if server.Name != name {
			continue
		}
		for _, prefix := range stored {
			server.cachedPrefixes.add(prefix)
		}
		for _, prefix := range dropped {
			server.cachedPrefixes.remove(prefix)
		}
	}
}

// Close ends calls that were never run with kind Closed, so that their caller
// can send them to the cell's new owner. Calls that were dispatched continue to
// their end.
func (cell *Cell) Close() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if cell.closed {
		return
	}
	cell.closed = true
	handedBack := 0
	for _, item := range cell.queue.Drain() {
		call := item.Value
		cell.recordDequeued(call)
		if call.neverRan() {
			call.decisions <- decision{err: closedError()}
			handedBack++
			continue
		}
		// The call has already run, so it finishes here.
		cell.requeue(call)
	}
	for _, call := range slices.Clone(cell.suspects) {
		if call.neverRan() {
			cell.removeSuspect(call)
			call.decisions <- decision{err: closedError()}
			handedBack++
		}
	}
	cell.log(event.CellClosed(), logrus.Fields{"handed_back": handedBack, "queued": cell.queue.Len()})
}

// Summary returns the cell's current load.
func (cell *Cell) Summary() Summary {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	now := time.Now()
	summary := Summary{Cell: cell.options.Name, Queued: cell.queue.Len() + len(cell.suspects), At: now}
	for _, server := range cell.servers {
		slots := cell.allowedSlots(server)
		summary.Slots += slots
		if server.schedulable() {
			summary.Free += max(0, slots-len(server.attempts))
		}
	}
	summary.OnProbation = summary.Slots == 0 && slices.ContainsFunc(cell.servers, cell.mayProbe)
	for index := range summary.WaitMs {
		wait := unavailableWait
		if summary.Slots > 0 {
			wait = cell.estimateWait(index+1, now.Add(time.Hour), "")
		}
		summary.WaitMs[index] = uint32(min(wait.Milliseconds(), 1<<31))
	}
	return summary
}

// Running returns the number of occupied slots.
func (cell *Cell) Running() int {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	running, _ := cell.slotReleaseRate(time.Now())
	return running
}

// Stats returns a copy of the counters.
func (cell *Cell) Stats() Stats {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	return cell.stats
}

// WithdrawSuspects cancels running attempts of requests that have become
// suspects. The daemon calls it after merging crash records from other hosts.
func (cell *Cell) WithdrawSuspects() {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.withdrawSuspects()
}

// withdrawSuspects implements WithdrawSuspects. The caller must hold the mutex.
func (cell *Cell) withdrawSuspects() {
	for _, server := range cell.servers {
		for _, attempt := range server.attempts {
			request := &attempt.call.request
			verdict := cell.poisonVerdict(request)
			if verdict == poison.Shared || verdict == poison.Exclusive && attempt.isolated {
				continue
			}
			if attempt.cancelling || !request.Idempotent {
				continue
			}
			attempt.cancelling = true
			attempt.cancel(errWithdrawn)
			cell.log(event.CellWithdrawn(), attempt.fields())
		}
	}
}

// log writes an event with the name of the cell. The mutex may be held.
func (cell *Cell) log(event event.Event, fields logrus.Fields) {
	if !cell.options.Logger.Enabled(event) {
		return
	}
	fields["cell"] = cell.options.Name
	cell.options.Logger.Log(event, fields)
}
