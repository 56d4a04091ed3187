// Package fault holds the shape shared by the error types of all packages: an
// operation, a kind to branch on, and the field of the input that is at fault.
package fault

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Error is an error of one package. K is that package's set of kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, as "package.function".
	Op string
	// Kind says what sort of failure it was; callers branch on it.
	Kind K
	// Field names the input field at fault, empty if there is none.
	Field string
	// Detail explains the failure to a person.
	Detail string
	// Err is the cause, nil if there is none.
	Err error
}

// New returns an error without a cause.
func New[K ~string](op string, kind K, detail string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Detail: detail}
}

// Wrap returns an error with a cause. The cause keeps its stack trace.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.WithStackDepth(err, 1)}
}

// Field returns an error that names the input field at fault.
func Field[K ~string](op string, kind K, field, detail string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Field: field, Detail: detail}
}

// Error returns "op: kind: field: detail: cause", leaving out empty parts.
func (err *Error[K]) Error() string {
	parts := make([]string, 0, 5)
	for _, part := range []string{err.Op, string(err.Kind), err.Field, err.Detail} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if err.Err != nil {
		parts = append(parts, err.Err.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the cause.
func (err *Error[K]) Unwrap() error { return err.Err }

// Is reports whether any error in the chain of err is of the given kind.
func Is[K ~string](err error, kind K) bool {
	for err != nil {
		var found *Error[K]
		if !errors.As(err, &found) {
			return false
		}
		if found.Kind == kind {
			return true
		}
		err = found.Err
	}
	return false
}

// KindOf returns the kind of the outermost error of type K, or the empty kind.
func KindOf[K ~string](err error) K {
	var found *Error[K]
	if errors.As(err, &found) {
		return found.Kind
	}
	return ""
}
