package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/callerconn"
)

// checkCallerWatch logs, and exports as a metric, what the kernel reports of the connections of
// callers. Without these reports an entry learns only from the HTTP server that a caller has left.
func checkCallerWatch(registry *prometheus.Registry, logger *zap.Logger) {
	supported := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pollenfront_caller_watch_supported", Help: "Whether the kernel reports on the connections of callers, by kind of report.",
	}, []string{"report"})
	registry.MustRegister(supported)
	support, err := callerconn.Check()
	supported.WithLabelValues("closed").Set(gaugeValue(support.Closed))
	supported.WithLabelValues("last-heard").Set(gaugeValue(support.LastHeard))
	fields := []zap.Field{
		zap.Bool("closed", support.Closed), zap.Duration("closed-after", support.ClosedAfter), zap.Bool("last-heard", support.LastHeard), zap.Error(err),
	}
	if err != nil || !support.Closed {
		logger.Warn("kernel does not report closed connections of callers", fields...)
		return
	}
	logger.Info("callers are watched", fields...)
}

// gaugeValue returns the value of a gauge for a bool.
func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
