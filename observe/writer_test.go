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

// A blocked output never takes a byte.
type blocked struct{}

func (blocked) Write([]byte) (int, error) {
	select {}
}

// TestBlockedOutput checks that a log whose reader has stopped delays nobody,
// is bounded in memory, and counts what it leaves out.
func TestBlockedOutput(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	w := observe.NewWriter(blocked{}, registry)
	line := make([]byte, 1000)
	started := time.Now()
	for range 10_000 {
		n, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue)
	dropped := counter(c, registry)
	c.Assert(dropped > 7000 && dropped < 10_000, qt.IsTrue, qt.Commentf("%v dropped", dropped))
}

// counter returns the number of lines that were left out.
func counter(c *qt.C, registry *prometheus.Registry) float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == "pollenfront_log_lines_dropped_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	c.Fatal("the counter is missing")
	return 0
}

// lines counts what is written.
type lines struct{ n chan int }

func (l lines) Write(p []byte) (int, error) {
	for _, b := range p {
		if b == '\n' {
			l.n <- 1
		}
	}
	return len(p), nil
}

// TestBoundedVolume checks that ten times the usual load writes a bounded
// number of lines.
func TestBoundedVolume(t *testing.T) {
	c := qt.New(t)
	out := lines{n: make(chan int, 100_000)}
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
