package executor

import (
	"time"

	"github.com/pollenfront/pollenfront/demandshare"
)

// EnableDemandShares makes the executor state shares to the entries by the demands that
// they state. The driver calls it before the first event.
func (x *Executor) EnableDemandShares() {
	x.shares = demandshare.NewLedger()
}

// addToShares makes an entry take part in the shares.
func (x *Executor) addToShares(e *entry) {
	if x.shares != nil && e.linked && e.released == 0 {
		x.shares.Add(e.Name)
	}
}

// removeFromShares releases the share of an entry.
func (x *Executor) removeFromShares(e *entry) {
	if x.shares != nil {
		x.shares.Remove(e.Name)
	}
}

// recordDemand records the demand that an entry has stated. An invalid one is ignored,
// and the first of each link is returned in the effects for the log.
func (x *Executor) recordDemand(now time.Duration, e *entry, demand int, effects *Effects) {
	if x.shares == nil {
		return
	}
	if err := x.shares.Record(now, e.Name, float64(demand)); err != nil {
		effects.InvalidDemands = append(effects.InvalidDemands, InvalidDemand{Demand: demand, Entry: e.Name, First: !e.invalidDemand})
		e.invalidDemand = true
	}
}

// grantShare returns the share to state to an entry in an update that is sent now.
func (x *Executor) grantShare(now time.Duration, e *entry) int {
	if x.shares == nil {
		return 0
	}
	return x.shares.Grant(now, e.Name, x.server.capacity.CPU)
}

// Shares returns the shares of the linked entries by their names, or nil if the executor
// states none.
func (x *Executor) Shares(now time.Duration) map[string]demandshare.Share {
	if x.shares == nil {
		return nil
	}
	return x.shares.Shares(now, x.server.capacity.CPU)
}
