package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// Sizes of the benchmarks.
const (
	// benchTasks is the number of tasks of a job.
	benchTasks = 8
	queuedJobs = 10_000
)

// benchServers are the numbers of servers of the benchmarks.
var benchServers = []int{100, 240, 1000}

// newBenchScheduler returns a Scheduler that is linked to the agents of some servers,
// each with freeCPU thousandths of a core free.
func newBenchScheduler(servers, freeCPU int) *scheduler.Scheduler {
	s := scheduler.New(at(-10_000), "entry-1", "west")
	s.SetEntries([]pollenfront.EntryRecord{{Name: "entry-1", Zone: "west"}})
	benchReport(s, servers, at(0), freeCPU)
	return s
}

// benchReport passes an update from each server's agent to s. If now is at(0), it
// links the agents first.
func benchReport(s *scheduler.Scheduler, servers int, now time.Duration, freeCPU int) {
	for i := range servers {
		name := fmt.Sprintf("agent-%d", i)
		if now == at(0) {
			s.LinkAgent(now, &tasklink.Hello{Incarnation: 1, Name: name, Service: "service", Zone: "west"})
		}
		s.HandleUpdate(now, name, &tasklink.Update{Clock: int64(now), LastSeqNum: 1 << 40, Report: tasklink.Report{
			Capacity: pollenfront.Resources{CPU: 64000}, Free: pollenfront.Resources{CPU: freeCPU}, RunSeconds: 0.2, Slowness: 1,
			State: tasklink.StateReady, Waits: []int{500, 500, 500},
		}})
	}
}

// benchSubmission returns a job whose ID is the given number. limit is its time limit
// and its latency target.
func benchSubmission(number int, limit time.Duration) pollenfront.Submission {
	return pollenfront.Submission{
		Estimate: 60 * time.Millisecond, ID: fmt.Sprintf("%016x", number), Need: pollenfront.Resources{CPU: 6000}, TaskCount: benchTasks, TimeLimit: limit,
		Route: pollenfront.Route{LatencyTarget: limit, MaxAttempts: 3, Name: "route", Service: "service", Stretch: 1.6},
	}
}

// BenchmarkPlace measures the placement of one task.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range benchServers {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchmarkPlace(b, servers) })
	}
}

// benchmarkPlace places tasks on a number of servers with free resources.
func benchmarkPlace(b *testing.B, servers int) {
	s := newBenchScheduler(servers, 64000)
	placed := 0
	b.ReportAllocs()
	for i := 0; i < b.N; i += benchTasks {
		now := at(i / benchTasks / 100)
		if i%(50*benchTasks) == 0 {
			b.StopTimer()
			benchReport(s, servers, now+time.Nanosecond, 64000)
			b.StartTimer()
		}
		sub := benchSubmission(i, time.Second)
		for _, p := range s.Submit(now, sub).Placements {
			placed += p.Tasks
		}
		s.Cancel(now, sub.ID)
	}
	b.ReportMetric(float64(placed)/float64(b.N), "placed/task")
}

// BenchmarkUpdate measures an update that changes nothing, without and with queuedJobs
// jobs in the queue for which no server has room.
func BenchmarkUpdate(b *testing.B) {
	for _, servers := range benchServers {
		for _, queued := range []int{0, queuedJobs} {
			b.Run(fmt.Sprintf("servers=%d/queued=%d", servers, queued), func(b *testing.B) { benchmarkUpdate(b, servers, queued) })
		}
	}
}

// benchmarkUpdate passes updates of full servers to a scheduler with queued jobs.
func benchmarkUpdate(b *testing.B, servers, queued int) {
	s := newBenchScheduler(servers, -64000)
	for i := range queued {
		s.Submit(at(0), benchSubmission(i, time.Hour))
	}
	update := &tasklink.Update{Clock: 1, LastSeqNum: 1 << 40, Report: tasklink.Report{
		Capacity: pollenfront.Resources{CPU: 64000}, Free: pollenfront.Resources{CPU: -64000}, RunSeconds: 0.2, Slowness: 1,
		State: tasklink.StateReady, Waits: []int{500, 500, 500},
	}}
	b.ReportAllocs()
	for b.Loop() {
		s.HandleUpdate(at(1), "agent-1", update)
	}
	b.ReportMetric(float64(s.JobCount()), "jobs")
}

// BenchmarkQueuedJob measures the memory of a queued job, and the time of a tick with
// queuedJobs jobs in the queue.
func BenchmarkQueuedJob(b *testing.B) {
	var before, after runtime.MemStats
	s := newBenchScheduler(benchServers[0], -64000)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range queuedJobs {
		s.Submit(at(0), benchSubmission(i, time.Hour))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		s.Tick(at(1))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/queuedJobs, "B/job")
	b.ReportMetric(float64(s.JobCount()), "jobs")
}
