package driver

import (
	"time"

	"go.uber.org/zap"
)

// recordCapacity updates the metric of the capacity that the backend server provides, and
// logs when it falls below the announced one and when it is back. The caller must hold mu.
func (d *Driver) recordCapacity(now time.Duration) {
	capacity := d.executor.Capacity(now)
	if capacity.Announced.CPU > 0 {
		d.metrics.effectiveCPURatio.Set(float64(capacity.Effective.CPU) / float64(capacity.Announced.CPU))
	}
	if capacity.Reduced == d.capacityReduced {
		return
	}
	d.capacityReduced = capacity.Reduced
	fields := []zap.Field{
		zap.Int("cpu", capacity.Announced.CPU), zap.Int("effective-cpu", capacity.Effective.CPU),
		zap.Int("memory", capacity.Announced.Memory), zap.Int("effective-memory", capacity.Effective.Memory),
	}
	if capacity.Reduced {
		d.logger.Warn("backend server provides less than it announces", fields...)
		return
	}
	d.logger.Info("backend server provides what it announces", fields...)
}
