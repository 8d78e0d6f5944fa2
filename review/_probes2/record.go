package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// A record is the log of what was sent, answered and run. Its lines start with the time since
// the start of the case.
type record struct {
	file    *os.File
	mu      sync.Mutex
	started time.Time
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.started) }

// addf adds a line.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), strings.TrimSpace(line))
}
