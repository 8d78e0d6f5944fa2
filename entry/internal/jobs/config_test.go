package jobs

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// linkDiscardingAgent adds an agent that discards what the entry sends to it.
func linkDiscardingAgent(t *testing.T, j *Jobs, now time.Duration, name string) {
	t.Helper()
	entryConn, agentConn := net.Pipe()
	link := &agentLink{Link: tasklink.NewLink(entryConn), hello: tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"}}
	t.Cleanup(link.Close)
	go func() { _, _ = io.Copy(io.Discard, agentConn) }()
	j.scheduler.LinkAgent(now, &link.hello)
	j.links[name] = link
}

// TestCopiesOfLargeConfig guards against copies of a large configuration that are sent to
// all agents at the same time, when they link after a start of the whole fleet, and fill
// the entry's network link while jobs wait for start commands.
func TestCopiesOfLargeConfig(t *testing.T) {
	c := qt.New(t)
	const agentCount = 10
	j := New(tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}, nil, prometheus.NewRegistry(), zap.NewNop())
	config := &pollenfront.Config{Version: 7}
	for i := range 2000 {
		config.Routes = append(config.Routes, pollenfront.Route{Host: "host.example", Name: fmt.Sprintf("route-%d", i), PathPrefix: "/prefix/", Service: "service"})
	}
	j.config.Store(config)
	start := time.Minute
	for i := range agentCount {
		linkDiscardingAgent(t, j, start, fmt.Sprintf("agent-%d", i))
	}
	copies := func() int {
		n := 0
		for _, link := range j.links {
			if link.configVersion == config.Version {
				n++
			}
		}
		return n
	}
	size := config.Msgsize()
	for elapsed := time.Duration(0); copies() < agentCount; elapsed += 40 * time.Millisecond {
		c.Assert(elapsed < 20*time.Second, qt.IsTrue, qt.Commentf("%d copies sent", copies()))
		before := copies()
		j.sendCopies(start + elapsed)
		c.Assert(copies()-before <= 1, qt.IsTrue)
		c.Assert(float64((copies()-1)*size) <= copyRate*(elapsed.Seconds()+0.04), qt.IsTrue)
	}
}

// TestNoCopyToItsSource guards against sending a configuration back to the agent from which the
// entry has it.
func TestNoCopyToItsSource(t *testing.T) {
	c := qt.New(t)
	j := New(tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}, nil, prometheus.NewRegistry(), zap.NewNop())
	linkDiscardingAgent(t, j, time.Minute, "source")
	linkDiscardingAgent(t, j, time.Minute, "other")
	config := &pollenfront.Config{Version: 7}
	j.handleUpdate(j.links["source"], &tasklink.Update{Config: config})
	j.config.Store(config)
	next := j.nextCopy
	j.links["other"].configVersion = config.Version
	j.sendCopies(2 * time.Minute)
	c.Assert(j.links["source"].configVersion, qt.Equals, config.Version)
	c.Assert(j.nextCopy-max(next, 2*time.Minute-scheduler.TickInterval), qt.Equals, time.Duration(0), qt.Commentf("a copy was sent"))
}
