// Package duty holds what the hosts owe the platform as a whole: calls that one host at a time
// makes for all of them, under a fencing token that rises whenever another host takes over.
package duty

import "primrosegw/core/fault"

// Kind classifies the errors of calls to the platform.
type Kind string

// The kinds of errors of calls to the platform.
const (
	// Unavailable: the call was not accepted and has had no effect.
	Unavailable Kind = "unavailable"
	// Uncertain: the call may have taken effect, or may still do so.
	Uncertain Kind = "uncertain"
	// Exhausted: the platform has no more servers of the kind that was ordered.
	Exhausted Kind = "exhausted"
	// Refused: the platform rejected the call for good.
	Refused Kind = "refused"
)

// Error is the error type of this package and of the clients of the platform's interface.
type Error = fault.Error[Kind]

// Permit is what a call is made under.
type Permit struct {
	// Holder is the name of the host that holds the duty.
	Holder string
	// Fence is the fencing token.
	Fence int64
	// Continues: the local host has held the duty before, and no other host since.
	Continues bool
}
