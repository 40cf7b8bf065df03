package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as a small deployment has them.
const (
	maxPageRows      = 500
	maxPageBytes     = 1 << 20
	maxTxEntries     = 100
	maxTxBytes       = 1 << 20
	maxRowBytes      = 65536
	writesPerSecond  = 800
	readsPerSecond   = 2000
	transactionTime  = 5 * time.Millisecond
	answerTime       = 4 * time.Millisecond
	networkRoundTrip = 1800 * time.Microsecond // 0.9 ms one way between zones
	maxPartBacklog   = time.Second
)

// storeRow is a row as it stands on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	mu   sync.Mutex
	rows map[rowID]*storeRow // removed rows stay, marked as deleted
	// keys are the keys of each part in order, log the rows of each table in order of their versions;
	// a row that was written again since is still in the log.
	keys    map[rowID][]string
	log     map[string][]*storeRow
	version uint64
	changed chan struct{} // closed at each transaction
	partsAt map[string]time.Time
	writes  window
	reads   window
	start   time.Time
	// calls counts the calls for each path and status.
	calls map[string]int
}

func newStore() *store {
	return &store{
		rows: make(map[rowID]*storeRow), keys: make(map[rowID][]string), log: make(map[string][]*storeRow), changed: make(chan struct{}),
		partsAt: make(map[string]time.Time), start: time.Now(), calls: make(map[string]int), version: 1,
		writes: window{limit: writesPerSecond}, reads: window{limit: readsPerSecond},
	}
}

// window counts calls in the present second.
type window struct {
	limit, count int
	second       int64
}

func (w *window) allow(now time.Time) bool {
	if s := now.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	return w.count <= w.limit
}

// put writes a row as the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(&storeRow{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

