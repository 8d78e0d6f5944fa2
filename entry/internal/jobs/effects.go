package jobs

import (
	"slices"
	"time"

	"go.uber.org/zap"

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
		j.recordPlacement(now, &effects.Placements[i])
	}
	j.recordSilentRuns(effects.SilentRuns)
	j.logLateRuns(effects.LateRuns)
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

// recordWithholding logs and counts an attempt that was withheld from a failing server.
func (j *Jobs) recordWithholding(w *scheduler.Withholding) {
	j.metrics.withheld.WithLabelValues(w.Agent).Inc()
	j.logger.Info("attempt withheld", zap.String("request", w.Job), zap.Int("task", w.Task), zap.String("agent", w.Agent),
		zap.Float64("fail-share", w.FailShare), zap.Bool("last-attempt", w.LastAttempt))
}

// logLateRuns logs the runs of which agents tell although they were taken for over.
func (j *Jobs) logLateRuns(runs []scheduler.LateRun) {
	for i := range runs {
		end := &runs[i].End
		fields := []zap.Field{zap.String("request", end.Run.Job), zap.Int("task", end.Run.Index), zap.Int("run", end.Run.Number), zap.String("agent", runs[i].Agent)}
		if end.Ending == "" {
			j.logger.Warn("run that was taken for over goes on", fields...)
			continue
		}
		j.logger.Warn("run that was taken for over has ended", append(fields, zap.String("ending", string(end.Ending)), zap.Float64("seconds", end.Seconds),
			zap.String("evidence", string(end.Evidence)), zap.Duration("evidence-age", end.EvidenceAge))...)
	}
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
