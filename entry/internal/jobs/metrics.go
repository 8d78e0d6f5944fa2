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
	invalidShares   prometheus.Counter
	refusedRequests *prometheus.CounterVec
	responseTimes   *prometheus.HistogramVec
	sharedCPU       prometheus.Gauge
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
		invalidShares: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_shares_ignored_total", Help: "Shares stated by agents that could not be used.",
		}),
		refusedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_requests_refused_total", Help: "Requests refused by their form, route or kind, by reason.",
		}, []string{"reason"}),
		responseTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollenfront_job_duration_seconds", Help: "Time from a job's arrival to its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 12),
		}, []string{"route"}),
		sharedCPU: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pollenfront_shared_cpu", Help: "Sum of the entry's shares of the usable servers, in thousandths of a core; zero unless shares follow demand.",
		}),
	}
	registry.MustRegister(m.answered, m.callersLeft, m.invalidShares, m.refusedRequests, m.responseTimes, m.sharedCPU)
	return m
}

// recordResult counts the result of a job and observes its response time.
func (m *metrics) recordResult(route string, result pollenfront.Result, responseTime time.Duration) {
	m.answered.WithLabelValues(route, result.Verdict.String(), string(result.Reason)).Inc()
	m.responseTimes.WithLabelValues(route).Observe(responseTime.Seconds())
}
