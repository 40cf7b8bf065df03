// Package errkind defines the closed set of error kinds and the table that maps each kind to its
// HTTP status, its exit code, what is known about execution, and whether a retry makes sense.
//
// Every refusal or failure that a caller sees carries exactly one Kind. Only this table translates
// a kind: no other package chooses a status code or decides whether a caller may retry.
package errkind

import "net/http"

// Kind identifies one class of failure. The zero value OK means success.
type Kind uint8

// All kinds. New kinds are appended, because the values are sent between processes of different
// versions.
const (
	OK Kind = iota
	InvalidRequest
	Unauthorized
	Forbidden
	NotFound
	KeyConflict
	ConfigConflict
	TooLarge
	Infeasible
	QuotaExceeded
	Overloaded
	StoreUnavailable
	DeadlineTooShort
	Draining
	Canceled
	CanceledUnstored
	TaskFailed
	FateUnknown
	DeadlineExceeded
	Fenced
	Internal
	kindCount
)

// Ran is what is known about the execution of work that was refused or failed.
type Ran uint8

// Values of Ran.
const (
	// NotRun means that certainly no backend server received the work.
	NotRun Ran = iota
	// DidRun means that the work ran and ended.
	DidRun
	// MaybeRan means that the work may have run, in part or in full.
	MaybeRan
)

var ranNames = [...]string{NotRun: "not-run", DidRun: "ran", MaybeRan: "unknown"}

// String returns the published name of r.
func (r Ran) String() string { return ranNames[r] }

// Properties are what the table holds for one kind.
type Properties struct {
	// Name is the published name of the kind; it never changes.
	Name string
	// Status is the HTTP status code of an answer with this kind.
	Status int
	// ExitCode is the exit code of a command that ends with this kind.
	ExitCode int
	// Ran is what a caller may conclude about the execution of its work.
	Ran Ran
	// Retry reports whether the same request, unchanged, may succeed later.
	Retry bool
	// Title is a short human-readable summary, the member "title" of RFC 9457.
	Title string
}

var properties = [kindCount]Properties{
	OK:               {"ok", http.StatusOK, 0, DidRun, false, "Completed"},
	InvalidRequest:   {"invalid-request", http.StatusBadRequest, 2, NotRun, false, "The request is not valid"},
	Unauthorized:     {"unauthorized", http.StatusUnauthorized, 3, NotRun, false, "The credential is missing, wrong or expired"},
	Forbidden:        {"forbidden", http.StatusForbidden, 3, NotRun, false, "The credential does not permit this"},
	NotFound:         {"not-found", http.StatusNotFound, 4, NotRun, false, "No such resource"},
	KeyConflict:      {"key-conflict", http.StatusConflict, 5, NotRun, false, "The idempotency key was used with another request"},
	ConfigConflict:   {"config-conflict", http.StatusPreconditionFailed, 5, NotRun, false, "Another change of the document won"},
	TooLarge:         {"too-large", http.StatusRequestEntityTooLarge, 2, NotRun, false, "The request exceeds a limit"},
	Infeasible:       {"infeasible", http.StatusUnprocessableEntity, 6, NotRun, false, "No worker can ever run this"},
	QuotaExceeded:    {"quota-exceeded", http.StatusTooManyRequests, 7, NotRun, true, "The team is over its quota"},
	Overloaded:       {"overloaded", http.StatusServiceUnavailable, 7, NotRun, true, "No capacity in time"},
	StoreUnavailable: {"store-unavailable", http.StatusServiceUnavailable, 7, NotRun, true, "The platform's table service does not answer"},
	DeadlineTooShort: {"deadline-too-short", http.StatusGatewayTimeout, 8, NotRun, true, "The deadline passed or cannot be met"},
	Draining:         {"draining", http.StatusServiceUnavailable, 7, NotRun, true, "This instance is shutting down"},
	Canceled:         {"canceled", http.StatusConflict, 9, MaybeRan, false, "The job was canceled"},
	CanceledUnstored: {"canceled-unstored", http.StatusServiceUnavailable, 9, NotRun, false, "The job was canceled before it was stored"},
	TaskFailed:       {"task-failed", http.StatusBadGateway, 10, DidRun, false, "A task ran and failed"},
	FateUnknown:      {"fate-unknown", http.StatusBadGateway, 11, MaybeRan, false, "A task may have run; its result is lost"},
	DeadlineExceeded: {"deadline-exceeded", http.StatusGatewayTimeout, 11, MaybeRan, false, "The deadline passed while work was in flight"},
	Fenced:           {"fenced", http.StatusServiceUnavailable, 7, NotRun, true, "Another instance took the job over"},
	Internal:         {"internal", http.StatusInternalServerError, 12, MaybeRan, false, "Internal error"},
}

// Of returns the properties of k; a value that is no kind has those of Internal.
func Of(k Kind) Properties {
	if k >= kindCount {
		return properties[Internal]
	}
	return properties[k]
}

// String returns the published name of k.
func (k Kind) String() string { return Of(k).Name }

// All returns every kind in the order of its values.
func All() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := OK; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Parse returns the kind with a published name; Internal and false if there is none.
func Parse(name string) (Kind, bool) {
	for k := OK; k < kindCount; k++ {
		if properties[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}
