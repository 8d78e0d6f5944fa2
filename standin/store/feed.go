package store

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// feed responds with the changes of a table after a version. If there are none, it
// waits for one, up to wait-ms and at most maxWait. It responds with status 410 if
// the history no longer has all changes after the version.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err := errors.Join(afterErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		rows, gone := s.changesAfter(query.Get("table"), after)
		changed := s.changed
		remaining := time.Until(deadline)
		if gone || len(rows) > 0 || remaining <= 0 {
			defer s.mu.Unlock()
			if gone {
				w.WriteHeader(http.StatusGone)
				return
			}
			s.writeResponse(w, http.StatusOK, rows, false)
			return
		}
		s.mu.Unlock()
		if !wait(r, remaining, changed) {
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, or reports that
// the history no longer has all of them. The caller holds mu.
func (s *Store) changesAfter(table string, after uint64) (rows []Row, gone bool) {
	if after < s.discardedUpTo {
		return nil, true
	}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, false
}

// wait waits for a duration or until changed is closed. It reports false if the
// client has closed the connection.
func wait(r *http.Request, d time.Duration, changed <-chan struct{}) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
	case <-time.After(d):
	}
	return true
}
