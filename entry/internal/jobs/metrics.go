package jobs

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
)

// metrics are the Prometheus metrics of an entry's jobs.
type metrics struct {
	answered        *prometheus.CounterVec
	callersLeft     prometheus.Counter
	interference    interferenceMetrics
	refusedRequests *prometheus.CounterVec
	responseTimes   *prometheus.HistogramVec
}

// newMetrics returns metrics that are registered with registry.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_jobs_answered_total", Help: "Jobs that were answered, by route, verdict and reason.",
		}, []string{"route", "verdict", "reason"}),
		callersLeft: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_callers_left_total", Help: "Jobs whose callers left before the answer.",
		}),
		interference: newInterferenceMetrics(registry),
		refusedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_requests_refused_total", Help: "Requests refused by their form, route or kind, by reason.",
		}, []string{"reason"}),
		responseTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollenfront_job_duration_seconds", Help: "Time from a job's arrival to its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 12),
		}, []string{"route"}),
	}
	registry.MustRegister(m.answered, m.callersLeft, m.refusedRequests, m.responseTimes)
	return m
}

// recordResult counts the result of a job and observes its response time.
func (m *metrics) recordResult(route string, result pollenfront.Result, responseTime time.Duration) {
	m.answered.WithLabelValues(route, result.Verdict.String(), string(result.Reason)).Inc()
	m.responseTimes.WithLabelValues(route).Observe(responseTime.Seconds())
}
