package driver

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of an agent.
type metrics struct {
	ends    *prometheus.CounterVec
	ignored prometheus.Counter
	starts  prometheus.Counter
	stops   prometheus.Counter
}

// newMetrics returns the metrics, which it registers.
func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_runs_ended_total", Help: "Runs that ended, by ending.",
		}, []string{"ending"}),
		ignored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_announcements_ignored_total", Help: "Announcements that could not be used.",
		}),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_start_orders_total", Help: "Orders to the backend server to start a run.",
		}),
		stops: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_stop_orders_total", Help: "Orders to the backend server to stop a run.",
		}),
	}
	registry.MustRegister(m.ends, m.ignored, m.starts, m.stops)
	return m
}
