package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A Rerun is a run of a task that follows another one, with what showed that the other one was
// over when the task was sent again.
type Rerun struct {
	// Former is the number of the former run.
	Former int
	// FormerAgent is the name of the agent that the former run was sent to.
	FormerAgent string
	// FormerSentAge is the time since the former run was sent.
	FormerSentAge time.Duration
	// Ending is how the former run ended.
	Ending pollenfront.Ending
	// Evidence is what showed that the former run was over.
	Evidence tasklink.Evidence
	// EvidenceAge is the time since the evidence was taken. That of tasklink.AgentSilent is
	// the agent's newest update.
	EvidenceAge time.Duration
	// Run is the number of the new run.
	Run int
	// Task is the index of the task.
	Task int
}

// A formerRun is the newest run of a task that was taken for over.
type formerRun struct {
	agent  string
	ending pollenfront.Ending
	// evidence is what showed that the run was over, as of the time evidenceAt.
	evidence   tasklink.Evidence
	evidenceAt time.Duration
	number     int
	sentAt     time.Duration
}

// recordFormer records that the newest run of a task, which was sent to an agent, is taken for over.
func (t *task) recordFormer(now time.Duration, a *agent, end *tasklink.RunEnd) {
	t.former = &formerRun{
		agent: a.Name, ending: end.Ending, evidence: end.Evidence, evidenceAt: now - end.EvidenceAge, number: t.run.Number, sentAt: t.sentAt,
	}
}

// rerun returns the description of the task's newest run, which is sent now. The task must have a
// former run.
func (t *task) rerun(now time.Duration) Rerun {
	f := t.former
	return Rerun{
		Former: f.number, FormerAgent: f.agent, FormerSentAge: now - f.sentAt, Ending: f.ending, Evidence: f.evidence, EvidenceAge: now - f.evidenceAt,
		Run: t.run.Number, Task: t.run.Index,
	}
}
