package replay_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/replay"
)

// historyTimeout bounds the check of the history of one fleet.
const historyTimeout = 30 * time.Second

// A jobState is the state of a job in the model. Tasks are bits of the masks.
type jobState struct {
	active  uint64 // active are the tasks that run.
	done    uint64 // done are the tasks of which a run ended as done since the last submission.
	refused bool   // refused is set if the last submission was refused.
	started bool   // started is set if a task has started since the last submission.
	tasks   int
}

// jobModel is the model of a job: a task runs at most once at the same time, a refused
// submission has started no task and starts none later, and a completed job has a run of
// each task that ended as done, and none that goes on.
var jobModel = porcupine.Model{
	Init: func() any { return jobState{} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byJob := make(map[string][]porcupine.Operation)
		for _, o := range history {
			job := o.Input.(replay.HistoryEvent).Job
			byJob[job] = append(byJob[job], o)
		}
		partitions := make([][]porcupine.Operation, 0, len(byJob))
		for _, job := range slices.Sorted(maps.Keys(byJob)) {
			partitions = append(partitions, byJob[job])
		}
		return partitions
	},
	Step: func(state, input, _ any) (bool, any) {
		return stepJob(state.(jobState), input.(replay.HistoryEvent))
	},
}

// stepJob returns whether an event may happen in a state, and the state after it.
func stepJob(s jobState, e replay.HistoryEvent) (bool, jobState) {
	task := uint64(1) << e.Task
	switch e.Kind {
	case replay.JobSubmitted:
		s.done, s.refused, s.started, s.tasks = 0, false, false, e.Tasks
		return true, s
	case replay.RunStarted:
		legal := s.active&task == 0 && !s.refused
		s.active |= task
		s.started = true
		return legal, s
	case replay.RunEnded:
		legal := s.active&task != 0
		s.active &^= task
		if e.Ending == pollenfront.EndingDone {
			s.done |= task
		}
		return legal, s
	case replay.JobAnswered:
		return answerIsTrue(&s, e.Verdict), s
	}
	return false, s
}

// answerIsTrue reports whether a verdict is true in a state, and records a refusal.
func answerIsTrue(s *jobState, verdict pollenfront.Verdict) bool {
	switch verdict {
	case pollenfront.VerdictRefused:
		s.refused = true
		return !s.started
	case pollenfront.VerdictCompleted:
		return s.done == uint64(1)<<s.tasks-1 && s.active == 0
	case pollenfront.VerdictCanceled, pollenfront.VerdictConflict, pollenfront.VerdictFailed, pollenfront.VerdictUnknown:
	}
	return true
}

// checkHistory checks a history against jobModel.
func checkHistory(history []replay.HistoryEvent) porcupine.CheckResult {
	operations := make([]porcupine.Operation, 0, len(history))
	for _, e := range history {
		if e.Kind == replay.JobAnswered && e.Verdict == pollenfront.VerdictCompleted {
			e.Call = e.Position // No run may go on when the answer arrives, so it has no freedom.
		}
		operations = append(operations, porcupine.Operation{Call: int64(2 * e.Call), Input: e, Return: int64(2*e.Position + 1)})
	}
	slices.SortStableFunc(operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	return porcupine.CheckOperationsTimeout(jobModel, operations, historyTimeout)
}

// TestHistories checks the histories of patterns in which runs are lost, started late or
// refused.
func TestHistories(t *testing.T) {
	tests := []string{"130 % of the room", "a third of the servers lost", "a server that hangs", "orders that are carried out late", "callers that come back after an outage"}
	for _, test := range tests {
		t.Run(test, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			pattern := patternByName(test)
			result := pattern.Run(1, func(s *replay.Settings) { s.RecordHistory = true })
			c.Assert(len(result.History) > 1000, qt.IsTrue)
			c.Assert(checkHistory(result.History), qt.Equals, porcupine.Ok)
		})
	}
}

// TestHistoryViolations checks that a violation of each kind is found when it is planted
// in a history.
func TestHistoryViolations(t *testing.T) {
	submitted := replay.HistoryEvent{Kind: replay.JobSubmitted, Tasks: 1}
	started := replay.HistoryEvent{Kind: replay.RunStarted}
	done := replay.HistoryEvent{Ending: pollenfront.EndingDone, Kind: replay.RunEnded}
	lost := replay.HistoryEvent{Ending: pollenfront.EndingLost, Kind: replay.RunEnded}
	completed := replay.HistoryEvent{Kind: replay.JobAnswered, Verdict: pollenfront.VerdictCompleted}
	refused := replay.HistoryEvent{Kind: replay.JobAnswered, Verdict: pollenfront.VerdictRefused}
	tests := []struct {
		name   string
		events []replay.HistoryEvent
		want   porcupine.CheckResult
	}{
		{name: "completed", events: []replay.HistoryEvent{submitted, started, done, completed}, want: porcupine.Ok},
		{name: "run again after a loss", events: []replay.HistoryEvent{submitted, started, lost, started, done, completed}, want: porcupine.Ok},
		{name: "refused, then submitted again", events: []replay.HistoryEvent{submitted, refused, submitted, started, done, completed}, want: porcupine.Ok},
		{name: "two runs at the same time", events: []replay.HistoryEvent{submitted, started, started, done, completed}, want: porcupine.Illegal},
		{name: "completed without a run", events: []replay.HistoryEvent{submitted, completed}, want: porcupine.Illegal},
		{name: "completed while a run goes on", events: []replay.HistoryEvent{submitted, started, done, started, completed}, want: porcupine.Illegal},
		{name: "completed after a lost run", events: []replay.HistoryEvent{submitted, started, lost, completed}, want: porcupine.Illegal},
		{name: "refused after a start", events: []replay.HistoryEvent{submitted, started, refused}, want: porcupine.Illegal},
		{name: "a start after a refusal", events: []replay.HistoryEvent{submitted, refused, started}, want: porcupine.Illegal},
		{name: "a run that did not start ends", events: []replay.HistoryEvent{submitted, done}, want: porcupine.Illegal},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			submission := 0
			for i := range test.events {
				e := &test.events[i]
				e.Position, e.Call = i, i
				switch e.Kind {
				case replay.JobSubmitted:
					submission = i
				case replay.JobAnswered:
					e.Call = submission + 1
				case replay.RunEnded, replay.RunStarted:
				}
			}
			qt.Assert(t, checkHistory(test.events), qt.Equals, test.want)
		})
	}
}
