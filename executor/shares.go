package executor

import (
	"math"
	"time"

	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/tasklink"
)

// EnableDemandShares makes the executor state shares to the entries by the demands that
// they state. The driver calls it before the first event.
func (x *Executor) EnableDemandShares() {
	x.shares = demandshare.NewLedger()
	x.overload.heard = make(map[uint32]time.Duration)
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

// recordDemand records the demand that an entry has stated, and the overloaded entry that
// it names. An invalid demand is ignored and returned in the effects, for the log.
func (x *Executor) recordDemand(now time.Duration, e *entry, commands *tasklink.Commands, effects *Effects) {
	if x.shares == nil {
		return
	}
	if commands.Overloaded != 0 {
		x.overload.heard[commands.Overloaded] = now
	}
	demand := int(commands.Demand)
	if err := x.shares.Record(now, e.Name, float64(demand)); err != nil {
		effects.InvalidDemands = append(effects.InvalidDemands, InvalidDemand{Demand: demand, Entry: e.Name, First: !e.invalidDemand})
		e.invalidDemand = true
	}
}

// grantShare returns the share to state to an entry in an update that is sent now.
func (x *Executor) grantShare(now time.Duration, e *entry) int32 {
	if x.shares == nil {
		return 0
	}
	return int32(min(x.shares.Grant(now, e.Name, x.server.capacity.learned.CPU), math.MaxInt32)) //nolint:gosec // Limited to the range.
}

// Shares returns the shares of the linked entries by their names, or nil if the executor
// states none.
func (x *Executor) Shares(now time.Duration) map[string]demandshare.Share {
	if x.shares == nil {
		return nil
	}
	return x.shares.Shares(now, x.server.capacity.learned.CPU)
}
