package member

import (
	"math/rand/v2"
	"time"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/host"
)

// ErrorKind is the sort of a membership error.
type ErrorKind string

// Invalid says that an option is missing or out of range.
const Invalid ErrorKind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[ErrorKind]

// Timings and sizes of the protocol. A dead host is found within
// heartbeatPeriod + ackTimeout + checkTimeout + suspicionShort = 1.9 s, which
// leaves 1.1 s of the bound of 3 s for the report to spread.
const (
	// tickPeriod is how often Run looks at timers.
	tickPeriod = 100 * time.Millisecond
	// heartbeatPeriod is the time between rounds of pings in the failure domain.
	heartbeatPeriod = 500 * time.Millisecond
	// foreignPeriod is the time between a relay's pings to other domains.
	foreignPeriod = time.Second
	// slowPeriod is the time between a relay's pings to dead hosts and seeds.
	slowPeriod = 2 * time.Second
	// ackTimeout is how long a direct ping may go unanswered.
	ackTimeout = 200 * time.Millisecond
	// checkTimeout is how long checks through other hosts may take.
	checkTimeout = 300 * time.Millisecond
	// suspicionShort is the life of a suspicion that enough hosts share.
	suspicionShort = 900 * time.Millisecond
	// suspicionSingle is the life of a suspicion where the failure domain has no
	// second host that could share it.
	suspicionSingle = 1400 * time.Millisecond
	// remindPeriod is the time between pings of a suspected host.
	remindPeriod = 300 * time.Millisecond
	// suspicionLong is the life of a suspicion that one host holds alone. It
	// keeps a host with a bad network of its own from burying the others.
	suspicionLong = 5 * time.Second
	// syncPeriod is the shortest time between two syncs of one host.
	syncPeriod = 2 * time.Second
	// pauseBound is the time without a tick after which a host takes itself for
	// paused. Others start to suspect it before that.
	pauseBound = 1500 * time.Millisecond
	// trustPeriod is how long a message straight from a host outweighs a
	// report by others that it is dead.
	trustPeriod = 5 * time.Second
	// newsPeriod is how long a death is passed on; afterwards only the
	// tombstone remains. A region that was cut off does not hear of its own
	// death from the other side.
	newsPeriod = 20 * time.Second
	// tombstonePeriod is how long a dead record is kept so that a stale record
	// doesn't bring it back. It outlasts a parting of an hour.
	tombstonePeriod = 2 * time.Hour
	// listLag is how far the platform's host list may lag: its "leaving"
	// doesn't apply to a process that started within this time.
	listLag = 30 * time.Second

	// foreignFanout is the number of other domains a relay pings per round.
	foreignFanout = 2
	// sweepFanout is the number of further hosts a relay pings in a domain
	// whose relays don't answer, so that a lost domain is noticed as a whole.
	sweepFanout = 4
	// helpers is the number of hosts asked to check a silent host.
	helpers = 3
	// confirmations is the number of hosts whose finding makes a suspicion short.
	confirmations = 2
	// accuserLimit bounds the accusers kept for a record.
	accuserLimit = 4
	// relayCount is the number of relays per failure domain.
	relayCount = 2
	// deltaLimit is the largest number of deltas on a heartbeat.
	deltaLimit = 10
	// recordLimit is the largest number of records in one Records message.
	recordLimit = 40
	// contestLimit is the number of contested hosts pinged per tick.
	contestLimit = 4
	// hostLimit bounds the table: six times the target fleet.
	hostLimit = 2048
	// defaultFanout is the number of pings per round in the failure domain.
	defaultFanout = 3
)

// Options are the dependencies of a Member.
type Options struct {
	// Self is this host. A zero incarnation becomes the start time in
	// milliseconds, so that each restart has a higher one.
	Self host.Host
	// Seeds are hosts to ask first; a seed without a name is asked by address.
	Seeds []host.Host
	// Send sends a message and doesn't block. Losses are allowed.
	Send func(to host.Host, message Message)
	// Random is the source of random choices.
	Random *rand.Rand
	// Log takes events; nil: none.
	Log *event.Logger
	// Fanout is the number of pings per round in the failure domain; 0: 3.
	Fanout int
	// Applied returns the applied generation and the document's digest that
	// ride on each message; nil: none.
	Applied func() (generation uint64, digest string)
	// Extra returns the payload of a ping to a host of the own failure domain;
	// nil: none.
	Extra func(to host.Host) []byte
	// Heard takes each message of a known host after the membership has used
	// it; nil: nobody. It may call the Member.
	Heard func(from host.Host, message Message)
	// Woke is told that this host did not run for a time; nil: nobody.
	Woke func(gap time.Duration)
}

// check returns the options with defaults filled in.
func (options Options) check() (Options, error) {
	const op = "member.new"
	switch {
	case options.Self.Name == "":
		return options, fault.Field(op, Invalid, "self.name", "is empty")
	case options.Self.FailureDomain == "":
		return options, fault.Field(op, Invalid, "self.failure_domain", "is empty")
	case options.Send == nil:
		return options, fault.Field(op, Invalid, "send", "is missing")
	case options.Random == nil:
		return options, fault.Field(op, Invalid, "random", "is missing")
	case options.Fanout < 0:
		return options, fault.Field(op, Invalid, "fanout", "is negative")
	}
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	options.Self.State = host.Alive
	if options.Fanout == 0 {
		options.Fanout = defaultFanout
	}
	if options.Log == nil {
		options.Log = event.Discard()
	}
	return options, nil
}
