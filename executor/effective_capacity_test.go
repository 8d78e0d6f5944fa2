package executor

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
)

// cores returns an amount of CPU.
func cores(n int) pollenfront.Resources {
	return pollenfront.Resources{CPU: 1000 * n}
}

// announced returns an effectiveCapacity of a server that has announced 64 cores.
func announced() *effectiveCapacity {
	c := &effectiveCapacity{}
	c.announce(cores(64))
	return c
}

// TestRejectedStart guards against learning from rejections that tell nothing, and checks
// what the others lower.
func TestRejectedStart(t *testing.T) {
	resources := func(cpu, gpu, memory int) pollenfront.Resources {
		return pollenfront.Resources{CPU: cpu, GPU: gpu, Memory: memory}
	}
	tests := []struct {
		name              string
		inUse, need, want pollenfront.Resources
	}{
		{name: "CPU is nearest to its limit", inUse: resources(30, 0, 300), need: resources(6, 0, 60), want: resources(30, 8, 1000)},
		{name: "memory is nearest to its limit", inUse: resources(10, 0, 500), need: resources(2, 0, 100), want: resources(64, 8, 500)},
		{name: "accelerators are nearest to their limit", inUse: resources(10, 3, 100), need: resources(2, 1, 20), want: resources(64, 3, 1000)},
		{name: "what the task does not need is not short", inUse: resources(10, 7, 100), need: resources(2, 0, 20), want: resources(10, 8, 1000)},
		{name: "more may have been in use than is announced", inUse: resources(60, 0, 100), need: resources(6, 0, 20), want: resources(64, 8, 1000)},
		{name: "an empty server", inUse: resources(0, 0, 0), need: resources(6, 0, 20), want: resources(1, 8, 1000)},
		{name: "a task that needs nothing", inUse: resources(10, 0, 100), need: resources(0, 0, 0), want: resources(64, 8, 1000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c effectiveCapacity
			c.announce(resources(64, 8, 1000))
			lowered := c.rejected(time.Second, test.inUse, test.need)
			qt.Assert(t, c.learned, qt.Equals, test.want)
			qt.Assert(t, lowered, qt.Equals, c.reduced())
		})
	}
}

// TestProbes checks that one probe at a time is sent, that a rejected one is followed by a
// pause, and that an accepted one raises the learned capacity.
func TestProbes(t *testing.T) {
	c := qt.New(t)
	capacity, now := announced(), time.Second
	c.Assert(capacity.rejected(now, cores(40), cores(6)), qt.IsTrue)
	c.Assert(capacity.offered(now), qt.Equals, cores(40))
	admits := func(inUse, need int) [2]bool {
		ok, probe := capacity.admits(now, cores(inUse), cores(need))
		return [2]bool{ok, probe}
	}
	c.Assert(admits(34, 6), qt.Equals, [2]bool{true, false})
	c.Assert(admits(40, 6), qt.Equals, [2]bool{false, false})
	now += minProbePause
	c.Assert(capacity.offered(now), qt.Equals, cores(46))
	c.Assert(admits(60, 6), qt.Equals, [2]bool{false, false}, qt.Commentf("the announced capacity is exceeded"))
	c.Assert(admits(40, 6), qt.Equals, [2]bool{true, true})
	c.Assert(admits(40, 6), qt.Equals, [2]bool{false, false}, qt.Commentf("a second probe"))
	c.Assert(capacity.offered(now), qt.Equals, cores(40))
	c.Assert(capacity.rejected(now, cores(40), cores(6)), qt.IsFalse)
	capacity.endProbe()
	c.Assert(capacity.learned, qt.Equals, cores(40))
	now += minProbePause
	c.Assert(admits(40, 6), qt.Equals, [2]bool{false, false}, qt.Commentf("the pause has doubled"))
	now += minProbePause
	c.Assert(admits(40, 5), qt.Equals, [2]bool{true, true})
	capacity.accepted(now, cores(45), true)
	capacity.endProbe()
	c.Assert(capacity.learned, qt.Equals, cores(45))
	c.Assert(admits(45, 6), qt.Equals, [2]bool{true, true}, qt.Commentf("the next probe follows at once"))
	capacity.endProbe()
	now += 20 * time.Second
	c.Assert(capacity.offered(now), qt.Equals, cores(64), qt.Commentf("the room for a probe grows, so that larger tasks come"))
}

