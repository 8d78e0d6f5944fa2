package jobs

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

const (
	// copyDelay is the time within which most agents link to an entry after the first one has.
	copyDelay = 200 * time.Millisecond
	// copyRate limits the copies of the configuration that are sent to agents, in bytes
	// per second. All agents link at the same time when a fleet starts, and copies of a
	// large configuration must not delay start commands on a slow network link.
	copyRate = 1 << 20
)

// setConfig puts a configuration from the store in force, and sends a new version to the
// agents that keep it for entries which start without the store. The caller must hold mu.
func (j *Jobs) setConfig(config *pollenfront.Config) {
	j.storeRead, j.offered = true, nil
	j.setRoutes(config)
	previous := j.config.Swap(config)
	if previous == nil {
		close(j.configured)
	}
	if previous != nil && previous.Version == config.Version {
		return
	}
	j.logger.Info("configuration in force", zap.Uint64("version", config.Version), zap.Int("routes", len(config.Routes)))
	j.sendCopies(bootclock.Now())
}

// sendCopies sends the configuration in force to the agents whose servers have this entry
// as their primary entry, once on each link, as far as copyRate allows. A later call sends
// the remaining copies. The caller must hold mu.
func (j *Jobs) sendCopies(now time.Duration) {
	config := j.config.Load()
	if config == nil || now < j.nextCopy {
		return
	}
	transmissionTime := time.Duration(float64(config.Msgsize()) / copyRate * float64(time.Second))
	// At most one tick of unused time is made up for, since a copy waits that long for a call.
	j.nextCopy = max(j.nextCopy, now-scheduler.TickInterval)
	for name, link := range j.links {
		if link.configVersion == config.Version || !j.scheduler.IsPrimary(name) {
			continue
		}
		if now < j.nextCopy {
			return
		}
		j.nextCopy += transmissionTime
		link.configVersion = config.Version
		if err := link.Send(&tasklink.Commands{Config: config}); err != nil {
			link.Close() // receiveUpdates then returns an error, and serveLink removes the link.
		}
	}
}

// HandleStoreFailure records that the configuration could not be read from the store.
// From then on, the copies that agents keep may be used.
func (j *Jobs) HandleStoreFailure() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.storeFailed = true
}

// offerConfig records a copy of the configuration that an agent keeps, if it is the newest
// one. The caller must hold mu.
func (j *Jobs) offerConfig(now time.Duration, config *pollenfront.Config) {
	if j.offered == nil {
		j.offeredAt = now
	}
	if j.offered == nil || config.Version > j.offered.Version {
		j.offered = config
	}
}

// adoptConfig puts the newest copy that agents keep in force if the store can't be read.
// It waits for copyDelay after the first copy, since an agent whose primary entry was down
// may have missed the newest version. The caller must hold mu.
func (j *Jobs) adoptConfig(now time.Duration) {
	if j.storeRead || !j.storeFailed || j.offered == nil || now-j.offeredAt < copyDelay || j.configVersion() >= j.offered.Version {
		return
	}
	j.setRoutes(j.offered)
	if j.config.Swap(j.offered) == nil {
		close(j.configured)
	}
	j.logger.Warn("configuration taken from an agent", zap.Uint64("version", j.offered.Version), zap.Int("routes", len(j.offered.Routes)))
}

// configVersion returns the version of the configuration in force, or zero if there is
// none.
func (j *Jobs) configVersion() uint64 {
	if config := j.config.Load(); config != nil {
		return config.Version
	}
	return 0
}
