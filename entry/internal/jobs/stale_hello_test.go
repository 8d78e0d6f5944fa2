package jobs

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/tasklink"
)

// TestHelloOfNextIncarnation guards against servers that stand idle for 10 s after a restart of
// their agents, since the time of day was set back in between: their hellos counted as stale. The hello
// of a former incarnation that arrives late must still be rejected.
func TestHelloOfNextIncarnation(t *testing.T) {
	const first, second = 1_000_000, 998_000
	tests := []struct {
		name string
		// connections are the incarnations of the agent in the order in which its connections are
		// accepted, and hellos the positions of those whose hellos arrive, in this order.
		connections, hellos []uint64
		linked              uint64
	}{
		{name: "clock ahead", connections: []uint64{second, first}, hellos: []uint64{0, 1}, linked: first},
		{name: "clock set back", connections: []uint64{first, second}, hellos: []uint64{0, 1}, linked: second},
		{name: "late hello, clock ahead", connections: []uint64{second, first}, hellos: []uint64{1, 0}, linked: first},
		{name: "late hello, clock set back", connections: []uint64{first, second}, hellos: []uint64{1, 0}, linked: second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j, _ := newLinkedJobs(t, nil)
			var links []*tasklink.Link
			var served []chan struct{}
			for range test.connections {
				entryConn, agentConn := net.Pipe()
				link, done := j.newLink(entryConn), make(chan struct{})
				go func() {
					j.serveLink(link)
					close(done)
				}()
				agentLink := tasklink.NewLink(agentConn)
				t.Cleanup(agentLink.Close)
				var hello tasklink.Hello
				c.Assert(agentLink.Receive(&hello), qt.IsNil)
				links, served = append(links, agentLink), append(served, done)
			}
			for _, i := range test.hellos {
				hello := tasklink.Hello{Incarnation: test.connections[i], LinkSeqNum: 1, Name: "agent-2", Service: "service", Version: tasklink.Version, Zone: "west"}
				c.Assert(links[i].Send(&hello), qt.IsNil)
				if test.connections[i] == test.linked {
					awaitLink(t, j, "agent-2", test.linked)
				}
			}
			for i, incarnation := range test.connections {
				if incarnation == test.linked {
					continue
				}
				select {
				case <-served[i]:
				case <-time.After(2 * time.Second):
					t.Fatalf("the link of incarnation %d is neither replaced nor refused", incarnation)
				}
			}
			awaitLink(t, j, "agent-2", test.linked)
		})
	}
}

// awaitLink waits until an incarnation of an agent is linked.
func awaitLink(t *testing.T, j *Jobs, name string, incarnation uint64) {
	t.Helper()
	linked := uint64(0)
	for deadline := time.Now().Add(2 * time.Second); linked != incarnation && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		j.mu.Lock()
		if link, ok := j.links[name]; ok {
			linked = link.hello.Incarnation
		}
		j.mu.Unlock()
	}
	qt.Assert(t, linked, qt.Equals, incarnation)
}
