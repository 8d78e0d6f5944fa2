// Package demandshare divides the capacity of a server among the entries that are linked
// to its agent, by the demand that they state.
//
// These rules decide:
//
//   - The shares are max-min fair: no entry gets more than it demands as long as another
//     entry gets less than that and less than it demands itself.
//   - Every entry gets at least the floor, a part of the equal share, so that an entry
//     without demand can start jobs before its next statement has arrived.
//   - What is left when all demands are met is lent out equally.
//   - Demand rises with a statement at once, and falls over fallTime. A statement that is
//     not a valid number, or is older than StatementLifetime, counts as none. One above the
//     capacity counts as the capacity.
//   - Shares are stated to one entry after the other. A share is increased only by what
//     the others have already been told to be lower, so that the stated shares never add
//     up to more than the capacity.
//
// A share is an assumption for admission. It does not limit what an entry may start.
//
// # Usage
//
//	l := demandshare.NewLedger()
//	l.Add("entry-1")
//	err := l.Record(now, "entry-1", demand)
//	share := l.Grant(now, "entry-1", capacity)
//
// A Ledger is not safe for concurrent use.
package demandshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// floorShare is the floor as a part of the equal share. With a half, an entry with all of
// the demand gets 0.58 of a server that six entries share, in place of 0.17. With a quarter
// it gets 0.79, but entries with little demand refuse jobs that follow a large one.
const floorShare = 0.5

// MaxMin returns max-min fair shares of a capacity, in the order of the demands. A demand
// below the floor counts as the floor, and one above the capacity as the capacity. What
// exceeds the demands is added to all shares equally. The demands must be valid numbers.
func MaxMin(capacity float64, demands []float64) []float64 {
	n := len(demands)
	if n == 0 || capacity <= 0 {
		return make([]float64, n)
	}
	floor := floorShare * capacity / float64(n)
	shares := make([]float64, n)
	order := make([]int, n)
	for i, demand := range demands {
		order[i], shares[i] = i, max(floor, min(demand, capacity))
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(shares[a], shares[b]) })
	left := capacity
	for i, index := range order {
		shares[index] = min(shares[index], left/float64(n-i))
		left -= shares[index]
	}
	if left > 0 {
		for i := range shares {
			shares[i] += left / float64(n)
		}
	}
	return shares
}

// SelectOverloaded returns the name hash of an overloaded entry for a message, or zero if there is
// none. Messages carry one, so the hashes take turns. The hash of the receiver is left out;
// zero leaves out none.
func SelectOverloaded(hashes []uint32, turn int, receiver uint32) uint32 {
	for i := range hashes {
		if hash := hashes[(turn+i)%len(hashes)]; hash != receiver {
			return hash
		}
	}
	return 0
}

// NameHash returns a hash of an entry's name that is not zero. Messages carry it in place
// of the name, which is longer.
func NameHash(name string) uint32 {
	return max(1, uint32(xxhash.Sum64String(name)))
}
