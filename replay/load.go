package replay

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of the value of an answer.
const (
	lateValueShare = 0.2    // lateValueShare is the value of a late answer, as a share of the value of one on time.
	maxValueFactor = 4.0    // maxValueFactor limits the value of a job to a multiple of the value of its kind.
	meanCPU        = 6500.0 // meanCPU is the mean CPU need of a task, in thousandths of a core.
)

// stretch determines when an answer is due. An answer is on time within stretch times
// the work of the job plus the latency target.
const stretch = 1.6

// remoteFactor multiplies the run time of a task on a server outside the rack that
// holds its data.
const remoteFactor = 3.0

// A Kind is a kind of job. The sizes of its jobs vary around the means.
type Kind struct {
	AlwaysFails   bool          // AlwaysFails makes the tasks fail on every server.
	CrashesAfter  time.Duration // CrashesAfter makes the first task of each job crash every server that long after its start. Zero means never.
	DataRack      string        // DataRack is the label of the rack that holds the data. It is empty if any rack will do.
	LatencyTarget time.Duration // LatencyTarget is the time that an answer may take on top of stretch times the work and still be on time.
	MeanTasks     int
	MeanWork      time.Duration // MeanWork is the mean run time of a task on a server with the run time factor 1.
	Name          string
	Patience      time.Duration // Patience is how long a caller submits a job again after its time limit. By default it does not.
	Priority      int
	Rate          float64       // Rate is in jobs per second.
	TimeLimit     time.Duration // TimeLimit is how long a caller waits for an answer. The default depends on the work of the job.
	Value         float64       // Value is the value of an answer on time to a job of average size.
}

// Mix is the mix of jobs on a morning: many small jobs and few large ones.
var Mix = []Kind{
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 8, MeanWork: 60 * time.Millisecond, Name: "small", Priority: 0, Rate: 34.4, Value: 0.00485},
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 4, MeanWork: 900 * time.Millisecond, Name: "large", Priority: 2, Rate: 6.25, Value: 0.0267},
	{LatencyTarget: 60 * time.Millisecond, MeanTasks: 2, MeanWork: 200 * time.Millisecond, Name: "pair", Priority: 1, Rate: 100, Value: 0.00167},
}

// A callerJob is a job as seen by its caller.
type callerJob struct {
	arrived       time.Duration
	attempt       int           // attempt is the number of the last submission.
	brokenAttempt int           // brokenAttempt is the last attempt whose connection broke. Its answer does not reach the caller.
	canceledAt    time.Duration // canceledAt is when a request to cancel the job was acknowledged, or zero.
	counted       bool          // counted is false for jobs that do not count in the result: the caller leaves early, or the tasks always fail.
	done          bool          // done is set when the job has its final answer or is canceled.
	entry         int           // entry is the index of the entry of the last submission.
	estimate      time.Duration
	id            string
	kind          Kind
	need          pollenfront.Resources // need is the need of each task.
	origin        int                   // origin is the index of the entry of the first submission.
	outcome       outcome
	retried       bool // retried is set when the job was refused and its caller retries it.
	started       bool // started is set when a task has started since the last submission.
	submitted     int  // submitted is the position of the last submission in the history.
	taskCount     int
	timeLimit     time.Duration
	work          time.Duration // work is the run time of each task on a server with the run time factor 1.
}

// Load submits jobs of some kinds at random times between from and until, at a multiple
// of their rates.
func (f *Fleet) Load(kinds []Kind, from, until time.Duration, factor float64) {
	for _, kind := range kinds {
		f.scheduleAt(from, func() { f.scheduleArrival(kind, until+startTime, kind.Rate*factor) })
	}
}

// LoadCurve submits jobs like Load, at rates that follow a curve around the given multiple of
// the kinds' rates. It approximates the curve by steps.
func (f *Fleet) LoadCurve(kinds []Kind, from, until time.Duration, factor float64, curve func(at time.Duration) float64) {
	const step = 250 * time.Millisecond
	for at := from; at < until; at += step {
		f.scheduleAt(at, func() {
			for _, kind := range kinds {
				f.scheduleArrival(kind, f.now+min(step, until-at), kind.Rate*factor*curve(at))
			}
		})
	}
}

