package driver

import (
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
)

// EnableDemandShares makes the agent state shares to entries by the demands that they
// state. It must be called before Run and Dial.
func (d *Driver) EnableDemandShares() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.EnableDemandShares()
}

// recordInvalidDemands counts the invalid demands that entries have stated, and logs the
// first one of each entry. The caller must hold mu.
func (d *Driver) recordInvalidDemands(demands []executor.InvalidDemand) {
	for _, invalid := range demands {
		d.metrics.invalidDemands.Inc()
		if invalid.First {
			d.logger.Warn("invalid demand ignored", zap.String("entry", invalid.Entry), zap.Int("demand", invalid.Demand))
		}
	}
}

// Overloaded returns the hashes of the names of the entries that are overloaded, and
// whether the server has room for one of them.
func (d *Driver) Overloaded() (hashes []uint32, room bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.OverloadedEntries(), d.executor.HasRoom(bootclock.Now())
}
