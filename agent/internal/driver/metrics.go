package driver

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus counters of an agent.
type metrics struct {
	invalidAnnouncements prometheus.Counter
	runsEnded            *prometheus.CounterVec
	startRequests        prometheus.Counter
	stopRequests         prometheus.Counter
}

// newMetrics returns counters that are registered with registry.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		invalidAnnouncements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_announcements_ignored_total", Help: "Announcements that could not be used.",
		}),
		runsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_runs_ended_total", Help: "Runs that ended, by ending.",
		}, []string{"ending"}),
		startRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_start_orders_total", Help: "Orders to the backend server to start a run.",
		}),
		stopRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_stop_orders_total", Help: "Orders to the backend server to stop a run.",
		}),
	}
	registry.MustRegister(m.runsEnded, m.invalidAnnouncements, m.startRequests, m.stopRequests)
	return m
}
