package replay

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Runs that fail on a server with a failure rate do so minFailTime to minFailTime +
// failTimeRange after their start.
const (
	failTimeRange = 25 * time.Millisecond
	minFailTime   = 5 * time.Millisecond
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
// that it was just started on. The server must have no failure rate, be linked to the entry
// of the job, and have free capacity that no queued task needs. No run may have ended
// there so recently that the entry could not know of it: the report of the end and the
// start each travel over two hops.
func (a *agentNode) couldRun(id pollenfront.TaskID) bool {
	f, s := a.fleet, a.server
	j := f.jobs[id.Job]
	_, linked := f.entries[j.entry].links[a.name]
	if !linked || s.failShare > 0 || s.failedTasks[id] || f.now-s.lastEnd <= 2*(f.settings.OneWayDelay+agentServerDelay) {
		return false
	}
	return a.executor.Report(f.now).Free.Covers(j.need) && f.now+s.runTime(j, id.Index) <= j.due()
}
