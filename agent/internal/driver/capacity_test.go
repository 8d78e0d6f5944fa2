package driver

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A fullServer is a backend server that rejects all starts for lack of capacity.
type fullServer struct {
	fakeServer
}

// Start implements pollenfront.BackendServer.
func (*fullServer) Start(context.Context, pollenfront.StartRequest) (time.Duration, error) {
	return time.Second, pollenfront.ErrNoCapacity
}

// TestReducedCapacityIsShown checks that one log line and the metrics tell that the server
// provides less than it announces, and one line that it does so again.
func TestReducedCapacityIsShown(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	d := New(tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Zone: "west"}, &fullServer{}, &fakeStore{}, registry, zap.New(core))
	now := bootclock.Now()
	entry := pollenfront.EntryRef{Incarnation: 1, Name: "entry-1"}
	handleAnnouncement := func(a pollenfront.Announcement) {
		d.handleEvent(now, func() executor.Effects { return d.executor.HandleAnnouncement(now, a) })
	}
	handleAnnouncement(announcement)
	d.handleEvent(now, func() executor.Effects {
		return d.executor.HandleRenewal(now, now, &pollenfront.RenewalResponse{Clock: time.Second, Incarnation: 3})
	})
	d.handleEvent(now, func() executor.Effects {
		_, effects := d.executor.LinkEntry(now, entry)
		return effects
	})
	d.handleEvent(now, func() executor.Effects {
		return d.executor.HandleCommands(now, entry, &tasklink.Commands{EchoedClock: int64(now), Starts: []tasklink.StartCommand{{
			ExpectedRunTime: int64(time.Second), Job: "0a", Need: pollenfront.Resources{CPU: 6000}, Service: "service",
			Tasks: []tasklink.StartTask{{Index: 0, Run: 1, SeqNum: 1}},
		}}})
	})
	for attempts := 0; attempts < 400 && !d.idle(); attempts++ {
		time.Sleep(5 * time.Millisecond)
	}
	reduced := logs.FilterMessage("backend server provides less than it announces")
	c.Assert(reduced.Len(), qt.Equals, 1)
	c.Assert(reduced.All()[0].ContextMap()["cpu"], qt.Equals, int64(64000))
	c.Assert(metricValue(t, registry, "pollenfront_starts_rejected_total"), qt.Equals, 1.0)
	c.Assert(metricValue(t, registry, "pollenfront_server_effective_cpu_ratio") < 1, qt.IsTrue)

	announced := announcement
	announced.Capacity.CPU, announced.SeqNum = 32000, 2
	handleAnnouncement(announced)
	c.Assert(logs.FilterMessage("backend server provides what it announces").Len(), qt.Equals, 1)
	c.Assert(logs.FilterMessage("backend server provides less than it announces").Len(), qt.Equals, 1)
	c.Assert(metricValue(t, registry, "pollenfront_server_effective_cpu_ratio"), qt.Equals, 1.0)
}

// metricValue returns the value of a counter or gauge without labels.
func metricValue(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == name {
			metric := family.GetMetric()[0]
			return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}
