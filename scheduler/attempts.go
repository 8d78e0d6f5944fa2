package scheduler

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/attempts"
)

const (
	// assessInterval is the shortest time between two estimates of the servers' health. It
	// is short compared with the time between two updates.
	assessInterval = 10 * time.Millisecond
	// attemptPenalty is the penalty of a server on which an attempt is worth nothing, if it
	// is worth an answer on time on another one.
	attemptPenalty = 10 * time.Second
	// maxHoldFactor limits how long the resources of a failed run count as used, as a
	// multiple of its expected run time.
	maxHoldFactor = 4
	// minDoubt is the probability of failure below which no server is doubtful, as one
	// failure in a hundred runs happens on healthy servers too.
	minDoubt = 0.01
)

// A Withholding describes an attempt that was not sent to a server with free resources.
type Withholding struct {
	Agent string
	// FailShare is the probability that a run fails on the server.
	FailShare float64
	Job       string
	// LastAttempt is set if the task may not fail again.
	LastAttempt bool
	Task        int
}

// A hold counts the resources of a run that has failed as used. See holdFailed.
type hold struct {
	expected time.Duration // expected is the expected run time.
	need     pollenfront.Resources
	sentAt   time.Duration
}

// evidenceOf returns the evidence of a service.
func (s *Scheduler) evidenceOf(service string) *attempts.Evidence {
	e, ok := s.evidence[service]
	if !ok {
		e = attempts.NewEvidence()
		s.evidence[service] = e
	}
	return e
}

// assess estimates the health of the usable servers, unless it did so less than
// assessInterval ago.
func (s *Scheduler) assess(now time.Duration, candidates []candidate) {
	if s.assessedAt != 0 && now-s.assessedAt < assessInterval {
		return
	}
	s.assessedAt = now
	byService := make(map[string][]*agent)
	for i := range candidates {
		a := candidates[i].agent
		byService[a.service] = append(byService[a.service], a)
	}
	for service, agents := range byService {
		evidence := s.evidenceOf(service)
		servers := make([]attempts.Server, len(agents))
		for i, a := range agents {
			servers[i] = attempts.Server{FailRate: a.report.FailRate, Labels: a.report.Labels, LogOdds: evidence.LogOdds(now, a.Name), Zone: a.zone}
		}
		for i, health := range attempts.Assess(servers, evidence.Trust(now)) {
			agents[i].health = health
		}
	}
}

// holdFailed subtracts the resources of failed runs from the free ones of failing servers,
// which would get more starts than others since their runs end early: a run counts until
// its expected end, and as much longer as the server fails others.
func (s *Scheduler) holdFailed(now time.Duration, candidates []candidate) {
	for i := range candidates {
		c := &candidates[i]
		if len(c.holds) == 0 {
			continue
		}
		c.holds = slices.DeleteFunc(c.holds, func(h hold) bool { return now >= h.sentAt+maxHoldFactor*h.expected })
		if len(c.holds) == 0 {
			continue
		}
		s.assess(now, candidates)
		factor := min(c.health.Failing/(1-c.health.FailShare), maxHoldFactor)
		for _, h := range c.holds {
			if now < h.sentAt+time.Duration(factor*float64(h.expected)) {
				c.free = c.free.Sub(h.need)
			}
		}
	}
}

// recordAttempt records the end of a task's run for the later attempts, its own and those
// of others. It must be called before t.run changes.
func (s *Scheduler) recordAttempt(now time.Duration, t *task, a *agent, ending pollenfront.Ending) {
	switch ending {
	case pollenfront.EndingDone:
		s.evidenceOf(a.service).AddSuccess(now, t.job.Route.Name, a.Name, t.failedOn)
	case pollenfront.EndingFailed:
		if !slices.Contains(t.failedOn, a.Name) {
			t.failedOn = append(t.failedOn, a.Name)
		}
		a.holds = append(a.holds, hold{expected: t.expectedRunTime, need: t.job.Need, sentAt: t.sentAt})
		if t.failures >= max(1, t.job.Route.MaxAttempts) {
			s.evidenceOf(a.service).AddFailure(now, t.job.Route.Name, t.failures)
		}
	case pollenfront.EndingLost, pollenfront.EndingNotStarted, pollenfront.EndingStopped:
	}
}

