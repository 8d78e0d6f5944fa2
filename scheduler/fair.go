package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/fairshare"
)

// Parameters of fair shares. The comparisons are in docs/design/11-fair-shares.md.
const (
	// lateBacklog limits the overdue jobs that are kept for a late answer, as a share of
	// the work that this entry's share of the servers can do before the answers are of no
	// use. Without a limit, refusals take 0.8 s on average, with it 0.3 s.
	lateBacklog = 0.2
	// lateFreeShare is the share of the servers' CPU that must be free for overdue jobs to be
	// placed. Without it they take the room of jobs that arrive next: value served at 160 %
	// 0.462, 0.494 with it.
	lateFreeShare = 0.2
)

// fairShares are the accounts and the order of the queue if fair shares are enabled.
type fairShares struct {
	accounts *fairshare.Accounts
	// bySize are the queued jobs, smallest first. It may hold jobs that have left the queue
	// since the last call of fairOrder.
	bySize []*job
	// groups has one list for each lagging flow, one for the other jobs and one for those
	// that are expected to be late. It is only used within a call of fairOrder.
	groups [][]*job
	// holder is the job for which holdsRoom is true, or nil.
	holder *job
	// order is the result of fairOrder. It is kept to reuse its memory.
	order []*job
}

// A fairAccount is what fair shares know of a job.
type fairAccount struct {
	flow *fairshare.Flow
	// listed is set while the job is in fairShares.bySize.
	listed bool
	// served is set once the job was counted as served.
	served bool
	// size is the size for which the job counts in its flow.
	size float64
	// unlikely is set once the job is expected to start too late to be on time.
	unlikely bool
}

// WithFairShares makes the Scheduler divide scarce capacity fairly among routes and size
// classes, and keep jobs that can't be on time for a late answer while room may be left.
func WithFairShares() Option {
	return (*Scheduler).EnableFairShares
}

// EnableFairShares does what WithFairShares does. It must be called before the first submission.
func (s *Scheduler) EnableFairShares() {
	s.fair = &fairShares{accounts: fairshare.New()}
}

// QueueLength returns the number of jobs that wait for a server.
func (s *Scheduler) QueueLength() int {
	return len(s.queue)
}

// FairShares returns the accounts, or nil if fair shares are not enabled.
func (s *Scheduler) FairShares() *fairshare.Accounts {
	if s.fair == nil {
		return nil
	}
	return s.fair.accounts
}

// accountArrival adds a new job to the accounts.
func (s *Scheduler) accountArrival(now time.Duration, j *job) {
	if s.fair != nil {
		j.fair.flow, j.fair.size = s.fair.accounts.Arrive(now, j.Route.Name, j.work())
	}
}

// accountLeft takes a job whose caller has left before it was sent out of the accounts.
func (s *Scheduler) accountLeft(now time.Duration, j *job) {
	if s.fair != nil && !j.fair.served {
		j.fair.flow.Withdraw(now, j.arrived, j.fair.size)
	}
}

// accountCompleted counts a job that was answered late.
func (s *Scheduler) accountCompleted(now time.Duration, j *job) {
	if s.fair != nil && now > j.due {
		j.fair.flow.Route().Limit.Late(now)
	}
}

// accountRefused counts a job that was refused because of the load.
func (s *Scheduler) accountRefused(now time.Duration, j *job, reason pollenfront.Reason) {
	if s.fair != nil && j.fair.flow != nil && reason == pollenfront.ReasonOverloaded {
		j.fair.flow.Route().Limit.Refused(now)
	}
}

// strictness returns the factor by which the expected delay of a job is multiplied.
func (s *Scheduler) strictness(now time.Duration, j *job) float64 {
	if s.fair == nil || j.fair.flow == nil {
		return 1
	}
	return j.fair.flow.Route().Limit.Strictness(now)
}

// insert inserts a queued job into bySize, unless it is there.
func (f *fairShares) insert(j *job) {
	if j.fair.listed {
		return
	}
	j.fair.listed = true
	i, _ := slices.BinarySearchFunc(f.bySize, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.fair.size, b.fair.size), cmp.Compare(a.seqNum, b.seqNum))
	})
	f.bySize = slices.Insert(f.bySize, i, j)
}

// queued reports whether a job is in the queue.
func (j *job) queued() bool {
	return j.toPlace > 0 && !j.canceled && !j.answered
}

// holdsRoom reports whether the servers that a job has found are kept from the jobs behind it,
// although it has to wait for others: it is the first job of a flow that is far behind.
func (s *Scheduler) holdsRoom(j *job) bool {
	return s.fair != nil && s.fair.holder == j
}

// fairOrder returns the queued jobs that are not overdue, in the order in which they are
// placed: those of which a task was sent, then those of lagging flows, then the others, and
// last those that are expected to be late. Within each of these the smallest goes first, since
// that serves the most jobs with the same capacity.
func (s *Scheduler) fairOrder(now time.Duration) []*job {
	f := s.fair
	lagging := f.accounts.Lagging(now)
	for len(f.groups) < len(lagging)+3 {
		f.groups = append(f.groups, nil)
	}
	groups := f.groups[:len(lagging)+3]
	for i := range groups {
		groups[i] = groups[i][:0]
	}
	listed := f.bySize[:0]
	for _, j := range f.bySize {
		j.fair.listed = j.queued()
		if !j.fair.listed {
			continue
		}
		listed = append(listed, j)
		if j.isOverdue(now) {
			continue
		}
		group := j.orderGroup(len(lagging))
		groups[group] = append(groups[group], j)
	}
	clear(f.bySize[len(listed):])
	f.bySize = listed
	f.order = f.order[:0]
	for _, group := range groups {
		f.order = append(f.order, group...)
	}
	return f.order
}

