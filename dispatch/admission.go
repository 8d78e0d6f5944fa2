package dispatch

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// Parameters of admission.
const (
	admissionMargin = 150    // Percent of the expected time: jobs that arrive later may be served before.
	maxQueuedTasks  = 20_000 // Of one entry.
	minRetryAfter   = 200 * time.Millisecond
)

// admit returns an error if a job can't be accepted. A job that may have
// run in part passes: it can't be refused as "not run".
func (d *Dispatcher) admit(now time.Time, j *job, f fleet, mayHaveRun bool) *refusal.Error {
	if mayHaveRun {
		return nil
	}
	team, ok := d.view.Team(j.Team)
	if !ok {
		return refusal.New(refusal.UnknownTeam, "team %q is not configured", j.Team)
	}
	if _, ok := d.view.Kind(j.Kind); !ok {
		return refusal.New(refusal.UnknownKind, "kind %q is not configured", j.Kind)
	}
	if len(j.tasks) > team.Quota {
		return refusal.New(refusal.NeverRuns, "the job has %d tasks, and the quota of team %s is %d", len(j.tasks), j.Team, team.Quota)
	}
	if err := d.checkQuota(j, f, team.Quota); err != nil {
		return err
	}
	return d.checkDeadline(now, j, f)
}

// checkQuota returns a refusal.OverQuota error if the team has too many tasks
// in flight. Each entry grants an equal share of the quota, and at least one
// job at a time.
func (d *Dispatcher) checkQuota(j *job, f fleet, quota int) *refusal.Error {
	entries := d.activeEntries()
	share := (quota + entries - 1) / entries
	inFlight := d.team(j.Team).inFlight
	if inFlight == 0 || inFlight+len(j.tasks) <= share {
		return nil
	}
	err := refusal.New(refusal.OverQuota, "team %s has %d tasks in flight at this entry, whose share of the quota is %d", j.Team, inFlight, share)
	return err.After(max(minRetryAfter, d.drainTime(f, d.workOf(j.Kind, j.queued))))
}

// checkDeadline returns an error if the job is not expected to finish in time
// behind the jobs that are served before it.
func (d *Dispatcher) checkDeadline(now time.Time, j *job, f fleet) *refusal.Error {
	if !now.Before(j.Deadline) {
		return refusal.New(refusal.DeadlinePassed, "the deadline %s has passed", j.Deadline.Format(time.RFC3339Nano))
	}
	if f.capacity == 0 {
		return refusal.New(refusal.NoServers, "no backend server may run tasks now").After(refusedRetryAfter)
	}
	work := d.workOf(j.Kind, j.queued)
	ahead, tasks := d.backlogBefore(now.Add(urgency * d.ideal(j, f)))
	if tasks+len(j.queued) > maxQueuedTasks {
		return refusal.New(refusal.Overloaded, "%d tasks are queued", tasks).After(max(minRetryAfter, d.drainTime(f, ahead)))
	}
	if !d.estimator.KnownKind(j.Kind) {
		return nil // Declared run times are too far off to refuse a job by.
	}
	finish := d.drainTime(f, ahead+work)*admissionMargin/100 + d.shortest(j.Kind, f)
	if left := j.Deadline.Sub(now); finish > left {
		err := refusal.New(refusal.CannotFinish, "the job is expected to take %v, and its deadline is in %v", finish.Round(time.Millisecond), left.Round(time.Millisecond))
		return err.After(max(minRetryAfter, min(finish-left, d.drainTime(f, ahead))))
	}
	return nil
}

