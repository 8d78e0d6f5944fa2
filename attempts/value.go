package attempts

import (
	"math"
	"time"
)

// Parameters of the value of an attempt.
const (
	// failedHereShare is the least probability that a task fails again where it has failed.
	failedHereShare = 0.5
	// lateValue is the value of a late answer above that of a failed job, as a share of the
	// value of one on time above it. A late answer is worth a fifth of one on time, and a
	// failed job costs as much as an answer on time is worth: (0.2 + 1) / (1 + 1).
	lateValue = 0.6
	// maxRetryTerms is about the highest number of terms of the sum over the attempts that are left.
	maxRetryTerms = 64
	// negligibleShare is the probability below which it doesn't change a value that all attempts so
	// far have failed.
	negligibleShare = 1e-9
	// smallFailShare is the probability of failure up to which the time that another attempt
	// takes is left out, as it changes the value by less than a hundredth.
	smallFailShare = 0.01
	// uselessValue is the value of an answer that comes too late to be of use. It is not
	// zero, since such an answer is still delivered.
	uselessValue = 0.01
	// workDeviation is the standard deviation of the logarithm of the ratio of actual to
	// expected run times.
	workDeviation = 0.4
)

// A Task is a task that waits to be sent. Times are from now on.
type Task struct {
	// Attempts is the number of runs that the task may still start.
	Attempts int
	// Fails is the probability that the task fails on every server.
	Fails float64
	// UntilDue is the time until an answer is late, UntilExpiry until it is of no use,
	// UntilDeadline until there is none.
	UntilDue, UntilExpiry, UntilDeadline time.Duration
}

// An Option is a server that a task could be sent to.
type Option struct {
	// CanStart is set if the task can be sent now.
	CanStart bool
	// Delay is the expected time until the server starts the task.
	Delay time.Duration
	// FailedHere is set if the task has failed on the server.
	FailedHere bool
	// FailShare is the probability that a run fails there, whatever its task.
	FailShare float64
	// RunTime is the expected run time there.
	RunTime time.Duration
}

// failShare returns the probability that the task fails on the server, unless it fails
// everywhere.
func (o *Option) failShare() float64 {
	if o.FailedHere {
		return max(failedHereShare, o.FailShare)
	}
	return o.FailShare
}

// A Choice is what sending a task to each of some servers is worth, as a share of the value
// of an answer on time.
type Choice struct {
	// Values has the expected value for each Option.
	Values []float64

	sending float64 // sending is the highest value among the Options that can start the task now.
	task    Task
	waiting int // waiting is the best Option that can't start the task now, or -1.
}

// Withholds reports whether waiting for another server is worth more than sending the task
// to an Option now.
func (c *Choice) Withholds(i int) bool {
	return c.waiting >= 0 && c.Values[i] < c.Values[c.waiting]
}

// Loss returns how much less sending the task to an Option now is worth than sending it to
// the best one that can start it now. It is small for a task that fails everywhere, which
// must not take the best servers from others.
func (c *Choice) Loss(i int) float64 {
	return (1 - c.task.Fails) * max(0, c.sending-c.Values[i])
}

// Compare returns the expected values of sending a task to some servers, now or as soon
// as they can start it. The value covers the attempts that are left after a failure, on the
// best other server. On a server on which the task has failed before, it covers one attempt
// only, as another failure there uses up an attempt that another server can have. For a task
// that fails everywhere, the answer that it failed has a value too, which falls with time.
func Compare(task Task, options []Option) Choice {
	choice := Choice{Values: make([]float64, len(options)), task: task, waiting: -1}
	once := make([]float64, len(options)) // once has the expected value of one attempt.
	for i := range options {
		o := &options[i]
		once[i] = (1 - o.failShare()) * task.valueAt(o.Delay, o.RunTime)
	}
	first, second := twoHighest(once)
	for i := range options {
		o := &options[i]
		retry := first
		if i == first {
			retry = second
		}
		value := once[i]
		switch {
		case retry < 0 || task.Attempts == 1 || o.FailedHere:
		case o.failShare() < smallFailShare:
			value += o.failShare() * once[retry]
		default:
			value += o.failShare() * task.retryValue(o, &options[retry])
		}
		value = (1-task.Fails)*value + task.Fails*task.failedValue(o)
		choice.Values[i] = value
		if o.CanStart {
			choice.sending = max(choice.sending, value)
		} else if choice.waiting < 0 || value > choice.Values[choice.waiting] {
			choice.waiting = i
		}
	}
	return choice
}

// twoHighest returns the indexes of the highest and the second highest value, or -1 if there
// are not as many. Of equal values the first one counts as higher.
func twoHighest(values []float64) (first, second int) {
	first, second = -1, -1
	for i, value := range values {
		switch {
		case first < 0 || value > values[first]:
			first, second = i, first
		case second < 0 || value > values[second]:
			second = i
		}
	}
	return first, second
}

// retryValue returns the value of the attempts that are left after a failure on one server,
// on another one. A run is assumed to fail after half of its time. The number of attempts may be
// as large as a number can be, as operators state it for no limit. The sum therefore ends when no
// answer is of value any more or hardly any task gets that far, and more than maxRetryTerms attempts until
// then are added up in groups, each of which counts from its first one.
func (t *Task) retryValue(failed, other *Option) float64 {
	value, reached := 0.0, 1.0
	latest := max(t.UntilDue, t.UntilExpiry, t.UntilDeadline)
	failTime := other.RunTime / 2
	elapsed := addSaturating(failed.Delay, failed.RunTime/2)
	group := 0
	for left := t.Attempts - 1; left > 0 && reached > negligibleShare; left -= group {
		start := max(elapsed, other.Delay)
		if start >= latest {
			break
		}
		if group == 0 {
			group = groupSize(latest-start, failTime)
		}
		group = min(group, left)
		allFail := math.Pow(other.failShare(), float64(group))
		value += reached * (1 - allFail) * t.valueAt(start, other.RunTime)
		reached *= allFail
		elapsed = addSaturating(start, failTime*time.Duration(group))
	}
	return value
}

// groupSize returns how many attempts, each of which takes failTime to fail, are added up together
// so that maxRetryTerms groups cover the given time.
func groupSize(d, failTime time.Duration) int {
	if failTime <= 0 {
		return math.MaxInt
	}
	return 1 + int(d/failTime/maxRetryTerms)
}

// addSaturating returns the sum of two times, or the longest time if the sum is longer.
func addSaturating(a, b time.Duration) time.Duration {
	if sum := a + b; a <= 0 || b <= 0 || sum > 0 {
		return sum
	}
	return math.MaxInt64
}

// valueAt returns the expected value of a run that starts after delay and succeeds.
func (t *Task) valueAt(delay, runTime time.Duration) float64 {
	return (1-lateValue)*endsWithin(t.UntilDue-delay, runTime) +
		(lateValue-uselessValue)*endsWithin(t.UntilExpiry-delay, runTime) + uselessValue*endsWithin(t.UntilDeadline-delay, runTime)
}

// failedValue returns the value of the answer that a task fails everywhere. It falls with
// the time until then.
func (t *Task) failedValue(o *Option) float64 {
	return max(0, 1-(float64(o.Delay)+float64(o.RunTime))/float64(max(1, t.UntilDeadline)))
}

// endsWithin returns the probability that a run with an expected run time ends within a
// limit.
func endsWithin(limit, runTime time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return math.Erfc(-math.Log(float64(limit)/float64(max(1, runTime)))/(workDeviation*math.Sqrt2)) / 2
}
