package jobs

import (
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/scheduler"
)

// EnableDemandShares makes the entry state its demand to agents and use the shares that
// they state. It must be called before Run and Serve.
func (j *Jobs) EnableDemandShares() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.scheduler.EnableDemandShares()
}

// recordInvalidReports counts the reports of agents in which invalid numbers were replaced,
// and logs the first one on each link. The caller must hold mu.
func (j *Jobs) recordInvalidReports(reports []scheduler.InvalidReport) {
	for _, invalid := range reports {
		j.metrics.invalidReports.Inc()
		if invalid.First {
			j.logger.Warn("invalid numbers in a report ignored", zap.String("agent", invalid.Agent), zap.Strings("fields", invalid.Fields))
		}
	}
}

// recordInvalidShares counts the invalid shares that agents have stated, and logs the first
// one of each agent. The caller must hold mu.
func (j *Jobs) recordInvalidShares(shares []scheduler.InvalidShare) {
	for _, invalid := range shares {
		j.metrics.invalidShares.Inc()
		if invalid.First {
			j.logger.Warn("invalid share ignored", zap.String("agent", invalid.Agent), zap.Int("share", invalid.Share))
		}
	}
}