// attemptsLeft returns the number of runs of a task that may still fail.
func (t *task) attemptsLeft() int {
	if t.job.AtMostOnce {
		return 1
	}
	return max(1, t.job.Route.MaxAttempts) - t.failures
}

// weighAttempt withholds a task that has failed, or may not fail, from the servers among
// s.evaluated on which the attempt is worth less than on another one that is busy now, and
// adds penalties to those on which it is worth less than on another free one. It returns
// the index in s.eligible of a server that it withholds the task from, or -1.
func (s *Scheduler) weighAttempt(now time.Duration, candidates []candidate, t *task, anyCanStart bool) (withheld int) {
	if len(t.failedOn) == 0 && t.attemptsLeft() > 1 || !anyCanStart {
		return -1
	}
	s.assess(now, candidates)
	options := s.attemptOptions(candidates, t)
	doubtful := func(o attempts.Option) bool { return o.FailShare > minDoubt }
	if len(t.failedOn) == 0 && !slices.ContainsFunc(options, doubtful) {
		return -1
	}
	choice := attempts.Compare(s.attemptTask(now, candidates, t), options)
	withheld = -1
	for n := range s.evaluated {
		server := &s.evaluated[n]
		if !server.CanStart {
			continue
		}
		server.Penalty += time.Duration(choice.Loss(n) * float64(attemptPenalty))
		if choice.Withholds(n) {
			server.CanStart, withheld = false, n
		}
	}
	return withheld
}

// attemptOptions returns the servers among s.evaluated as options for an attempt of a task.
func (s *Scheduler) attemptOptions(candidates []candidate, t *task) []attempts.Option {
	options := make([]attempts.Option, len(s.eligible))
	for n, i := range s.eligible {
		c, server := &candidates[i], &s.evaluated[n]
		run := s.slowedRunTimeOn(t.job, c.agent)
		options[n] = attempts.Option{
			CanStart: server.CanStart, Delay: server.TimeToFinish - run, FailedHere: slices.Contains(t.failedOn, c.Name), FailShare: c.health.FailShare, RunTime: run,
		}
	}
	return options
}

// recordWithheld records that a task waits since it was withheld from a candidate, once for
// each attempt.
func (s *Scheduler) recordWithheld(c *candidate, t *task) {
	if t.withheldFailures == t.failures+1 {
		return
	}
	t.withheldFailures = t.failures + 1
	s.withheld = append(s.withheld, Withholding{
		Agent: c.Name, FailShare: c.health.FailShare, Job: t.job.ID, LastAttempt: t.attemptsLeft() == 1, Task: t.run.Index,
	})
}

// reportWithheld moves the withholdings of the current call of place to the effects.
func (s *Scheduler) reportWithheld(effects *Effects) {
	effects.Withholdings, s.withheld = append(effects.Withholdings, s.withheld...), s.withheld[:0]
}

// attemptTask returns a task as package attempts sees it.
func (s *Scheduler) attemptTask(now time.Duration, candidates []candidate, t *task) attempts.Task {
	j := t.job
	var failShares []float64
	for i := range candidates {
		if c := &candidates[i]; slices.Contains(t.failedOn, c.Name) {
			failShares = append(failShares, c.health.FailShare)
		}
	}
	return attempts.Task{
		Attempts: t.attemptsLeft(), Fails: s.evidenceOf(j.Route.Service).TaskFails(j.Route.Name, failShares),
		UntilDeadline: j.deadline - now, UntilDue: j.due - now - dispatchOverhead, UntilExpiry: j.expiry - now,
	}
}
