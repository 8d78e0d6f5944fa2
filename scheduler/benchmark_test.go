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
	benchServers = 100
	// benchTasks is the number of tasks of a job.
	benchTasks = 8
	queuedJobs = 10_000
)

// newBenchScheduler returns a Scheduler that is linked to the agents of benchServers
// servers, each with freeCPU thousandths of a core free.
func newBenchScheduler(freeCPU int) *scheduler.Scheduler {
	s := scheduler.New(at(-10_000), "entry-1", "west")
	s.SetEntries([]pollenfront.EntryRecord{{Name: "entry-1", Zone: "west"}})
	benchReport(s, at(0), freeCPU)
	return s
}

// benchReport passes an update from each server's agent to s. If now is at(0), it
// links the agents first.
func benchReport(s *scheduler.Scheduler, now time.Duration, freeCPU int) {
	for i := range benchServers {
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

// BenchmarkPlace measures the placement of one task on one of benchServers servers.
func BenchmarkPlace(b *testing.B) {
	s := newBenchScheduler(64000)
	placed := 0
	b.ReportAllocs()
	for i := 0; i < b.N; i += benchTasks {
		now := at(i / benchTasks / 100)
		if i%(50*benchTasks) == 0 {
			b.StopTimer()
			benchReport(s, now+time.Nanosecond, 64000)
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

// BenchmarkQueuedJob measures the memory of a queued job, and the time of a tick with
// queuedJobs jobs in the queue.
func BenchmarkQueuedJob(b *testing.B) {
	var before, after runtime.MemStats
	s := newBenchScheduler(-64000)
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
