package owner

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// answers keeps the answers of the last retention, for resubmissions, and the
// reasons of the last refusals, for operators.
type answers struct {
	forgotten    time.Time // Newest creation time of a dropped answer's job ID.
	kept         map[pollenfront.JobID]pollenfront.Answer
	notRunOrder  []string // Submissions.
	notRuns      map[string]pollenfront.Answer
	order        []pollenfront.JobID
	refusalOrder []pollenfront.JobID
	refusals     map[pollenfront.JobID]*refusal.Error
	retention    time.Duration
	size         int // Of the kept answers, in bytes.
}

// newAnswers returns an empty store.
func newAnswers(retention time.Duration) *answers {
	return &answers{
		kept:      make(map[pollenfront.JobID]pollenfront.Answer),
		notRuns:   make(map[string]pollenfront.Answer),
		refusals:  make(map[pollenfront.JobID]*refusal.Error),
		retention: retention,
	}
}

// get returns the kept answer to a job.
func (a *answers) get(id pollenfront.JobID) (pollenfront.Answer, bool) {
	answer, ok := a.kept[id]
	return answer, ok
}

// keep keeps an answer. An answer that says "not run" is kept for the
// submissions that it answers only: the job may be submitted again.
func (a *answers) keep(id pollenfront.JobID, answer pollenfront.Answer, submissions []string) {
	if answer.Status == pollenfront.StatusNotRun {
		a.keepNotRun(answer, submissions)
		a.noteRefusal(id, refusal.New(refusal.Kind(answer.Reason), "%s", answer.Message))
		return
	}
	a.kept[id] = answer
	a.order = append(a.order, id)
	a.size += sizeOf(answer)
	for len(a.order) > maxKept || a.size > maxKeptSize && len(a.order) > 1 {
		a.dropOldest()
	}
}

// sizeOf returns about the memory that an answer takes, in bytes.
func sizeOf(answer pollenfront.Answer) int {
	const overhead = 128 // Of an answer and of a result.
	size := overhead + len(answer.Message)
	for _, r := range answer.Results {
		size += overhead + len(r.Name) + len(r.Payload)
	}
	return size
}

// keepNotRun keeps the answer to submissions that did not run.
func (a *answers) keepNotRun(answer pollenfront.Answer, submissions []string) {
	for _, s := range submissions {
		if s == "" {
			continue // Another entry that joined the job, not a caller's submission.
		}
		a.notRuns[s] = answer
		a.notRunOrder = append(a.notRunOrder, s)
	}
	for len(a.notRunOrder) > maxKept {
		delete(a.notRuns, a.notRunOrder[0])
		a.notRunOrder = a.notRunOrder[1:]
	}
}

// notRun returns the answer to a submission that did not run.
func (a *answers) notRun(submission string) (pollenfront.Answer, bool) {
	answer, ok := a.notRuns[submission]
	return answer, ok
}

// noteRefusal keeps the reason of a refusal.
func (a *answers) noteRefusal(id pollenfront.JobID, err error) {
	if _, known := a.refusals[id]; !known {
		a.refusalOrder = append(a.refusalOrder, id)
	}
	a.refusals[id] = refusal.From(err)
	if len(a.refusalOrder) > maxRefusals {
		delete(a.refusals, a.refusalOrder[0])
		a.refusalOrder = a.refusalOrder[1:]
	}
}

// refusal returns the reason why a job was refused, or nil.
func (a *answers) refusal(id pollenfront.JobID) error {
	if err, ok := a.refusals[id]; ok {
		return err
	}
	return nil
}

// why describes how an answer came about.
func (a *answers) why(id pollenfront.JobID) []string {
	answer := a.kept[id]
	if answer.Message != "" {
		return []string{string(answer.Status) + ": " + answer.Message}
	}
	var lines []string
	for _, r := range answer.Results {
		lines = append(lines, "task "+r.Name+" ran on "+r.Server+" for "+r.RunTime.String())
	}
	return lines
}

// mayHaveForgotten reports whether the job may have had an answer that was
// dropped.
func (a *answers) mayHaveForgotten(id pollenfront.JobID) bool {
	return !id.Time().After(a.forgotten)
}

// sweep drops the answers of jobs whose IDs are not accepted any more.
func (a *answers) sweep(now time.Time) {
	for len(a.order) > 0 && now.Sub(a.order[0].Time()) > a.retention+maxAhead {
		a.dropOldest()
	}
}

// dropOldest drops the answer that was kept first.
func (a *answers) dropOldest() {
	id := a.order[0]
	a.order = a.order[1:]
	a.size -= sizeOf(a.kept[id])
	delete(a.kept, id)
	if id.Time().After(a.forgotten) {
		a.forgotten = id.Time()
	}
}