func (s *store) set(r *storeRow) {
	id := rowID{r.Table, r.Part, r.Key}
	if s.rows[id] == nil {
		part := rowID{table: r.Table, part: r.Part}
		at, _ := slices.BinarySearch(s.keys[part], r.Key)
		s.keys[part] = slices.Insert(s.keys[part], at, r.Key)
	}
	s.rows[id] = r
	s.log[r.Table] = append(s.log[r.Table], r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, r := range s.rows {
		if id.table == table && !r.Deleted {
			n++
		}
	}
	return n
}

// endpoint is the store as one process sees it.
type endpoint struct {
	store *store
	mu    sync.Mutex
	// away is set while the store turns this process away: it resets the connections of all calls,
	// also of those that wait for changes.
	away bool
	// turned is closed when the store begins to turn the process away.
	turned chan struct{}
}

func newEndpoint(s *store) *endpoint { return &endpoint{store: s, turned: make(chan struct{})} }

// turnAway has the store turn the process away from now on, or serve it again.
func (e *endpoint) turnAway(away bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if away == e.away {
		return
	}
	e.away = away
	if away {
		close(e.turned)
		return
	}
	e.turned = make(chan struct{})
}

func (e *endpoint) state() (away bool, turned chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.away, e.turned
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	away, turned := e.state()
	if away {
		resetConnection(w)
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	go func() {
		select {
		case <-turned:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.store.serve(w, req.WithContext(ctx))
}

// resetConnection resets the connection of a call, without an answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *store) serve(w http.ResponseWriter, req *http.Request) {
	status, body := http.StatusNotFound, any(nil)
	switch req.URL.Path {
	case "/rows-tx":
		status, body = s.transact(req)
	case "/rows-get":
		status, body = s.get(req)
	case "/rows-feed":
		status, body = s.feed(req)
	}
	if req.Context().Err() != nil {
		resetConnection(w)
		return
	}
	s.mu.Lock()
	s.calls[req.URL.Path+" "+strconv.Itoa(status)]++
	s.mu.Unlock()
	time.Sleep(networkRoundTrip)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type txBody struct {
	Conditions []storeRow `json:"precondition"`
	Writes     []storeRow `json:"writes"`
	Removals   []storeRow `json:"remove"`
}

func (s *store) transact(req *http.Request) (int, any) {
	var tx txBody
	if req.ContentLength > maxTxBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	if err := json.NewDecoder(req.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, nil
	}
	all := append(append(append([]storeRow{}, tx.Conditions...), tx.Writes...), tx.Removals...)
	if len(all) == 0 || len(all) > maxTxEntries {
		return http.StatusBadRequest, nil
	}
	for _, r := range all {
		if r.Part != all[0].Part || len(r.Value) > maxRowBytes {
			return http.StatusBadRequest, nil
		}
	}
	wait, ok := s.queueWrite(all[0].Part)
	if !ok {
		return http.StatusTooManyRequests, nil
	}
	time.Sleep(wait)
	return s.apply(&tx)
}

// queueWrite returns how long a transaction of a part takes, behind those that wait there.
func (s *store) queueWrite(part string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.writes.allow(now) {
		return 0, false
	}
	begin := s.partsAt[part]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > maxPartBacklog {
		return 0, false
	}
	s.partsAt[part] = begin.Add(transactionTime)
	return begin.Add(transactionTime).Sub(now), true
}

func (s *store) apply(tx *txBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	conflict := false
	for _, c := range tx.Conditions {
		r := storeRow{Table: c.Table, Part: c.Part, Key: c.Key}
		if known := s.rows[rowID{c.Table, c.Part, c.Key}]; known != nil && !known.Deleted {
			r = *known
		}
		current = append(current, r)
		conflict = conflict || r.Version != c.Version
	}
	if conflict {
		return http.StatusPreconditionFailed, s.answer(current, false, s.version)
	}
	s.version++
	for _, w := range tx.Writes {
		s.set(&storeRow{Table: w.Table, Part: w.Part, Key: w.Key, Value: w.Value, Version: s.version})
	}
	for _, r := range tx.Removals {
		s.set(&storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	s.wake()
	return http.StatusOK, s.answer(nil, false, s.version)
}

func (s *store) answer(rows []storeRow, more bool, version uint64) any {
	if rows == nil {
		rows = []storeRow{}
	}
	return map[string]any{"rows": rows, "has_more": more, "row_version": version, "now_ms": time.Since(s.start).Milliseconds()}
}

// allowRead counts a read against the limit of all processes together.
func (s *store) allowRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.allow(time.Now())
}

func (s *store) get(req *http.Request) (int, any) {
	if !s.allowRead() {
		return http.StatusTooManyRequests, nil
	}
	time.Sleep(answerTime)
	q := req.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	part := rowID{table: q.Get("table"), part: q.Get("part")}
	at, _ := slices.BinarySearch(s.keys[part], q.Get("from"))
	var list []storeRow
	for _, key := range s.keys[part][at:] {
		if q.Get("target") != "" && key >= q.Get("target") || len(list) > limit {
			break
		}
		if r := s.rows[rowID{part.table, part.part, key}]; !r.Deleted {
			list = append(list, *r)
		}
	}
	page := firstPage(list, limit)
	return http.StatusOK, s.answer(page, len(page) < len(list), s.version)
}

// firstPage returns the rows that fit into one answer.
func firstPage(list []storeRow, limit int) []storeRow {
	size := 0
	for i, r := range list {
		size += len(r.Value)*4/3 + len(r.Key) + 80
		if i == limit || i > 0 && size > maxPageBytes {
			return list[:i]
		}
	}
	return list
}

func (s *store) feed(req *http.Request) (int, any) {
	if !s.allowRead() {
		return http.StatusTooManyRequests, nil
	}
	time.Sleep(answerTime)
	q := req.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, more, version, changed := s.changesAfter(q.Get("table"), after)
		if len(rows) > 0 {
			return http.StatusOK, s.answer(rows, more, version)
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, s.answer(nil, false, version)
		case <-req.Context().Done():
			return http.StatusOK, s.answer(nil, false, version)
		}
	}
}

// changesAfter returns the changed rows of a table in order, the version to continue from, and the
// channel that is closed at the next change of any table.
func (s *store) changesAfter(table string, after uint64) (page []storeRow, more bool, version uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.log[table]
	at := sort.Search(len(all), func(i int) bool { return all[i].Version > after })
	var list []storeRow
	for _, r := range all[at:] {
		if s.rows[rowID{r.Table, r.Part, r.Key}] == r {
			list = append(list, *r)
		}
	}
	page = firstPage(list, maxPageRows)
	for len(page) < len(list) && len(page) > 1 && page[len(page)-1].Version == list[len(page)].Version {
		page = page[:len(page)-1] // a page ends with a whole transaction
	}
	if len(page) < len(list) {
		return page, true, page[len(page)-1].Version, s.changed
	}
	return page, false, s.version, s.changed
}
