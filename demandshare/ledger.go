package demandshare

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Parameters of a Ledger.
const (
	// StatementLifetime is the age after which a statement counts as none. It is the
	// time after which an entry and an agent consider each other lost.
	StatementLifetime = 1300 * time.Millisecond
	// linkReserve is the part of the capacity that is not shared out, so that an entry
	// that links can be given a share before the others are told theirs.
	linkReserve = 0.01
	// linkReserveParts is the number of parts into which what is left of the reserve is
	// divided. With eight, about 40 entries can link between two updates.
	linkReserveParts = 8
	// fallTime is the time constant with which the demand falls to lower statements. It
	// rises at once, since statements are up to 500 ms old and the queue of an entry
	// with too small a share is refused within less. With 500 ms, shares take longer than
	// 2 s to settle.
	fallTime = 200 * time.Millisecond
)

// ErrInvalidDemand means that a stated demand is negative or not a finite number.
var ErrInvalidDemand = errors.New("the demand is negative or not a finite number")

// A Ledger holds the demands that entries have stated for a server, and the shares that
// were stated to them.
type Ledger struct {
	accounts map[string]*account
	// names are the keys of accounts, sorted, so that the shares do not depend on the
	// order of a map.
	names []string
}

// An account holds the newest demand and share of an entry.
type account struct {
	// demand is the smoothed demand.
	demand float64
	// granted is the share that was stated to the entry last.
	granted int
	// recorded is whether the entry has stated a valid demand.
	recorded bool
	// recordedAt is the time of the newest valid statement.
	recordedAt time.Duration
}

// A Share describes the share of one entry.
type Share struct {
	// Demand is the smoothed demand, or zero if there is no valid statement.
	Demand float64
	// Granted is the share that was stated to the entry last.
	Granted int
	// Target is the share by the demands of all entries.
	Target float64
}

// NewLedger returns a Ledger without entries.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[string]*account)}
}

// Add adds an entry that has stated no demand yet. It does nothing if the entry is known.
func (l *Ledger) Add(name string) {
	if _, ok := l.accounts[name]; !ok {
		l.accounts[name] = &account{}
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Insert(l.names, i, name)
	}
}

// Remove removes an entry and releases its share.
func (l *Ledger) Remove(name string) {
	if _, ok := l.accounts[name]; ok {
		delete(l.accounts, name)
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Delete(l.names, i, i+1)
	}
}

// Record records a demand that an entry has stated. It ignores entries that were not added.
// If the demand is invalid, Record returns ErrInvalidDemand, and the entry counts as
// having stated none.
func (l *Ledger) Record(now time.Duration, name string, demand float64) error {
	a, ok := l.accounts[name]
	if !ok {
		return nil
	}
	if math.IsNaN(demand) || math.IsInf(demand, 0) || demand < 0 {
		a.demand, a.recorded = 0, false
		return ErrInvalidDemand
	}
	if a.expired(now) || demand > a.demand {
		a.demand = demand
	} else {
		a.demand += (demand - a.demand) * -math.Expm1(-float64(now-a.recordedAt)/float64(fallTime))
	}
	a.recorded, a.recordedAt = true, now
	return nil
}

// expired reports whether the entry has no valid statement.
func (a *account) expired(now time.Duration) bool {
	return !a.recorded || now-a.recordedAt > StatementLifetime
}

// current returns the smoothed demand, or zero if there is no valid statement.
func (a *account) current(now time.Duration) float64 {
	if a.expired(now) {
		return 0
	}
	return a.demand
}

// Grant returns the share to state to an entry now, or zero if the entry is not known or
// there is no capacity. It is at least one.
func (l *Ledger) Grant(now time.Duration, name string, capacity int) int {
	a, ok := l.accounts[name]
	if !ok || capacity <= 0 {
		return 0
	}
	left := capacity
	for other, o := range l.accounts {
		if other != name {
			left -= o.granted
		}
	}
	i, _ := slices.BinarySearch(l.names, name)
	target := MaxMin(sharedOut(capacity), l.demands(now))[i]
	reserve := int(linkReserve * float64(capacity))
	a.granted = min(max(1, int(target)), max(left-reserve, left/linkReserveParts, 1))
	return a.granted
}

// Shares returns the shares of all entries by their names.
func (l *Ledger) Shares(now time.Duration, capacity int) map[string]Share {
	demands := l.demands(now)
	targets := MaxMin(sharedOut(capacity), demands)
	shares := make(map[string]Share, len(l.names))
	for i, name := range l.names {
		shares[name] = Share{Demand: demands[i], Granted: l.accounts[name].granted, Target: targets[i]}
	}
	return shares
}

// demands returns the smoothed demands in the order of the names.
func (l *Ledger) demands(now time.Duration) []float64 {
	demands := make([]float64, len(l.names))
	for i, name := range l.names {
		demands[i] = l.accounts[name].current(now)
	}
	return demands
}

// sharedOut returns the part of a capacity that is shared out.
func sharedOut(capacity int) float64 {
	return float64(capacity) * (1 - linkReserve)
}