// TestAnnouncements checks that another announced capacity replaces what was learned, and
// the same one does not.
func TestAnnouncements(t *testing.T) {
	c := qt.New(t)
	capacity := announced()
	capacity.rejected(time.Second, cores(40), cores(6))
	capacity.announce(cores(64))
	c.Assert(capacity.learned, qt.Equals, cores(40))
	capacity.announce(cores(32))
	c.Assert(capacity.learned, qt.Equals, cores(32))
}

// A capacityModel is a server under full load, whose tasks end one after the other.
type capacityModel struct {
	capacity   *effectiveCapacity
	provided   int // provided is what the server provides, in thousandths of a core.
	rejections int
	running    []int // running lists the needs of the runs, the oldest first.
	used       int
}

// step offers tasks of the given needs until one does not start, after the oldest run has
// ended if end is set.
func (m *capacityModel) step(now time.Duration, end bool, needs func() int) {
	if end && len(m.running) > 0 {
		m.used -= m.running[0]
		m.running = m.running[1:]
	}
	for {
		need := needs()
		ok, probe := m.capacity.admits(now, pollenfront.Resources{CPU: m.used}, pollenfront.Resources{CPU: need})
		if !ok {
			return
		}
		if m.used+need > m.provided {
			m.rejections++
			m.capacity.rejected(now, pollenfront.Resources{CPU: m.used}, pollenfront.Resources{CPU: need})
			if probe {
				m.capacity.endProbe()
			}
			return
		}
		m.used += need
		m.running = append(m.running, need)
		m.capacity.accepted(now, pollenfront.Resources{CPU: m.used}, probe)
		if probe {
			m.capacity.endProbe()
		}
	}
}

// TestLearnedCapacity checks for servers of all real capacities that rejections are bounded
// by the rate of probes, that the learned capacity is never above the announced one, that
// less than a task's need of what is provided is not learned, and that the announced capacity
// is regained.
func TestLearnedCapacity(t *testing.T) {
	const announcedCPU, smallest, largestNeed = 64000, 4000, 9000
	rapid.Check(t, func(t *rapid.T) {
		m := &capacityModel{capacity: announced(), provided: announcedCPU}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) //nolint:gosec // A seed makes runs reproducible.
		need := func() int { return smallest + random.IntN(largestNeed-smallest+1) }
		now := time.Second
		run := func(d time.Duration) {
			for until := now + d; now < until; now += 10 * time.Millisecond {
				m.step(now, true, need)
				if !m.capacity.announced.Covers(m.capacity.learned) {
					t.Fatalf("learned %v", m.capacity.learned)
				}
			}
		}
		run(200 * time.Millisecond)
		m.provided = rapid.IntRange(0, announcedCPU).Draw(t, "provided")
		run(4 * time.Second)
		// A start that the learned capacity covers lowers it by at least the smallest need.
		// After it has been restored too early, that takes two starts more, at most once in
		// restoreDelay.
		limit := 2*4 + 4 + (announcedCPU-m.provided)/smallest + 1 + 2*4
		if m.rejections > limit {
			t.Fatalf("%d rejections, limit %d", m.rejections, limit)
		}
		if m.capacity.learned.CPU <= m.provided-largestNeed {
			t.Fatalf("learned %d of %d", m.capacity.learned.CPU, m.provided)
		}
		m.provided = announcedCPU
		run(2 * time.Second)
		if m.capacity.reduced() {
			t.Fatalf("not regained: %+v", m.capacity)
		}
	})
}

// TestStepAfterExactRecovery guards against room for a probe of an earlier, larger task after
// a probe has reached the announced capacity exactly and a small task is rejected later.
func TestStepAfterExactRecovery(t *testing.T) {
	c := qt.New(t)
	capacity, now := announced(), time.Second
	capacity.rejected(now, cores(44), cores(20))
	now += minProbePause
	ok, probe := capacity.admits(now, cores(44), cores(20))
	c.Assert(ok && probe, qt.IsTrue)
	capacity.accepted(now, cores(64), true)
	capacity.endProbe()
	c.Assert(capacity.reduced(), qt.IsFalse)
	now += time.Minute
	capacity.rejected(now, cores(40), cores(1))
	now += minProbePause
	c.Assert(capacity.offered(now), qt.Equals, cores(41))
}

// TestChanceRejection guards against a healthy server that stays small after one rejection
// while it was idle.
func TestChanceRejection(t *testing.T) {
	m := &capacityModel{capacity: announced(), provided: 64000}
	now := time.Second
	m.capacity.rejected(now, pollenfront.Resources{}, cores(6))
	now += minProbePause
	m.step(now, false, func() int { return 6000 })
	qt.Assert(t, m.used, qt.Equals, 60000)
}
