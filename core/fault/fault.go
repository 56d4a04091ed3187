// Package fault defines the structure of the error types of all packages: the failed
// operation, a kind that callers can test for, and the input field that is invalid.
package fault

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Error is an error of a package. K is the type of that package's error kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, as "package.function".
	Op string
	// Kind classifies the failure; callers test for it.
	Kind K
	// Field names the invalid input field. It is empty if there is none.
	Field string
	// Detail is a human-readable explanation.
	Detail string
	// Err is the wrapped error, or nil if there is none.
	Err error
}

// New returns an error that wraps no other error.
func New[K ~string](op string, kind K, detail string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Detail: detail}
}

// Wrap returns an error that wraps err, with a stack trace of the call to Wrap.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.WithStackDepth(err, 1)}
}

// Field returns an error for an invalid input field.
func Field[K ~string](op string, kind K, field, detail string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Field: field, Detail: detail}
}

// Error returns "op: kind: field: detail: cause" without the empty parts.
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

// Unwrap returns the wrapped error.
func (err *Error[K]) Unwrap() error { return err.Err }

// Is reports whether any error in the chain of err has the given kind.
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

// KindOf returns the kind of the outermost error in the chain of err whose kind is of
// type K, or the empty kind if there is none.
func KindOf[K ~string](err error) K {
	var found *Error[K]
	if errors.As(err, &found) {
		return found.Kind
	}
	return ""
}
