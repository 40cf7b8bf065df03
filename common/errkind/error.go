package errkind

import (
	"errors"
	"time"
)

// Error is a typed failure that may be shown to a caller or an operator.
type Error struct {
	// Kind is the row of the table that this error answers with.
	Kind Kind
	// Field is the path of the offending input, such as "tasks[3].selector"; may be empty.
	Field string
	// Detail is one sentence that names the value and the limit.
	Detail string
	// RetryAfter tells the caller when to come back; zero when unknown.
	RetryAfter time.Duration
}

// New returns an Error of kind k with the given detail.
func New(k Kind, detail string) *Error { return &Error{Kind: k, Detail: detail} }

// NewField returns an Error of kind k about one field of the input.
func NewField(k Kind, field, detail string) *Error {
	return &Error{Kind: k, Field: field, Detail: detail}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Kind.String() + ": " + e.Detail
	}
	return e.Kind.String() + ": " + e.Field + ": " + e.Detail
}

// From returns the Error inside err, or an Internal one that wraps its text.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}
