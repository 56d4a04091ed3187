package member

import (
	"math/rand/v2"
	"time"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/host"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Invalid reports a missing or out-of-range option.
const Invalid ErrorKind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[ErrorKind]

// Timings and sizes of the protocol. A dead host is detected within heartbeatPeriod +
// ackTimeout + indirectTimeout + confirmedTimeout = 1.9 s, which leaves 1.1 s of the 3 s
// bound for dissemination.
const (
	// tickPeriod is the interval at which Run checks the timers.
	tickPeriod = 100 * time.Millisecond
	// heartbeatPeriod is the interval between ping rounds in the own failure domain.
	heartbeatPeriod = 500 * time.Millisecond
	// remotePeriod is the interval between a relay's ping rounds to other domains.
	remotePeriod = time.Second
	// rejoinPeriod is the interval between a relay's pings to dead hosts and seeds.
	rejoinPeriod = 2 * time.Second
	// ackTimeout is the time to wait for a direct ack before indirect pings.
	ackTimeout = 200 * time.Millisecond
	// indirectTimeout is the time to wait for indirect pings before suspicion.
	indirectTimeout = 300 * time.Millisecond
	// confirmedTimeout is the suspicion timeout if at least requiredAccusers hosts agree.
	confirmedTimeout = 900 * time.Millisecond
	// singleObserverTimeout is the suspicion timeout if the failure domain has no second
	// host that could confirm the suspicion.
	singleObserverTimeout = 1400 * time.Millisecond
	// suspectPingPeriod is the interval between pings of a suspected host.
	suspectPingPeriod = 300 * time.Millisecond
	// unconfirmedTimeout is the timeout of an unconfirmed suspicion. It prevents a host
	// with network problems of its own from declaring the others dead.
	unconfirmedTimeout = 5 * time.Second
	// syncPeriod is the minimum interval between two syncs started by one host.
	syncPeriod = 2 * time.Second
	// pauseThreshold is the time without a tick after which a host assumes that it was
	// paused. Other hosts begin to suspect it earlier.
	pauseThreshold = 1500 * time.Millisecond
	// recentContactPeriod is how long a direct message from a host outweighs a report by
	// others that it is dead.
	recentContactPeriod = 5 * time.Second
	// disseminationPeriod is how long a state change, such as a death, is passed on;
	// afterwards only the record or tombstone remains. A region that was partitioned does
	// not hear of its own death from the other side.
	disseminationPeriod = 20 * time.Second
	// tombstonePeriod is how long a dead host's record is kept so that a stale record
	// does not revive the host. It is longer than a network partition of one hour.
	tombstonePeriod = 2 * time.Hour
	// hostListLag is the maximum lag of the platform's host list: a "leaving" entry is
	// not applied to a process that started within this time.
	hostListLag = 30 * time.Second

	// remoteFanout is the number of other domains that a relay pings per round.
	remoteFanout = 2
	// domainProbeFanout is the number of additional hosts that a relay probes in a domain
	// whose relays do not answer, so that the loss of the whole domain is detected at
	// once.
	domainProbeFanout = 4
	// pingRequests is the number of hosts asked to ping an unresponsive host.
	pingRequests = 3
	// requiredAccusers is the number of accusers that shortens the suspicion timeout.
	requiredAccusers = 2
	// accuserLimit is the maximum number of accusers kept per record.
	accuserLimit = 4
	// relayCount is the number of relays per failure domain.
	relayCount = 2
	// deltasPerMessage is the maximum number of queued updates selected for a message.
	deltasPerMessage = 10
	// recordsPerMessage is the maximum number of records in a Records message.
	recordsPerMessage = 40
	// conflictsPerTick is the maximum number of conflicting hosts probed per tick.
	conflictsPerTick = 4
	// hostLimit is the maximum size of the host table, six times the target fleet.
	hostLimit = 2048
	// defaultFanout is the default of Options.Fanout.
	defaultFanout = 3
)

// Options configure a Member.
type Options struct {
	// Self is this host. A zero incarnation is replaced by the start time in
	// milliseconds, so that each restart has a higher one.
	Self host.Host
	// Seeds are the hosts to contact first. A seed without a name is contacted by its
	// address.
	Seeds []host.Host
	// Send sends a message without blocking. Messages may be lost.
	Send func(to host.Host, message Message)
	// Random is the source of random choices.
	Random *rand.Rand
	// Log receives the events. If nil, they are discarded.
	Log *event.Logger
	// Fanout is the number of pings per round in the failure domain. If 0, it is 3.
	Fanout int
	// Applied returns the applied generation and the document's digest that are sent with
	// each message. If nil, neither is sent.
	Applied func() (generation uint64, digest string)
	// Extra returns the payload of a ping to a host of the own failure domain. If nil,
	// there is no payload.
	Extra func(to host.Host) []byte
	// OnMessage is called with each message from a known host after the member has
	// processed it, if not nil. It may call the Member.
	OnMessage func(from host.Host, message Message)
	// OnResume is called with the length of a detected pause of this host, if not nil.
	OnResume func(gap time.Duration)
}

// validate checks the options and returns them with defaults filled in.
func (options Options) validate() (Options, error) {
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
