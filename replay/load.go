package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of what answers are worth.
const (
	lateWorth = 0.2    // Of a late answer, as a share of one in time.
	maxWorth  = 4.0    // Of a job, as a multiple of its kind's worth.
	meanNeed  = 6500.0 // Thousandths of a core, of a task.
)

// stretch is the multiple of its run time within which a job is in time.
const stretch = 1.6

// remoteFactor is the multiple of its run time that a task takes on a server of
// another rack than its data's.
const remoteFactor = 3.0

// A Kind is a kind of job.
type Kind struct {
	AlwaysFails bool   // Whether its tasks always fail.
	DataRack    string // Where its data is, or empty.
	Name        string
	Priority    int
	Rate        float64 // Jobs in a second.
	Target      time.Duration
	Tasks       int           // On average.
	Value       float64       // Of an answer in time to a job of average size.
	Work        time.Duration // Of one task, on average.
}

// Mix is the mix of jobs of a morning: many small ones, few large ones.
var Mix = []Kind{
	{Name: "small", Priority: 0, Rate: 34.4, Target: 60 * time.Millisecond, Tasks: 8, Value: 0.00485, Work: 60 * time.Millisecond},
	{Name: "large", Priority: 2, Rate: 6.25, Target: 60 * time.Millisecond, Tasks: 4, Value: 0.0267, Work: 900 * time.Millisecond},
	{Name: "pair", Priority: 1, Rate: 100, Target: 60 * time.Millisecond, Tasks: 2, Value: 0.00167, Work: 200 * time.Millisecond},
}

// A clientJob is a job as its caller knows it.
type clientJob struct {
	arrived  time.Duration
	attempt  int
	done     bool
	entry    int
	estimate time.Duration
	id       string
	kind     Kind
	limit    time.Duration
	need     pollenfront.Resources
	owed     bool // Whether it counts: its caller stays, and it can be done.
	returned bool // Whether its caller was refused and comes back.
	started  bool // Whether a task of the present attempt has started.
	tasks    int
	work     time.Duration
}

// Load submits jobs of some kinds from an instant on, at a multiple of their rates.
func (f *Fleet) Load(kinds []Kind, from, until time.Duration, times float64) {
	for _, kind := range kinds {
		f.at(from, func() { f.arrive(kind, until+time.Second, kind.Rate*times) })
	}
}

// arrive submits a job and the one after it.
func (f *Fleet) arrive(kind Kind, until time.Duration, rate float64) {
	wait := time.Duration(f.arrivals.ExpFloat64() / rate * float64(time.Second))
	f.after(wait, func() {
		if f.now > until {
			return
		}
		f.newJob(kind)
		f.arrive(kind, until, rate)
	})
}

// spread draws a factor whose logarithm has a standard deviation.
func (f *Fleet) spread(deviation float64) float64 {
	return math.Exp(f.arrivals.NormFloat64()*deviation - deviation*deviation/2)
}

// newJob submits a job.
func (f *Fleet) newJob(kind Kind) {
	work := time.Duration(float64(kind.Work) * f.spread(0.35))
	j := &clientJob{
		arrived:  f.now,
		estimate: time.Duration(float64(work) * f.spread(0.4)),
		id:       fmt.Sprintf("%016x", len(f.jobs)+1),
		kind:     kind,
		limit:    time.Duration(1500+float64(work.Milliseconds())*3) * time.Millisecond,
		need:     pollenfront.Resources{CPU: 4000 + f.arrivals.IntN(5000), Memory: 64},
		tasks:    max(1, int(float64(kind.Tasks)*f.spread(0.4)+0.5)),
		work:     work,
	}
	f.jobs[j.id] = j
	entry := f.arrivals.IntN(len(f.entries))
	leaves, patience := f.arrivals.Float64() < f.leaving, time.Duration(f.arrivals.Float64()*float64(j.due()-j.arrived))
	if !leaves {
		patience = j.limit
	}
	j.owed = !leaves && !kind.AlwaysFails
	f.value(f.result.OfferedValue, j, 1)
	f.count(f.result.Submitted, j)
	if f.central != nil {
		f.central.submit(j)
		return
	}
	f.submit(j, entry)
	f.leaveAfter(j, patience)
}

