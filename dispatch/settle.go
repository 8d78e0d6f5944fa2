package dispatch

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// taskEnded takes in the outcome of an attempt.
func (d *Dispatcher) taskEnded(now time.Time, e TaskEnded) []Effect {
	j, ok := d.jobs[e.Ref.Job]
	if !ok {
		return nil
	}
	t, ok := j.tasks[e.Ref.Task]
	if !ok || t.state != taskSent || t.attempt != e.Attempt {
		return nil
	}
	j.sent--
	s := d.servers[e.Server.Name]
	if s != nil && s.Ref() == e.Server {
		s.ended(t)
		s.seen = now
	}
	effects := d.settle(now, j, t, s, e.Outcome)
	d.forgetIfDone(j)
	return effects
}

// settle moves a task to the state that the outcome of its attempt calls for.
func (d *Dispatcher) settle(now time.Time, j *job, t *task, s *server, outcome pollenfront.Outcome) []Effect {
	t.outcome = outcome
	switch outcome.State {
	case pollenfront.OutcomeSucceeded:
		return d.settleSuccess(j, t, s)
	case pollenfront.OutcomeNotStarted:
		return d.settleNotStarted(now, j, t, s)
	case pollenfront.OutcomeFailed:
		d.settleFailure(now, s)
		t.state, j.started = taskFailed, true
		return d.giveUp(j, refusal.New(refusal.TaskFailed, "task %s failed on %s: %s", t.Name, t.server.Name, outcome.Detail))
	default:
		t.state, j.started = taskFailed, true
		return d.giveUp(j, refusal.New(refusal.OutcomeUnknown, "task %s was lost on %s: %s", t.Name, t.server.Name, outcome.Detail))
	}
}

// settleSuccess takes in a result, and completes the job with the last one.
func (d *Dispatcher) settleSuccess(j *job, t *task, s *server) []Effect {
	t.state, j.started = taskSucceeded, true
	j.succeeds++
	d.estimator.Observe(t.server.Name, j.Kind, time.Duration(t.outcome.RunTime))
	if s != nil {
		s.succeeded()
		s.untried = s.untried && !d.estimator.Known(s.Name)
	}
	if j.answered || j.succeeds < len(j.tasks) {
		return nil
	}
	return d.answer(j, j.complete())
}

// settleFailure counts a failure against the server.
func (d *Dispatcher) settleFailure(now time.Time, s *server) {
	if s == nil {
		return
	}
	var ejected, share float64
	for _, other := range d.servers {
		share += other.failureShare
		if other.ejected() {
			ejected++
		}
	}
	n := float64(len(d.servers))
	if s.failed(now, share/n, (ejected+1)/n <= maxEjected) {
		d.counts.Ejected++
	}
}

// settleNotStarted queues a task again whose attempt was refused.
func (d *Dispatcher) settleNotStarted(now time.Time, j *job, t *task, s *server) []Effect {
	d.counts.NotStarted++
	t.refusals++
	if s != nil && s.Ref() == t.server {
		d.learnRefusal(now, s, t)
	}
	if j.answered {
		t.state = taskDropped
		return nil
	}
	if kind := refusal.Kind(t.outcome.Reason); kind == refusal.Fenced || kind == refusal.NotOwner {
		t.state = taskDropped
		return d.giveUp(j, refusal.New(refusal.OutcomeUnknown, "another entry owns the job by now: %s", t.outcome.Detail))
	}
	d.requeue(j, t)
	if t.refusals < maxTaskRefusals {
		return nil
	}
	reason := refusal.New(refusal.Overloaded, "%d attempts to start task %s were refused, the last one since %s", t.refusals, t.Name, t.outcome.Detail)
	return d.giveUp(j, reason.After(refusedRetryAfter))
}

// learnRefusal stops sends to a server that refused an attempt, for longer the
// more often the task was refused.
func (d *Dispatcher) learnRefusal(now time.Time, s *server, t *task) {
	pause := fullPause << min(t.refusals, maxPauseDoublings)
	switch refusal.Kind(t.outcome.Reason) {
	case refusal.AgentLeaving, refusal.WrongIncarnation:
		s.gone = true
	case refusal.Cancelled:
	case refusal.ServerFull:
		s.fullUntil = now.Add(pause)
	default:
		s.fullUntil = now.Add(10 * pause)
	}
}