// orderGroup returns the index in fairShares.groups of the list to which a job belongs, with
// a number of lagging flows.
func (j *job) orderGroup(lagging int) int {
	switch rank := j.fair.flow.Rank(); {
	case j.sentAny:
		return 0
	case rank >= 0:
		return rank + 1
	case j.fair.unlikely:
		return lagging + 2
	}
	return lagging + 1
}

// placeFair sends the tasks of queued jobs to servers in the order of fairOrder, where place
// uses that of the queue. Overdue jobs are placed when no other job waits and enough CPU is
// free, and are refused when an answer would be of no use.
func (s *Scheduler) placeFair(now time.Duration, effects *Effects) {
	candidates := s.candidates(now)
	s.holdFailed(now, candidates)
	s.unplaceable = s.unplaceable[:0]
	order := s.fairOrder(now)
	placedAll := s.placeInOrder(now, order, candidates, effects)
	if placedAll && hasFreeShare(candidates, lateFreeShare) {
		for _, j := range s.queue {
			if j.isOverdue(now) && !s.isUnplaceable(j) {
				s.placeFairJob(now, j, candidates, effects)
			}
		}
	}
	if len(effects.Placements) > 0 {
		s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.toPlace == 0 })
	}
	s.reportWithheld(effects)
	if s.warmingUp(now) {
		s.shedOverdue(now, effects)
		return
	}
	s.shedUseless(now, effects)
	s.shedUnlikely(now, order, effects)
}

// placeInOrder places the jobs of an order and reports whether it placed all. The servers that
// the first job of a flow far behind has found are kept for it.
func (s *Scheduler) placeInOrder(now time.Duration, order []*job, candidates []candidate, effects *Effects) bool {
	placedAll, held := true, false
	for _, j := range order {
		s.fair.holder = nil
		if !held && !j.sentAny && j.fair.flow.Starves() {
			s.fair.holder = j
			held = true
		}
		if s.isUnplaceable(j) || !s.placeFairJob(now, j, candidates, effects) {
			placedAll = false
		}
	}
	s.fair.holder = nil
	return placedAll
}

// placeFairJob places a job like placeJob and counts it as served.
func (s *Scheduler) placeFairJob(now time.Duration, j *job, candidates []candidate, effects *Effects) bool {
	if !s.placeJob(now, j, candidates, effects) {
		return false
	}
	if !j.fair.served {
		j.fair.served = true
		j.fair.flow.Serve(now, j.arrived, j.fair.size)
	}
	return true
}

// hasFreeShare reports whether at least a share of the CPU of the candidates is free.
func hasFreeShare(candidates []candidate, share float64) bool {
	capacity, free := 0, 0
	for i := range candidates {
		capacity += candidates[i].report.Capacity.CPU
		free += max(0, candidates[i].free.CPU)
	}
	return float64(free) >= share*float64(capacity)
}

// usefulUntil returns the latest start with which an answer to a job is of use.
func (j *job) usefulUntil() time.Duration {
	return min(j.expiry, j.deadline) - j.expectedRunTime
}

// shedUseless refuses the overdue jobs that can't be answered while an answer is of use, and
// those for which the overdue jobs ahead of them leave no capacity.
func (s *Scheduler) shedUseless(now time.Duration, effects *Effects) {
	work, capacities := make(map[pool]float64), make(map[pool]float64)
	var overdue []*job // A copy, since refuse removes jobs from the queue.
	for _, j := range s.queue {
		if j.latestStart >= now {
			break
		}
		if !j.sentAny {
			overdue = append(overdue, j)
		}
	}
	for _, j := range overdue {
		p := s.pool(j)
		if _, ok := capacities[p]; !ok {
			capacities[p] = s.poolCapacity(now, p)
		}
		left := float64(j.usefulUntil() - now)
		if left < 0 || work[p] > 0 && work[p]+j.work() > lateBacklog*capacities[p]*left {
			s.refuse(now, j, pollenfront.ReasonOverloaded, "the job has waited until it would be late, and no room is left for late answers; "+s.describeLoad(now), effects)
			continue
		}
		work[p] += j.work()
	}
}

// A poolLoad is the work that waits for the servers of a pool in a pass over the queue.
type poolLoad struct {
	capacity float64
	// unlikely is the work of jobs that are expected to start too late to be on time.
	unlikely float64
	work     float64
}

// shedUnlikely marks the jobs that are expected to start too late to be on time, and refuses
// those whose answer would even be of no use if the entry's share of the servers did all the
// work ahead.
func (s *Scheduler) shedUnlikely(now time.Duration, order []*job, effects *Effects) {
	loads := make(map[pool]*poolLoad)
	var last pool
	var load *poolLoad
	for _, j := range order {
		if !j.queued() {
			continue
		}
		if p := s.pool(j); load == nil || p != last {
			load, last = loads[p], p
			if load == nil {
				load = &poolLoad{capacity: s.poolCapacity(now, p)}
				loads[p] = load
			}
		}
		if load.capacity == 0 {
			continue
		}
		delay := time.Duration(s.strictness(now, j) * load.work / load.capacity)
		if j.sentAny || now+delay <= j.latestStart {
			load.work += j.work()
			continue
		}
		j.fair.unlikely = true
		if delay = time.Duration(max(1, s.strictness(now, j)) * (load.work + load.unlikely) / load.capacity); now+delay > j.usefulUntil() {
			s.refuseForDelay(now, j, delay, effects)
			continue
		}
		load.unlikely += j.work()
	}
}
