package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// A record is the list of what was sent, answered and run, with the times since the start.
type record struct {
	lines   []string
	mu      sync.Mutex
	started time.Time
}

func newRecord() *record {
	return &record{started: time.Now()}
}

// printf adds a line to the record.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// summary adds a line to the record and prints it.
func (r *record) summary(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// An activeRun is a run in progress.
type activeRun struct {
	server  string
	started time.Time
}

// A runLog records the runs on all servers. It implements backendserver.Observer.
type runLog struct {
	active map[string][]activeRun
	mu     sync.Mutex
	record *record
	// started counts the starts, and twice the starts of a task that was running.
	started, twice int
	// doneTasks has the tasks with a run that was done, by job.
	doneTasks map[string]map[string]bool
	// refused are the jobs of which all attempts were rejected.
	refused []string
	// startedJobs are the jobs with a start.
	startedJobs map[string]bool
}

func newRunLog(r *record) *runLog {
	return &runLog{active: make(map[string][]activeRun), doneTasks: make(map[string]map[string]bool), record: r, startedJobs: make(map[string]bool)}
}

// RunStarted implements backendserver.Observer.
func (l *runLog) RunStarted(task, server string, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started++
	job, _, _ := strings.Cut(task, ".")
	l.startedJobs[job] = true
	l.record.printf("run      %s starts on %s", task, server)
	for _, other := range l.active[task] {
		l.twice++
		l.record.printf("TWICE    %s runs on %s since %v and starts on %s", task, other.server, time.Since(other.started).Round(time.Millisecond), server)
	}
	l.active[task] = append(l.active[task], activeRun{server: server, started: time.Now()})
}

// RunEnded implements backendserver.Observer.
func (l *runLog) RunEnded(task, server, ending string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job, _, _ := strings.Cut(task, "."); ending == "done" {
		if l.doneTasks[job] == nil {
			l.doneTasks[job] = make(map[string]bool)
		}
		l.doneTasks[job][task] = true
	}
	runs := l.active[task]
	for i, run := range runs {
		if run.server == server {
			l.record.printf("run      %s ends on %s as %s after %v, %d of it left", task, server, ending, time.Since(run.started).Round(100*time.Microsecond), len(runs)-1)
			l.active[task] = append(runs[:i:i], runs[i+1:]...)
			break
		}
	}
	if len(l.active[task]) == 0 {
		delete(l.active, task)
	}
}

// ServerCrashed implements backendserver.Observer. No task of a case crashes its server.
func (l *runLog) ServerCrashed(string) {}

// counts returns the number of starts and of starts beside another run of the task.
func (l *runLog) counts() (started, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started, l.twice
}

// running returns the tasks of a job that run now.
func (l *runLog) running(job string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var tasks []string
	for task := range l.active {
		if strings.HasPrefix(task, job+".") {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// done returns the number of tasks of a job that a run has done.
func (l *runLog) done(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.doneTasks[job])
}

// refuse records that all attempts to hand a job in were rejected.
func (l *runLog) refuse(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = append(l.refused, job)
}

// startedThoughRefused returns the number of jobs that were started though all attempts to
// hand them in were rejected.
func (l *runLog) startedThoughRefused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, job := range l.refused {
		if l.startedJobs[job] {
			l.record.printf("REFUSED  %s was rejected and has started", job)
			n++
		}
	}
	return n
}
