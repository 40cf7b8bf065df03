package errkind

import (
	"errors"
	"time"
)

// Error is a typed failure that may be shown to a caller or an operator.
type Error struct {
	// Kind selects the status, exit code and title of the answer.
	Kind Kind
	// Field is the path of the offending input, such as "tasks[3].selector"; may be empty.
	Field string
	// Detail is one sentence; it names the offending value and the limit, if there are any.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; 0 if unknown.
	RetryAfter time.Duration
}

// New returns an Error of kind k with the given detail.
func New(k Kind, detail string) *Error { return &Error{Kind: k, Detail: detail} }

// NewField returns an Error of kind k about one field of the input, given by its path.
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

// From returns the Error that err wraps, or an Internal one with the text of err as its detail.
// err must not be nil.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}
