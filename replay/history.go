package replay

import "github.com/pollenfront/pollenfront"

// A HistoryEvent is something that callers or servers have seen of a job. A checker that
// is independent of the simulation can tell from the history whether the invariants hold.
type HistoryEvent struct {
	// Call is the position in the history at which the event began. It differs from
	// Position only for answers, which begin with the submission.
	Call     int
	Ending   pollenfront.Ending // Ending is that of the run that ended.
	Job      string
	Kind     HistoryKind
	Position int // Position is the position of the event in the history.
	Task     int // Task is the index of the task of a run.
	Tasks    int // Tasks is the number of tasks of a submitted job.
	Verdict  pollenfront.Verdict
}

// A HistoryKind is what has happened in a HistoryEvent.
type HistoryKind int

// Kinds of events.
const (
	JobSubmitted HistoryKind = iota
	RunStarted
	RunEnded
	JobAnswered
)

// recordEvent appends an event to the history, if one is recorded, and returns its
// position.
func (f *Fleet) recordEvent(e HistoryEvent) int {
	e.Position = len(f.result.History)
	if e.Kind != JobAnswered {
		e.Call = e.Position
	}
	if f.settings.RecordHistory {
		f.result.History = append(f.result.History, e)
	}
	return e.Position
}
