package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/agent/internal/driver"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/cell"
)

// cellInterval is the time between two checks of which entries to link to.
const cellInterval = 500 * time.Millisecond

// An entryDialer keeps links to the entries of the agent's cell.
type entryDialer struct {
	// cancels holds, by the address of an entry, the function that stops dialing it
	// and closes its link.
	cancels map[string]context.CancelFunc
	cell    *cell.Cell
	driver  *driver.Driver
	// mu guards cancels and cell.
	mu sync.Mutex
	// records are the registered entries. Only setEntries uses them.
	records map[string]pollenfront.EntryRecord
}

// newEntryDialer returns an entryDialer without links.
func newEntryDialer(d *driver.Driver, c *cell.Cell) *entryDialer {
	return &entryDialer{cancels: make(map[string]context.CancelFunc), cell: c, driver: d}
}

// setEntries sets the registered entries. It does nothing if they have not changed, as a cell
// of thousands of records takes milliseconds to draw and a poll may return several times a
// second.
func (d *entryDialer) setEntries(ctx context.Context, entries pollenfront.Entries) {
	if maps.Equal(d.records, entries.Records) {
		return
	}
	d.records = entries.Records
	records := make([]pollenfront.EntryRecord, 0, len(entries.Records))
	for _, record := range entries.Records {
		records = append(records, record)
	}
	d.mu.Lock()
	d.cell.SetEntries(records)
	d.mu.Unlock()
	d.update(ctx)
}

// run updates the links regularly until ctx is done, and returns ctx.Err().
func (d *entryDialer) run(ctx context.Context) error {
	ticker := time.NewTicker(cellInterval)
	defer ticker.Stop()
	for {
		d.update(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// update dials the entries that were added to the cell, and releases those that were
// removed from it. It stops dialing these once no run of theirs is left.
func (d *entryDialer) update(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cell.SetOverloaded(d.driver.Overloaded())
	wanted := d.cell.Update(bootclock.Now(), d.driver.Links())
	for _, address := range wanted {
		if _, ok := d.cancels[address]; ok {
			d.driver.Retain(address)
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		d.cancels[address] = cancel
		go d.driver.Dial(dialCtx, address)
	}
	for address, cancel := range d.cancels {
		if _, ok := slices.BinarySearch(wanted, address); !ok && d.driver.Release(address) {
			cancel()
			delete(d.cancels, address)
		}
	}
}
