package spread

import (
	"math/rand/v2"
	"time"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
)

// Kind is the sort of a spread error.
type Kind string

// The kinds of errors.
const (
	// Invalid: an option or a received document is not usable.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Policy says who repairs a host that is behind.
type Policy string

// The policies. Symmetric is the default: over six changes each at 340 hosts and
// losses of 1, 5 and 20% it reached the last host 15 to 39% sooner than RelayOnly
// with 1 to 6% fewer messages. bench.TestSpread compares them.
const (
	// Symmetric: each host that sees another behind repairs it after a random
	// delay, unless it learns first that another did.
	Symmetric Policy = "symmetric"
	// RelayOnly: only the relays of the failure domain repair, at once.
	RelayOnly Policy = "relay_only"
)

const (
	// A repair waits for repairFloor and a random part of repairDelay. Both are
	// long against the delay between hosts (1.5 ms), so that a receipt cancels
	// the repairs of others, and short against the bound of 7 s.
	repairFloor = 150 * time.Millisecond
	repairDelay = 250 * time.Millisecond
	// repairers is the number of hosts, out of all that see a host behind, that
	// plan its repair besides the relays.
	repairers = 3
	// repairAgain is the time without a sign of success after which the same
	// host is repaired again; after steadyTries more it doubles up to
	// repairAgainMost.
	repairAgain     = 600 * time.Millisecond
	steadyTries     = 3
	repairAgainMost = 30 * time.Second
	// wantAgain is the time after which a wanted document is asked of another
	// host.
	wantAgain = 200 * time.Millisecond
	// inlineLimit is the size up to which a packed document rides on the
	// repair, in bytes: a second copy then costs less than the round trip.
	inlineLimit = 4 << 10
	// unpackedLimit bounds a received document, in bytes; it is the largest
	// value of the key-value service.
	unpackedLimit = 1 << 20
	// cacheLimit is the number of documents kept, so that a recall that falls
	// back finds the document at hand.
	cacheLimit = 4
	// isolationBound is the time without a word from any peer or the service
	// after which a host is cut off.
	isolationBound = 60 * time.Second
	// askPeriod, askBatch and askAgain pace the questions of Confirmed: 160
	// hosts a second, each at most once a second.
	askPeriod = 250 * time.Millisecond
	askBatch  = 40
	askAgain  = time.Second
	// askFor is how long hosts are asked after the last call of Confirmed.
	askFor = 5 * time.Second
	// idlePeriod is how often Run looks at its timers when nothing is due.
	idlePeriod = time.Second
)

// Options are the dependencies of a Spread.
type Options struct {
	// Self returns this host with its present incarnation.
	Self func() host.Host
	// Hosts returns all known hosts with their states.
	Hosts func() []host.Host
	// Relays returns the names of the relays of a failure domain.
	Relays func(failureDomain string) []string
	// Send sends a message and doesn't block. Losses are allowed.
	Send func(to host.Host, message Message)
	// Apply puts heads and their document in force. The document is nil if
	// production is empty. It is called at most once per generation, with
	// rising generations, never twice at the same time. An error rejects the
	// generation on this host.
	Apply func(heads heads.Heads, document []byte) error
	// Random is the source of random delays.
	Random *rand.Rand
	// Policy says who repairs; empty: Symmetric.
	Policy Policy
	// Log takes events; nil: none.
	Log *event.Logger
}

// check returns the options with defaults filled in.
func (options Options) check() (Options, error) {
	missing := ""
	switch {
	case options.Self == nil:
		missing = "self"
	case options.Hosts == nil:
		missing = "hosts"
	case options.Relays == nil:
		missing = "relays"
	case options.Send == nil:
		missing = "send"
	case options.Apply == nil:
		missing = "apply"
	case options.Random == nil:
		missing = "random"
	}
	if missing != "" {
		return options, fault.Field("spread.new", Invalid, missing, "is missing")
	}
	if options.Policy == "" {
		options.Policy = Symmetric
	}
	if options.Log == nil {
		options.Log = event.Discard()
	}
	return options, nil
}
