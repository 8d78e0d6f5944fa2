package history_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/standin/internal/history"
)

var began = time.Unix(1000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

func start(ms int, task, server string) history.Record {
	return history.Record{At: at(ms), End: at(ms + 50), Event: history.EventStart, Job: "j", OK: true, Server: server, Task: task, Zone: "west"}
}

func answer(from, to int, status pollenfront.Status, results ...string) history.Record {
	a := &pollenfront.Answer{Job: "j", Status: status}
	for _, name := range results {
		a.Results = append(a.Results, pollenfront.TaskResult{Name: name})
	}
	return history.Record{Answer: a, At: at(from), End: at(to), Event: history.EventAnswer, Job: "j", Tasks: []string{"a", "b"}}
}

func TestCheck(t *testing.T) {
	foreign := answer(0, 100, pollenfront.StatusComplete, "a", "b")
	foreign.Answer.Job = "k"
	takeOut := history.Record{At: at(0), End: at(10), Event: history.EventTakeOut, Zone: "west"}
	limit := int(history.TakeOutLimit / time.Millisecond)
	tests := []struct {
		name    string
		records []history.Record
		want    string // Promise that is broken, or empty.
	}{
		{name: "complete", records: []history.Record{start(10, "a", "s1"), start(10, "b", "s2"), answer(0, 100, pollenfront.StatusComplete, "a", "b")}},
		{name: "two starts", records: []history.Record{start(10, "a", "s1"), start(20, "a", "s2")}, want: "at most one start"},
		{name: "partial", records: []history.Record{start(10, "a", "s1"), answer(0, 100, pollenfront.StatusComplete, "a")}, want: "whole answer"},
		{name: "results in a failure", records: []history.Record{start(10, "a", "s1"), answer(0, 100, pollenfront.StatusFailed, "a")}, want: "whole answer"},
		{name: "complete without starts", records: []history.Record{answer(0, 100, pollenfront.StatusComplete, "a", "b")}, want: "history"},
		{name: "not run", records: []history.Record{answer(0, 100, pollenfront.StatusNotRun)}},
		{name: "refused", records: []history.Record{answer(0, 100, pollenfront.StatusRefused)}},
		{
			name:    "refused, and run by an earlier submission",
			records: []history.Record{start(10, "a", "s1"), answer(0, 100, pollenfront.StatusUnknown), answer(20, 100, pollenfront.StatusRefused)},
		},
		{name: "refused and run", records: []history.Record{answer(0, 100, pollenfront.StatusRefused), start(110, "a", "s1")}, want: "refused starts nothing"},
		{
			name:    "not run, then run by a second submission",
			records: []history.Record{answer(0, 100, pollenfront.StatusNotRun), start(150, "a", "s1"), answer(120, 300, pollenfront.StatusFailed)},
		},
		{name: "not run after a start", records: []history.Record{start(10, "a", "s1"), answer(20, 100, pollenfront.StatusNotRun)}, want: "not run is true"},
		{name: "answer of another job", records: []history.Record{start(10, "a", "s1"), start(10, "b", "s1"), foreign}, want: "own answer"},
		{
			name: "complete and failed", want: "history",
			records: []history.Record{
				start(10, "a", "s1"), start(10, "b", "s1"), answer(0, 100, pollenfront.StatusComplete, "a", "b"), answer(200, 300, pollenfront.StatusFailed),
			},
		},
		{name: "start soon after a take-out", records: []history.Record{takeOut, start(limit, "a", "s1")}},
		{name: "start long after a take-out", records: []history.Record{takeOut, start(limit+20, "a", "s1")}, want: "no start after a take-out"},
		{
			name: "start after the return", records: []history.Record{
				takeOut, start(limit+20, "a", "s1"), {At: at(limit), Event: history.EventReturn, Zone: "west"},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations := history.Check(test.records)
			if test.want == "" {
				qt.Assert(t, violations, qt.HasLen, 0)
				return
			}
			qt.Assert(t, violations, qt.Not(qt.HasLen), 0)
			qt.Assert(t, violations[0].Promise, qt.Equals, test.want)
		})
	}
}
