package jobs

import (
	"time"

	"go.uber.org/zap"
)

// fairSharesReportInterval is the shortest time between two reports of fair shares.
const fairSharesReportInterval = 5 * time.Second

// SetFairShares enables fair shares if enabled is set. It must be called before the first submission.
func (j *Jobs) SetFairShares(enabled bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if enabled {
		j.scheduler.EnableFairShares()
	}
}

// reportFairShares updates the metrics of fair shares and logs the lagging flows, if
// fairSharesReportInterval has passed. The caller must hold mu.
func (j *Jobs) reportFairShares(now time.Duration) {
	accounts := j.scheduler.FairShares()
	if accounts == nil || now-j.reportedFairShares < fairSharesReportInterval {
		return
	}
	j.reportedFairShares = now
	strictness := make(map[string]float64)
	for _, route := range accounts.Routes() {
		strictness[route.Name] = route.Limit.Strictness(now)
		j.metrics.limits.WithLabelValues(route.Name).Set(strictness[route.Name])
		for _, flow := range route.Flows() {
			j.metrics.fairShares.WithLabelValues(route.Name, flow.Class.String()).Set(flow.ServedShare(now))
		}
	}
	lagging := make(map[string]float64)
	for _, flow := range accounts.Lagging(now) {
		lagging[flow.Route().Name+"/"+flow.Class.String()] = flow.ServedShare(now)
	}
	if len(lagging) > 0 {
		j.logger.Info("fair shares", zap.Any("lagging", lagging), zap.Any("strictness", strictness), zap.Int("waiting", j.scheduler.QueueLength()))
	}
}
