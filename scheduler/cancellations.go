package scheduler

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of requests to cancel a job.
const (
	// cancelSettleTime is the time after which the entry that has the job has been told of the
	// cancellation, and this entry of that, if all links work. The way there and back leads
	// through two agents and two entries at the most, which need 260 ms.
	cancelSettleTime = 500 * time.Millisecond
	// cancelTimeout is how long a request waits at the longest. An agent that is lost may
	// have runs for 1.3 s.
	cancelTimeout = 2 * time.Second
)

// CancelJob cancels a job at the request of a caller. The job may belong to another entry, so
// the cancellation is sent to all agents, which pass it on. While it is remembered, the job is
// not started here.
func (s *Scheduler) CancelJob(now time.Duration, job pollenfront.JobRef) *Effects {
	effects := &Effects{}
	s.detectSuspension(now, effects)
	s.recordCancellation(now, pollenfront.Cancellation{JobRef: job}, "", effects)
	s.sendCancellations(effects)
	s.place(now, effects)
	return effects
}

// recordCancellation records a cancellation that was learned from an agent, or requested here if
// peer is empty. It cancels the job if it is under way at this entry, and tells the agent too
// that the job was found. A job that was answered before may be under way at another entry by
// now, and its runs here are being stopped already. A cancellation that can't be remembered has
// no effect, since its job could be started elsewhere while its runs are being stopped.
func (s *Scheduler) recordCancellation(now time.Duration, c pollenfront.Cancellation, peer string, effects *Effects) {
	j, ok := s.jobs[c.ID]
	ok = ok && j.Ref() == c.JobRef && !j.answered
	if ok {
		c.Found, peer = true, ""
	}
	if s.cancellations.Add(now, c, peer) && c.Found {
		effects.CanceledJobs = append(effects.CanceledJobs, c.JobRef)
	}
	if ok && s.cancellations.Contains(c.JobRef) {
		s.cancelOnRequest(now, j, effects)
	}
}

// cancelOnRequest answers and cancels a job at the request of a caller.
func (s *Scheduler) cancelOnRequest(now time.Duration, j *job, effects *Effects) {
	if !j.canceled {
		s.accountLeft(now, j)
	}
	j.answer(pollenfront.VerdictCanceled, pollenfront.ReasonCanceled, "", 0, effects)
	s.cancelJob(now, j, pollenfront.ReasonCanceled, effects)
}

// answerIfCanceled answers a new job that was canceled before it arrived, and reports whether it
// has.
func (s *Scheduler) answerIfCanceled(now time.Duration, sub *pollenfront.Submission, effects *Effects) bool {
	c, ok := s.cancellations.Find(now, sub.Ref())
	if !ok {
		return false
	}
	c.Found = true
	if s.cancellations.Add(now, c, "") {
		effects.CanceledJobs = append(effects.CanceledJobs, c.JobRef)
	}
	effects.addResult(pollenfront.Result{ID: sub.ID, Reason: pollenfront.ReasonCanceled, Verdict: pollenfront.VerdictCanceled})
	return true
}

// sendCancellations sends commands to the linked agents that don't know of all cancellations.
func (s *Scheduler) sendCancellations(effects *Effects) {
	for _, a := range s.sortedAgents {
		if a.linked && s.cancellations.HasNews(a.cancelCursor, a.Name) {
			effects.commandsFor(s, a)
		}
	}
}

// CancelOutcome returns the outcome of a request to cancel a job that has waited for some time,
// and false if it is to wait on. timeLimit is the time that its caller waits.
func (s *Scheduler) CancelOutcome(now time.Duration, job pollenfront.JobRef, waited, timeLimit time.Duration) (pollenfront.CancelOutcome, bool) {
	c, _ := s.cancellations.Find(now, job)
	switch {
	case c.Found:
		return pollenfront.CancelDone, true
	case waited >= cancelSettleTime && s.agentsHoldCancellation(now, job):
		return pollenfront.CancelNoJob, true
	case waited >= min(cancelTimeout, timeLimit-answerMargin):
		return pollenfront.CancelUnconfirmed, true
	}
	return pollenfront.CancelUnconfirmed, false
}

// agentsHoldCancellation reports whether all agents that may have runs of this entry know that a
// job was canceled. There must be at least one, and none may be suspect.
func (s *Scheduler) agentsHoldCancellation(now time.Duration, job pollenfront.JobRef) bool {
	seqNum := s.cancellations.SeqNum(job)
	for _, a := range s.sortedAgents {
		if !a.linked || a.confirmedCancellations < seqNum || now-a.lastUpdate > AgentSuspectTimeout {
			return false
		}
	}
	return seqNum > 0 && len(s.sortedAgents) > 0
}
