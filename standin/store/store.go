// Package store is a stand-in for the platform's metadata store: tables of rows
// with transactions, ranges and a feed of changes, within rates, and with the
// faults of the real one.
//
// # Usage
//
//	s := store.New(store.Rates{Reads: 2000, Writes: 800})
//	go http.Serve(listener, s)
//	s.SetFault(store.Down)
package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Limits of the store.
const (
	maxEntries  = 100     // Of a transaction.
	maxValue    = 1 << 20 // bytes, of a transaction
	pageSize    = 500     // Rows in an answer.
	historySize = 2000    // Changes that can be asked for.
	longestWait = 30 * time.Second
	silence     = time.Minute // How long a silent store keeps a connection.
)

// A Fault is a fault of the store.
type Fault int

// Faults.
const (
	None         Fault = iota
	Busy               // Calls are answered with 503.
	ResponseLost       // Writes are done and not answered.
	Reset              // Connections are reset.
	Unresponsive       // Calls are not answered.
)

// Rates are the calls that the store takes in a second.
type Rates struct {
	Reads  int
	Writes int
}

// A Row is a row of a table.
type Row struct {
	Deleted bool   `json:"deleted,omitempty"`
	Key     string `json:"key"`
	Part    string `json:"part"`
	Table   string `json:"table"`
	Value   string `json:"value"` // In base64.
	Version uint64 `json:"ver"`
}

// A Store is the stand-in.
type Store struct {
	// OperatorsMayWrite lets transactions write the operators' tables. It is
	// set before the store serves.
	OperatorsMayWrite bool

	changed chan struct{} // Closed and replaced at each change.
	fault   Fault
	forgot  uint64 // Versions up to this one are no longer in the history.
	history []Row
	mu      sync.Mutex
	rates   Rates
	router  *mux.Router
	rows    map[rowKey]Row
	second  int64 // In which the calls below were made.
	reads   int
	writes  int
	started time.Time
	version uint64
}

// A rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

var _ http.Handler = &Store{}

// New returns an empty store.
func New(rates Rates) *Store {
	s := &Store{changed: make(chan struct{}), rates: rates, router: mux.NewRouter(), rows: make(map[rowKey]Row), started: time.Now()}
	s.router.HandleFunc("/pollenfront/rows-tx", s.transact).Methods(http.MethodPost)
	s.router.HandleFunc("/pollenfront/rows-get", s.get).Methods(http.MethodGet)
	s.router.HandleFunc("/pollenfront/rows-feed", s.feed).Methods(http.MethodGet)
	return s
}

// SetFault sets the fault of the store from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DiscardHistory discards the history.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgot = nil, s.version
}

// Put writes a row as the operator does, whatever the store's fault.
func (s *Store) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Key: key, Table: table, Value: value, Version: s.version})
}

// Remove removes a row as the operator does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Deleted: true, Key: key, Table: table, Version: s.version})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	allowed := s.count(r.Method == http.MethodPost)
	s.mu.Unlock()
	switch {
	case fault == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == Reset:
		panic(http.ErrAbortHandler)
	case fault == Unresponsive:
		wait(r, silence, nil)
	case !allowed:
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// count counts a call and reports whether it is within the rates.
func (s *Store) count(write bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= s.rates.Writes
	}
	s.reads++
	return s.reads <= s.rates.Reads
}

// A reply is an answer of the store.
type reply struct {
	HasMore bool   `json:"has-more"`
	NowMS   int64  `json:"now-ms"`
	Rows    []Row  `json:"rows"`
	Version uint64 `json:"ver"`
}

// A transaction is the body of a transaction.
type transaction struct {
	Expected []struct {
		rowKey

		Version uint64 `json:"ver"`
	} `json:"expected-rev"`
	Remove []rowKey `json:"remove"`
	Writes []struct {
		rowKey

		Value string `json:"value"`
	} `json:"writes"`
}

// check returns what is wrong with a transaction.
func (t *transaction) check(operatorsMayWrite bool) error {
	if len(t.Expected)+len(t.Remove)+len(t.Writes) > maxEntries {
		return errors.New("too many entries")
	}
	for _, w := range t.Writes {
		if (w.Table == "op" || w.Table == "servers") && !operatorsMayWrite {
			return errors.New("the table can't be written")
		}
	}
	return nil
}

// transact applies a transaction if its conditions hold.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := t.check(s.OperatorsMayWrite); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[e.rowKey].Version != e.Version {
			s.write(w, http.StatusPreconditionFailed, []Row{s.rows[e.rowKey]}, false)
			return
		}
	}
	s.version++
	for _, key := range t.Remove {
		s.apply(Row{Deleted: true, Key: key.Key, Part: key.Part, Table: key.Table, Version: s.version})
	}
	for _, row := range t.Writes {
		s.apply(Row{Key: row.Key, Part: row.Part, Table: row.Table, Value: row.Value, Version: s.version})
	}
	if s.fault == ResponseLost {
		panic(http.ErrAbortHandler)
	}
	s.write(w, http.StatusOK, nil, false)
}

// apply applies a change. The caller holds mu.
func (s *Store) apply(row Row) {
	key := rowKey{Key: row.Key, Part: row.Part, Table: row.Table}
	if row.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.history = append(s.history, row)
	if over := len(s.history) - historySize; over > 0 {
		s.forgot = s.history[over-1].Version
		s.history = slices.Clone(s.history[over:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// get answers with the rows of a part of a table.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for key, row := range s.rows {
		if key.Table == query.Get("table") && key.Part == query.Get("part") && key.Key >= query.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > pageSize
	s.write(w, http.StatusOK, rows[:min(len(rows), pageSize)], more)
}

// feed answers with the changes of a table after a version, as soon as there
// is one.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err1 := strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, err2 := strconv.Atoi(query.Get("wait-ms"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end := time.Now().Add(min(time.Duration(milliseconds)*time.Millisecond, longestWait))
	for {
		s.mu.Lock()
		rows, gone := s.since(query.Get("table"), after)
		changed := s.changed
		left := time.Until(end)
		if gone || len(rows) > 0 || left <= 0 {
			defer s.mu.Unlock()
			if gone {
				w.WriteHeader(http.StatusGone)
				return
			}
			s.write(w, http.StatusOK, rows, false)
			return
		}
		s.mu.Unlock()
		if !wait(r, left, changed) {
			return
		}
	}
}

// since returns the changes of a table after a version. It reports whether
// they are no longer in the history. The caller holds mu.
func (s *Store) since(table string, after uint64) (rows []Row, gone bool) {
	if after < s.forgot {
		return nil, true
	}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, false
}

// wait waits for a time or until changed is closed. It reports false if the
// caller has left.
func wait(r *http.Request, d time.Duration, changed <-chan struct{}) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
	case <-time.After(d):
	}
	return true
}

// write writes an answer. The caller holds mu.
func (s *Store) write(w http.ResponseWriter, status int, rows []Row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply{
		HasMore: more, NowMS: time.Since(s.started).Milliseconds(), Rows: rows, Version: s.version,
	})
}
