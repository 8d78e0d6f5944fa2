package observe

import (
	"io"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// maxPending is the largest total size, in bytes, of the log lines that wait to be
// written.
const maxPending = 1 << 20

// An AsyncWriter writes log lines to an output that may be slow or blocked. Write
// never blocks: lines beyond maxPending are dropped and counted.
type AsyncWriter struct {
	dropped prometheus.Counter
	mu      sync.Mutex
	out     io.Writer
	// pending holds the lines that wait to be written.
	pending []byte
	// spare is the buffer that was written last, for reuse as pending.
	spare []byte
	// wake wakes run when lines are pending.
	wake chan struct{}
}

// NewAsyncWriter returns a writer to out. It registers the counter of dropped lines
// with registry.
func NewAsyncWriter(out io.Writer, registry prometheus.Registerer) *AsyncWriter {
	w := &AsyncWriter{
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_log_lines_dropped_total", Help: "Lines of the log that were left out since the output was slow or too many came.",
		}),
		out: out, wake: make(chan struct{}, 1),
	}
	registry.MustRegister(w.dropped)
	go w.run()
	return w
}

// Write queues line, which must be one or more whole lines. It never fails, and
// reports dropped lines as written.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped.Inc()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes the pending lines. It implements zapcore.WriteSyncer.
func (w *AsyncWriter) Sync() error {
	return w.flush()
}

// run writes the pending lines whenever Write wakes it.
func (w *AsyncWriter) run() {
	for range w.wake {
		_ = w.flush() // There is no other output to report a failed write to.
	}
}

// flush writes all pending lines in one call of the output.
func (w *AsyncWriter) flush() error {
	w.mu.Lock()
	out := w.pending
	w.pending, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if len(out) == 0 {
		return nil
	}
	_, err := w.out.Write(out)
	w.mu.Lock()
	w.spare = out
	w.mu.Unlock()
	return err
}
