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
