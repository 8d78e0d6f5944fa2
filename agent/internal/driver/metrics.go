package driver

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus metrics of an agent.
type metrics struct {
	contradictions       *prometheus.CounterVec
	crashedRuns          prometheus.Counter
	effectiveCPURatio    prometheus.Gauge
	fencedRequests       *prometheus.CounterVec
	invalidAnnouncements prometheus.Counter
	invalidDemands       prometheus.Counter
	runEvidence          *prometheus.CounterVec
	runsEnded            *prometheus.CounterVec
	serverCrashes        prometheus.Counter
	startRequests        prometheus.Counter
	startsRejected       prometheus.Counter
	stopRequests         prometheus.Counter
}

// newMetrics returns metrics that are registered with registry.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		contradictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_contradicted_conclusions_total", Help: "Conclusions that the backend server contradicted later, by the evidence that they rested on.",
		}, []string{"evidence"}),
		crashedRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_crashed_runs_total", Help: "Runs that were on the backend server when it crashed.",
		}),
		effectiveCPURatio: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pollenfront_server_effective_cpu_ratio", Help: "CPU that the backend server provides, as a fraction of what it announces.",
		}),
		fencedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_fenced_requests_total",
			Help: "Requests that the backend server refused because it has seen a higher fencing token, by kind and by whether the agent raised its token since.",
		}, []string{"kind", "raised"}),
		invalidAnnouncements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_announcements_ignored_total", Help: "Announcements that could not be used.",
		}),
		invalidDemands: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_demands_ignored_total", Help: "Demands stated by entries that could not be used.",
		}),
		runEvidence: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_run_end_evidence_total", Help: "Runs that ended, by what showed that they were over.",
		}, []string{"evidence"}),
		runsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_runs_ended_total", Help: "Runs that ended, by ending.",
		}, []string{"ending"}),
		serverCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_server_crashes_total", Help: "Crashes of the backend server.",
		}),
		startRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_start_orders_total", Help: "Orders to the backend server to start a run.",
		}),
		startsRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_starts_rejected_total", Help: "Starts that the backend server rejected for lack of capacity.",
		}),
		stopRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_stop_orders_total", Help: "Orders to the backend server to stop a run.",
		}),
	}
	registry.MustRegister(
		m.contradictions, m.crashedRuns, m.effectiveCPURatio, m.fencedRequests, m.runEvidence, m.runsEnded, m.invalidAnnouncements, m.invalidDemands,
		m.serverCrashes, m.startRequests, m.startsRejected, m.stopRequests,
	)
	return m
}
