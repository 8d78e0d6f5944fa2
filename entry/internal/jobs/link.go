package jobs

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An agentLink is the link to an agent.
type agentLink struct {
	*tasklink.Link

	hello tasklink.Hello
}

// greetingMemory is how long a greeting may be held up and still be known as old.
const greetingMemory = 10 * time.Second

// A greeting is the newest greeting of an agent. One that was held up and
// arrives later does not know the runs that were ordered since.
type greeting struct {
	incarnation uint64
	link        uint64
	lost        time.Duration // When its link was lost, or zero.
}

// forgetGreetings forgets the greetings of agents that were lost long ago. An
// agent whose clock was set back may come with a lower incarnation.
func (j *Jobs) forgetGreetings(now time.Duration) {
	for name, g := range j.greetings {
		if g.lost > 0 && now-g.lost > greetingMemory {
			delete(j.greetings, name)
		}
	}
}

// before reports whether a greeting was sent after g.
func (g greeting) before(hello *tasklink.Hello) bool {
	return cmp.Or(cmp.Compare(g.incarnation, hello.Incarnation), cmp.Compare(g.link, hello.LinkSeqNum)) < 0
}

// Serve serves the links that agents open, until the listener closes.
func (j *Jobs) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			j.logger.Warn("could not accept a link", zap.Error(err))
			continue
		}
		go j.serveLink(conn)
	}
}

// serveLink serves one link until it closes.
func (j *Jobs) serveLink(conn net.Conn) {
	link := &agentLink{Link: tasklink.NewLink(conn)}
	defer link.Close()
	if err := j.greet(link); err != nil {
		j.logger.Info("link refused", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
		return
	}
	err := j.receive(link)
	j.unlinked(link, err)
}

// greet exchanges greetings with an agent and notes the link.
func (j *Jobs) greet(link *agentLink) error {
	if err := link.Send(&j.self); err != nil {
		return err
	}
	if err := link.Receive(&link.hello); err != nil {
		return err
	}
	if link.hello.Version != tasklink.Version {
		return fmt.Errorf("the agent speaks version %d of the protocol, and this entry version %d", link.hello.Version, tasklink.Version)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	newest := j.greetings[link.hello.Name]
	if !newest.before(&link.hello) {
		return errors.New("the agent has linked again since it sent the greeting")
	}
	j.greetings[link.hello.Name] = greeting{incarnation: link.hello.Incarnation, link: link.hello.LinkSeqNum}
	if former, ok := j.links[link.hello.Name]; ok {
		former.Close()
	}
	j.links[link.hello.Name] = link
	now := bootclock.Now()
	j.logger.Info("agent linked", zap.String("agent", link.hello.Name), zap.Uint64("incarnation", link.hello.Incarnation), zap.Int("runs", len(link.hello.Runs)))
	j.perform(now, j.scheduler.LinkAgent(now, &link.hello))
	return nil
}

// receive takes the updates of an agent until its link closes.
func (j *Jobs) receive(link *agentLink) error {
	for {
		var update tasklink.Update
		if err := link.Receive(&update); err != nil {
			return err
		}
		j.updated(link, &update)
	}
}

// updated takes an update of an agent.
func (j *Jobs) updated(link *agentLink, update *tasklink.Update) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.links[link.hello.Name] != link {
		return
	}
	now := bootclock.Now()
	j.perform(now, j.scheduler.HandleUpdate(now, link.hello.Name, update))
}

// unlinked notes that a link is closed.
func (j *Jobs) unlinked(link *agentLink, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.links[link.hello.Name] != link {
		return
	}
	delete(j.links, link.hello.Name)
	lost := j.greetings[link.hello.Name]
	lost.lost = bootclock.Now()
	j.greetings[link.hello.Name] = lost
	j.logger.Warn("agent lost", zap.String("agent", link.hello.Name), zap.Error(err))
	j.scheduler.UnlinkAgent(link.hello.Name, link.hello.Incarnation)
}