// scheduleArrival schedules the next job of a kind, which schedules its successor in
// turn. The intervals are distributed exponentially.
func (f *Fleet) scheduleArrival(kind Kind, until time.Duration, rate float64) {
	wait := time.Duration(f.loadRandom.ExpFloat64() / rate * float64(time.Second))
	f.schedule(wait, func() {
		if f.now > until {
			return
		}
		f.submitNewJob(kind, f.drawEntry)
		f.scheduleArrival(kind, until, rate)
	})
}

// logNormalFactor draws a factor with the mean 1 whose logarithm has the given
// standard deviation.
func (f *Fleet) logNormalFactor(deviation float64) float64 {
	return math.Exp(f.loadRandom.NormFloat64()*deviation - deviation*deviation/2)
}

// submitNewJob draws a job of a kind and submits it to the entry that drawEntry returns.
func (f *Fleet) submitNewJob(kind Kind, drawEntry func() int) {
	work := time.Duration(float64(kind.MeanWork) * f.logNormalFactor(0.35))
	j := &callerJob{
		arrived:   f.now,
		estimate:  time.Duration(float64(work) * f.logNormalFactor(0.4)),
		id:        fmt.Sprintf("%016x", len(f.jobs)+1),
		kind:      kind,
		need:      pollenfront.Resources{CPU: 4000 + f.loadRandom.IntN(5000), Memory: 64},
		taskCount: max(1, int(float64(kind.MeanTasks)*f.logNormalFactor(0.4)+0.5)),
		timeLimit: cmp.Or(kind.TimeLimit, time.Duration(1500+float64(work.Milliseconds())*3)*time.Millisecond),
		work:      work,
	}
	f.jobs[j.id] = j
	entry := drawEntry()
	j.origin = entry
	canceled, cancelDelay := f.loadRandom.Float64() < f.earlyCancelShare, time.Duration(f.loadRandom.Float64()*float64(j.due()-j.arrived))
	if !canceled {
		cancelDelay = j.timeLimit + kind.Patience
	}
	j.counted = !canceled && !kind.AlwaysFails && kind.CrashesAfter == 0
	f.addValue(f.result.OfferedValue, j, 1)
	f.countJob(f.result.Submitted, j)
	f.entryCounts(j).Submitted++
	if f.centralQueue != nil {
		f.centralQueue.submit(j)
		return
	}
	f.submit(j, entry)
	f.scheduleCancel(j, cancelDelay)
}

// scheduleCancel schedules the cancellation of a job, which is skipped if the job has
// its answer or is retried by then.
func (f *Fleet) scheduleCancel(j *callerJob, delay time.Duration) {
	retried := j.retried
	f.schedule(delay, func() {
		if j.retried == retried {
			f.cancel(j)
		}
	})
}

// scheduleRetry submits a refused job again after the time that the refusal states.
// The Retry-After header states it in whole seconds. The job then counts as having
// arrived at the time of the retry.
func (f *Fleet) scheduleRetry(j *callerJob, after time.Duration) {
	j.retried = true
	f.schedule(time.Duration(pollenfront.RetryAfterSeconds(after))*time.Second, func() {
		f.addValue(f.result.OfferedValue, j, -1)
		j.arrived = f.now
		f.addValue(f.result.OfferedValue, j, 1)
		f.submit(j, f.random.IntN(len(f.entries)))
		f.scheduleCancel(j, j.timeLimit)
	})
}

// countJob adds a job to the count of its kind.
func (f *Fleet) countJob(counts map[string]int, j *callerJob) {
	if j.counted {
		counts[j.kind.Name]++
	}
}

// addValue adds a share of the value of a job to the second in which the job arrived.
func (f *Fleet) addValue(values map[int]float64, j *callerJob, share float64) {
	if j.counted {
		values[j.arrivalSecond()] += j.value() * share
	}
}

// cancel cancels a job whose caller leaves without an answer.
func (f *Fleet) cancel(j *callerJob) {
	if !j.done {
		j.done = true
		f.countJob(f.result.Unknown, j)
		f.entryCounts(j).Unknown++
		if j.brokenAttempt != j.attempt {
			f.entries[j.entry].cancel(j.id)
		}
	}
}

// arrivalSecond returns the second of the clock in which the job arrived.
func (j *callerJob) arrivalSecond() int {
	return int(j.arrived / time.Second)
}

