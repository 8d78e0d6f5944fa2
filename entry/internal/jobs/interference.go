package jobs

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/debuglog"
	"github.com/pollenfront/pollenfront/dryrun"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/scheduler"
)

// interferenceMetrics are the metrics of the detection and avoidance of tasks that slow each
// other down.
type interferenceMetrics struct {
	avoided *prometheus.CounterVec
	changes *prometheus.CounterVec
	factor  *prometheus.GaugeVec
	invalid prometheus.Counter
}

// newInterferenceMetrics returns metrics that are registered with registry.
func newInterferenceMetrics(registry *prometheus.Registry) interferenceMetrics {
	m := interferenceMetrics{
		avoided: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_interference_avoided_total", Help: "Tasks for which another server was chosen because of interference, or would have been, by mode.",
		}, []string{"mode"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_interference_changes_total", Help: "Pairs of routes that were found to slow each other down or dropped, by change.",
		}, []string{"change"}),
		factor: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pollenfront_interference_factor", Help: "Factor by which runs of a route take longer beside a neighbor, for the pairs that are found.",
		}, []string{"route", "neighbor"}),
		invalid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollenfront_interference_invalid_total", Help: "Estimates of interference from agents that are invalid and were ignored.",
		}),
	}
	registry.MustRegister(m.avoided, m.changes, m.factor, m.invalid)
	return m
}

var _ pollenfront.InterferenceModel = &countingModel{}

// A countingModel counts the decisions of another model.
type countingModel struct {
	pollenfront.InterferenceModel

	counter prometheus.Counter
}

// Avoid implements pollenfront.InterferenceModel.
func (m *countingModel) Avoid(d pollenfront.InterferenceDecision) bool {
	m.counter.Inc()
	return m.InterferenceModel.Avoid(d)
}

// SetInterference sets what the entry does about tasks that slow each other down. It must
// be called before any job is submitted. Decisions are logged if the logger logs at the
// debug level.
func (j *Jobs) SetInterference(mode pollenfront.InterferenceMode) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pool := interference.NewPool()
	var model pollenfront.InterferenceModel = interference.NewModel(pool)
	if mode == pollenfront.InterferenceObserve {
		model = dryrun.NewInterferenceModel(model, j.logger)
	}
	if j.logger.Core().Enabled(zapcore.DebugLevel) {
		model = debuglog.NewInterferenceModel(model, j.logger)
	}
	model = &countingModel{InterferenceModel: model, counter: j.metrics.interference.avoided.WithLabelValues(string(mode))}
	scheduler.WithInterference(mode, pool, model)(j.scheduler)
}

// setRoutes tells the scheduler the names of the configured routes. The caller must hold mu.
func (j *Jobs) setRoutes(config *pollenfront.Config) {
	names := make([]string, 0, len(config.Routes))
	for i := range config.Routes {
		names = append(names, config.Routes[i].Name)
	}
	j.scheduler.SetRoutes(names)
}

// recordInterference logs and counts the pairs that were found or dropped, and the invalid
// estimates of agents. It logs only the first invalid ones of each agent. The caller must
// hold mu.
func (j *Jobs) recordInterference(effects *scheduler.Effects) {
	m := &j.metrics.interference
	for i := range effects.InterferenceChanges {
		change := &effects.InterferenceChanges[i]
		message, label := "interference found", "found"
		if change.Dropped {
			message, label = "interference dropped", "dropped"
			m.factor.DeleteLabelValues(change.Route, change.Neighbor)
		} else {
			m.factor.WithLabelValues(change.Route, change.Neighbor).Set(change.Factor)
		}
		m.changes.WithLabelValues(label).Inc()
		j.logger.Info(message, zap.String("route", change.Route), zap.String("neighbor", change.Neighbor), zap.Float64("factor", change.Factor),
			zap.Float64("score", change.Score), zap.Int("agents", change.Agents))
	}
	for _, invalid := range effects.InvalidEstimates {
		m.invalid.Add(float64(invalid.Count))
		if !j.loggedInvalidEstimates[invalid.Agent] {
			j.loggedInvalidEstimates[invalid.Agent] = true
			j.logger.Warn("invalid estimates of interference ignored", zap.String("agent", invalid.Agent), zap.Int("count", invalid.Count), zap.Error(invalid.Err))
		}
	}
}
