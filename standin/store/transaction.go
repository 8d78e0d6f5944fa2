package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
)

// A transaction is the body of a call that writes. It is applied only if all rows
// in Expected have the given versions.
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

// check returns an error if the transaction is not permitted.
func (t *transaction) check(operatorsMayWrite bool) error {
	if len(t.Expected)+len(t.Remove)+len(t.Writes) > maxEntries {
		return fmt.Errorf("the transaction has %d entries; at most %d are allowed", len(t.Expected)+len(t.Remove)+len(t.Writes), maxEntries)
	}
	for _, w := range t.Writes {
		if (w.Table == "op" || w.Table == "servers") && !operatorsMayWrite {
			return fmt.Errorf("table %q can only be written by operators", w.Table)
		}
	}
	return nil
}

// transact applies a transaction, or responds with the first row whose version is
// not the expected one.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&t); err != nil {
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
			s.writeResponse(w, http.StatusPreconditionFailed, []Row{s.rows[e.rowKey]}, false)
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
	s.writeResponse(w, http.StatusOK, nil, false)
}

// apply applies a change, records it in the history and wakes waiting feeds. The
// caller holds mu.
func (s *Store) apply(row Row) {
	key := rowKey{Key: row.Key, Part: row.Part, Table: row.Table}
	if row.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.history = append(s.history, row)
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.discardedUpTo = s.history[excess-1].Version
		s.history = slices.Clone(s.history[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
