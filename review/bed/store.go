package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as in the settings of a small deployment.
const (
	rowBytes         = 65536
	transactionTime  = 5 * time.Millisecond
	readTime         = 4 * time.Millisecond
	maxEntries       = 100
	maxTransaction   = 1 << 20
	maxRowsPerAnswer = 500
	maxFeedWait      = 30 * time.Second
)

// storeRow is a row, as the platform's page gives it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

func (r *storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// rowsAnswer is the body of each answer of the store.
type rowsAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"row_version"`
	Now     int64      `json:"now_ms"`
}

// store is a stand-in of the platform's store. It loses nothing and keeps its whole history.
type store struct {
	rec     *record
	started time.Time
	mu      sync.Mutex
	rows    map[rowID]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	// parts has a lock for each partition, which does one transaction after another.
	parts map[string]*sync.Mutex
	// isDown, if set, says whether a call of a process to a partition is answered with 503.
	isDown func(process, table, part string) bool
}

func newStore(rec *record) *store {
	return &store{
		rec: rec, started: time.Now(), rows: make(map[rowID]storeRow), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex),
	}
}

// setDown sets which calls are answered with 503; nil means none.
func (s *store) setDown(down func(process, table, part string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) down(process, table, part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown != nil && s.isDown(process, table, part)
}

// serve offers the store to one process at an address of its own, by which its calls are known.
func (s *store) serve(process, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTransaction(process, w, r) })
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) { s.serveGet(process, w, r) })
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) { s.serveFeed(process, w, r) })
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.Now = time.Since(s.started).Milliseconds()
	if a.Rows == nil {
		a.Rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

// transaction is the body of a conditional change.
type transaction struct {
	Conditions []storeRow `json:"precondition"`
	Writes     []storeRow `json:"writes"`
	Removals   []storeRow `json:"remove"`
}

// check returns why the transaction is not valid; empty if it is. part is the one that it is for.
func (t *transaction) check(size int64) (part, why string) {
	all := append(append(append([]storeRow{}, t.Conditions...), t.Writes...), t.Removals...)
	if len(all) == 0 || len(all) > maxEntries || size > maxTransaction {
		return "", fmt.Sprintf("%d entries and %d bytes", len(all), size)
	}
	for _, r := range all {
		if r.Part != all[0].Part {
			return "", "several partitions"
		}
	}
	for _, r := range t.Writes {
		if len(r.Value) > rowBytes {
			return "", fmt.Sprintf("row %s has %d bytes, at most %d", r.Key, len(r.Value), rowBytes)
		}
	}
	return all[0].Part, ""
}

func (s *store) serveTransaction(process string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part, why := t.check(r.ContentLength)
	if why != "" {
		s.rec.add("store: 400 to %s: %s", process, why)
		http.Error(w, why, http.StatusBadRequest)
		return
	}
	table := "?"
	if len(t.Writes)+len(t.Removals) > 0 {
		table = append(t.Writes, t.Removals...)[0].Table
	}
	if s.down(process, table, part) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	if s.parts[part] == nil {
		s.parts[part] = new(sync.Mutex)
	}
	lock := s.parts[part]
	s.mu.Unlock()
	lock.Lock()
	time.Sleep(transactionTime)
	status, answer := s.apply(&t)
	lock.Unlock()
	s.answer(w, status, answer)
}

// apply does a transaction, or returns the rows whose conditions are checked.
func (s *store) apply(t *transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []storeRow
	for i := range t.Conditions {
		row, ok := s.rows[t.Conditions[i].id()]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Version != t.Conditions[i].Version
	}
	if conflict {
		return http.StatusPreconditionFailed, rowsAnswer{Rows: current, Version: s.version}
	}
	s.version++
	for _, row := range t.Writes {
		row.Version = s.version
		s.rows[row.id()] = row
		s.history = append(s.history, row)
	}
	for _, row := range t.Removals {
		delete(s.rows, row.id())
		s.history = append(s.history, storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true})
	}
	s.wakeLocked()
	return http.StatusOK, rowsAnswer{Version: s.version}
}

func (s *store) serveGet(process string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	table, part, from, target := query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target")
	time.Sleep(readTime)
	if s.down(process, table, part) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxRowsPerAnswer {
		limit = maxRowsPerAnswer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []storeRow
	for id, row := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (target == "" || id.key < target) {
			list = append(list, row)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	answer := rowsAnswer{Version: s.version}
	size := 0
	for _, row := range list {
		size += len(row.Value)*4/3 + 100
		if len(answer.Rows) == limit || size > maxTransaction && len(answer.Rows) > 0 {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, row)
	}
	s.answer(w, http.StatusOK, answer)
}

func (s *store) serveFeed(process string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	table := query.Get("table")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(min(time.Duration(millis)*time.Millisecond, maxFeedWait))
	time.Sleep(readTime)
	for expired := false; ; {
		if s.down(process, table, "") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer, changed := s.changesAfter(table, after)
		if len(answer.Rows) > 0 || expired {
			s.answer(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the newest change of each row of a table after a version, in their order,
// and a channel that is closed at the next change.
func (s *store) changesAfter(table string, after uint64) (rowsAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := rowsAnswer{Version: s.version}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, row := range s.history[first:] {
		if row.Table == table {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return answer, s.changed
}

// put writes a row of the operator.
func (s *store) put(table, key string, content any) error {
	value, err := json.Marshal(content)
	if err != nil {
		return err
	}
	s.apply(&transaction{Writes: []storeRow{{Table: table, Key: key, Value: value}}})
	return nil
}
