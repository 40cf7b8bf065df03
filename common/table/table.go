// Package table defines what peridotpick needs of the platform: a transactional
// table service, an object store, and the power state of workers.
//
// The interfaces are narrow on purpose. Package client reaches them over HTTP;
// package standin implements them in memory for tests, demos and experiments.
package table

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform. Any other error of a commit leaves its fate unknown.
var (
	// ErrNotSent: the request certainly had no effect.
	ErrNotSent = errors.New("request was not sent")
	// ErrThrottled: refused for exceeding the rate; it had no effect.
	ErrThrottled = errors.New("rate limit of the table service")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("not found")
)

// Any as Op.IfVersion makes an operation unconditional.
const Any = ^uint64(0)

// Row is a stored row.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each change of any row; never 0.
	Version uint64 `json:"version"`
}

// Op is one conditional write of a transaction.
type Op struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
	// IfVersion must be the row's version; 0 means that no row exists.
	IfVersion uint64 `json:"ifVersion"`
}

// Commit is the result of a transaction.
type Commit struct {
	// Applied is true if all operations took effect.
	Applied bool `json:"applied"`
	// Version is that of all rows written.
	Version uint64 `json:"version"`
	// Conflicts lists, if nothing was applied, the operations whose condition
	// did not hold.
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// Conflict tells why one operation could not be applied.
type Conflict struct {
	// Op is the index of the operation.
	Op int `json:"op"`
	// Current is the row in force; nil if there is none.
	Current *Row `json:"current,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Commit applies all operations or none. After an error other than
	// ErrNotSent and ErrThrottled the transaction may or may not have taken effect.
	Commit(ctx context.Context, ops []Op) (Commit, error)
	// Get returns the row, or nil if there is none.
	Get(ctx context.Context, key string) (*Row, error)
	// List returns up to limit rows whose key has the prefix and is greater
	// than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores data under a name that is written once.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object if it exists.
	Delete(ctx context.Context, name string) error
}

// PowerState is the state of a worker's hardware.
type PowerState string

// Power states.
const (
	Awake   PowerState = "awake"
	Waking  PowerState = "waking"
	Asleep  PowerState = "asleep"
	Unknown PowerState = "unknown"
)

// Worker is a machine as the platform lists it.
type Worker struct {
	ID         string            `json:"id"`
	DataCentre string            `json:"dataCentre"`
	Rack       string            `json:"rack"`
	Cores      int               `json:"cores"`
	MemoryMB   int               `json:"memoryMB"`
	Labels     map[string]string `json:"labels"`
	Power      PowerState        `json:"power"`
	// Since is the time since the power state last changed.
	Since time.Duration `json:"since"`
	// Services are those whose backend servers start on the worker when it wakes.
	Services []string `json:"services"`
	// Slots is the total of their slots.
	Slots int `json:"slots"`
	// Usage is the used part of the processors, 0 to 1, reported with a lag.
	Usage float64 `json:"usage"`
}

// Workers controls the power of workers. Both calls are idempotent.
type Workers interface {
	List(ctx context.Context) ([]Worker, error)
	Wake(ctx context.Context, id string) error
	Sleep(ctx context.Context, id string) error
}
