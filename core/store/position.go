package store

import "cmp"

// Position is a point in the history of the service. A service that was restored from a
// copy begins a new era, in which it gives revisions out again, so revisions alone are
// comparable only within an era.
type Position struct {
	// Era counts the restorations of the service.
	Era int64
	// Revision is the number of a change within the era, 0 before the first one.
	Revision int64
}

// Compare returns a negative number if position is before other, 0 if they are equal, and
// a positive number otherwise.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Revision, other.Revision))
}

// Before reports whether position is before other.
func (position Position) Before(other Position) bool { return position.Compare(other) < 0 }
