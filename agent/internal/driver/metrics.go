package driver

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus counters of an agent.
type metrics struct {
	crashedRuns          prometheus.Counter
	invalidAnnouncements prometheus.Counter
	invalidDemands       prometheus.Counter
	runsEnded            *prometheus.CounterVec
	serverCrashes        prometheus.Counter
	startRequests        prometheus.Counter
	stopRequests         prometheus.Counter
}

// newMetrics returns counters that are registered with registry.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		crashedRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_crashed_runs_total", Help: "Runs that were on the backend server when it crashed.",
		}),
		invalidAnnouncements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_announcements_ignored_total", Help: "Announcements that could not be used.",
		}),
		invalidDemands: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_demands_ignored_total", Help: "Demands stated by entries that could not be used.",
		}),
		runsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_runs_ended_total", Help: "Runs that ended, by ending.",
		}, []string{"ending"}),
		serverCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_server_crashes_total", Help: "Crashes of the backend server.",
		}),
		startRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_start_orders_total", Help: "Orders to the backend server to start a run.",
		}),
		stopRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_stop_orders_total", Help: "Orders to the backend server to stop a run.",
		}),
	}
	registry.MustRegister(m.crashedRuns, m.runsEnded, m.invalidAnnouncements, m.invalidDemands, m.serverCrashes, m.startRequests, m.stopRequests)
	return m
}
