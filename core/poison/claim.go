package poison

import (
	"context"
	"time"
)

// Claims grants the exclusive right to run a suspect request. At most one holder
// has it at any time: otherwise each copy that a client sends through another
// host could crash one more engine. The daemon implements it with calls to the
// host that owns the fingerprint.
type Claims interface {
	// Claim requests the right to run a request until the given time. It doesn't
	// wait for another holder to finish. The current holder can claim again.
	Claim(ctx context.Context, fingerprint uint64, holder string, until time.Time) (Grant, error)
	// Release returns the claim. The result of the run is recorded before another
	// holder can get the claim.
	Release(ctx context.Context, fingerprint uint64, holder string, result RunResult) error
}

// Grant is the response to a claim: whether it was granted, and the current
// verdict on the request.
type Grant struct {
	Granted bool    `cbor:"granted"`
	Verdict Verdict `cbor:"verdict"`
}

// RunResult is the result of running a suspect. The zero value means that the run
// was inconclusive.
type RunResult struct {
	// Crash is the ID of the engine crash, or 0 if there was none.
	Crash uint64 `cbor:"crash"`
	// Completed is set if the request ran to completion.
	Completed bool `cbor:"completed"`
}

// claim records which holder may run a suspect, and until when.
type claim struct {
	holder string
	until  time.Time
}

// Claim implements Claims for the fingerprints that this host owns. A claim
// expires on its own, so that a lost holder doesn't keep it; a live holder stops
// its run before then.
func (registry *Registry) Claim(_ context.Context, fingerprint uint64, holder string, until time.Time) (Grant, error) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	now := time.Now()
	grant := Grant{Verdict: registry.verdict(fingerprint)}
	if grant.Verdict == Refused {
		return grant, nil
	}
	held, found := registry.claims[fingerprint]
	if found && held.holder != holder && now.Before(held.until) {
		return grant, nil
	}
	if !found && !registry.ensureClaimCapacity(now) {
		return grant, nil
	}
	registry.claims[fingerprint] = claim{holder: holder, until: until}
	grant.Granted = true
	return grant, nil
}

// ensureClaimCapacity reports whether another claim can be stored. If the table is
// full, it first removes the expired claims.
func (registry *Registry) ensureClaimCapacity(now time.Time) bool {
	if len(registry.claims) < registry.capacity {
		return true
	}
	for fingerprint, claim := range registry.claims {
		if !now.Before(claim.until) {
			delete(registry.claims, fingerprint)
		}
	}
	return len(registry.claims) < registry.capacity
}

// Release implements Claims.
func (registry *Registry) Release(_ context.Context, fingerprint uint64, holder string, result RunResult) error {
	if result.Crash != 0 {
		registry.Crash(fingerprint, result.Crash)
	}
	if result.Completed {
		registry.Clear(fingerprint)
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.claims[fingerprint].holder == holder {
		delete(registry.claims, fingerprint)
	}
	return nil
}
