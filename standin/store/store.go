// Package store is a stand-in for the platform's metadata store: tables of rows
// with transactions, ranges and a feed of changes. It limits the rates of calls
// and can inject the faults of the real store.
//
// # Usage
//
//	s := store.New(store.Rates{Reads: 2000, Writes: 800})
//	go http.Serve(listener, s)
//	s.SetFault(store.Busy)
package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Limits of the store.
const (
	// maxBodyBytes is the largest size of the body of a transaction.
	maxBodyBytes = 1 << 20

	// maxEntries is the largest number of entries of a transaction, which are its
	// expected versions, removals and writes together.
	maxEntries = 100

	// maxHistory is the number of changes that the store keeps for feeds.
	maxHistory = 2000

	// maxWait is the longest time that a feed waits for a change.
	maxWait = 30 * time.Second

	// pageSize is the largest number of rows in a response to a get.
	pageSize = 500

	// unresponsiveTime is how long a store with the fault Unresponsive keeps a
	// connection open.
	unresponsiveTime = time.Minute
)

// A Fault is a way in which the store misbehaves.
type Fault int

// Faults of the store.
const (
	None Fault = iota

	// Busy makes all calls fail with status 503.
	Busy

	// ResponseLost applies writes but resets their connections without a response.
	ResponseLost

	// Reset resets the connections of all calls.
	Reset

	// Unresponsive leaves all calls without a response.
	Unresponsive
)

// Rates are the numbers of calls that the store accepts per second. It answers
// further calls with status 429.
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

	// Value is the value in base64.
	Value   string `json:"value"`
	Version uint64 `json:"ver"`
}

// A Store is the stand-in. It serves calls over HTTP.
type Store struct {
	// OperatorsMayWrite permits transactions to write the operators' tables. It
	// must be set before the store serves.
	OperatorsMayWrite bool

	// changed is closed and replaced at each change.
	changed chan struct{}

	// discardedUpTo is the version up to which the history is discarded.
	discardedUpTo uint64
	fault         Fault
	history       []Row
	mu            sync.Mutex

	// rateSecond is the second, in Unix time, for which reads and writes are
	// counted.
	rateSecond int64
	rates      Rates

	// reads is the number of reading calls in rateSecond.
	reads   int
	router  *mux.Router
	rows    map[rowKey]Row
	started time.Time

	// version is the version of the newest change.
	version uint64

	// writes is the number of writing calls in rateSecond.
	writes int
}

// A rowKey identifies a row.
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

// SetFault sets how the store misbehaves from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DiscardHistory discards the history of changes, so that a feed that asks for
// changes since an earlier version gets status 410.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.discardedUpTo = nil, s.version
}

// Put writes a row as an operator does. Faults and rates don't apply to it.
func (s *Store) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Key: key, Table: table, Value: value, Version: s.version})
}

// Remove removes a row as an operator does. Faults and rates don't apply to it.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Deleted: true, Key: key, Table: table, Version: s.version})
}

// ServeHTTP implements http.Handler. It applies the fault and the rates before it
// routes a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	allowed := s.countCall(r.Method == http.MethodPost)
	s.mu.Unlock()
	switch {
	case fault == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == Reset:
		panic(http.ErrAbortHandler)
	case fault == Unresponsive:
		wait(r, unresponsiveTime, nil)
	case !allowed:
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// countCall counts a call and reports whether it is within the rates. The caller
// holds mu.
func (s *Store) countCall(write bool) bool {
	if now := time.Now().Unix(); now != s.rateSecond {
		s.rateSecond, s.reads, s.writes = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= s.rates.Writes
	}
	s.reads++
	return s.reads <= s.rates.Reads
}

// A response is the body of a response of the store.
type response struct {
	HasMore bool   `json:"has-more"`
	NowMS   int64  `json:"now-ms"`
	Rows    []Row  `json:"rows"`
	Version uint64 `json:"ver"`
}

// get responds with a page of the rows of a part of a table, sorted by key.
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
	s.writeResponse(w, http.StatusOK, rows[:min(len(rows), pageSize)], more)
}

// writeResponse writes a response with rows. The caller holds mu.
func (s *Store) writeResponse(w http.ResponseWriter, status int, rows []Row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response{
		HasMore: more, NowMS: time.Since(s.started).Milliseconds(), Rows: rows, Version: s.version,
	})
}