// value returns the value of an answer on time to the job. One part is the same for all
// jobs of a kind, the other is proportional to the work.
func (j *callerJob) value() float64 {
	work := float64(j.need.CPU) * j.work.Seconds() * float64(j.taskCount)
	meanWork := meanCPU * j.kind.MeanWork.Seconds() * float64(j.kind.MeanTasks)
	return j.kind.Value * min(0.3+0.7*work/meanWork, maxValueFactor)
}

// due returns the time until which an answer to the job is on time.
func (j *callerJob) due() time.Duration {
	return j.arrived + time.Duration(stretch*float64(j.work)) + j.kind.LatencyTarget
}

// submit submits a job to an entry, or to the next one that is up.
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
	j.submitted = f.recordEvent(HistoryEvent{Job: j.id, Kind: JobSubmitted, Tasks: j.taskCount})
	attempt := j.attempt
	f.schedule(callerEntryDelay, func() {
		if f.entries[entry].up {
			f.entries[entry].submit(j, attempt)
		} else {
			f.resubmit(j.id, attempt)
		}
	})
}

// resubmit submits a job again unless a later attempt has been made. Callers do this
// when their connection breaks or the outcome is unknown.
func (f *Fleet) resubmit(id string, attempt int) {
	j := f.jobs[id]
	if j.attempt != attempt {
		return
	}
	f.resubmitTo(id, attempt, func() int { return f.random.IntN(len(f.entries)) })
}

// resubmitTo submits a job again like resubmit, to the entry that drawEntry returns.
func (f *Fleet) resubmitTo(id string, attempt int, drawEntry func() int) {
	j := f.jobs[id]
	f.schedule(resubmitDelay, func() {
		if j.attempt == attempt {
			f.submit(j, drawEntry())
		}
	})
}

// handleResult handles the answer to an attempt. The answers to earlier attempts are
// ignored.
func (f *Fleet) handleResult(result pollenfront.Result, attempt int) {
	j := f.jobs[result.ID]
	if j.done || j.attempt != attempt || j.brokenAttempt == attempt {
		return
	}
	f.recordEvent(HistoryEvent{Call: j.submitted + 1, Job: j.id, Kind: JobAnswered, Verdict: result.Verdict})
	switch result.Verdict {
	case pollenfront.VerdictCompleted:
		f.recordCompletion(j)
	case pollenfront.VerdictRefused:
		if j.started {
			f.recordViolation("job %s was refused although one of its tasks has started", j.id)
		}
		if f.settings.RetryRefused && !j.retried {
			f.scheduleRetry(j, result.RetryAfter)
			return
		}
		j.outcome = outcomeRefused
		f.recordRefusal(j)
		f.entryCounts(j).Refused++
		f.result.RefusalWait += f.now - j.arrived
		j.done = true
	case pollenfront.VerdictCanceled:
		f.countJob(f.result.Unknown, j)
		f.entryCounts(j).Unknown++
		j.done = true
	case pollenfront.VerdictFailed, pollenfront.VerdictConflict:
		f.countJob(f.result.Unknown, j)
		f.countJob(f.result.Failed, j)
		if j.kind.AlwaysFails {
			f.result.FailedWait += f.now - j.arrived
			f.result.Failed[j.kind.Name]++
		}
		f.entryCounts(j).Unknown++
		j.done = true
	case pollenfront.VerdictUnknown:
		f.resubmit(j.id, attempt)
	}
}

// recordCompletion counts a completed job as on time or late.
func (f *Fleet) recordCompletion(j *callerJob) {
	j.done = true
	for i := range j.taskCount {
		if f.activeRuns[pollenfront.TaskID{Index: i, Job: j.id}] != nil {
			f.recordViolation("job %s was completed while its task %d was running", j.id, i)
		}
	}
	if f.now <= j.due() {
		j.outcome = outcomeOnTime
		f.countJob(f.result.OnTime, j)
		f.entryCounts(j).OnTime++
		f.addValue(f.result.EarnedValue, j, 1)
		return
	}
	j.outcome = outcomeLate
	f.countJob(f.result.Late, j)
	f.entryCounts(j).Late++
	f.addValue(f.result.EarnedValue, j, lateValueShare)
}
