package observe_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/observe"
)

// A blockedWriter blocks every Write forever.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) {
	select {}
}

// TestWriteBlockedOutput checks that Write returns while the output is blocked, that
// the pending lines are bounded in size, and that dropped lines are counted.
func TestWriteBlockedOutput(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	w := observe.NewAsyncWriter(blockedWriter{}, registry)
	line := make([]byte, 1000)
	started := time.Now()
	for range 10_000 {
		n, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue)
	dropped := droppedLines(c, registry)
	c.Assert(dropped > 7000 && dropped < 10_000, qt.IsTrue, qt.Commentf("%v dropped", dropped))
}

// droppedLines returns the value of the counter of dropped lines.
func droppedLines(c *qt.C, registry *prometheus.Registry) float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == "pollenfront_log_lines_dropped_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	c.Fatal("pollenfront_log_lines_dropped_total is not registered")
	return 0
}

// lineCounter sends a value to n for each line that is written.
type lineCounter struct{ n chan int }

func (l lineCounter) Write(p []byte) (int, error) {
	for _, b := range p {
		if b == '\n' {
			l.n <- 1
		}
	}
	return len(p), nil
}

// TestRepeatedMessagesDropped checks that the log writes a bounded number of lines
// with the same message, and drops the others, at ten times the usual load.
func TestRepeatedMessagesDropped(t *testing.T) {
	c := qt.New(t)
	out := lineCounter{n: make(chan int, 100_000)}
	p := observe.NewProcess("entry", "entry-1", out)
	for range 5000 {
		p.Logger.Info("job answered", zap.String("request", "0a"))
	}
	c.Assert(p.Logger.Sync(), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	written := len(out.n)
	c.Assert(written >= 300 && written <= 1200, qt.IsTrue, qt.Commentf("%d lines", written))
	count, err := testutil.GatherAndCount(p.Registry, "pollenfront_log_lines_dropped_total")
	c.Assert(err, qt.IsNil)
	c.Assert(count, qt.Equals, 1)
}
