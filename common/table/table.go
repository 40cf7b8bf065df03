// Package table defines the interfaces to the platform: a transactional table service, an object
// store, and the control of the power state of workers.
//
// The interfaces have only what peridotpick needs. Package service/tableclient implements them over
// HTTP; package lab/platformstandin implements them in memory for tests, demos and experiments.
package table

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform. After any other error of a commit it is unknown whether it took effect.
var (
	// ErrNotSent means that the request was not sent; it certainly had no effect.
	ErrNotSent = errors.New("request was not sent")
	// ErrThrottled means that the request exceeded the rate limit and was refused; it had no
	// effect.
	ErrThrottled = errors.New("rate limit of the table service")
	// ErrNotFound means that there is no object with the given name.
	ErrNotFound = errors.New("not found")
)

// AnyVersion is the value of Op.IfVersion that makes an operation unconditional.
const AnyVersion = ^uint64(0)

// Row is a row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is that of the last change of the row; never 0. Each change of any row gets a higher
	// one.
	Version uint64 `json:"version"`
}

// Op is one conditional write of a transaction.
type Op struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
	// IfVersion is the version that the row must have; 0 if there must be no row.
	IfVersion uint64 `json:"ifVersion"`
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	// Applied reports whether the operations took effect.
	Applied bool `json:"applied"`
	// Version is the new version of all rows that were written.
	Version uint64 `json:"version"`
	// Conflicts lists the operations whose condition did not hold, if the transaction was not
	// applied.
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// Conflict describes an operation whose condition did not hold.
type Conflict struct {
	// Op is the index of the operation in the transaction.
	Op int `json:"op"`
	// Current is the stored row; nil if there is none.
	Current *Row `json:"current,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Commit applies all operations or none. After an error other than ErrNotSent and ErrThrottled
	// it is unknown whether the transaction took effect.
	Commit(ctx context.Context, ops []Op) (CommitResult, error)
	// Get returns the row with a key, or nil if there is none.
	Get(ctx context.Context, key string) (*Row, error)
	// List returns at most limit rows whose key has the prefix and is greater than after, in key
	// order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// Put stores an object. A name is written only once.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the data of an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object if it exists.
	Delete(ctx context.Context, name string) error
}

// PowerState is the power state of a worker.
type PowerState string

// Power states.
const (
	PowerAwake   PowerState = "awake"
	PowerWaking  PowerState = "waking"
	PowerAsleep  PowerState = "asleep"
	PowerUnknown PowerState = "unknown"
)

// Worker is a worker as the platform lists it.
type Worker struct {
	ID         string            `json:"id"`
	DataCentre string            `json:"dataCentre"`
	Rack       string            `json:"rack"`
	Cores      int               `json:"cores"`
	MemoryMB   int               `json:"memoryMB"`
	Labels     map[string]string `json:"labels"`
	Power      PowerState        `json:"power"`
	// SincePowerChange is the time that has passed since the last change of the power state.
	SincePowerChange time.Duration `json:"since"`
	// Services are the names of the services whose backend servers start when the worker wakes.
	Services []string `json:"services"`
	// Slots is the total number of slots of these backend servers.
	Slots int `json:"slots"`
	// CPUUsage is the CPU utilisation, 0 to 1, reported with a delay.
	CPUUsage float64 `json:"usage"`
}

// Workers lists the workers and controls their power.
type Workers interface {
	// List returns all workers.
	List(ctx context.Context) ([]Worker, error)
	// Wake starts to wake a worker. It is idempotent.
	Wake(ctx context.Context, id string) error
	// Sleep puts a worker to sleep. It is idempotent.
	Sleep(ctx context.Context, id string) error
}
