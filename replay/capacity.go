package replay

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// capacitySampleInterval is the time between two checks whether a server's capacity is
// used again after it has returned.
const capacitySampleInterval = 10 * time.Millisecond

// regainedUseShare is the share of its CPU that a server must use to count as used again
// after its capacity has returned. Tasks need up to a seventh of it.
const regainedUseShare = 0.8

// ShrinkServer makes a server provide only a factor of its capacity for some time. It
// keeps its runs, rejects starts that do not fit, and announces its full capacity. When
// the capacity has returned, Result.CapacityRegained tells how long the agent took to use
// it.
func (f *Fleet) ShrinkServer(at time.Duration, agent int, factor float64, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.capacityFactor *= factor
		f.schedule(d, func() {
			s.capacityFactor /= factor
			f.awaitRegained(f.agents[agent], f.now)
		})
	})
}

// awaitRegained records how long after its return the agent of a server counts on the
// announced capacity, and uses it, again.
func (f *Fleet) awaitRegained(a *agentNode, returned time.Duration) {
	used := a.server.capacity.CPU - a.server.free().CPU
	report := a.executor.Report(f.now)
	if report.EffectiveCapacity == report.Capacity && float64(used) >= regainedUseShare*float64(a.server.capacity.CPU) {
		f.result.CapacityRegained = append(f.result.CapacityRegained, f.now-returned)
		return
	}
	f.schedule(capacitySampleInterval, func() { f.awaitRegained(a, returned) })
}

// StopEnforcing makes a server carry out all starts, as servers do that do not enforce
// their capacity. A start that exceeds the capacity is then a violation.
func (f *Fleet) StopEnforcing(at time.Duration, agent int) {
	f.scheduleAt(at, func() { f.agents[agent].server.unenforced = true })
}

// providedCapacity returns the resources that the server really provides.
func (s *serverNode) providedCapacity() pollenfront.Resources {
	return pollenfront.Resources{
		CPU: int(float64(s.capacity.CPU) * s.capacityFactor), GPU: int(float64(s.capacity.GPU) * s.capacityFactor),
		Memory: int(float64(s.capacity.Memory) * s.capacityFactor),
	}
}

// admits reports whether the server starts a run with the given need, and records
// rejections and violations.
func (s *serverNode) admits(need pollenfront.Resources) bool {
	switch {
	case s.free().Covers(need):
		return true
	case s.unenforced:
		s.fleet.recordViolation("a server got more than its capacity: %v free, %v needed", s.free(), need)
		return true
	}
	s.rejectedStarts++
	s.fleet.result.RejectedStarts++
	s.fleet.result.MaxRejectedStarts = max(s.fleet.result.MaxRejectedStarts, s.rejectedStarts)
	return false
}

// recordRefusal counts a refused job, and whether all of its tasks would have fitted on
// the servers at that time.
func (f *Fleet) recordRefusal(j *callerJob) {
	f.countJob(f.result.Refused, j)
	fitting := 0
	for _, a := range f.agents {
		if a.server.unavailable || a.server.refusing || a.server.draining {
			continue
		}
		for free := a.server.free(); free.Covers(j.need); free = free.Sub(j.need) {
			fitting++
		}
	}
	if j.counted && fitting >= j.taskCount {
		f.result.RefusedDespiteRoom++
	}
}
