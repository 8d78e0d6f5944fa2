// Package tableservice is the stand-in of the platform's transactional table
// service and object store. It has the platform's limits on reads and writes,
// and faults that can be ordered while it runs.
//
// # Usage
//
//	service := tableservice.New(tableservice.DefaultLimits)
//	http.Serve(listener, service.Handler())
//
// POST /faults takes a Faults; {} ends all faults.
package tableservice

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/observe"
)

// maxValueSize bounds the value of a row or an object, in bytes.
const maxValueSize = 4 << 20

// Limits are the requests that the service takes each second.
type Limits struct {
	Reads  int
	Writes int
}

// DefaultLimits are those that the platform states.
var DefaultLimits = Limits{Reads: 2000, Writes: 300}

// Faults are the faults that are in effect.
type Faults struct {
	Delay       pollenfront.Duration `json:"delay"`        // Added to each request.
	Down        bool                 `json:"down"`         // All requests fail.
	LoseAnswers float64              `json:"lose-answers"` // Share of the writes that take effect without an answer.
}

// A Service is the stand-in of the platform.
type Service struct {
	faults  Faults
	limits  Limits
	mutex   sync.Mutex
	objects map[string][]byte
	reads   int
	rows    map[string]pollenfront.Row
	second  int64 // Unix time that reads and writes are counted for.
	writes  int
}

// New returns an empty Service.
func New(limits Limits) *Service {
	return &Service{limits: limits, objects: make(map[string][]byte), rows: make(map[string]pollenfront.Row)}
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/objects/{key}", s.getObject).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{key}", s.putObject).Methods(http.MethodPut)
	r.HandleFunc("/v1/table/{key}", s.getRow).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/{key}", s.putRow).Methods(http.MethodPut)
	return r
}

// setFaults replaces the faults.
func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !observe.ReadJSON(w, r, &faults) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	observe.WriteJSON(w, http.StatusOK, faults)
}

// admit applies the faults and the limits. It returns false if the request was
// answered.
func (s *Service) admit(w http.ResponseWriter, write bool) bool {
	s.mutex.Lock()
	faults := s.faults
	over := s.count(write)
	s.mutex.Unlock()
	time.Sleep(time.Duration(faults.Delay))
	switch {
	case faults.Down:
		http.Error(w, "the table service is down", http.StatusServiceUnavailable)
	case over:
		http.Error(w, "too many requests this second", http.StatusTooManyRequests)
	default:
		return true
	}
	return false
}

// count counts a request and reports whether it is over the limit.
func (s *Service) count(write bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes > s.limits.Writes
	}
	s.reads++
	return s.reads > s.limits.Reads
}

// getRow answers a conditional read.
func (s *Service) getRow(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, false) {
		return
	}
	s.mutex.Lock()
	row, ok := s.rows[mux.Vars(r)["key"]]
	s.mutex.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag(row.Version))
	if r.Header.Get("If-None-Match") == tag(row.Version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(row.Value)
}

// putRow answers a compare-and-set.
func (s *Service) putRow(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, true) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is missing", http.StatusBadRequest)
		return
	}
	key := mux.Vars(r)["key"]
	s.mutex.Lock()
	row := s.rows[key]
	matches := row.Version == expected
	if matches {
		row = pollenfront.Row{Value: value, Version: expected + 1}
		s.rows[key] = row
	}
	lose := rand.Float64() < s.faults.LoseAnswers
	s.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // Closes the connection without an answer.
	}
	w.Header().Set("ETag", tag(row.Version))
	if !matches {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

// getObject answers a read of an object.
func (s *Service) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, false) {
		return
	}
	s.mutex.Lock()
	object, ok := s.objects[mux.Vars(r)["key"]]
	s.mutex.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(object)
}

// putObject answers a write of an object.
func (s *Service) putObject(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, true) {
		return
	}
	object, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.objects[mux.Vars(r)["key"]] = object
}

// tag returns a version as an entity tag.
func tag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}
