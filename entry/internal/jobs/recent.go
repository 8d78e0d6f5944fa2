package jobs

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/observe"
)

// Limits on the jobs that are kept after their end. Callers submit a job again within a few
// seconds.
const (
	// maxRecentJobs is the number of jobs that are kept, 16 bytes for each ID and as much
	// again for the rest. It is 15 s of a thousand jobs a second.
	maxRecentJobs = 16_384
	// recentRetention is how long a job is kept.
	recentRetention = 15 * time.Second
)

// How a job that was submitted before has ended, beside the names of verdicts.
const (
	stillActive = "active"
	callerLeft  = "caller-left"
)

// A recentJob is a job that has ended.
type recentJob struct {
	endedAt time.Duration
	id      string
	// outcome is the name of its verdict, or callerLeft.
	outcome string
	reason  pollenfront.Reason
}

// recentJobs are the jobs that ended in the last recentRetention, but no more than
// maxRecentJobs. The zero value is empty.
type recentJobs struct {
	byID map[string]recentJob
	// order has the jobs in the order of their ends, without those that are not kept any
	// more. If a job ended again, only its newest end is in byID.
	order []recentJob
}

// add adds a job that ended now.
func (r *recentJobs) add(job recentJob) {
	r.evict(job.endedAt)
	if r.byID == nil {
		r.byID = make(map[string]recentJob)
	}
	if len(r.order) >= maxRecentJobs {
		r.evictOldest()
	}
	r.byID[job.id] = job
	r.order = append(r.order, job)
}

// evict removes the jobs that ended more than recentRetention ago.
func (r *recentJobs) evict(now time.Duration) {
	for len(r.order) > 0 && now-r.order[0].endedAt > recentRetention {
		r.evictOldest()
	}
}

// evictOldest removes the job that ended first.
func (r *recentJobs) evictOldest() {
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.byID[oldest.id] == oldest {
		delete(r.byID, oldest.id)
	}
}

// find returns the newest end of a job, or false if the job is not kept.
func (r *recentJobs) find(now time.Duration, id string) (recentJob, bool) {
	r.evict(now)
	job, ok := r.byID[id]
	return job, ok
}

// recordResubmission counts and logs the submission of a job that was submitted to this entry
// before and has not ended, or has ended shortly before. A refused job has not started, and
// its caller was told to submit it again, so that it is logged only if it is sampled. The caller
// must hold mu.
func (j *Jobs) recordResubmission(now time.Duration, id string) {
	if active, ok := j.submissions[id]; ok {
		j.metrics.resubmissions.WithLabelValues(stillActive).Inc()
		j.logger.Info("job submitted again", zap.String("request", id), zap.String("earlier", stillActive), zap.Int("callers", len(active.callers)),
			zap.Duration("arrived-before", now-active.arrivedAt))
		return
	}
	ended, ok := j.recent.find(now, id)
	if !ok {
		return
	}
	j.metrics.resubmissions.WithLabelValues(ended.outcome).Inc()
	if ended.outcome == pollenfront.VerdictRefused.String() && !observe.Sampled(id) {
		return
	}
	j.logger.Info("job submitted again", zap.String("request", id), zap.String("earlier", ended.outcome), zap.String("reason", string(ended.reason)),
		zap.Duration("ended-before", now-ended.endedAt))
}
