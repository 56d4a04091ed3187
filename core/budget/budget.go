// Package budget limits the bytes that a process holds for others at one time, and shares them
// fairly between the parties on whose behalf they are held.
package budget

import (
	"sync"

	"primrosegw/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors: why bytes were refused.
const (
	// Full: the budget is used up.
	Full Kind = "full"
	// ServerShare, WorkspaceShare and HeadsShare: the party already has its share.
	ServerShare    Kind = "server_share"
	HeadsShare     Kind = "heads_share"
	WorkspaceShare Kind = "workspace_share"
	// Ended: the hold was released before.
	Ended Kind = "ended"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// serverFactor and workspaceFactor are the multiples of the free bytes up to which a party may
	// hold bytes. One server alone can take half of the budget, as can heads, and one workspace two thirds.
	serverFactor    = 1
	workspaceFactor = 2
	// smallHold is the number of bytes up to which the share of the parties does not count, so that
	// small messages of a party with its share still pass.
	smallHold = 4 << 10
)

// Party is a backend server or a workspace on whose behalf bytes are held, or the heads of requests
// whose workspace is not known yet.
type Party struct {
	kind Kind
	name string
}

// Server returns the party of a backend server.
func Server(name string) Party { return Party{kind: ServerShare, name: name} }

// Heads returns the party of the heads of requests.
func Heads() Party { return Party{kind: HeadsShare} }

// Workspace returns the party of a workspace.
func Workspace(name string) Party { return Party{kind: WorkspaceShare, name: name} }

/*
Budget limits the bytes that are held at one time. It is safe for concurrent use.

A party may hold bytes up to a multiple of those that are free (the dynamic thresholds of Choudhury
and Hahne, 1998). A party alone can take a large part, but never all: as the free bytes become fewer,
the parties that hold the most are refused first, and room stays for the others.
*/
type Budget struct {
	total int64

	mutex   sync.Mutex
	used    int64
	held    map[Party]int64
	refused map[Kind]int
}

// New returns a budget of so many bytes.
func New(total int64) *Budget {
	return &Budget{total: total, held: make(map[Party]int64), refused: make(map[Kind]int)}
}

// Total returns the size of the budget in bytes.
func (budget *Budget) Total() int64 { return budget.total }

// Used returns the number of bytes that are held.
func (budget *Budget) Used() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.used
}

// TakeRefused returns the number of refusals since its last call, by kind.
func (budget *Budget) TakeRefused() map[Kind]int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	refused := budget.refused
	budget.refused = make(map[Kind]int)
	return refused
}

// Open returns a hold without bytes on behalf of the parties. Its owner must release it.
func (budget *Budget) Open(parties ...Party) *Hold { return &Hold{budget: budget, parties: parties} }

// Hold is bytes that are held for one message. It is safe for concurrent use.
type Hold struct {
	budget  *Budget
	parties []Party
	// bytes and ended are guarded by the budget's mutex.
	bytes int64
	ended bool
}

// Take adds bytes to the hold. If it fails, with Full, a share or Ended, the hold is as before.
func (hold *Hold) Take(bytes int64) error {
	budget := hold.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	kind, refused := hold.refuses(bytes)
	if refused {
		budget.refused[kind]++
		return fault.New("budget.take", kind, "")
	}
	hold.add(bytes)
	return nil
}

// refuses reports whether bytes must not be added, and why. The mutex is held.
func (hold *Hold) refuses(bytes int64) (Kind, bool) {
	budget := hold.budget
	free := budget.total - budget.used
	switch {
	case hold.ended:
		return Ended, true
	case bytes > free:
		return Full, true
	case hold.bytes+bytes <= smallHold:
		return "", false
	}
	for _, party := range hold.parties {
		factor := int64(serverFactor)
		if party.kind == WorkspaceShare {
			factor = workspaceFactor
		}
		if budget.held[party]+bytes > factor*(free-bytes) {
			return party.kind, true
		}
	}
	return "", false
}

// Give gives bytes of the hold back, at most all of them.
func (hold *Hold) Give(bytes int64) {
	hold.budget.mutex.Lock()
	defer hold.budget.mutex.Unlock()
	hold.add(-min(bytes, hold.bytes))
}

// Release gives all bytes of the hold back and ends it. Further calls have no effect.
func (hold *Hold) Release() {
	hold.budget.mutex.Lock()
	defer hold.budget.mutex.Unlock()
	hold.add(-hold.bytes)
	hold.ended = true
}

// add changes the number of bytes. The mutex is held.
func (hold *Hold) add(bytes int64) {
	budget := hold.budget
	hold.bytes += bytes
	budget.used += bytes
	for _, party := range hold.parties {
		budget.held[party] += bytes
		if budget.held[party] == 0 {
			delete(budget.held, party)
		}
	}
}
