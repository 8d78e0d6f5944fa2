package jobs

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/scheduler"
)

// applyEffects carries out the effects that the scheduler returned. The caller must
// hold mu.
func (j *Jobs) applyEffects(now time.Duration, effects *scheduler.Effects) {
	for _, result := range effects.Results {
		j.deliverResult(now, result)
	}
	j.confirmCancellations(effects.CanceledJobs)
	for i := range effects.Placements {
		j.logPlacement(&effects.Placements[i])
	}
	j.recordSilentRuns(effects.SilentRuns)
	for i := range effects.Withholdings {
		j.recordWithholding(&effects.Withholdings[i])
	}
	for name, commands := range effects.Commands {
		link, ok := j.links[name]
		if !ok {
			continue
		}
		if err := link.Send(commands); err != nil {
			link.Close() // receiveUpdates then returns an error, and serveLink removes the link.
		}
		j.scheduler.MarkSent(now, name)
	}
	j.recordInvalidReports(effects.InvalidReports)
	j.recordInvalidShares(effects.InvalidShares)
	j.logDisabledZones()
	j.logConfinedRoutes()
	j.recordInterference(effects)
}

// logConfinedRoutes logs the confined routes if they differ from those logged last. The
// caller must hold mu.
func (j *Jobs) logConfinedRoutes() {
	confined := j.scheduler.ConfinedRoutes()
	if !slices.Equal(confined, j.loggedConfined) {
		j.loggedConfined = confined
		j.logger.Warn("routes confined to few servers", zap.Strings("routes", confined))
	}
}

// logDisabledZones logs the disabled zones if they differ from those logged last. A
// newer list comes from the store or from an agent. The caller must hold mu.
func (j *Jobs) logDisabledZones() {
	disabled := j.scheduler.DisabledZones()
	if !slices.Equal(disabled.Zones, j.loggedZones) {
		j.loggedZones = disabled.Zones
		j.logger.Info("zones out of service", zap.Strings("zones", disabled.Zones), zap.Uint64("store-version", disabled.Version))
	}
}

// logPlacement logs why tasks were sent to a server, if the job is sampled or one
// of the tasks was sent before.
func (j *Jobs) logPlacement(p *scheduler.Placement) {
	if p.MaxRunNumber == 1 && !observe.Sampled(p.Job) {
		return
	}
	j.logger.Info("tasks placed", zap.String("request", p.Job), zap.String("server", p.Agent), zap.Int("tasks", p.Tasks), zap.Int("run", p.MaxRunNumber),
		zap.Duration("waited", p.Waited), zap.Duration("report-age", p.ReportAge), zap.Int("free-cpu", p.FreeCPU), zap.Float64("slowness", p.Slowness))
}

// recordWithholding logs and counts an attempt that was withheld from a failing server.
func (j *Jobs) recordWithholding(w *scheduler.Withholding) {
	j.metrics.withheld.WithLabelValues(w.Agent).Inc()
	j.logger.Info("attempt withheld", zap.String("request", w.Job), zap.Int("task", w.Task), zap.String("agent", w.Agent),
		zap.Float64("fail-share", w.FailShare), zap.Bool("last-attempt", w.LastAttempt))
}

// recordSilentRuns counts and logs the runs that were taken for ended because their agent was
// silent.
func (j *Jobs) recordSilentRuns(runs []scheduler.SilentRun) {
	for _, r := range runs {
		j.metrics.silentRuns.Inc()
		j.logger.Warn("run of a silent agent taken for ended", zap.String("request", r.Run.Job), zap.Int("task", r.Run.Index), zap.Int("run", r.Run.Number),
			zap.String("agent", r.Agent.Name), zap.Uint64("incarnation", r.Agent.Incarnation), zap.Duration("update-age", r.UpdateAge), zap.Duration("sent-age", r.SentAge))
	}
}
