package history

import (
	"maps"

	"github.com/anishathalye/porcupine"

	"github.com/pollenfront/pollenfront"
)

// A jobState is the model's state of a job.
type jobState struct {
	final   pollenfront.Status // Complete or failed once such an answer was given.
	started map[string]bool
}

// model says what may happen to a job:
//
//   - a task starts at most once;
//   - an answer that says "not run" is given while no task has started;
//   - a complete answer has a result for each task, all of which have started;
//   - no other answer has results;
//   - a job that was answered as complete is never answered as failed, and the
//     other way round.
var model = porcupine.Model{
	Equal: func(a, b any) bool {
		x, y := a.(jobState), b.(jobState)
		return x.final == y.final && maps.Equal(x.started, y.started)
	},
	Init: func() any { return jobState{started: map[string]bool{}} },
	Step: func(state, input, _ any) (bool, any) {
		return step(state.(jobState), input.(Record))
	},
}

// step returns whether a record may follow a state, and the state after it.
func step(s jobState, r Record) (bool, jobState) {
	if r.Event == EventStart {
		if s.started[r.Task] {
			return false, s
		}
		next := jobState{final: s.final, started: maps.Clone(s.started)}
		next.started[r.Task] = true
		return true, next
	}
	if r.Answer == nil {
		return true, s // The caller got no answer.
	}
	return stepAnswer(s, r)
}

// stepAnswer returns whether an answer may follow a state, and the state after
// it.
func stepAnswer(s jobState, r Record) (bool, jobState) {
	if r.Answer.Job != "" && r.Answer.Job != r.Job {
		return false, s
	}
	if r.Answer.Status != pollenfront.StatusComplete && len(r.Answer.Results) > 0 {
		return false, s
	}
	switch r.Answer.Status {
	case pollenfront.StatusNotRun:
		return len(s.started) == 0, s
	case pollenfront.StatusComplete:
		for _, task := range r.Tasks {
			if !s.started[task] {
				return false, s
			}
		}
		next := jobState{final: pollenfront.StatusComplete, started: s.started}
		return sameTasks(r) && s.final != pollenfront.StatusFailed, next
	case pollenfront.StatusFailed:
		next := jobState{final: pollenfront.StatusFailed, started: s.started}
		return s.final != pollenfront.StatusComplete, next
	default:
		return true, s
	}
}

// sameTasks reports whether a complete answer has one result for each task.
func sameTasks(r Record) bool {
	results := make(map[string]int)
	for _, result := range r.Answer.Results {
		results[result.Name]++
	}
	for _, task := range r.Tasks {
		if results[task] != 1 {
			return false
		}
	}
	return len(results) == len(r.Tasks)
}
