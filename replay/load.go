package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of what answers are worth.
const (
	lateValueShare = 0.2    // Of a late answer, as a share of one in time.
	maxValueFactor = 4.0    // Of a job, as a multiple of its kind's worth.
	meanCPU        = 6500.0 // Thousandths of a core, of a task.
)

// stretch is the multiple of its run time within which a job is in time.
const stretch = 1.6

// remoteFactor is the multiple of its run time that a task takes on a server of
// another rack than its data's.
const remoteFactor = 3.0

// A Kind is a kind of job.
type Kind struct {
	AlwaysFails   bool   // Whether its tasks always fail.
	DataRack      string // Where its data is, or empty.
	LatencyTarget time.Duration
	MeanTasks     int           // On average.
	MeanWork      time.Duration // Of one task, on average.
	Name          string
	Priority      int
	Rate          float64 // Jobs in a second.
	Value         float64 // Of an answer in time to a job of average size.
}

// Mix is the mix of jobs of a morning: many small ones, few large ones.
var Mix = []Kind{
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 8, MeanWork: 60 * time.Millisecond, Name: "small", Priority: 0, Rate: 34.4, Value: 0.00485},
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 4, MeanWork: 900 * time.Millisecond, Name: "large", Priority: 2, Rate: 6.25, Value: 0.0267},
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 2, MeanWork: 200 * time.Millisecond, Name: "pair", Priority: 1, Rate: 100, Value: 0.00167},
}

// A callerJob is a job as its caller knows it.
type callerJob struct {
	arrived   time.Duration
	attempt   int
	counted   bool // Whether it counts: its caller stays, and it can be done.
	done      bool
	entry     int
	estimate  time.Duration
	id        string
	kind      Kind
	need      pollenfront.Resources
	retried   bool // Whether its caller was refused and comes back.
	started   bool // Whether a task of the present attempt has started.
	taskCount int
	timeLimit time.Duration
	work      time.Duration
}

// Load submits jobs of some kinds from an instant on, at a multiple of their rates.
func (f *Fleet) Load(kinds []Kind, from, until time.Duration, times float64) {
	for _, kind := range kinds {
		f.scheduleAt(from, func() { f.scheduleArrival(kind, until+time.Second, kind.Rate*times) })
	}
}

// scheduleArrival submits a job and the one after it.
func (f *Fleet) scheduleArrival(kind Kind, until time.Duration, rate float64) {
	wait := time.Duration(f.loadRandom.ExpFloat64() / rate * float64(time.Second))
	f.schedule(wait, func() {
		if f.now > until {
			return
		}
		f.submitNewJob(kind)
		f.scheduleArrival(kind, until, rate)
	})
}

// logNormalFactor draws a factor whose logarithm has a standard deviation.
func (f *Fleet) logNormalFactor(deviation float64) float64 {
	return math.Exp(f.loadRandom.NormFloat64()*deviation - deviation*deviation/2)
}

// submitNewJob submits a job.
func (f *Fleet) submitNewJob(kind Kind) {
	work := time.Duration(float64(kind.MeanWork) * f.logNormalFactor(0.35))
	j := &callerJob{
		arrived:   f.now,
		estimate:  time.Duration(float64(work) * f.logNormalFactor(0.4)),
		id:        fmt.Sprintf("%016x", len(f.jobs)+1),
		kind:      kind,
		timeLimit: time.Duration(1500+float64(work.Milliseconds())*3) * time.Millisecond,
		need:      pollenfront.Resources{CPU: 4000 + f.loadRandom.IntN(5000), Memory: 64},
		taskCount: max(1, int(float64(kind.MeanTasks)*f.logNormalFactor(0.4)+0.5)),
		work:      work,
	}
	f.jobs[j.id] = j
	entry := f.loadRandom.IntN(len(f.entries))
	leaves, patience := f.loadRandom.Float64() < f.earlyCancelShare, time.Duration(f.loadRandom.Float64()*float64(j.due()-j.arrived))
	if !leaves {
		patience = j.timeLimit
	}
	j.counted = !leaves && !kind.AlwaysFails
	f.addValue(f.result.OfferedValue, j, 1)
	f.countJob(f.result.Submitted, j)
	if f.centralQueue != nil {
		f.centralQueue.submit(j)
		return
	}
	f.submit(j, entry)
	f.scheduleCancel(j, patience)
}

