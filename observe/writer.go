package observe

import (
	"io"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// maxPending bounds the log that waits to be written.
const maxPending = 1 << 20 // bytes

// A Writer writes lines to an output that may be slow or blocked. It never
// blocks its caller: lines that find too much waiting are left out and counted.
type Writer struct {
	dropped prometheus.Counter
	mu      sync.Mutex
	out     io.Writer
	pending []byte
	spare   []byte
	wake    chan struct{}
}

// NewWriter returns a writer to out, which registers its counter.
func NewWriter(out io.Writer, registry prometheus.Registerer) *Writer {
	w := &Writer{
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_log_lines_dropped_total", Help: "Lines of the log that were left out since the output was slow or too many came.",
		}),
		out: out, wake: make(chan struct{}, 1),
	}
	registry.MustRegister(w.dropped)
	go w.run()
	return w
}

// Write implements io.Writer for whole lines.
func (w *Writer) Write(line []byte) (int, error) {
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

// Sync implements zapcore.WriteSyncer. It writes what is pending.
func (w *Writer) Sync() error {
	return w.flush()
}

// run writes what is pending, again and again.
func (w *Writer) run() {
	for range w.wake {
		_ = w.flush() // An output that is gone can't be reported anywhere.
	}
}

// flush writes what is pending in one call.
func (w *Writer) flush() error {
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
