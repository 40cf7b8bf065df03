// Package errkind is the closed list of error kinds of peridotpick and the
// one table that maps each kind to an HTTP status, an exit code, what is known
// about execution, and whether a retry makes sense.
//
// Every refusal or failure a caller sees carries exactly one Kind. The table
// is the only place where a kind is translated; no other package chooses a
// status code or decides whether a caller may retry.
package errkind

import "net/http"

// Kind identifies one class of failure. The zero value OK means success.
type Kind uint8

// The closed list of kinds. New kinds are appended: values travel between
// processes of different versions.
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
	TaskFailed
	FateUnknown
	DeadlineExceeded
	Fenced
	Internal
	kindCount
)

// Ran states what is known about the execution of the refused or failed work.
type Ran uint8

// Values of Ran.
const (
	// NotRun is a proof: no backend server received the work.
	NotRun Ran = iota
	// DidRun means that the work ran to an end.
	DidRun
	// Unknown means that the work may have run, in part or in full.
	Unknown
)

var ranNames = [...]string{NotRun: "not-run", DidRun: "ran", Unknown: "unknown"}

// String returns the published name of r.
func (r Ran) String() string { return ranNames[r] }

// Entry is one row of the table.
type Entry struct {
	// Name is the published, stable name of the kind.
	Name string
	// Status is the HTTP status code of an answer of this kind.
	Status int
	// Exit is the exit code of a command that ends with this kind.
	Exit int
	// Ran is what a caller may conclude about execution.
	Ran Ran
	// Retry reports whether the same request may succeed later, unchanged.
	Retry bool
	// Title is the short human-readable summary (RFC 9457 "title").
	Title string
}

var table = [kindCount]Entry{
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
	Canceled:         {"canceled", http.StatusConflict, 9, Unknown, false, "The job was canceled"},
	TaskFailed:       {"task-failed", http.StatusBadGateway, 10, DidRun, false, "A task ran and failed"},
	FateUnknown:      {"fate-unknown", http.StatusBadGateway, 11, Unknown, false, "A task may have run; its result is lost"},
	DeadlineExceeded: {"deadline-exceeded", http.StatusGatewayTimeout, 11, Unknown, false, "The deadline passed while work was in flight"},
	Fenced:           {"fenced", http.StatusServiceUnavailable, 7, NotRun, true, "Another instance took the job over"},
	Internal:         {"internal", http.StatusInternalServerError, 12, Unknown, false, "Internal error"},
}

// Of returns the table row of k; an unknown value maps to Internal.
func Of(k Kind) Entry {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the published name of k.
func (k Kind) String() string { return Of(k).Name }

// All returns every kind in order.
func All() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := OK; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Parse returns the kind with the published name.
func Parse(name string) (Kind, bool) {
	for k := OK; k < kindCount; k++ {
		if table[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}
