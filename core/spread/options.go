package spread

import (
	"math/rand/v2"
	"time"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
)

// Kind classifies the errors of this package.
type Kind string

// The error kinds.
const (
	// Invalid: an option or a received document is not usable.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Policy determines which hosts repair a host that is behind.
type Policy string

// The policies. Symmetric is the default: over six changes each at 340 hosts
// and message loss of 1, 5 and 20%, it reached the last host 15 to 39% sooner
// than RelayOnly with 1 to 6% fewer messages. bench.TestSpread compares them.
const (
	// Symmetric: each host that sees another behind repairs it after a random
	// delay, unless it learns first that another host did.
	Symmetric Policy = "symmetric"
	// RelayOnly: only the relays of the failure domain send repairs: the first
	// relay immediately, the others as standbys.
	RelayOnly Policy = "relay_only"
)

const (
	// A repair is delayed by minRepairDelay plus a random part of
	// maxRepairJitter. Both are long compared with the latency between hosts
	// (1.5 ms), so that a status report cancels the repairs of other hosts, and
	// short compared with the 7 s bound on dissemination.
	minRepairDelay  = 150 * time.Millisecond
	maxRepairJitter = 250 * time.Millisecond
	// expectedRepairers is the expected number of hosts, out of all that see a
	// host behind, that schedule its repair in addition to the relays.
	expectedRepairers = 3
	// initialRepairTimeout is the time without confirmation after which the
	// same host is repaired again. After attemptsBeforeBackoff further attempts
	// it doubles up to maxRepairTimeout.
	initialRepairTimeout  = 600 * time.Millisecond
	attemptsBeforeBackoff = 3
	maxRepairTimeout      = 30 * time.Second
	// documentRetryInterval is the time after which a missing document is
	// requested from another host.
	documentRetryInterval = 200 * time.Millisecond
	// maxInlineBytes is the maximum compressed size of a document that is sent
	// with the repair. Up to this size a duplicate copy costs less than another
	// round trip.
	maxInlineBytes = 4 << 10
	// maxDocumentBytes limits the decompressed size of a received document. It
	// is the maximum value size of the key-value service.
	maxDocumentBytes = 1 << 20
	// maxCachedDocuments is the number of documents kept, so that a recall that
	// falls back to an earlier document finds it in the cache.
	maxCachedDocuments = 4
	// isolationTimeout is the time without contact with any peer or the
	// key-value service after which a host counts as isolated.
	isolationTimeout = 60 * time.Second
	// statusQueryInterval, statusQueryBatch and statusQueryRetry limit the rate
	// of the status requests sent for Confirmed: 160 hosts per second, each at
	// most once per second.
	statusQueryInterval = 250 * time.Millisecond
	statusQueryBatch    = 40
	statusQueryRetry    = time.Second
	// statusQueryDuration is how long hosts are queried after the last call of
	// Confirmed.
	statusQueryDuration = 5 * time.Second
	// maxIdleWait is the longest time that Run waits between two calls of Tick.
	maxIdleWait = time.Second
)

// Options are the dependencies of a Distributor.
type Options struct {
	// Self returns this host with its current incarnation.
	Self func() host.Host
	// Hosts returns all known hosts with their states.
	Hosts func() []host.Host
	// Relays returns the names of the relays of a failure domain.
	Relays func(failureDomain string) []string
	// Send sends a message without blocking. Messages may be lost.
	Send func(to host.Host, message Message)
	// Apply puts heads and their document in force. The document is nil if
	// production is empty. It is called at most once per generation, with
	// increasing generations, never concurrently. An error rejects the
	// generation on this host.
	Apply func(heads heads.Heads, document []byte) error
	// Random is the source of random delays.
	Random *rand.Rand
	// Policy determines who sends repairs. The default is Symmetric.
	Policy Policy
	// Log receives events. If nil, events are discarded.
	Log *event.Logger
}

// validate returns the options with defaults filled in, or an Invalid error
// naming the first missing option.
func (options Options) validate() (Options, error) {
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
