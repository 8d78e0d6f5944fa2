package jobs

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
)

// metrics are the Prometheus metrics of an entry's jobs.
type metrics struct {
	answered        *prometheus.CounterVec
	callersLeft     *prometheus.CounterVec
	cancellations   *prometheus.CounterVec
	fairShares      *prometheus.GaugeVec
	interference    interferenceMetrics
	invalidReports  prometheus.Counter
	invalidShares   prometheus.Counter
	limits          *prometheus.GaugeVec
	refusedRequests *prometheus.CounterVec
	reruns          *prometheus.CounterVec
	resubmissions   *prometheus.CounterVec
	responseTimes   *prometheus.HistogramVec
	sharedCPU       prometheus.Gauge
	silentRuns      prometheus.Counter
	withheld        *prometheus.CounterVec
}

// newMetrics returns metrics that are registered with registry.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_jobs_answered_total", Help: "Jobs that were answered, by route, verdict and reason.",
		}, []string{"route", "verdict", "reason"}),
		callersLeft: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_callers_left_total", Help: "Jobs whose callers left before the answer, by what showed it.",
		}, []string{"evidence"}),
		cancellations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_cancellations_total", Help: "Requests to cancel a job, by outcome.",
		}, []string{"outcome"}),
		fairShares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pollenfront_fair_share_served_ratio", Help: "Work sent to servers as a share of the work that arrived, by route and size class. Only with fair-shares.",
		}, []string{"route", "class"}),
		limits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pollenfront_admission_strictness", Help: "Factor on the expected delay by which jobs are admitted, by route. Only with fair-shares.",
		}, []string{"route"}),
		invalidReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_reports_corrected_total", Help: "Reports of agents in which invalid numbers were replaced.",
		}),
		invalidShares: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_shares_ignored_total", Help: "Shares stated by agents that could not be used.",
		}),
		interference: newInterferenceMetrics(registry),
		refusedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_requests_refused_total", Help: "Requests refused by their form, route or kind, by reason.",
		}, []string{"reason"}),
		reruns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_reruns_total", Help: "Runs of tasks after their first one, by what showed that the run before was over.",
		}, []string{"evidence"}),
		resubmissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_jobs_submitted_again_total", Help: "Submissions of jobs that this entry had before, by how the earlier submission ended.",
		}, []string{"earlier"}),
		responseTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollenfront_job_duration_seconds", Help: "Time from a job's arrival to its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 12),
		}, []string{"route"}),
		sharedCPU: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pollenfront_shared_cpu", Help: "Sum of the entry's shares of the usable servers, in thousandths of a core; zero unless shares follow demand.",
		}),
		silentRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_silent_agent_runs_total", Help: "Runs that were taken for ended because their agent was silent.",
		}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_attempts_withheld_total", Help: "Attempts that waited although a failing server was free, by its agent.",
		}, []string{"agent"}),
	}
	registry.MustRegister(
		m.answered, m.callersLeft, m.cancellations, m.fairShares, m.invalidReports, m.invalidShares, m.limits, m.refusedRequests, m.reruns,
		m.responseTimes, m.resubmissions, m.sharedCPU, m.silentRuns, m.withheld,
	)
	return m
}

// recordResult counts the result of a job and observes its response time.
func (m *metrics) recordResult(route string, result pollenfront.Result, responseTime time.Duration) {
	m.answered.WithLabelValues(route, result.Verdict.String(), string(result.Reason)).Inc()
	m.responseTimes.WithLabelValues(route).Observe(responseTime.Seconds())
}
