// Package platformstandin is a fake of the customers' platform for tests, demos and experiments: a
// table service, an object store and the power control of workers, in memory. Server offers them over
// HTTP. Faults of the table service and outages of the object store can be set at any time.
package platformstandin

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"peridotpick.example/common/table"
)

// Faults are the latencies and faults of the table service at present. The zero value is a healthy
// service without latency.
type Faults struct {
	// WriteLatency and ReadLatency are the mean times that one request takes.
	WriteLatency, ReadLatency time.Duration
	// Jitter, 0 to 1, is the largest deviation of a latency from its mean, as a part of the mean. The
	// deviation is uniform.
	Jitter float64
	// Down makes every request fail without effect, as if the connection was lost.
	Down bool
	// LoseAnswers is the probability that a commit takes effect and its answer is lost.
	LoseAnswers float64
	// DropRequests is the probability that a commit is lost before it takes effect.
	DropRequests float64
}

// errConnectionLost is the error when the request or its answer is lost: the client cannot tell whether
// the request took effect.
var errConnectionLost = eris.New("connection to the table service was lost")

// Table is the fake table service. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version uint64
	faults  Faults
	rng     *rand.Rand
	writes  *rate.Limiter
	reads   *rate.Limiter
	counts  Counts
}

// Counts are the numbers of requests that a Table has served or refused for their rate, and of the rows
// that it has.
type Counts struct {
	Writes, Reads, Rows, Throttled uint64
}

// Limits of the customers' table service as their brief states them, in requests per second.
const (
	DefaultWriteRate = 300
	DefaultReadRate  = 2000
)

// NewTable returns an empty table that admits commits and reads up to a rate each, in requests per
// second; a rate of 0 means no limit. seed seeds jitter and faults.
func NewTable(seed uint64, writesPerSecond, readsPerSecond float64) *Table {
	return &Table{
		rows: make(map[string]table.Row), rng: rand.New(rand.NewPCG(seed, seed)),
		writes: newLimiter(writesPerSecond), reads: newLimiter(readsPerSecond),
	}
}

// newLimiter returns a limiter whose burst is the requests of a quarter of a second; 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond/4)+1)
}

// SetFaults replaces the faults for requests from now on.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the counts so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Rows = uint64(len(t.rows))
	return c
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, ops []table.Op) (table.CommitResult, error) {
	if !t.writes.Allow() {
		t.countThrottled()
		return table.CommitResult{}, table.ErrThrottled
	}
	latency, down, dropped, lost := t.drawFaults(false)
	if err := wait(ctx, latency); err != nil {
		return table.CommitResult{}, table.ErrNotSent
	}
	if down || dropped {
		return table.CommitResult{}, errConnectionLost
	}
	result := t.apply(ops)
	if lost {
		return table.CommitResult{}, errConnectionLost
	}
	return result, nil
}

// Apply commits a transaction immediately, without faults, latency or rate limit.
func (t *Table) Apply(ops []table.Op) table.CommitResult { return t.apply(ops) }

func (t *Table) apply(ops []table.Op) table.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	var result table.CommitResult
	for i, op := range ops {
		if c, holds := t.checkVersion(i, op); !holds {
			result.Conflicts = append(result.Conflicts, c)
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	t.version++
	for _, op := range ops {
		if op.Delete {
			delete(t.rows, op.Key)
			continue
		}
		t.rows[op.Key] = table.Row{Key: op.Key, Value: op.Value, Version: t.version}
	}
	return table.CommitResult{Applied: true, Version: t.version}
}

// checkVersion returns whether the condition of an operation holds, and the conflict if not. i is the
// index of the operation.
func (t *Table) checkVersion(i int, op table.Op) (table.Conflict, bool) {
	row, exists := t.rows[op.Key]
	switch {
	case op.IfVersion == table.AnyVersion, !exists && op.IfVersion == 0, exists && row.Version == op.IfVersion:
		return table.Conflict{}, true
	case !exists:
		return table.Conflict{Op: i}, false
	}
	return table.Conflict{Op: i, Current: &row}, false
}

// Get implements table.Table.
func (t *Table) Get(ctx context.Context, key string) (*table.Row, error) {
	if err := t.admitRead(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return nil, nil
	}
	return &row, nil
}

// List implements table.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := t.admitRead(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []table.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// admitRead applies the rate limit, the latency and the faults to one read, and counts it.
func (t *Table) admitRead(ctx context.Context) error {
	if !t.reads.Allow() {
		t.countThrottled()
		return table.ErrThrottled
	}
	latency, down, _, _ := t.drawFaults(true)
	if err := wait(ctx, latency); err != nil {
		return err
	}
	if down {
		return errConnectionLost
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	return nil
}

func (t *Table) countThrottled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Throttled++
}

// drawFaults draws the latency and the faults of one request: whether the service is down, the request
// is dropped, or its answer is lost.
func (t *Table) drawFaults(read bool) (latency time.Duration, down, dropped, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latency = t.faults.WriteLatency
	if read {
		latency = t.faults.ReadLatency
	}
	latency = time.Duration(float64(latency) * (1 + t.faults.Jitter*(2*t.rng.Float64()-1)))
	dropped = t.rng.Float64() < t.faults.DropRequests
	lost = t.rng.Float64() < t.faults.LoseAnswers
	return latency, t.faults.Down, dropped, lost
}

// wait waits for a duration; it returns the error of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
