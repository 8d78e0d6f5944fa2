package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// newLoggedJobs returns a Jobs without agents, its log and its metrics.
func newLoggedJobs() (*Jobs, *observer.ObservedLogs, *prometheus.Registry) {
	core, logs := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	return New(tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}, nil, registry, zap.New(core)), logs, registry
}

// invalidInputs returns the number of invalid inputs that were counted.
func invalidInputs(c *qt.C, registry *prometheus.Registry) (sum float64) {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == "pollenfront_invalid_inputs_total" {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// TestRowWrittenAgain guards against a log that one invalid row fills which another writer
// writes every 100 ms for a minute.
func TestRowWrittenAgain(t *testing.T) {
	c := qt.New(t)
	j, logs, registry := newLoggedJobs()
	for version := range uint64(600) {
		j.SetOperatorState(pollenfront.OperatorState{DecodeErrors: []string{"too deep"}, Version: version})
		j.SetEntries(pollenfront.Entries{InvalidRows: []pollenfront.InvalidRow{{Fault: "the port is out of range", Key: "odd"}}, Version: version})
	}
	c.Assert(logs.FilterMessage("part of the operator state could not be decoded, its previous value stays in force").Len(), qt.Equals, 1)
	c.Assert(logs.FilterMessage("invalid row ignored").Len(), qt.Equals, 1)
	c.Assert(logs.Len(), qt.Equals, 2)
	c.Assert(invalidInputs(c, registry), qt.Equals, 1200.0)
	problems, err := testutil.GatherAndLint(registry)
	c.Assert(err, qt.IsNil)
	c.Assert(problems, qt.HasLen, 0)
}

// TestStartWithInvalidConfig guards against an entry that serves no job after a start because
// the configuration in the store can't be decoded, although agents keep the one that is in
// force elsewhere.
func TestStartWithInvalidConfig(t *testing.T) {
	c := qt.New(t)
	j, _, _ := newLoggedJobs()
	linkDiscardingAgent(t, j, time.Second, "agent-1")
	j.SetOperatorState(pollenfront.OperatorState{DecodeErrors: []string{"too deep"}, DisabledZones: []string{"east"}, Version: 9})
	j.handleUpdate(j.links["agent-1"], &tasklink.Update{Config: &pollenfront.Config{Version: 7}})
	j.mu.Lock()
	j.adoptConfig(j.offeredAt + time.Second)
	j.mu.Unlock()
	c.Assert(j.configVersion(), qt.Equals, uint64(7))
	j.SetOperatorState(pollenfront.OperatorState{Config: &pollenfront.Config{Version: 8}, Version: 10})
	c.Assert(j.configVersion(), qt.Equals, uint64(8))
}
