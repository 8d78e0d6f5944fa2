package replay

import (
	"math"
	"time"
)

// EntryCounts counts the jobs that callers submitted to one entry first, by answer.
type EntryCounts struct {
	Late      int
	OnTime    int
	Refused   int
	Submitted int
	Unknown   int
}

// entryCounts returns the counts of the entry to which a job was submitted first, or
// counts that are dropped if the job does not count.
func (f *Fleet) entryCounts(j *callerJob) *EntryCounts {
	if !j.counted {
		return &EntryCounts{}
	}
	counts, ok := f.result.Entries[j.origin]
	if !ok {
		counts = &EntryCounts{}
		f.result.Entries[j.origin] = counts
	}
	return counts
}

// addEntries adds the counts by entry of another result.
func (r *Result) addEntries(other Result) {
	for e, counts := range other.Entries {
		sum, ok := r.Entries[e]
		if !ok {
			sum = &EntryCounts{}
			r.Entries[e] = sum
		}
		sum.Late += counts.Late
		sum.OnTime += counts.OnTime
		sum.Refused += counts.Refused
		sum.Submitted += counts.Submitted
		sum.Unknown += counts.Unknown
	}
}

// drawEntry returns the index of the entry to which a caller submits a new job.
func (f *Fleet) drawEntry() int {
	if f.entryWeight == nil {
		return f.loadRandom.IntN(len(f.entries))
	}
	sum := 0.0
	for e := range f.entries {
		sum += f.entryWeight(f.now, e)
	}
	left := f.loadRandom.Float64() * sum
	for e := range f.entries {
		left -= f.entryWeight(f.now, e)
		if left < 0 {
			return e
		}
	}
	return len(f.entries) - 1
}

// Parameters of DemandWave.
const (
	// demandWaveAmplitude makes the demand at the peak four times that at the trough.
	demandWaveAmplitude = 0.6
	// smallEntryWeight is the demand of the small entry as a share of that of the others.
	smallEntryWeight = 0.1
)

// DemandWave makes the demand at the entries differ by up to four to one, in a wave that
// moves from entry to entry with the period wavePeriod. The last entry has little demand.
// The demand of the fleet as a whole stays the same.
func (f *Fleet) DemandWave() {
	n := len(f.entries)
	f.entryWeight = func(now time.Duration, entry int) float64 {
		phase := (now-startTime).Seconds()/wavePeriod.Seconds() - float64(entry)/float64(n)
		weight := 1 + demandWaveAmplitude*math.Cos(2*math.Pi*phase)
		if entry == n-1 {
			weight *= smallEntryWeight
		}
		return weight
	}
}

// BusyEntry makes the first entry get a share of all jobs, while the others are alike.
func (f *Fleet) BusyEntry(share float64) {
	others := (1 - share) / float64(len(f.entries)-1)
	f.entryWeight = func(_ time.Duration, entry int) float64 {
		if entry == 0 {
			return share
		}
		return others
	}
}

// heldShares returns, by agent, the sum of the shares that running entries count on.
func (f *Fleet) heldShares() map[string]int {
	held := make(map[string]int)
	for _, e := range f.entries {
		if !e.up {
			continue
		}
		for _, a := range e.scheduler.Dump(f.now).Agents {
			if a.Usable {
				held[a.Name] += a.Share
			}
		}
	}
	return held
}

// shareCheckInterval is the time between two checks of WatchShares.
const shareCheckInterval = 25 * time.Millisecond

// WatchShares checks the shares at regular intervals.
func (f *Fleet) WatchShares(from, until time.Duration) {
	for at := from; at <= until; at += shareCheckInterval {
		f.scheduleAt(at, f.checkShares)
	}
}

// checkShares records a violation if the shares that entries count on exceed the capacity
// of a server, or if none counts on a server.
func (f *Fleet) checkShares() {
	held := f.heldShares()
	for _, a := range f.agents {
		if sum, capacity := held[a.name], a.server.capacity.CPU; sum > capacity || sum == 0 {
			f.recordViolation("the shares of the server of %s add up to %d of %d", a.name, sum, capacity)
		}
	}
}
