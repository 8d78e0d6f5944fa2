package timeline

import (
	"cmp"
	"fmt"
	"time"
)

// clockTolerance is the difference up to which the clocks of two machines are taken to agree. A
// shorter overlap by the logs is none.
const clockTolerance = 5 * time.Millisecond

// An Overlap is the time in which two runs of a task went on by the logs.
type Overlap struct {
	Cause  string    `json:"cause"`
	First  Start     `json:"first"`
	From   time.Time `json:"from"`
	Second Start     `json:"second"`
	To     time.Time `json:"to"`
}

// overlaps returns the overlaps of runs on two agents. The starts must be in the order of starts.
func overlaps(all []Start, lines []Line) []Overlap {
	var found []Overlap
	for i := range all {
		for j := i + 1; j < len(all) && all[j].Task == all[i].Task; j++ {
			first, second := &all[i], &all[j]
			from, to, ok := common(first, second)
			if ok && first.Agent != second.Agent {
				found = append(found, Overlap{Cause: cause(first, second, lines), First: *first, From: from, Second: *second, To: to})
			}
		}
	}
	return found
}

// A span is a time in which a run went on by the logs.
type span struct {
	from time.Time
	// listed is whether the server listed the run at both times.
	listed bool
	// to is when the run was certainly over, or zero if the logs do not tell.
	to time.Time
}

// spans returns when the run went on: from its start until its end was certain, and while the
// server listed it after that.
func (s *Start) spans() []span {
	var spans []span
	if s.Ending != notStarted {
		spans = append(spans, span{from: s.Sent, to: s.Ended})
	}
	if !s.SeenUntil.IsZero() {
		spans = append(spans, span{from: s.SeenFrom, listed: true, to: s.SeenUntil})
	}
	return spans
}

// common returns the first time in which both runs went on, and false if there is none.
func common(first, second *Start) (from, to time.Time, ok bool) {
	for _, a := range first.spans() {
		for _, b := range second.spans() {
			if from, to, ok := a.intersect(b); ok {
				return from, to, true
			}
		}
	}
	return time.Time{}, time.Time{}, false
}

// intersect returns the time that two spans have in common. It returns false if there is none, if the
// earlier span has no certain end, or if the time is within clockTolerance. The server listed
// the run of a listed span at both ends, so that the span may be short.
func (a span) intersect(b span) (from, to time.Time, ok bool) {
	if b.from.Before(a.from) {
		a, b = b, a
	}
	from, to = b.from, a.to
	if to.IsZero() {
		return from, to, false
	}
	if !b.to.IsZero() && b.to.Before(to) {
		to = b.to
	}
	if a.listed || b.listed {
		return from, to, !to.Before(from)
	}
	return from, to, to.Sub(from) > clockTolerance
}

// cause explains why the second run was started while the first one went on.
func cause(first, second *Start, lines []Line) string {
	switch {
	case first.Entry != "" && second.Entry != "" && first.Entry != second.Entry:
		return twoEntries(first, second, lines)
	case first.TakenForOver != nil && !first.TakenForOver.At.After(second.Sent.Add(clockTolerance)):
		return fmt.Sprintf("run %d was taken for over %s", first.Run, first.TakenForOver)
	}
	return fmt.Sprintf("%s took run %d for over, for a reason that the logs do not tell", cmp.Or(first.Entry, "its entry"), first.Run)
}

// twoEntries explains that two entries had the job at the same time.
func twoEntries(first, second *Start, lines []Line) string {
	until, got := "a time that the logs do not tell", "a time that the logs do not tell"
	for i := range lines {
		line := &lines[i]
		if line.Process == first.Entry && endsSubmission(line) && !line.Time.Before(first.Sent) {
			until = line.Time.UTC().Format(clockFormat)
			break
		}
	}
	for i := range lines {
		if at := arrival(&lines[i]); lines[i].Process == second.Entry && !at.IsZero() && !at.After(second.Sent) {
			got = at.UTC().Format(clockFormat)
		}
	}
	return fmt.Sprintf("%s took its caller for waiting until %s and %s got the job at %s", first.Entry, until, second.Entry, got)
}

// endsSubmission reports whether an entry logs the line when nobody waits for the job any more.
func endsSubmission(line *Line) bool {
	return line.Message == "caller left" || line.Message == "job answered"
}

// arrival returns when the job arrived at the entry that logged the line, or zero if the line does
// not tell.
func arrival(line *Line) time.Time {
	switch line.Message {
	case "job taken":
		return line.Time
	case "tasks placed":
		return line.Time.Add(-seconds(line.Inputs["waited"]))
	case "job answered", "caller left":
		return line.Time.Add(-seconds(line.Inputs["after"]))
	}
	return time.Time{}
}

// String describes the overlap in one line.
func (o *Overlap) String() string {
	return fmt.Sprintf("task %d: two runs at the same time: run %d on %s and run %d on %s from %s to %s, because %s", o.First.Task, o.First.Run, o.First.Agent,
		o.Second.Run, o.Second.Agent, o.From.UTC().Format(clockFormat), o.To.UTC().Format(clockFormat), o.Cause)
}
