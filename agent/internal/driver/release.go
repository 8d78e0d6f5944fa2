package driver

import (
	"time"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/executor"
)

// Links returns the open links, in no particular order.
func (d *Driver) Links() []cell.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := make([]cell.Link, 0, len(d.links))
	for _, link := range d.links {
		open = append(open, cell.Link{Address: link.address, AgentCount: link.agentCount})
	}
	return open
}

// Release makes the entry at address send no more tasks. It reports whether the link can
// be closed, which is so once all runs of the entry have ended or if there is no link.
func (d *Driver) Release(address string) bool {
	released := true
	d.handleLink(address, func(now time.Duration, entry string) executor.Effects {
		released = d.executor.Released(entry)
		return d.executor.Release(now, entry)
	})
	return released
}

// Retain reverts Release.
func (d *Driver) Retain(address string) {
	d.handleLink(address, func(_ time.Duration, entry string) executor.Effects { return d.executor.Retain(entry) })
}

// handleLink calls handler with the name of the entry that is linked at address, if
// there is one, and carries out the effects that it returns.
func (d *Driver) handleLink(address string, handler func(now time.Duration, entry string) executor.Effects) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, link := range d.links {
		if link.address == address {
			now := bootclock.Now()
			d.applyEffects(now, handler(now, name))
			return
		}
	}
}
