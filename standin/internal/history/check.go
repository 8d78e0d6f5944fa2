package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/pollenfront/pollenfront"
)

// A Violation is a promise that a history breaks.
type Violation struct {
	Job     pollenfront.JobID
	Promise string
	Trace   string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: job %s: %s", v.Promise, v.Job, v.Trace)
}

// TakeOutLimit is the greatest time from the acceptance of a take-out to a
// start in the zone or on the server.
const TakeOutLimit = 3500 * time.Millisecond

// checkTimeout bounds the search for a linearization of one job's history.
const checkTimeout = 10 * time.Second

// Check returns the violations in a history. Each job's answers and starts
// must have a linearization under the model; starts must respect take-outs.
func Check(records []Record) []Violation {
	var violations []Violation
	jobs := byJob(records)
	for id, ops := range jobs {
		if !linearizable(ops) {
			violations = append(violations, explain(id, ops)...)
		}
	}
	violations = append(violations, checkRefused(jobs)...)
	violations = append(violations, checkTakeOuts(records)...)
	slices.SortFunc(violations, func(a, b Violation) int {
		return compare(a.Promise+string(a.Job), b.Promise+string(b.Job))
	})
	return violations
}

// byJob groups the starts and answers by job.
func byJob(records []Record) map[pollenfront.JobID][]Record {
	jobs := make(map[pollenfront.JobID][]Record)
	for _, r := range records {
		if r.Event == EventAnswer || r.Event == EventStart {
			jobs[r.Job] = append(jobs[r.Job], r)
		}
	}
	return jobs
}

// linearizable reports whether a job's records have a linearization under the
// model.
func linearizable(records []Record) bool {
	var operations []porcupine.Operation
	for i, r := range records {
		operation := porcupine.Operation{Call: r.At.UnixNano(), ClientId: i, Input: r, Return: r.End.UnixNano()}
		if r.Event == EventStart {
			operation.Return = operation.Call // A start takes effect at one instant.
		}
		operations = append(operations, operation)
	}
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout) != porcupine.Illegal
}

// checkRefused returns the jobs that started although every submission of them
// was answered as refused or not run.
func checkRefused(jobs map[pollenfront.JobID][]Record) []Violation {
	var violations []Violation
	for id, records := range jobs {
		starts, others := 0, 0
		for _, r := range records {
			switch {
			case r.Event == EventStart:
				starts++
			case r.Answer == nil || r.Answer.Status != pollenfront.StatusRefused && r.Answer.Status != pollenfront.StatusNotRun:
				others++
			}
		}
		if starts > 0 && others == 0 && len(records) > starts {
			violations = append(violations, Violation{Job: id, Promise: "refused starts nothing", Trace: fmt.Sprintf("%d starts", starts)})
		}
	}
	return violations
}

// checkTakeOuts returns the starts in a zone, or on a server, that was out for
// longer than TakeOutLimit.
func checkTakeOuts(records []Record) []Violation {
	var violations []Violation
	for _, out := range records {
		if out.Event != EventTakeOut {
			continue
		}
		back := returnOf(records, out)
		for _, start := range records {
			if start.Event != EventStart || !concerns(out, start) {
				continue
			}
			if start.At.Sub(out.End) > TakeOutLimit && (back.IsZero() || start.At.Before(back)) {
				violations = append(violations, Violation{
					Job:     start.Job,
					Promise: "no start after a take-out",
					Trace:   fmt.Sprintf("task %s started on %s %v after %s%s was taken out", start.Task, start.Server, start.At.Sub(out.End), out.Zone, out.Server),
				})
			}
		}
	}
	return violations
}

// returnOf returns when what was taken out was taken back, or the zero time.
func returnOf(records []Record, out Record) time.Time {
	var back time.Time
	for _, r := range records {
		if r.Event == EventReturn && r.Zone == out.Zone && r.Server == out.Server && r.At.After(out.End) {
			if back.IsZero() || r.At.Before(back) {
				back = r.At
			}
		}
	}
	return back
}

// concerns reports whether a start is in the zone or on the server of a change.
func concerns(change, start Record) bool {
	if change.Server != "" {
		return change.Server == start.Server
	}
	return change.Zone == start.Zone
}

// explain returns the violations of one job in words.
func explain(id pollenfront.JobID, records []Record) []Violation {
	var violations []Violation
	add := func(promise, format string, args ...any) {
		violations = append(violations, Violation{Job: id, Promise: promise, Trace: fmt.Sprintf(format, args...)})
	}
	starts := make(map[string][]Record)
	for _, r := range records {
		if r.Event == EventStart {
			starts[r.Task] = append(starts[r.Task], r)
		}
	}
	for task, of := range starts {
		if len(of) > 1 {
			add("at most one start", "task %s started on %s at %s and on %s at %s", task,
				of[0].Server, of[0].At.Format(time.RFC3339Nano), of[1].Server, of[1].At.Format(time.RFC3339Nano))
		}
	}
	for _, r := range records {
		if r.Event != EventAnswer || r.Answer == nil {
			continue
		}
		explainAnswer(r, starts, add)
	}
	if len(violations) == 0 {
		add("history", "no linearization of %d records", len(records))
	}
	return violations
}

// explainAnswer adds what is wrong with an answer.
func explainAnswer(r Record, starts map[string][]Record, add func(promise, format string, args ...any)) {
	switch {
	case r.Answer.Job != "" && r.Answer.Job != r.Job:
		add("own answer", "the caller got the answer to job %s", r.Answer.Job)
	case r.Answer.Status == pollenfront.StatusComplete && !sameTasks(r):
		add("whole answer", "%d results for %d tasks", len(r.Answer.Results), len(r.Tasks))
	case r.Answer.Status != pollenfront.StatusComplete && len(r.Answer.Results) > 0:
		add("whole answer", "%d results in an answer that is %s", len(r.Answer.Results), r.Answer.Status)
	case r.Answer.Status == pollenfront.StatusNotRun:
		for task, of := range starts {
			if of[0].At.Before(r.At) {
				add("not run is true", "task %s had started on %s at %s, and the answer of %s to %s says %s: %s", task, of[0].Server,
					of[0].At.Format(time.RFC3339Nano), r.At.Format(time.RFC3339Nano), r.End.Format(time.RFC3339Nano), r.Answer.Reason, r.Answer.Message)
			}
		}
	}
}

// compare compares two strings.
func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