// leaveAfter lets the caller of a job leave after a time, if it has no answer.
func (f *Fleet) leaveAfter(j *clientJob, patience time.Duration) {
	returned := j.returned
	f.after(patience, func() {
		if j.returned == returned {
			f.leave(j)
		}
	})
}

// comeBack lets a refused caller come again at the time that it was told, which
// is stated in whole seconds.
func (f *Fleet) comeBack(j *clientJob, after time.Duration) {
	j.returned = true
	f.after(time.Duration(pollenfront.RetrySeconds(after))*time.Second, func() {
		f.value(f.result.OfferedValue, j, -1)
		j.arrived = f.now
		f.value(f.result.OfferedValue, j, 1)
		f.submit(j, f.random.IntN(len(f.entries)))
		f.leaveAfter(j, j.limit)
	})
}

// count counts a job, if it counts.
func (f *Fleet) count(counts map[string]int, j *clientJob) {
	if j.owed {
		counts[j.kind.Name]++
	}
}

// value adds a share of a job's worth to the second in which it arrived, if the
// job counts.
func (f *Fleet) value(worths map[int]float64, j *clientJob, share float64) {
	if j.owed {
		worths[j.second()] += j.worth() * share
	}
}

// leave lets the caller of a job leave that has no answer.
func (f *Fleet) leave(j *clientJob) {
	if !j.done {
		j.done = true
		f.count(f.result.Unknown, j)
		f.entries[j.entry].leave(j.id)
	}
}

// second returns the second in which a job arrived.
func (j *clientJob) second() int {
	return int(j.arrived / time.Second)
}

// worth returns what an answer in time to a job is worth: in part for the job,
// in part for its work.
func (j *clientJob) worth() float64 {
	work := float64(j.need.CPU) * j.work.Seconds() * float64(j.tasks)
	average := meanNeed * j.kind.Work.Seconds() * float64(j.kind.Tasks)
	return j.kind.Value * min(0.3+0.7*work/average, maxWorth)
}

// due returns the instant until which an answer to a job is in time.
func (j *clientJob) due() time.Duration {
	return j.arrived + time.Duration(stretch*float64(j.work)) + j.kind.Target
}

// submit submits a job to an entry, or to another one if that is down.
func (f *Fleet) submit(j *clientJob, entry int) {
	if j.done {
		return
	}
	for range f.entries {
		if f.entries[entry].up {
			break
		}
		entry = (entry + 1) % len(f.entries)
	}
	j.attempt++
	j.entry, j.started = entry, false
	attempt := j.attempt
	f.after(clientWay, func() {
		if f.entries[entry].up {
			f.entries[entry].submit(j, attempt)
		} else {
			f.resend(j.id, attempt)
		}
	})
}

// resend submits a job again, as a caller does whose connection has broken.
func (f *Fleet) resend(id string, attempt int) {
	j := f.jobs[id]
	if j.attempt != attempt {
		return
	}
	f.after(resendDelay, func() {
		if j.attempt == attempt {
			f.submit(j, f.random.IntN(len(f.entries)))
		}
	})
}

// answered takes the answer to an attempt.
func (f *Fleet) answered(answer pollenfront.Result, attempt int) {
	j := f.jobs[answer.ID]
	if j.done || j.attempt != attempt {
		return
	}
	switch answer.Verdict {
	case pollenfront.VerdictCompleted:
		f.completed(j)
	case pollenfront.VerdictRefused:
		if j.started {
			f.violated("job %s was refused as not run, and has started", j.id)
		}
		if f.settings.RetryRefused && !j.returned {
			f.comeBack(j, answer.RetryAfter)
			return
		}
		f.count(f.result.Refused, j)
		j.done = true
	case pollenfront.VerdictFailed, pollenfront.VerdictConflict:
		f.count(f.result.Unknown, j)
		j.done = true
	case pollenfront.VerdictUnknown:
		f.resend(j.id, attempt)
	}
}

// completed counts a job that was completed.
func (f *Fleet) completed(j *clientJob) {
	j.done = true
	for i := range j.tasks {
		if f.active[pollenfront.TaskID{Index: i, Job: j.id}] != nil {
			f.violated("job %s was completed while task %d runs", j.id, i)
		}
	}
	if f.now <= j.due() {
		f.count(f.result.InTime, j)
		f.value(f.result.EarnedValue, j, 1)
		return
	}
	f.count(f.result.Late, j)
	f.value(f.result.EarnedValue, j, lateWorth)
}
