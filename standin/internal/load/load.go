// Package load submits jobs to a running fleet in an open loop, as the users'
// callers do behind a balancer, and reports what became of them.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{…})
package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/standin/internal/deployment"
	"github.com/pollenfront/pollenfront/standin/internal/history"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
)

const (
	drainTime    = 3 * time.Second // Beyond the longest timeout.
	neverTimeout = 10 * time.Millisecond
	maxNewIDs    = 20
	resubmitGap  = 100 * time.Millisecond
)

// Options are the options of a run.
type Options struct {
	Burst       float64 // Factor by which the rate changes every BurstPeriod; 1 for none.
	Cancel      float64 // Share of the jobs that are cancelled soon after submission.
	Deployment  *deployment.Deployment
	Double      float64 // Share of the jobs that are submitted to two entries at once.
	Fail        float64 // Share of the jobs with a task that fails.
	Fleet       plan.Fleet
	For         time.Duration
	History     string // File to write, or empty.
	Mix         string
	Never       float64 // Share of the jobs that can never run: their deadline is too near.
	Seed        uint64
	Utilization float64       // Share of the capacity that the jobs need.
	Warm        time.Duration // Time before jobs count.
}

// A runner is a run of the load tool.
type runner struct {
	Options

	balancer *balancer
	mutex    sync.Mutex
	random   *rand.Rand
	sent     []*submission
	records  []history.Record
}

// A submission is one job and what became of it.
type submission struct {
	answer  pollenfront.Answer
	arrived time.Time
	cancel  bool // Is cancelled soon after its submission.
	double  bool // Is submitted to two entries at once.
	drawn   deployment.Drawn
	ended   time.Time
	kind    deployment.Kind
	lost    bool // No answer came.
	tries   int
	warm    bool // Submitted before jobs count.
}

// Run submits jobs until the time is over, waits for the answers and returns
// the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &runner{Options: o, balancer: newBalancer(o.Fleet), random: rand.New(rand.NewPCG(o.Seed, o.Seed+1))}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.balancer.run(ctx)
	r.waitReady(ctx)
	before := scrape(o.Fleet)
	r.submitAll(ctx)
	after := scrape(o.Fleet)
	starts, err := collectStarts(o.Fleet)
	if err != nil {
		return nil, err
	}
	if o.History != "" {
		if err := history.Write(o.History, append(r.records, starts...)); err != nil {
			return nil, err
		}
	}
	return newReport(r, starts, after.minus(before)), nil
}

// waitReady waits until an entry is ready.
func (r *runner) waitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := r.balancer.pick(""); ok {
			return
		}
		time.Sleep(resubmitGap)
	}
}

// submitAll submits jobs at the instants of a Poisson process, and waits for
// the answers.
func (r *runner) submitAll(ctx context.Context) {
	mix := r.Deployment.Mixes[r.Mix]
	mean := r.Deployment.MeanWork(mix)
	interval := time.Duration(float64(mean) / (r.Deployment.Capacity() * r.Utilization))
	began := time.Now()
	due := began
	var all sync.WaitGroup
	for due.Sub(began) < r.For && ctx.Err() == nil {
		gap := float64(interval) * r.random.ExpFloat64() / r.burstFactor(due.Sub(began))
		due = due.Add(time.Duration(gap))
		time.Sleep(time.Until(due))
		s := r.newSubmission(mix, due, due.Sub(began) < r.Warm)
		all.Go(func() { r.serve(ctx, s) })
	}
	all.Wait()
}

// burstPeriod is the time after which the rate changes.
const burstPeriod = 2 * time.Second

// burstFactor returns the factor of the rate at a time. Over two periods its
// mean is 1.
func (r *runner) burstFactor(at time.Duration) float64 {
	if r.Burst <= 1 {
		return 1
	}
	if (at/burstPeriod)%2 == 0 {
		return r.Burst
	}
	return max(0.05, 2-r.Burst)
}

// newSubmission draws a job.
func (r *runner) newSubmission(mix deployment.Mix, now time.Time, warm bool) *submission {
	drawn, kind := r.Deployment.Draw(mix, r.random)
	if r.random.Float64() < r.Fail {
		drawn.Job.Tasks[0].Payload = []byte(`{"fail":true,"work":"50ms"}`)
	}
	drawn.Job.ID = pollenfront.NewJobID()
	drawn.Job.Deadline = now.Add(kind.Timeout)
	if r.random.Float64() < r.Never {
		drawn.Job.Deadline = now.Add(neverTimeout)
	}
	s := &submission{arrived: now, drawn: drawn, kind: kind, warm: warm}
	s.cancel = r.random.Float64() < r.Cancel
	s.double = r.random.Float64() < r.Double
	r.sent = append(r.sent, s)
	return s
}

// serve submits a job, to another entry with the same ID if no answer came,
// until an answer came or the deadline has passed.
func (r *runner) serve(ctx context.Context, s *submission) {
	ctx, stop := context.WithDeadline(ctx, s.drawn.Job.Deadline.Add(drainTime))
	defer stop()
	if s.cancel {
		go r.cancel(ctx, s)
	}
	if s.double {
		go r.submitOnce(ctx, s, s.drawn.Job, "")
	}
	job := s.drawn.Job
	last := ""
	for ctx.Err() == nil {
		answer, name, ok := r.submitOnce(ctx, s, job, last)
		if name != "" {
			s.tries++
		}
		if ok && answer.Reason == string(refusal.OwnerLost) && s.tries < maxNewIDs {
			job.ID = pollenfront.NewJobID()
			continue
		}
		if ok {
			s.answer, s.ended = answer, time.Now()
			return
		}
		last = name
		if time.Now().After(s.drawn.Job.Deadline) {
			break
		}
		time.Sleep(resubmitGap)
	}
	s.lost, s.ended = true, time.Now()
}

// submitOnce submits a job to an entry other than the one named and records
// the answer.
func (r *runner) submitOnce(ctx context.Context, s *submission, job pollenfront.Job, other string) (pollenfront.Answer, string, bool) {
	e, ok := r.balancer.pick(other)
	if !ok {
		return pollenfront.Answer{}, "", false
	}
	at := time.Now()
	answer, err := r.balancer.submit(ctx, e, job)
	record := history.Record{
		At: at, End: time.Now(), Event: history.EventAnswer, Idempotent: s.kind.Idempotent, Job: job.ID,
	}
	for _, t := range job.Tasks {
		record.Tasks = append(record.Tasks, t.Name)
	}
	if err == nil {
		record.Answer = &answer
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records = append(r.records, record)
	return answer, e.Name, err == nil
}

// cancel cancels a job soon after its submission.
func (r *runner) cancel(ctx context.Context, s *submission) {
	time.Sleep(resubmitGap)
	if e, ok := r.balancer.pick(""); ok {
		r.balancer.cancel(ctx, e, s.drawn.Job.ID)
	}
}

// counted returns the submissions that count, in the order of arrival.
func (r *runner) counted() []*submission {
	counted := slices.DeleteFunc(slices.Clone(r.sent), func(s *submission) bool { return s.warm })
	slices.SortStableFunc(counted, func(a, b *submission) int { return a.arrived.Compare(b.arrived) })
	return counted
}
