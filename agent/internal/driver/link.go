package driver

import (
	"context"
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

// Parameters of dialling entries.
const (
	dialTimeout = 150 * time.Millisecond
	firstPause  = 60 * time.Millisecond
	maxPause    = 250 * time.Millisecond
	// An entry that was away for goneAfter was most likely removed, and is
	// dialled every gonePause.
	goneAfter    = 30 * time.Second
	gonePause    = 5 * time.Second
	readyPause   = 20 * time.Millisecond // While something of an earlier incarnation may run.
	silenceLimit = 1500 * time.Millisecond
)

// An entryLink is the link to an entry.
type entryLink struct {
	*tasklink.Link

	ref pollenfront.EntryRef
}

// Dial keeps a link to the entry at an address until ctx ends.
func (w *Driver) Dial(ctx context.Context, address string) {
	pause, longest := firstPause, maxPause
	lost := bootclock.Now()
	for ctx.Err() == nil {
		if !w.ready() {
			program.Sleep(ctx, readyPause)
			continue
		}
		linked, err := w.dialOnce(ctx, address)
		if linked {
			pause, longest, lost = firstPause, maxPause, bootclock.Now()
			w.logger.Warn("entry lost", zap.String("address", address), zap.Error(err))
		}
		program.Sleep(ctx, pause)
		if bootclock.Now()-lost > goneAfter {
			longest = gonePause
		}
		pause = min(pause*3/2, longest)
	}
}

// ready reports whether nothing of an earlier incarnation of this agent runs.
func (w *Driver) ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executor.Clean(bootclock.Now(), w.started)
}

// dialOnce links to the entry at an address, and returns when the link closes.
// It reports whether there was a link.
func (w *Driver) dialOnce(ctx context.Context, address string) (linked bool, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	link := &entryLink{Link: tasklink.NewLink(conn)}
	defer link.Close()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(silenceLimit))
	var hello tasklink.Hello
	if err := link.Receive(&hello); err != nil {
		return false, err
	}
	if hello.Version != tasklink.Version {
		return false, fmt.Errorf("the entry speaks version %d of the protocol, and this agent version %d", hello.Version, tasklink.Version)
	}
	link.ref = pollenfront.EntryRef{Incarnation: hello.Incarnation, Name: hello.Name}
	if err := w.linked(link); err != nil {
		return false, err
	}
	err = w.receive(conn, link)
	w.unlinked(link)
	return true, err
}

// linked greets an entry and notes the link.
func (w *Driver) linked(link *entryLink) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if former, ok := w.links[link.ref.Name]; ok {
		if former.ref.Incarnation > link.ref.Incarnation {
			return fmt.Errorf("a later incarnation of entry %s is linked", link.ref.Name)
		}
		former.Close()
	}
	w.links[link.ref.Name] = link
	now := bootclock.Now()
	runs, effects := w.executor.LinkEntry(now, link.ref)
	hello := w.self
	w.linkCount++
	hello.LinkSeqNum, hello.Runs = w.linkCount, runs
	if err := link.Send(&hello); err != nil {
		return err
	}
	w.logger.Info("entry linked", zap.String("entry", link.ref.Name), zap.Uint64("incarnation", link.ref.Incarnation), zap.Int("runs", len(runs)))
	w.perform(now, effects)
	w.update(now, link.ref.Name)
	return nil
}

// receive takes the orders of an entry until its link closes or is silent.
func (w *Driver) receive(conn net.Conn, link *entryLink) error {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silenceLimit))
		var orders tasklink.Commands
		if err := link.Receive(&orders); err != nil {
			return err
		}
		now := bootclock.Now()
		w.apply(now, func() executor.Effects {
			if w.links[link.ref.Name] != link {
				return executor.Effects{}
			}
			return w.executor.HandleCommands(now, link.ref, &orders)
		})
	}
}

// unlinked notes that a link is closed.
func (w *Driver) unlinked(link *entryLink) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.links[link.ref.Name] == link {
		delete(w.links, link.ref.Name)
		w.executor.UnlinkEntry(link.ref)
	}
}
