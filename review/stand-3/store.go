package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// storedRow is a row as the store's interface shows it.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *storedRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

const (
	storeDelay   = 4 * time.Millisecond
	maxListed    = 500
	maxListBytes = 1 << 20
)

// store is a sound stand-in for the platform's store, after PROTOCOL.md. It forgets nothing.
type store struct {
	mu      sync.Mutex
	rows    map[string]storedRow
	version uint64
	changed chan struct{} // closed at each change
	began   time.Time
	record  *record
	// plainFeeds leaves has_more out of the answers of feeds, for which PROTOCOL.md does not have it.
	plainFeeds atomic.Bool
}

func newStore(rec *record) *store {
	return &store{rows: make(map[string]storedRow), version: 1, changed: make(chan struct{}), began: time.Now(), record: rec}
}

// put writes a row as the operator, which returns once it is in force in the store.
func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storedRow{{Table: table, Key: key, Value: raw}}, nil)
}

// apply changes rows in one transaction; the caller holds the lock.
func (s *store) apply(writes, removals []storedRow) {
	s.version++
	for _, r := range writes {
		r.Version, r.Deleted = s.version, false
		s.rows[r.id()] = r
	}
	for _, r := range removals {
		if old, ok := s.rows[r.id()]; ok && !old.Deleted {
			s.rows[r.id()] = storedRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(storeDelay)
	switch req.URL.Path {
	case "/rows-tx":
		s.transact(w, req)
	case "/rows-get":
		s.get(w, req)
	case "/rows-feed":
		s.feed(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type listing struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"has_more"`
	Version uint64      `json:"row_version"`
	Now     int64       `json:"now_ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, l listing) {
	l.Rows = append([]storedRow{}, l.Rows...)
	l.Now = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(l)
}

type transactionBody struct {
	Precondition []storedRow `json:"precondition"`
	Writes       []storedRow `json:"writes"`
	Remove       []storedRow `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, req *http.Request) {
	var t transactionBody
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<20)).Decode(&t); err != nil || len(t.Precondition)+len(t.Writes)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := make(map[string]bool)
	for _, list := range [][]storedRow{t.Precondition, t.Writes, t.Remove} {
		for _, r := range list {
			parts[r.Part] = true
			if r.Table == "op" || r.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	if len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storedRow
	holds := true
	for _, p := range t.Precondition {
		r, ok := s.rows[p.id()]
		version := uint64(0)
		if ok && !r.Deleted {
			version = r.Version
			current = append(current, r)
		}
		holds = holds && version == p.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, listing{Rows: current, Version: s.version})
		return
	}
	s.apply(t.Writes, t.Remove)
	for _, r := range t.Writes {
		if r.Table == "jobs" {
			s.record.line("store    writes the row of job %s, version %d", r.Key, s.version)
		}
	}
	s.answer(w, http.StatusOK, listing{Version: s.version})
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storedRow
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Deleted && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target")) {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, k int) bool { return found[i].Key < found[k].Key })
	list, more := cut(found, limit)
	s.answer(w, http.StatusOK, listing{Rows: list, More: more, Version: s.version})
}

// cut returns the rows that fit into one answer, and whether there are more.
func cut(rows []storedRow, limit int) ([]storedRow, bool) {
	bytes := 0
	for i, r := range rows {
		bytes += len(r.Value) * 4 / 3
		if i == limit || i > 0 && bytes > maxListBytes {
			return rows[:i], true
		}
	}
	return rows, false
}

func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []storedRow
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Version > after {
				found = append(found, r)
			}
		}
		sort.Slice(found, func(i, k int) bool { return found[i].Version < found[k].Version })
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			list, more := cut(found, maxListed)
			if more {
				version = list[len(list)-1].Version
			}
			s.answer(w, http.StatusOK, listing{Rows: list, More: more && !s.plainFeeds.Load(), Version: version})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, listing{Version: version})
			return
		case <-req.Context().Done():
			return
		}
	}
}
