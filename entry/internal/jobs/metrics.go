package jobs

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
)

// metrics are the counters of an entry's jobs.
type metrics struct {
	answers   *prometheus.CounterVec
	left      prometheus.Counter
	malformed *prometheus.CounterVec
	took      *prometheus.HistogramVec
}

// newMetrics returns the metrics, which it registers.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_jobs_answered_total", Help: "Jobs that were answered, by route, verdict and reason.",
		}, []string{"route", "verdict", "reason"}),
		left: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_callers_left_total", Help: "Jobs whose callers left before the answer.",
		}),
		malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_requests_refused_total", Help: "Requests refused by their form, route or kind, by reason.",
		}, []string{"reason"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollenfront_job_duration_seconds", Help: "Time from a job's arrival to its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 12),
		}, []string{"route"}),
	}
	registry.MustRegister(m.answers, m.left, m.malformed, m.took)
	return m
}

// answered counts an answer.
func (m *metrics) answered(route string, answer pollenfront.Result, took time.Duration) {
	m.answers.WithLabelValues(route, answer.Verdict.String(), string(answer.Reason)).Inc()
	m.took.WithLabelValues(route).Observe(took.Seconds())
}
