package executor

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// HandleCommands records what an entry echoes, queues or refuses the tasks that it
// starts, and stops the runs that it names. Commands of an entry or incarnation
// that has not linked are ignored.
func (x *Executor) HandleCommands(now time.Duration, ref EntryRef, commands *tasklink.Commands) Effects {
	var effects Effects
	e, ok := x.entries[ref.Name]
	if !ok || e.EntryRef != ref {
		return effects
	}
	x.checkSilence(now, e, &effects)
	echo := min(time.Duration(commands.EchoedClock), now) // An echo can't be newer than the clock.
	if echo > e.lastEcho {
		e.lastEcho = echo
		e.stoppedForSilence = e.stoppedForSilence && e.silent(now)
	}
	x.raiseToken(commands.TokenFloor, e.Name, &effects)
	x.recordDisabledZones(commands.DisabledZones)
	x.recordDemand(now, e, commands, &effects)
	x.recordCancellations(now, e, commands, &effects)
	for _, crash := range commands.Crashes {
		x.crashes.Add(now, crash, e.Name)
	}
	for i := range commands.Starts {
		x.acceptStart(now, e, &commands.Starts[i], now-echo > maxCommandAge, &effects)
	}
	for _, id := range commands.Stops {
		if r, ok := x.runsByTask[id.TaskID]; ok && r.entry == e && r.id.Number <= id.Number {
			r.revoke(now)
			x.stopRun(now, r, "its entry stopped it", &effects)
		}
	}
	x.startQueued(now, &effects)
	return effects
}

// recordDisabledZones keeps a list of disabled zones if it is newer than the
// known one.
func (x *Executor) recordDisabledZones(zones tasklink.DisabledZones) {
	if zones.Version > x.disabledZones.Version {
		x.disabledZones = zones
	}
}

// acceptStart queues the runs of a start command, or refuses them. If the command is
// stale, it refuses all of them.
func (x *Executor) acceptStart(now time.Duration, e *entry, start *tasklink.StartCommand, stale bool, effects *Effects) {
	refusal := x.refusalReason(start, stale)
	for _, task := range start.Tasks {
		id := pollenfront.RunID{Number: task.Run, TaskID: pollenfront.TaskID{Index: task.Index, Job: start.Job, Step: start.Step}}
		e.lastSeqNum = max(e.lastSeqNum, task.SeqNum)
		reason := refusal
		if reason == "" {
			reason = x.taskRefusalReason(now, start, id)
		}
		if reason != "" {
			end := tasklink.RunEnd{Run: id, Ending: pollenfront.EndingNotStarted, Superseded: isSuperseded(reason), Reason: reason, Evidence: NoStartSent}
			x.reportEnd(now, e, EndedRun{RunEnd: end, Entry: e.Name}, effects)
			continue
		}
		r := &run{
			acceptedAt: now, atMostOnce: start.AtMostOnce, entry: e, expectedRunTime: time.Duration(start.ExpectedRunTime), id: id,
			latestStart: now + time.Duration(start.Slack), need: start.Need, payload: start.Payload, priority: clampPriority(start), rerun: task.Rerun, route: start.Route,
			routeAddress: start.RouteAddress,
		}
		x.endings.recordRestart(now, e, id, effects)
		x.runsByTask[id.TaskID] = r
		x.acceptedRuns = append(x.acceptedRuns, r)
		x.enqueue(r)
		x.startQueued(now, effects) // exceedsMaxWait must see the resources that are left for the next task.
	}
}

// taskRefusalReason returns why a task of a start command that is not refused as a whole
// may not start, or "" if it may.
func (x *Executor) taskRefusalReason(now time.Duration, start *tasklink.StartCommand, id pollenfront.RunID) string {
	_, active := x.runsByTask[id.TaskID]
	switch {
	case active:
		return "an earlier run of the task has not ended"
	case x.endings.supersedes(id):
		return pollenfront.ErrRunSuperseded.Error()
	case x.crashes.Exceeded(id.TaskID):
		return "too many processes have crashed under the task"
	case x.exceedsMaxWait(now, start):
		return "the server is full"
	}
	return ""
}

// isSuperseded reports whether a reason means that the number of a run was used before, so that
// its entry must use a higher one.
func isSuperseded(reason string) bool {
	return reason == pollenfront.ErrRunSuperseded.Error()
}

// exceedsMaxWait reports whether a task of a start command would wait for longer
// than maxQueueWait.
func (x *Executor) exceedsMaxWait(now time.Duration, start *tasklink.StartCommand) bool {
	if x.unreservedResources(now).Covers(start.Need) {
		return false
	}
	return x.queueWaits(now)[clampPriority(start)] > int(maxQueueWait/time.Millisecond)
}

// clampPriority returns the priority of a start command, limited to the range that
// the agent distinguishes.
func clampPriority(start *tasklink.StartCommand) int {
	return min(max(start.Priority, 0), numPriorities-1)
}

// refusalReason returns why no run of a start command may start, or "" if they may.
func (x *Executor) refusalReason(start *tasklink.StartCommand, stale bool) string {
	switch {
	case stale:
		return "the order was delayed"
	case start.Service != x.service:
		return "the server belongs to another service"
	case x.cancellations.Contains(pollenfront.JobRef{ID: start.Job, Route: start.RouteAddress}):
		return jobCanceled
	case x.State() == tasklink.StateUnavailable:
		return "the server has not announced itself"
	case x.State() == tasklink.StateDraining:
		return "the server takes no new tasks"
	case !x.server.capacity.announced.Covers(start.Need):
		return "the server is too small for the task"
	}
	return ""
}
