package observe

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
)

// Limits on the faults that are logged. A writer may vary its faults with each input.
const (
	// maxKnownFaults is the number of different faults that are logged in faultRetention.
	maxKnownFaults = 1000
	// faultRetention is the time after which a fault that goes on is logged again.
	faultRetention = time.Hour
)

// Faults counts inputs of other processes that can't be used, and tells which of them to
// log, so that an input that is repeated several times a second does not fill the log. It is
// safe for concurrent use.
type Faults struct {
	counter *prometheus.CounterVec
	// known holds the faults that were seen since clearedAt.
	known     map[fault]struct{}
	clearedAt time.Time
	mu        sync.Mutex
}

// A fault is something that is wrong with an input.
type fault struct {
	source, key, text string
}

// NewFaults returns a Faults that registers its counter with registry.
func NewFaults(registry prometheus.Registerer) *Faults {
	f := &Faults{
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_invalid_inputs_total", Help: "Rows of the store and of backend servers' lists, and saved announcements, that could not be used, by source.",
		}, []string{"source"}),
		known:     make(map[fault]struct{}),
		clearedAt: time.Now(),
	}
	registry.MustRegister(f.counter)
	return f
}

// Count counts an invalid input of a source and calls IsNew.
func (f *Faults) Count(source, key, text string) bool {
	f.counter.WithLabelValues(source).Inc()
	return f.IsNew(source, key, text)
}

// IsNew reports whether a fault is to be logged: it was not seen with this key of the source
// in faultRetention, and few others were.
func (f *Faults) IsNew(source, key, text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.clearedAt) > faultRetention {
		clear(f.known)
		f.clearedAt = time.Now()
	}
	id := fault{source: source, key: key, text: text}
	if _, ok := f.known[id]; ok || len(f.known) >= maxKnownFaults {
		return false
	}
	f.known[id] = struct{}{}
	return true
}

// RecordRows counts the invalid rows of a source and logs each fault once.
func (f *Faults) RecordRows(logger *zap.Logger, source string, rows []pollenfront.InvalidRow) {
	for _, row := range rows {
		if f.Count(source, row.Key, row.Fault) {
			logger.Warn("invalid row ignored", zap.String("source", source), zap.String("key", row.Key), zap.String("fault", row.Fault))
		}
	}
}
