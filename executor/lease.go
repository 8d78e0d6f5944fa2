package executor

import (
	"math"
	"time"
)

// minStartLease is the lease that must be left for a start. A stop is confirmed long before,
// unless its answer is late.
const minStartLease = 400 * time.Millisecond

// longestLease is the time after which a lease that was granted for maxServerLease has expired
// even on the slowest clock.
const longestLease = maxServerLease + maxServerLease*3/100 + leaseExpiryMargin

// revoke records that the run lost its right to run at the given time.
func (r *run) revoke(at time.Duration) {
	if r.revokedAt == 0 || at < r.revokedAt {
		r.revokedAt = at
	}
}

// rightEnds returns the time at which the run loses its right to run, as far as known.
func (r *run) rightEnds() time.Duration {
	if r.revokedAt > 0 {
		return min(r.revokedAt, r.entry.silentAt())
	}
	return r.entry.silentAt()
}

// leaseLimit returns the time beyond which the lease must not be extended. The server ends
// its runs only together, so it is Lease after the first of them loses its right to run. A
// run that the executor does not know has none. One that the server has confirmed to stop ends
// by itself.
func (x *Executor) leaseLimit() time.Duration {
	if !x.noUnknownRuns {
		return 0
	}
	limit := time.Duration(math.MaxInt64)
	for _, r := range x.acceptedRuns {
		if r.state != queued && r.stopConfirmed == 0 {
			limit = min(limit, r.rightEnds()+Lease)
		}
	}
	return limit
}

// extendLease extends the lease to Lease from now, or to its limit if that is sooner, and
// returns its expiry on the server's clock for the request. The limit must not have passed.
func (x *Executor) extendLease(now time.Duration) time.Duration {
	lease := min(Lease, x.leaseLimit()-now)
	granted := time.Duration(float64(lease)*maxClockDrift) + leaseExpiryMargin
	if x.server.clockDoubtedAt > 0 {
		granted = longestLease
	}
	x.server.leaseExpiry = max(x.server.leaseExpiry, now+granted)
	return x.slowestClock(now) + lease
}

// checkLeaseLimit makes the server unavailable while the lease can't be extended for long
// enough to start runs.
func (x *Executor) checkLeaseLimit(now time.Duration, effects *Effects) {
	limited := x.leaseLimit()-now < minStartLease
	if limited == x.leaseLimited {
		return
	}
	x.leaseLimited = limited
	x.notifyAll(effects)
}
