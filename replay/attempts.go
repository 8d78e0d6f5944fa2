package replay

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Runs that fail by a failure rate do so minFailTime to minFailTime + failTimeRange after
// their start.
const (
	minFailTime   = 5 * time.Millisecond
	failTimeRange = 25 * time.Millisecond
)

// FailRuns makes a share of the runs that a server starts during some time fail, shortly
// after their start.
func (f *Fleet) FailRuns(at time.Duration, agent int, share float64, d time.Duration) {
	f.scheduleAt(at, func() {
		s := f.agents[agent].server
		s.failShare = share
		f.faultyServers++
		f.schedule(d, func() {
			s.failShare = 0
			f.faultyServers--
		})
	})
}

// LoadWave submits jobs like Load, at rates that oscillate around the given multiple of
// the kinds' rates. It approximates the wave by steps.
func (f *Fleet) LoadWave(kinds []Kind, from, until time.Duration, factor float64, wave func(at time.Duration) float64) {
	const step = 250 * time.Millisecond
	for at := from; at < until; at += step {
		f.scheduleAt(at, func() {
			for _, kind := range kinds {
				f.scheduleArrival(kind, f.now+min(step, until-at), kind.Rate*factor*wave(at))
			}
		})
	}
}

// drawFailure draws whether a new run fails, and after which time.
func (s *serverNode) drawFailure() (after time.Duration, fails bool) {
	share := s.fleet.settings.FailShare + s.failShare
	if share == 0 || s.fleet.random.Float64() >= share {
		return 0, false
	}
	return minFailTime + time.Duration(s.fleet.random.Int64N(int64(failTimeRange))), true
}

// recordAttempt counts the start of a task, and counts it as repeated if the task has
// failed on the server, which has a failure rate, while another one could run it in time.
func (s *serverNode) recordAttempt(id pollenfront.TaskID) {
	f := s.fleet
	if f.faultyServers > 0 {
		f.result.StartsInFaults++
	}
	if s.failShare == 0 {
		return
	}
	f.result.FaultyStarts++
	if s.failedTasks[id] && slices.ContainsFunc(f.agents, func(a *agentNode) bool { return a.couldRun(id) }) {
		f.result.RepeatedStarts++
	}
}

// couldRun reports whether an agent's server could run a task in time instead of the one
// that it was just started on. It must have no failure rate, be linked to the entry of the
// job, and have had room that no queued task needs for so long that the entry could know
// it: the report of a run's end and the start each travel over two hops.
func (a *agentNode) couldRun(id pollenfront.TaskID) bool {
	f, s := a.fleet, a.server
	j := f.jobs[id.Job]
	_, linked := f.entries[j.entry].links[a.name]
	if !linked || s.failShare > 0 || s.failedTasks[id] || f.now-s.lastEnd <= 2*(f.settings.OneWayDelay+agentServerDelay) {
		return false
	}
	return a.executor.Report(f.now).Free.Covers(j.need) && f.now+s.runTime(j) <= j.due()
}
