package jobs

import (
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An agentLink is a link to an agent with the hello that the agent sent over it.
type agentLink struct {
	*tasklink.Link

	// accepted numbers the links in the order in which they were accepted.
	accepted uint64
	conn     net.Conn
	// configVersion is the version of the configuration that was sent last on the link, or
	// zero if none was.
	configVersion uint64
	hello         tasklink.Hello
}

// helloRetention is how long the record of an agent's newest hello is kept after the
// agent's link is lost. A stale hello that arrives within this time is recognized and
// rejected.
const helloRetention = 10 * time.Second

// Limits on new links.
const (
	// acceptRetryDelay is the delay after a failure to accept a link. The process is
	// most likely out of descriptors then.
	acceptRetryDelay = 50 * time.Millisecond
	// helloTimeout is the time within which the other side of a new link must send its
	// hello.
	helloTimeout = 2 * time.Second
)

// A helloRecord identifies the newest hello of an agent. A stale hello, which was
// delayed and arrives after a newer one, must be rejected: it does not list the runs
// that were started since, so the scheduler would start them again.
type helloRecord struct {
	// accepted is the position of the hello's link among those that were accepted.
	accepted    uint64
	incarnation uint64
	linkSeqNum  uint64
	// lostAt is the time at which the agent's link was lost, or zero while it
	// is open.
	lostAt time.Duration
}

// evictHellos removes the records of agents whose links were lost more than
// helloRetention ago.
func (j *Jobs) evictHellos(now time.Duration) {
	for name, record := range j.hellos {
		if record.lostAt > 0 && now-record.lostAt > helloRetention {
			delete(j.hellos, name)
		}
	}
}

// makesStale reports whether the hello on a link is older than the recorded one. An incarnation of an
// agent numbers its links. Incarnations are times of day, which may be set back, so that they have no
// order. But the links of one incarnation are accepted after those of the former one.
func (r helloRecord) makesStale(link *agentLink) bool {
	if r.incarnation == link.hello.Incarnation {
		return r.linkSeqNum >= link.hello.LinkSeqNum
	}
	return r.accepted > link.accepted
}

// Serve accepts links from agents until the listener is closed. It then returns
// nil. Other errors of the listener are logged, and accepting is tried again after
// acceptRetryDelay.
func (j *Jobs) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			j.logger.Warn("link not accepted", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		go j.serveLink(j.newLink(conn))
	}
}

// newLink returns the link on a connection that was accepted.
func (j *Jobs) newLink(conn net.Conn) *agentLink {
	return &agentLink{Link: tasklink.NewLink(conn), accepted: j.acceptedLinks.Add(1), conn: conn}
}

// serveLink serves a link until it closes. If the handshake fails, it closes the link
// at once.
func (j *Jobs) serveLink(link *agentLink) {
	defer link.Close()
	_ = link.conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := j.handshake(link); err != nil {
		j.logger.Info("link refused", zap.Stringer("from", link.conn.RemoteAddr()), zap.Error(err))
		return
	}
	_ = link.conn.SetReadDeadline(time.Time{}) // The scheduler closes the links of silent agents.
	err := j.receiveUpdates(link)
	j.removeLink(link, err)
}

// handshake exchanges hellos with an agent and registers the link. It closes the
// link that the agent had before, if any.
func (j *Jobs) handshake(link *agentLink) error {
	hello := j.self
	hello.ConfigVersion = j.configVersion()
	if err := link.Send(&hello); err != nil {
		return err
	}
	if err := link.Receive(&link.hello); err != nil {
		return err
	}
	if link.hello.Version != tasklink.Version {
		return fmt.Errorf("the agent uses version %d of the protocol, and this entry version %d", link.hello.Version, tasklink.Version)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent() // Its commands must not go to the new link, as the hello does not account for them.
	newest := j.hellos[link.hello.Name]
	if newest.makesStale(link) {
		return fmt.Errorf("stale hello: got link %d of incarnation %d, the newest is link %d of incarnation %d",
			link.hello.LinkSeqNum, link.hello.Incarnation, newest.linkSeqNum, newest.incarnation)
	}
	j.hellos[link.hello.Name] = helloRecord{accepted: link.accepted, incarnation: link.hello.Incarnation, linkSeqNum: link.hello.LinkSeqNum}
	if previous, ok := j.links[link.hello.Name]; ok {
		previous.Close()
	}
	j.links[link.hello.Name] = link
	j.logger.Info("agent linked", zap.String("agent", link.hello.Name), zap.Uint64("incarnation", link.hello.Incarnation), zap.Int("runs", len(link.hello.Runs)))
	j.applyEffects(now, j.scheduler.LinkAgent(now, &link.hello))
	j.sendCopies(now)
	return nil
}

// receiveUpdates receives an agent's updates until its link closes, and returns the
// link's error.
func (j *Jobs) receiveUpdates(link *agentLink) error {
	for {
		var update tasklink.Update
		if err := link.Receive(&update); err != nil {
			return err
		}
		j.handleUpdate(link, &update)
	}
}

// handleUpdate passes an update to the scheduler, unless the link was replaced by a
// newer one.
func (j *Jobs) handleUpdate(link *agentLink, update *tasklink.Update) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.links[link.hello.Name] != link {
		return
	}
	now := j.beginEvent()
	if update.Config != nil {
		link.configVersion = update.Config.Version
		if !j.storeRead {
			j.offerConfig(now, update.Config)
		}
	}
	j.applyEffects(now, j.scheduler.HandleUpdate(now, link.hello.Name, update))
}

// removeLink removes a link that was closed with err, unless it was replaced by a
// newer one.
func (j *Jobs) removeLink(link *agentLink, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.links[link.hello.Name] != link {
		return
	}
	delete(j.links, link.hello.Name)
	record := j.hellos[link.hello.Name]
	record.lostAt = bootclock.Now()
	j.hellos[link.hello.Name] = record
	j.logger.Warn("agent lost", zap.String("agent", link.hello.Name), zap.Error(err))
	j.scheduler.UnlinkAgent(link.hello.Name, link.hello.Incarnation)
}
