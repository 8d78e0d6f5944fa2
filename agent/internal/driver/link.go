package driver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Parameters of the links to entries.
const (
	dialTimeout = 150 * time.Millisecond
	// earlierRunsPollInterval is the time between two checks whether the runs
	// of an earlier incarnation of the agent have ended.
	earlierRunsPollInterval = 20 * time.Millisecond
	// The delay before the next attempt to dial an entry grows from
	// minRedialDelay to maxRedialDelay.
	minRedialDelay = 60 * time.Millisecond
	maxRedialDelay = 250 * time.Millisecond
	// silenceTimeout is the time without a message from an entry after which
	// its link is closed.
	silenceTimeout = 1500 * time.Millisecond
	// An entry without a link for slowRedialAfter was most likely removed. The
	// delay before dialing it then grows to slowRedialDelay.
	slowRedialAfter = 30 * time.Second
	slowRedialDelay = 5 * time.Second
)

// An entryLink is a link to one incarnation of an entry.
type entryLink struct {
	*tasklink.Link

	address string
	// agentCount is the AgentCount of the newest commands.
	agentCount int
	// needsConfig is set until an update with the configuration was sent to an entry
	// that had none.
	needsConfig bool
	ref         pollenfront.EntryRef
}

// Dial keeps a link to the entry at address, dialing again after each failure,
// until ctx is done. The entry assumes that a run which the hello does not list will
// never start (see tasklink.Hello). Dial therefore first waits until the runs of
// earlier incarnations of this agent have ended.
func (d *Driver) Dial(ctx context.Context, address string) {
	delay, maxDelay := minRedialDelay, maxRedialDelay
	lastLinked := bootclock.Now()
	loggedCause := ""
	for ctx.Err() == nil {
		if !d.earlierRunsEnded() {
			program.Sleep(ctx, earlierRunsPollInterval)
			continue
		}
		linked, err := d.dialOnce(ctx, address)
		if linked {
			delay, maxDelay, lastLinked = minRedialDelay, maxRedialDelay, bootclock.Now()
			loggedCause = ""
			d.logger.Warn("entry lost", zap.String("address", address), zap.Error(err))
		} else if cause := errorCause(err); cause != loggedCause && ctx.Err() == nil {
			loggedCause = cause
			d.logger.Warn("entry not linked", zap.String("address", address), zap.Error(err))
		}
		program.Sleep(ctx, delay)
		if bootclock.Now()-lastLinked > slowRedialAfter {
			maxDelay = slowRedialDelay
		}
		delay = min(delay*3/2, maxDelay)
	}
}

// errorCause returns the text of an error without the addresses of the connection, which
// differ in each attempt.
func errorCause(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Err.Error()
	}
	return err.Error()
}

// earlierRunsEnded reports whether no run of an earlier incarnation of this agent
// is left on the backend server.
func (d *Driver) earlierRunsEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.EarlierRunsEnded(bootclock.Now(), d.started)
}

// dialOnce dials the entry at address once and serves the link until it closes.
// It reports whether a link was established, and why it failed or closed.
func (d *Driver) dialOnce(ctx context.Context, address string) (linked bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	link := &entryLink{Link: tasklink.NewLink(conn), address: address}
	defer link.Close()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	var hello tasklink.Hello
	if err := link.Receive(&hello); err != nil {
		return false, err
	}
	if hello.Version != tasklink.Version {
		return false, fmt.Errorf("the entry uses protocol version %d, and this agent version %d", hello.Version, tasklink.Version)
	}
	link.needsConfig = hello.ConfigVersion == 0
	link.ref = pollenfront.EntryRef{Incarnation: hello.Incarnation, Name: hello.Name}
	if err := d.addLink(link); err != nil {
		return false, err
	}
	err = d.receiveCommands(conn, link)
	d.removeLink(link)
	return true, err
}

// addLink sends the hello on a link and then the executor's first update. The
// link replaces any other link to the entry, unless that one is to a later
// incarnation.
func (d *Driver) addLink(link *entryLink) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous, ok := d.links[link.ref.Name]; ok {
		if previous.ref.Incarnation > link.ref.Incarnation {
			return fmt.Errorf("a later incarnation of entry %s is already linked", link.ref.Name)
		}
		previous.Close()
	}
	d.links[link.ref.Name] = link
	now := bootclock.Now()
	runs, effects := d.executor.LinkEntry(now, link.ref)
	hello := d.self
	d.lastLinkSeqNum++
	hello.LinkSeqNum, hello.Runs, hello.Token = d.lastLinkSeqNum, runs, d.executor.ReservedToken()
	hello.Cancellations = d.executor.NextCancellations(now, link.ref.Name)
	if err := link.Send(&hello); err != nil {
		delete(d.links, link.ref.Name)
		d.executor.UnlinkEntry(link.ref)
		d.applyEffects(now, effects)
		return err
	}
	d.logger.Info("entry linked", zap.String("entry", link.ref.Name), zap.Uint64("incarnation", link.ref.Incarnation), zap.Int("runs", len(runs)))
	d.applyEffects(now, effects)
	d.sendUpdate(now, link.ref.Name)
	return nil
}

// receiveCommands passes the commands of an entry to the executor until the link
// closes or the entry is silent for silenceTimeout. Commands that arrive on a link
// that was replaced are dropped.
func (d *Driver) receiveCommands(conn net.Conn, link *entryLink) error {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silenceTimeout))
		var commands tasklink.Commands
		if err := link.Receive(&commands); err != nil {
			return err
		}
		now := bootclock.Now()
		d.handleEvent(now, func() executor.Effects {
			if d.links[link.ref.Name] != link {
				return executor.Effects{}
			}
			if commands.AgentCount > 0 {
				link.agentCount = commands.AgentCount
			}
			if commands.Config != nil && (d.config == nil || commands.Config.Version > d.config.Version) {
				d.config = commands.Config
			}
			return d.executor.HandleCommands(now, link.ref, &commands)
		})
	}
}

// removeLink notifies the executor that a link has closed, unless another link to the
// entry has replaced it.
func (d *Driver) removeLink(link *entryLink) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[link.ref.Name] == link {
		delete(d.links, link.ref.Name)
		d.executor.UnlinkEntry(link.ref)
	}
}
