package dispatch

import (
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/ledger"
)

// place sends queued tasks to servers until nothing more can be sent.
func (d *Dispatcher) place(now time.Time) []Effect {
	var effects []Effect
	waiting := make(map[string]bool) // Kinds whose tasks wait.
	for {
		l := d.nextLane(waiting)
		if l == nil {
			return effects
		}
		candidates := d.candidates(now, l.key.kind)
		chosen, position := d.choose(candidates, l.queued)
		if chosen < 0 {
			waiting[l.key.kind] = true
			l.jobs[0].lastNote = d.whyWaiting(candidates)
			continue
		}
		j := l.at(position)
		t := j.queued[0]
		t.choice = newChoice(d.policy.Name(), candidates, chosen)
		effects = append(effects, d.send(now, j, t, d.servers[candidates[chosen].Name]))
	}
}

// choose asks the policy for a server for the first of the queued tasks of a
// kind, then for later ones, which may rather take a slow server than wait. It
// returns the server and the position of the task.
func (d *Dispatcher) choose(candidates []pollenfront.Candidate, queued int) (int, int) {
	withRoom := false
	for _, c := range candidates {
		withRoom = withRoom || c.Room > 0
	}
	if !withRoom {
		return -1, 0
	}
	for behind := range min(queued, maxBehindTried) {
		if chosen := d.policy.Choose(candidates, behind, d.random); chosen >= 0 {
			return chosen, behind
		}
	}
	return -1, 0
}

// nextLane returns the lane whose first job is due first, among the lanes of
// teams that are not too far ahead of the others. It returns nil if no lane
// has tasks that can be sent.
func (d *Dispatcher) nextLane(waiting map[string]bool) *lane {
	limit, found := d.leastServed(waiting)
	if !found {
		return nil
	}
	limit += fairnessWindow
	var first *lane
	for key, l := range d.lanes {
		if len(l.jobs) == 0 || waiting[key.kind] || d.teams[key.team].served > limit {
			continue
		}
		if first == nil || before(l.jobs[0], first.jobs[0]) {
			first = l
		}
	}
	return first
}

// leastServed returns the least service among the teams with tasks to send.
func (d *Dispatcher) leastServed(waiting map[string]bool) (time.Duration, bool) {
	var least time.Duration
	found := false
	for key, l := range d.lanes {
		if len(l.jobs) == 0 || waiting[key.kind] {
			continue
		}
		if served := d.teams[key.team].served; !found || served < least {
			least, found = served, true
		}
	}
	return least, found
}

// before reports whether a is served before b.
func before(a, b *job) bool {
	if a.key.Equal(b.key) {
		return a.ID < b.ID
	}
	return a.key.Before(b.key)
}

// candidates lists the servers that may run tasks of a kind.
func (d *Dispatcher) candidates(now time.Time, kind string) []pollenfront.Candidate {
	d.candidate = d.candidate[:0]
	base := d.estimator.Base(kind, 0)
	depth := d.view.QueueDepth()
	for _, name := range d.order {
		s := d.servers[name]
		if s.gone {
			continue
		}
		expected := time.Duration(float64(base) * d.estimator.Slowness(name))
		d.candidate = append(d.candidate, pollenfront.Candidate{
			Expected: expected,
			Name:     name,
			Others:   s.load.Others,
			Own:      s.own,
			Room:     s.room(now, depth),
			Slots:    s.Slots,
			Wait:     s.wait(expected),
		})
	}
	return d.candidate
}

// whyWaiting describes why no server was chosen.
func (d *Dispatcher) whyWaiting(candidates []pollenfront.Candidate) string {
	if len(candidates) == 0 {
		return "no backend server may run tasks"
	}
	for _, c := range candidates {
		if c.Room > 0 {
			return "faster servers are expected to be free soon"
		}
	}
	return "all backend servers are full"
}

// send records that a task is sent to a server.
func (d *Dispatcher) send(now time.Time, j *job, t *task, s *server) Effect {
	d.dequeue(j, t)
	d.attempts++
	d.counts.Sent++
	d.markSent(now, j, t, s.Ref(), j.accepted<<attemptBits+d.attempts)
	weight := 1
	if declared, ok := d.view.Team(j.Team); ok {
		weight = declared.Weight
	}
	d.team(j.Team).served += d.estimator.Base(j.Kind, 0) / time.Duration(weight)
	return StartTask{Server: s.Ref(), Start: ledger.Start{
		Accepted: j.accepted,
		Attempt:  t.attempt,
		Deadline: j.Deadline,
		Kind:     j.Kind,
		Owner:    d.self,
		Ref:      pollenfront.TaskRef{Job: j.ID, Task: t.Name},
		Target:   s.Ref(),
		Task:     t.Task,
	}}
}

// markSent moves a task to the sent state.
func (d *Dispatcher) markSent(now time.Time, j *job, t *task, to pollenfront.ServerRef, attempt uint64) {
	t.attempt, t.sentAt, t.server, t.state, t.withdrawn = attempt, now, to, taskSent, false
	j.sent++
	if s, ok := d.servers[to.Name]; ok && s.Ref() == to {
		s.own++
	}
}

// dequeue takes a task out of the queue of its job.
func (d *Dispatcher) dequeue(j *job, t *task) {
	l := d.lane(j)
	j.unqueue(t)
	l.queued--
	d.team(j.Team).queued--
	if len(j.queued) == 0 {
		l.remove(j)
	}
}

// requeue puts a task back to the front of the queue of its job.
func (d *Dispatcher) requeue(j *job, t *task) {
	l := d.lane(j)
	if len(j.queued) == 0 {
		l.add(j)
	}
	t.state = taskQueued
	j.queued = append([]*task{t}, j.queued...)
	l.queued++
	d.team(j.Team).queued++
}

// lane returns the lane of a job.
func (d *Dispatcher) lane(j *job) *lane {
	key := laneKey{kind: j.Kind, team: j.Team}
	l, ok := d.lanes[key]
	if !ok {
		l = &lane{key: key}
		d.lanes[key] = l
	}
	return l
}

// team returns what is kept of a team.
func (d *Dispatcher) team(name string) *team {
	t, ok := d.teams[name]
	if !ok {
		t = &team{}
		d.teams[name] = t
	}
	return t
}

// catchUp brings a team that had nothing queued up to the service of the
// others, so that it can't claim the time when it had no work.
func (d *Dispatcher) catchUp(joining *team) {
	var least time.Duration
	found := false
	for _, t := range d.teams {
		if t == joining || t.queued == 0 {
			continue
		}
		if !found || t.served < least {
			least, found = t.served, true
		}
	}
	if found {
		joining.served = max(joining.served, least)
	}
}
