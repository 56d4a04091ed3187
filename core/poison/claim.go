package poison

import (
	"context"
	"time"
)

// Claims decides which holder may run a suspect. Only one may at any time: the
// copies that a caller sends through other hosts would otherwise each cost an
// engine. A daemon backs it by calls to the fingerprint's owner host.
type Claims interface {
	// Claim asks for the right to run a request until an instant. It answers at
	// once. A holder that has the claim keeps it.
	Claim(ctx context.Context, fingerprint uint64, holder string, until time.Time) (Grant, error)
	// Release gives the claim back with what came of the run. What the run
	// showed is recorded before the next holder can get the claim.
	Release(ctx context.Context, fingerprint uint64, holder string, result Result) error
}

// Grant is the answer to a claim.
type Grant struct {
	Granted bool    `cbor:"granted"`
	Verdict Verdict `cbor:"verdict"`
}

// Result says what came of the run of a suspect; the zero value says nothing.
type Result struct {
	// Crash is the id of the engine loss, 0 if there was none.
	Crash uint64 `cbor:"crash"`
	// Completed: the request ran to its end.
	Completed bool `cbor:"completed"`
}

// claim is the right of a holder to run a suspect.
type claim struct {
	holder string
	until  time.Time
}

// Claim implements Claims for the fingerprints that this host owns. A claim
// ends by itself when its holder is lost; a holder stops its run before that.
func (registry *Registry) Claim(_ context.Context, fingerprint uint64, holder string, until time.Time) (Grant, error) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	now := time.Now()
	grant := Grant{Verdict: registry.verdict(fingerprint)}
	if grant.Verdict == Refuse {
		return grant, nil
	}
	held, found := registry.claims[fingerprint]
	if found && held.holder != holder && now.Before(held.until) {
		return grant, nil
	}
	if !found && !registry.claimable(now) {
		return grant, nil
	}
	registry.claims[fingerprint] = claim{holder: holder, until: until}
	grant.Granted = true
	return grant, nil
}

// claimable reports whether there is room for another claim.
func (registry *Registry) claimable(now time.Time) bool {
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
func (registry *Registry) Release(_ context.Context, fingerprint uint64, holder string, result Result) error {
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