// shed gives up the jobs of which nothing was sent yet, and which are not
// expected to finish in time behind those that are served before them.
func (d *Dispatcher) shed(now time.Time) []Effect {
	var waiting []*job
	for _, l := range d.lanes {
		waiting = append(waiting, l.jobs...)
	}
	slices.SortFunc(waiting, func(a, b *job) int { return a.key.Compare(b.key) })
	f := d.fleet(now)
	var effects []Effect
	var ahead time.Duration
	for _, j := range waiting {
		work := d.workOf(j.Kind, j.queued)
		finish := now.Add(d.drainTime(f, ahead+work) + d.shortest(j.Kind, f))
		if j.sent > 0 || j.started || f.capacity == 0 || !d.estimator.KnownKind(j.Kind) || !finish.After(j.Deadline) {
			ahead += work
			continue
		}
		late := finish.Sub(j.Deadline)
		reason := refusal.New(refusal.CannotFinish, "the job would finish %v after its deadline", late.Round(time.Millisecond))
		effects = append(effects, d.giveUp(j, reason.After(max(minRetryAfter, late)))...)
	}
	return effects
}

// ideal returns the expected response time of a job on an idle fleet.
func (d *Dispatcher) ideal(j *job, f fleet) time.Duration {
	return d.shortest(j.Kind, f) + time.Duration(float64(d.workOf(j.Kind, j.queued))/max(1, f.capacity))
}

// shortest returns the expected run time of a kind on the fastest server.
func (d *Dispatcher) shortest(kind string, f fleet) time.Duration {
	return time.Duration(float64(d.estimator.Base(kind, 0)) * f.fastest)
}

// workOf returns the expected run time of tasks on a server of slowness 1.
func (d *Dispatcher) workOf(kind string, tasks []*task) time.Duration {
	if len(tasks) == 0 {
		return 0
	}
	return d.estimator.Base(kind, time.Duration(tasks[0].Declared)) * time.Duration(len(tasks))
}

// backlogBefore returns the work and the number of the tasks queued in jobs
// that are served before an instant.
func (d *Dispatcher) backlogBefore(key time.Time) (time.Duration, int) {
	var work time.Duration
	tasks := 0
	for _, l := range d.lanes {
		for _, j := range l.jobs {
			if j.key.After(key) {
				break
			}
			work += d.workOf(j.Kind, j.queued)
			tasks += len(j.queued)
		}
	}
	return work, tasks
}

// drainTime returns the time that this entry's share of the servers needs for
// an amount of work.
func (d *Dispatcher) drainTime(f fleet, work time.Duration) time.Duration {
	if f.capacity == 0 {
		return 0
	}
	return time.Duration(float64(work) * float64(d.activeEntries()) / f.capacity)
}

// A fleet sums up the servers that may run tasks.
type fleet struct {
	capacity float64 // Work done in a unit of time, as a multiple of one slot of slowness 1.
	fastest  float64 // Slowness of the fastest server.
}

// fleet sums up the servers that may run tasks now.
func (d *Dispatcher) fleet(now time.Time) fleet {
	var f fleet
	for _, s := range d.order {
		if !s.usable(now) || s.ejected() {
			continue
		}
		slowness := d.estimator.Slowness(s.Name)
		f.capacity += float64(s.Slots) / slowness
		if f.fastest == 0 || slowness < f.fastest {
			f.fastest = slowness
		}
	}
	return f
}

// activeEntries returns the number of entries that own jobs.
func (d *Dispatcher) activeEntries() int {
	return max(1, len(d.view.Members()))
}

// Counts are totals since the start of the process.
type Counts struct {
	Accepted   int `json:"accepted"`
	Complete   int `json:"complete"`
	Ejected    int `json:"ejected"`
	Failed     int `json:"failed"`
	NotRun     int `json:"not-run"`
	NotStarted int `json:"not-started"` // Attempts that an agent refused or gave back.
	Refused    int `json:"refused"`     // Jobs that were not admitted.
	Sent       int `json:"sent"`        // Attempts.
	Unknown    int `json:"unknown"`
	Withdrawn  int `json:"withdrawn"` // Withdrawals sent.
}

// answered counts an answer.
func (c *Counts) answered(status pollenfront.Status) {
	switch status {
	case pollenfront.StatusComplete:
		c.Complete++
	case pollenfront.StatusFailed:
		c.Failed++
	case pollenfront.StatusNotRun:
		c.NotRun++
	case pollenfront.StatusUnknown:
		c.Unknown++
	}
}