// scheduleCancel lets the caller of a job leave after a time, if it has no answer.
func (f *Fleet) scheduleCancel(j *callerJob, patience time.Duration) {
	returned := j.retried
	f.schedule(patience, func() {
		if j.retried == returned {
			f.cancel(j)
		}
	})
}

// scheduleRetry lets a refused caller come again at the time that it was told, which
// is stated in whole seconds.
func (f *Fleet) scheduleRetry(j *callerJob, after time.Duration) {
	j.retried = true
	f.schedule(time.Duration(pollenfront.RetrySeconds(after))*time.Second, func() {
		f.addValue(f.result.OfferedValue, j, -1)
		j.arrived = f.now
		f.addValue(f.result.OfferedValue, j, 1)
		f.submit(j, f.random.IntN(len(f.entries)))
		f.scheduleCancel(j, j.timeLimit)
	})
}

// countJob counts a job, if it counts.
func (f *Fleet) countJob(counts map[string]int, j *callerJob) {
	if j.counted {
		counts[j.kind.Name]++
	}
}

// addValue adds a share of a job's worth to the second in which it arrived, if the
// job counts.
func (f *Fleet) addValue(worths map[int]float64, j *callerJob, share float64) {
	if j.counted {
		worths[j.arrivalSecond()] += j.value() * share
	}
}

// cancel lets the caller of a job cancel that has no answer.
func (f *Fleet) cancel(j *callerJob) {
	if !j.done {
		j.done = true
		f.countJob(f.result.Unknown, j)
		f.entries[j.entry].cancel(j.id)
	}
}

// arrivalSecond returns the arrivalSecond in which a job arrived.
func (j *callerJob) arrivalSecond() int {
	return int(j.arrived / time.Second)
}

// value returns what an answer in time to a job is value: in part for the job,
// in part for its work.
func (j *callerJob) value() float64 {
	work := float64(j.need.CPU) * j.work.Seconds() * float64(j.taskCount)
	average := meanCPU * j.kind.MeanWork.Seconds() * float64(j.kind.MeanTasks)
	return j.kind.Value * min(0.3+0.7*work/average, maxValueFactor)
}

// due returns the instant until which an answer to a job is in time.
func (j *callerJob) due() time.Duration {
	return j.arrived + time.Duration(stretch*float64(j.work)) + j.kind.LatencyTarget
}

// submit submits a job to an entry, or to another one if that is down.
func (f *Fleet) submit(j *callerJob, entry int) {
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
	f.schedule(callerDelay, func() {
		if f.entries[entry].up {
			f.entries[entry].submit(j, attempt)
		} else {
			f.resubmit(j.id, attempt)
		}
	})
}

// resubmit submits a job again, as a caller does whose connection has broken.
func (f *Fleet) resubmit(id string, attempt int) {
	j := f.jobs[id]
	if j.attempt != attempt {
		return
	}
	f.schedule(resubmitDelay, func() {
		if j.attempt == attempt {
			f.submit(j, f.random.IntN(len(f.entries)))
		}
	})
}

// handleResult takes the answer to an attempt.
func (f *Fleet) handleResult(answer pollenfront.Result, attempt int) {
	j := f.jobs[answer.ID]
	if j.done || j.attempt != attempt {
		return
	}
	switch answer.Verdict {
	case pollenfront.VerdictCompleted:
		f.recordCompletion(j)
	case pollenfront.VerdictRefused:
		if j.started {
			f.recordViolation("job %s was refused as not run, and has started", j.id)
		}
		if f.settings.RetryRefused && !j.retried {
			f.scheduleRetry(j, answer.RetryAfter)
			return
		}
		f.countJob(f.result.Refused, j)
		j.done = true
	case pollenfront.VerdictFailed, pollenfront.VerdictConflict:
		f.countJob(f.result.Unknown, j)
		j.done = true
	case pollenfront.VerdictUnknown:
		f.resubmit(j.id, attempt)
	}
}

// recordCompletion counts a job that was recordCompletion.
func (f *Fleet) recordCompletion(j *callerJob) {
	j.done = true
	for i := range j.taskCount {
		if f.activeRuns[pollenfront.TaskID{Index: i, Job: j.id}] != nil {
			f.recordViolation("job %s was completed while task %d runs", j.id, i)
		}
	}
	if f.now <= j.due() {
		f.countJob(f.result.OnTime, j)
		f.addValue(f.result.EarnedValue, j, 1)
		return
	}
	f.countJob(f.result.Late, j)
	f.addValue(f.result.EarnedValue, j, lateValueShare)
}
