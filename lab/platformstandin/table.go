// Package platformstandin is an in-memory platform for tests, demos and experiments.
// Its faults are switched by the test that owns it.
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

// Faults are the faults of the table service at present. The zero value is
// a healthy service without latency.
type Faults struct {
	// WriteLatency and ReadLatency are the mean times of one request.
	WriteLatency, ReadLatency time.Duration
	// Jitter is the part of a latency that varies, 0 to 1.
	Jitter float64
	// Down makes every request fail without effect.
	Down bool
	// LoseAnswers is the probability that a commit takes effect and its answer is lost.
	LoseAnswers float64
	// DropRequests is the probability that a commit is lost before it takes effect.
	DropRequests float64
}

// errLost is what a caller sees when either the request or the answer was lost.
var errLost = eris.New("connection to the table service was lost")

// Table is the stand-in for the table service.
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

// Counts are the requests that a Table has served.
type Counts struct {
	Writes, Reads, Rows, Throttled uint64
}

// Rates of the platform that the brief states.
const (
	DefaultWriteRate = 300
	DefaultReadRate  = 2000
)

// NewTable returns an empty table that admits the given rates per second; a
// rate of 0 means no limit.
func NewTable(seed uint64, writes, reads float64) *Table {
	return &Table{
		rows: make(map[string]table.Row), rng: rand.New(rand.NewPCG(seed, seed)),
		writes: limiter(writes), reads: limiter(reads),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond/4)+1)
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the requests served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Rows = uint64(len(t.rows))
	return c
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, ops []table.Op) (table.Commit, error) {
	if !t.writes.Allow() {
		t.countThrottled()
		return table.Commit{}, table.ErrThrottled
	}
	wait, down, dropped, lost := t.draw(false)
	if err := sleep(ctx, wait); err != nil {
		return table.Commit{}, table.ErrNotSent
	}
	if down || dropped {
		return table.Commit{}, errLost
	}
	result := t.apply(ops)
	if lost {
		return table.Commit{}, errLost
	}
	return result, nil
}

// Apply commits at once, without faults or latency.
func (t *Table) Apply(ops []table.Op) table.Commit { return t.apply(ops) }

func (t *Table) apply(ops []table.Op) table.Commit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	var result table.Commit
	for i, op := range ops {
		if c, holds := t.check(i, op); !holds {
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
	return table.Commit{Applied: true, Version: t.version}
}

func (t *Table) check(i int, op table.Op) (table.Conflict, bool) {
	row, exists := t.rows[op.Key]
	switch {
	case op.IfVersion == table.Any, !exists && op.IfVersion == 0, exists && row.Version == op.IfVersion:
		return table.Conflict{}, true
	case !exists:
		return table.Conflict{Op: i}, false
	}
	return table.Conflict{Op: i, Current: &row}, false
}

// Get implements table.Table.
func (t *Table) Get(ctx context.Context, key string) (*table.Row, error) {
	if err := t.read(ctx); err != nil {
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
	if err := t.read(ctx); err != nil {
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

func (t *Table) read(ctx context.Context) error {
	if !t.reads.Allow() {
		t.countThrottled()
		return table.ErrThrottled
	}
	wait, down, _, _ := t.draw(true)
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	if down {
		return errLost
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

// draw decides the fate of one request.
func (t *Table) draw(read bool) (wait time.Duration, down, dropped, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait = t.faults.WriteLatency
	if read {
		wait = t.faults.ReadLatency
	}
	wait = time.Duration(float64(wait) * (1 + t.faults.Jitter*(2*t.rng.Float64()-1)))
	dropped = t.rng.Float64() < t.faults.DropRequests
	lost = t.rng.Float64() < t.faults.LoseAnswers
	return wait, t.faults.Down, dropped, lost
}

func sleep(ctx context.Context, d time.Duration) error {
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
