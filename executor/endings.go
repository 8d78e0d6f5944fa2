package executor

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// endingRetention is how long ends of runs are kept to recognize what contradicts them. A
// server may carry out a delayed request up to 12 s later.
const endingRetention = 15 * time.Second

// endings are the newest ends of runs, by task.
type endings map[pollenfront.TaskID]pastRun

// A pastRun is a run that has ended.
type pastRun struct {
	at       time.Duration
	evidence Evidence
	ending   pollenfront.Ending
	entry    EntryRef
	run      pollenfront.RunID
}

// A Contradiction is a statement of the server that contradicts what the executor concluded
// before.
type Contradiction struct {
	// Age is the time since the conclusion.
	Age time.Duration
	// Conclusion is the evidence that the conclusion rested on.
	Conclusion Evidence
	// Entry is the entry of the run, or empty if the conclusion was about the server.
	Entry string
	// Incarnation is the incarnation of the server that made the statement.
	Incarnation uint64
	// Run is the run that was concluded to be over, or zero if the conclusion was about the
	// server.
	Run pollenfront.RunID
}

// A Restart is a task that was accepted from an entry after another entry had sent it, or
// the same entry in an earlier incarnation.
type Restart struct {
	// Age is the time since the earlier run ended.
	Age          time.Duration
	EarlierEntry string
	EarlierRun   int
	Ending       pollenfront.Ending
	Entry        string
	Evidence     Evidence
	Run          pollenfront.RunID
}

// An IncarnationChange is the detection of a new incarnation of the server.
type IncarnationChange struct {
	Former uint64
	// FormerAge is the time since the newest answered renewal of the former incarnation
	// was sent.
	FormerAge   time.Duration
	Incarnation uint64
}

// record records the end of a run that was sent to the server.
func (e endings) record(now time.Duration, r *run, ended EndedRun) {
	if r.state == queued {
		return
	}
	e[r.id.TaskID] = pastRun{at: now, ending: ended.Ending, entry: r.entry.EntryRef, evidence: ended.Evidence, run: r.id}
}

// recordRestart adds a Restart to the effects if another incarnation of an entry had sent
// the task before.
func (e endings) recordRestart(now time.Duration, entry *entry, id pollenfront.RunID, effects *Effects) {
	past, ok := e[id.TaskID]
	if !ok || past.entry == entry.EntryRef {
		return
	}
	effects.Restarts = append(effects.Restarts, Restart{
		Age: now - past.at, EarlierEntry: past.entry.Name, EarlierRun: past.run.Number, Ending: past.ending, Entry: entry.Name,
		Evidence: past.evidence, Run: id,
	})
}

// recordListed adds a Contradiction to the effects if the response to a renewal lists a run
// that had been concluded to be over when the renewal was sent.
func (e endings) recordListed(now, sent time.Duration, incarnation uint64, id pollenfront.RunID, effects *Effects) {
	past, ok := e[id.TaskID]
	if !ok || past.run != id || sent <= past.at {
		return
	}
	effects.Contradictions = append(effects.Contradictions, Contradiction{
		Age: now - past.at, Conclusion: past.evidence, Entry: past.entry.Name, Incarnation: incarnation, Run: id,
	})
	delete(e, id.TaskID) // It is reported once.
}

// expire removes the ends that are older than endingRetention.
func (e endings) expire(now time.Duration) {
	for id, past := range e {
		if now-past.at > endingRetention {
			delete(e, id)
		}
	}
}

// checkCrashConclusion adds a Contradiction to the effects if an incarnation answers a renewal
// that was taken for crashed.
func (x *Executor) checkCrashConclusion(now time.Duration, incarnation uint64, effects *Effects) {
	if s := &x.server; incarnation == s.incarnation && s.crashed {
		effects.Contradictions = append(effects.Contradictions, Contradiction{Age: now - s.crashedAt, Conclusion: ConnectionRefused, Incarnation: incarnation})
	}
}
