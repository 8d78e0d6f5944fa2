package dispatch

import (
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/ledger"
)

// maxConsidered bounds the queued tasks that one pass looks at.
const maxConsidered = 128

// place sends queued tasks to servers. It looks at the tasks in the order of
// service; a task for which a full server is the better choice stays queued,
// and the pass reckons with the slot that it will take.
func (d *Dispatcher) place(now time.Time) []Effect {
	var effects []Effect
	pass := d.newPass(now)
	for range maxConsidered {
		if pass.room == 0 {
			break
		}
		l, j, t := pass.next()
		if t == nil {
			return effects
		}
		candidates := pass.candidates(j.Kind)
		chosen := d.policy.Choose(candidates, d.random)
		if chosen < 0 {
			break
		}
		if candidates[chosen].Room <= 0 {
			j.note = waitFor{server: candidates[chosen].Name, wait: candidates[chosen].Wait}
			pass.book(chosen, candidates[chosen])
			pass.skip(l)
			continue
		}
		t.choice = newChoice(d.policy.Name(), candidates, chosen)
		pass.take(chosen, candidates[chosen])
		effects = append(effects, d.send(now, j, t, d.servers[candidates[chosen].Name]))
	}
	return effects
}

// A pass is one look at the queue.
type pass struct {
	candidate  []pollenfront.Candidate // Reused between tasks.
	dispatcher *Dispatcher
	now        time.Time
	position   map[*lane]int // Tasks of a lane that were looked at and stay queued.
	room       int           // Of all servers.
	servers    []passServer
}

// A passServer is a server during a pass.
type passServer struct {
	*server

	extra    int             // Short tasks that may be sent beyond room.
	free     []time.Duration // Times from now on at which slots are free for a task that queues, sorted.
	next     []time.Duration // The same for a task that overtakes the queued ones.
	room     int
	slowness float64
}

// newPass returns a pass over the servers that may run tasks.
func (d *Dispatcher) newPass(now time.Time) *pass {
	p := &pass{dispatcher: d}
	if !d.hasQueue() {
		return p
	}
	depth := d.view.QueueDepth()
	p.position = make(map[*lane]int)
	p.candidate = d.candidate
	p.servers = d.passServers[:0]
	for _, s := range d.order {
		if !s.usable(now) {
			continue
		}
		added := passServer{
			extra: s.urgentRoom(now), room: s.room(now, depth), server: s, slowness: d.estimator.Slowness(s.Name) * s.overdue(now),
		}
		if added.room > 0 && s.onTrial(now) {
			added.slowness /= probeDiscount
		}
		p.room += max(0, added.room+added.extra)
		p.servers = append(p.servers, added)
	}
	d.passServers = p.servers
	if p.room == 0 {
		return p
	}
	p.now = now
	return p
}

// hasQueue reports whether a task is queued.
func (d *Dispatcher) hasQueue() bool {
	for _, l := range d.lanes {
		if l.queued > 0 {
			return true
		}
	}
	return false
}

// next returns the next task in the order of service that the pass has not
// looked at. It returns a nil task if there is none.
func (p *pass) next() (*lane, *job, *task) {
	least, found := p.leastServed()
	if !found {
		return nil, nil, nil
	}
	var first *lane
	var firstJob *job
	var firstTask *task
	for key, l := range p.dispatcher.lanes {
		if p.position[l] >= l.queued || p.dispatcher.teams[key.team].served > least+fairnessWindow {
			continue
		}
		j, t := l.at(p.position[l])
		if firstJob == nil || before(j, firstJob) {
			first, firstJob, firstTask = l, j, t
		}
	}
	return first, firstJob, firstTask
}

// leastServed returns the least service among the teams with tasks that the
// pass has not looked at.
func (p *pass) leastServed() (time.Duration, bool) {
	var least time.Duration
	found := false
	for key, l := range p.dispatcher.lanes {
		if p.position[l] >= l.queued {
			continue
		}
		if served := p.dispatcher.teams[key.team].served; !found || served < least {
			least, found = served, true
		}
	}
	return least, found
}

// skip leaves the next task of a lane queued.
func (p *pass) skip(l *lane) {
	p.position[l]++
}

// candidates lists the servers for a task of a kind.
func (p *pass) candidates(kind string) []pollenfront.Candidate {
	base := float64(p.dispatcher.estimator.Base(kind, 0))
	urgent := p.dispatcher.estimator.Short(kind)
	p.candidate = p.candidate[:0]
	for i := range p.servers {
		s := &p.servers[i]
		expected := time.Duration(base * s.slowness)
		c := pollenfront.Candidate{
			Expected: expected, Name: s.Name, Others: s.load.Others, Own: s.own(), Room: s.room, Wait: p.wait(s, urgent),
		}
		if urgent {
			c.Room += s.extra
		}
		p.candidate = append(p.candidate, c)
	}
	p.dispatcher.candidate = p.candidate
	return p.candidate
}

// wait returns the time until a slot of a server is free for a task.
func (p *pass) wait(s *passServer, urgent bool) time.Duration {
	if s.next == nil && s.own()+s.load.Others < s.Slots {
		return 0
	}
	p.reckon(s)
	if urgent {
		return s.next[0]
	}
	return s.free[0]
}

// reckon calculates when the slots of a server are free, once in a pass.
func (p *pass) reckon(s *passServer) {
	if s.next == nil {
		s.next, s.free = s.freeTimes(p.now, p.dispatcher.estimator.Typical(s.Name))
	}
}

// take reckons with a task that is sent to a server.
func (p *pass) take(i int, c pollenfront.Candidate) {
	p.servers[i].room--
	p.room--
	p.reckon(&p.servers[i])
	p.servers[i].occupy(c)
}

// book reckons with a task that waits for a server. The other owners are taken
// to have as many tasks that wait for it.
func (p *pass) book(i int, c pollenfront.Candidate) {
	p.reckon(&p.servers[i])
	for range p.dispatcher.activeEntries() {
		p.servers[i].occupy(c)
	}
}

// occupy takes the slot that is free first for the run time of a task.
func (s *passServer) occupy(c pollenfront.Candidate) {
	occupy(s.free, c.Expected)
	occupy(s.next, c.Expected)
}

// occupy puts the first of some sorted times off.
func occupy(free []time.Duration, by time.Duration) {
	end := free[0] + by
	i, _ := slices.BinarySearch(free[1:], end)
	copy(free, free[1:i+1])
	free[i] = end
}

// before reports whether a is served before b.
func before(a, b *job) bool {
	if a.key.Equal(b.key) {
		return a.ID < b.ID
	}
	return a.key.Before(b.key)
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
		Due:      j.key,
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
		s.sent(t)
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
