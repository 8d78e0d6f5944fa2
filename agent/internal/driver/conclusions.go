package driver

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/executor"
)

// recordConclusions logs what the executor concluded about the incarnations of the backend
// server and about earlier runs of tasks, and counts and logs what contradicts it. The caller
// must hold mu.
func (d *Driver) recordConclusions(effects *executor.Effects) {
	for _, change := range effects.IncarnationChanges {
		d.logger.Info("backend server incarnation detected", zap.Uint64("incarnation", change.Incarnation), zap.Uint64("former", change.Former),
			zap.Float64("former-age", change.FormerAge.Seconds()))
	}
	for _, c := range effects.Contradictions {
		d.metrics.contradictions.WithLabelValues(string(c.Conclusion)).Inc()
		d.logger.Error("conclusion contradicted by the backend server", zap.String("evidence", string(c.Conclusion)), zap.Float64("age", c.Age.Seconds()),
			zap.Uint64("incarnation", c.Incarnation), zap.String("request", c.Run.Job), zap.Int("task", c.Run.Index), zap.Int("run", c.Run.Number), zap.String("entry", c.Entry))
	}
	for _, f := range effects.Fenced {
		d.metrics.fencedRequests.WithLabelValues(string(f.Kind), strconv.FormatBool(f.Raised)).Inc()
		d.logger.Info("request fenced", zap.String("kind", string(f.Kind)), zap.Uint64("token", f.Token), zap.Uint64("current", f.Current), zap.Bool("raised", f.Raised))
	}
	if raise := effects.TokenRaise; raise != nil {
		d.logger.Warn("fencing token of a former process", zap.Uint64("from", raise.From), zap.Uint64("to", raise.To), zap.String("entry", raise.Source))
	}
	for _, run := range effects.UnknownRuns {
		d.logger.Info("unknown run on the backend server", zap.String("request", run.Job), zap.Int("task", run.Index), zap.Int("run", run.Number))
	}
	for _, r := range effects.Restarts {
		d.logger.Info("task accepted again", zap.String("request", r.Run.Job), zap.Int("task", r.Run.Index), zap.Int("run", r.Run.Number), zap.String("entry", r.Entry),
			zap.String("earlier-entry", r.EarlierEntry), zap.Int("earlier-run", r.EarlierRun), zap.String("ending", string(r.Ending)), zap.String("evidence", string(r.Evidence)),
			zap.Float64("ended-before", r.Age.Seconds()))
	}
}
