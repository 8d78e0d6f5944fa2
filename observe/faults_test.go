package observe_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/observe"
)

// TestFaultsLoggedOnce guards against a log that one row fills which another writer writes
// again and again, and against memory that grows with faults that differ each time.
func TestFaultsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	core, logs := observer.New(zap.InfoLevel)
	faults := observe.NewFaults(registry)
	for range 600 {
		faults.RecordRows(zap.New(core), "entries", []pollenfront.InvalidRow{{Fault: "bad port", Key: "a"}, {Fault: "bad port", Key: "b"}})
	}
	faults.RecordRows(zap.New(core), "entries", []pollenfront.InvalidRow{{Fault: "too deep", Key: "a"}})
	c.Assert(logs.Len(), qt.Equals, 3)
	c.Assert(testutil.GatherAndCompare(registry, strings.NewReader(`
		# HELP pollenfront_invalid_inputs_total Rows of the store and of backend servers' lists, and saved announcements, that could not be used, by source.
		# TYPE pollenfront_invalid_inputs_total counter
		pollenfront_invalid_inputs_total{source="entries"} 1201
	`)), qt.IsNil)
	for i := range 5000 {
		faults.RecordRows(zap.New(core), "entries", []pollenfront.InvalidRow{{Fault: fmt.Sprintf("fault %d", i), Key: "a"}})
	}
	c.Assert(logs.Len(), qt.Equals, 1000)
}
