package duty

import (
	"maps"
	"sync"
	"time"

	"primrosegw/core/fault"
)

const (
	// maxFailedCalls is the number of calls in a row without an answer after which a host gives the
	// duty up: it may be cut off from the platform's interface alone.
	maxFailedCalls = 3
	// resignedFor is how long a host that has given a duty up leaves it to others.
	resignedFor = 10 * time.Second
)

// Lease is a lease that one host at a time holds.
type Lease interface {
	// Current returns the fencing token and how much longer the lease is safely held; 0: it is not.
	Current() (fence int64, remaining time.Duration)
}

// Options configure a Holder.
type Options struct {
	Lease Lease
	// Host is the name of the local host.
	Host string
	// Settle is the time from the acquisition of the duty to its first call. A duty that goes from one
	// host to another and back is used by the first one again after twice this time at the earliest.
	Settle time.Duration
	// CallTimeout is the longest time that a call takes. None begins unless the lease is safe for longer.
	CallTimeout time.Duration
}

// Holder decides whether the local host may make a call of a duty now. It is safe for concurrent use.
type Holder struct {
	options Options
	mutex   sync.Mutex
	// fence is the token of the current term, and usableFrom the time of its first call.
	fence      int64
	usableFrom time.Time
	// highest is the highest token that any host is known to have had, and lastUsed the one that the local
	// host used last. before is the one that it used last in an earlier term, and others holds the tokens
	// above it that are not known as its own.
	highest       int64
	lastUsed      int64
	before        int64
	others        map[int64]bool
	failed        int
	resignedUntil time.Time
}

// NewHolder returns a Holder.
func NewHolder(options Options) *Holder {
	return &Holder{options: options, others: make(map[int64]bool)}
}

// Permit returns what a call is made under, and false if the local host must make none now. It is to
// be asked right before each call, and regularly, as a term counts from when it is first seen.
func (holder *Holder) Permit(now time.Time) (Permit, bool) {
	fence, remaining := holder.options.Lease.Current()
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if fence == 0 {
		holder.fence = 0
		return Permit{}, false
	}
	if fence != holder.fence {
		holder.beginTerm(fence, now)
	}
	if fence < holder.highest || now.Before(holder.usableFrom) || remaining <= holder.options.CallTimeout || now.Before(holder.resignedUntil) {
		return Permit{}, false
	}
	holder.highest, holder.lastUsed = max(holder.highest, fence), fence
	return Permit{Holder: holder.options.Host, Fence: fence, Continues: holder.before != 0 && len(holder.others) == 0}, true
}

// beginTerm begins a term with a token. The mutex is held.
func (holder *Holder) beginTerm(fence int64, now time.Time) {
	holder.fence, holder.usableFrom, holder.failed = fence, now.Add(holder.options.Settle), 0
	holder.before = holder.lastUsed
	// The store's changes may have told of the token before the lease did.
	maps.DeleteFunc(holder.others, func(other int64, _ bool) bool { return other == fence || other <= holder.before })
}

// ObserveFence records a token that a host has had.
func (holder *Holder) ObserveFence(fence int64) {
	own, _ := holder.options.Lease.Current()
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.highest = max(holder.highest, fence)
	// A host that has used no token has no term that the next one could continue.
	if holder.lastUsed != 0 && fence > holder.lastUsed && fence != own && fence != holder.fence {
		holder.others[fence] = true
	}
}

// HighestFence returns the highest token that any host is known to have had.
func (holder *Holder) HighestFence() int64 {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.highest
}

// WasLast reports whether the local host was the last one to use the duty, as far as it knows.
func (holder *Holder) WasLast() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.lastUsed != 0 && holder.lastUsed >= holder.highest
}

// RecordCall records the outcome of a call. A call without an answer may show that this host is cut off;
// one that was answered does not.
func (holder *Holder) RecordCall(err error, now time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if !fault.Is(err, Uncertain) {
		holder.failed = 0
		return
	}
	holder.failed++
	if holder.failed >= maxFailedCalls {
		holder.failed, holder.resignedUntil = 0, now.Add(resignedFor)
	}
}

// HasResigned reports whether the local host leaves the duty to others for a while.
func (holder *Holder) HasResigned(now time.Time) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return now.Before(holder.resignedUntil)
}

// Superseded reports whether another host has had a higher token than this one has now.
func (holder *Holder) Superseded() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.fence != 0 && holder.fence < holder.highest
}
