package executor

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

// Parameters of probes above the learned capacity. Each rejected probe is followed by a
// pause, so a server rejects at most 1 / maxProbePause probes a second for long.
const (
	// maxProbePause is the longest pause between a rejected start and the next probe. Four
	// probes in turn regain 0.45 of a server's capacity with tasks of a tenth of it, so the
	// capacity is in use well within 2 s of its return.
	maxProbePause = 500 * time.Millisecond
	// minProbePause is the pause after a first rejection. It is short, as a single
	// rejection may have another cause than a lack of capacity.
	minProbePause = 50 * time.Millisecond
	// probePauseReset is the time without a rejection after which the pause is
	// minProbePause again.
	probePauseReset = 2 * time.Second
	// restoreDelay is the time without a rejection after which the announced capacity is
	// assumed to be provided when less than a task is missing to it.
	restoreDelay = time.Second
)

// An effectiveCapacity is what a server provides, by the starts that it has accepted and
// rejected. It is never above what the server announces. The zero value is that of a
// server that has announced nothing.
//
// A rejected start that the learned capacity covers lowers it to what was in use. A start
// above the learned capacity is a probe, of which one at a time may be sent. An accepted
// probe raises the learned capacity to what is then in use, and the next one may follow
// at once.
type effectiveCapacity struct {
	announced pollenfront.Resources
	// lastRejection is when a start was last rejected, and zero if none was.
	lastRejection time.Duration
	learned       pollenfront.Resources
	// probeAccepted is whether a probe was accepted since the last rejection.
	probeAccepted bool
	// nextProbe is when the next probe may be sent.
	nextProbe time.Duration
	pause     time.Duration
	// probing is whether a probe has not ended.
	probing bool
	// step is the largest need of the starts that were rejected since the learned capacity
	// was last the announced one.
	step pollenfront.Resources
}

// announce records what the server announces. It replaces what was learned if the server
// announced another capacity before.
func (c *effectiveCapacity) announce(capacity pollenfront.Resources) {
	if capacity != c.announced {
		*c = effectiveCapacity{announced: capacity, learned: capacity}
	}
}

// reduced reports whether the learned capacity is below the announced one.
func (c *effectiveCapacity) reduced() bool {
	return c.learned != c.announced
}

// mayProbe reports whether a probe may be sent.
func (c *effectiveCapacity) mayProbe(now time.Duration) bool {
	return c.reduced() && !c.probing && now >= c.nextProbe
}

// offered returns the capacity to offer to entries. While a probe may be sent, it contains
// room for one, as entries send nothing to a full server. This room grows with time, so
// that a task which needs more than the start that was rejected is sent some time.
func (c *effectiveCapacity) offered(now time.Duration) pollenfront.Resources {
	if !c.mayProbe(now) {
		return c.learned
	}
	steps := int((now-c.nextProbe)/maxProbePause) + 1
	return pollenfront.Resources{
		CPU: min(c.announced.CPU, c.learned.CPU+steps*c.step.CPU), GPU: min(c.announced.GPU, c.learned.GPU+steps*c.step.GPU),
		Memory: min(c.announced.Memory, c.learned.Memory+steps*c.step.Memory),
	}
}

// admits reports whether a start with the given need may be sent while others are in use,
// and whether it is a probe, which then has begun.
func (c *effectiveCapacity) admits(now time.Duration, inUse, need pollenfront.Resources) (ok, probe bool) {
	total := inUse.Add(need)
	if c.learned.Covers(total) {
		return true, false
	}
	if c.mayProbe(now) && c.announced.Covers(total) {
		c.probing = true
		return true, true
	}
	return false, false
}

// endProbe records that the probe has ended.
func (c *effectiveCapacity) endProbe() {
	c.probing = false
}

// accepted records that the server has accepted a start. inUse is at most what the server
// then ran, with the new run. If probes leave less than a task missing to the announced
// capacity, that is assumed to be provided, as use may never reach it exactly.
func (c *effectiveCapacity) accepted(now time.Duration, inUse pollenfront.Resources, probe bool) {
	if !c.reduced() {
		return
	}
	c.learned = largest(c.learned, smallest(inUse, c.announced))
	if probe {
		c.nextProbe, c.probeAccepted = now, true
	}
	if c.probeAccepted && now-c.lastRejection >= restoreDelay && c.learned.Add(c.step).Covers(c.announced) {
		c.learned = c.announced
	}
	if !c.reduced() {
		c.step = pollenfront.Resources{}
	}
}

// rejected records that the server has rejected a start with the given need for lack of
// capacity. inUse is at least what the server ran then. It reports whether the learned
// capacity was lowered.
func (c *effectiveCapacity) rejected(now time.Duration, inUse, need pollenfront.Resources) bool {
	c.pause = min(2*c.pause, maxProbePause)
	if c.lastRejection == 0 || now-c.lastRejection > probePauseReset {
		c.pause = minProbePause
	}
	c.lastRejection, c.nextProbe, c.probeAccepted = now, now+c.pause, false
	c.step = largest(c.step, need)
	if !c.learned.Covers(inUse.Add(need)) {
		return false
	}
	return c.lower(inUse, need)
}

// lower lowers the learned capacity to what was in use, in the one resource that was
// nearest to its limit: a rejection does not tell which one was short. At least 1 is left,
// as zero means in a report that the capacity is not stated.
func (c *effectiveCapacity) lower(inUse, need pollenfront.Resources) bool {
	total := inUse.Add(need)
	cpu, gpu, memory := fraction(need.CPU, total.CPU, c.announced.CPU), fraction(need.GPU, total.GPU, c.announced.GPU), fraction(need.Memory, total.Memory, c.announced.Memory)
	before := c.learned
	switch max(cpu, gpu, memory) {
	case 0:
	case cpu:
		c.learned.CPU = max(1, inUse.CPU)
	case gpu:
		c.learned.GPU = inUse.GPU
	default:
		c.learned.Memory = inUse.Memory
	}
	return c.learned != before
}

// fraction returns the total as a fraction of the announced amount of a resource, and zero
// for a start that needs nothing of it.
func fraction(need, total, announced int) float64 {
	if need <= 0 || announced <= 0 {
		return 0
	}
	return float64(total) / float64(announced)
}

// largest returns the larger amount of each resource.
func largest(a, b pollenfront.Resources) pollenfront.Resources {
	return pollenfront.Resources{CPU: max(a.CPU, b.CPU), GPU: max(a.GPU, b.GPU), Memory: max(a.Memory, b.Memory)}
}

// smallest returns the smaller amount of each resource.
func smallest(a, b pollenfront.Resources) pollenfront.Resources {
	return pollenfront.Resources{CPU: min(a.CPU, b.CPU), GPU: min(a.GPU, b.GPU), Memory: min(a.Memory, b.Memory)}
}
