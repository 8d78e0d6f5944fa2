package driver

import (
	"context"
	"errors"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/program"
)

// Parameters of saving the backend server's announcement in the store.
const (
	// loadRetryDelay is the time between two attempts to load the announcement.
	loadRetryDelay = 200 * time.Millisecond
	// saveRetryDelay is the time between two attempts to save the announcement.
	saveRetryDelay = time.Second
	// saveTimeout bounds one attempt to save the announcement.
	saveTimeout = time.Second
)

// HandleAnnouncement passes an announcement of the backend server to the executor.
func (d *Driver) HandleAnnouncement(a pollenfront.Announcement) {
	now := bootclock.Now()
	d.handleEvent(now, func() executor.Effects { return d.executor.HandleAnnouncement(now, a) })
}

// adoptAnnouncement saves an announcement that applies from now on in the store, and
// addresses later requests to the announced instance. The caller must hold mu.
func (d *Driver) adoptAnnouncement(a pollenfront.Announcement) {
	d.instance = a.Instance
	d.server.SetInstance(a.Instance)
	d.saveAnnouncement(a)
	if state := d.executor.State(); state != d.announcedState {
		d.announcedState = state
		d.logger.Info("backend server announced", zap.String("instance", a.Instance), zap.Uint64("incarnation", a.Incarnation), zap.Uint8("state", uint8(state)),
			zap.Int("cpu", a.Capacity.CPU))
	}
}

// saveAnnouncement saves an announcement in the store for the next incarnation of
// this agent, without its clock and sequence number, which differ in each
// announcement. The caller must hold mu.
func (d *Driver) saveAnnouncement(a pollenfront.Announcement) {
	a.Clock, a.SeqNum = 0, 0
	d.announcement = a
	if reflect.DeepEqual(a, d.savedAnnouncement) || d.saving {
		return // saveNewest saves it if another one is being saved.
	}
	d.saving = true
	go d.saveNewest(a)
}

// saveNewest saves an announcement, and then the newest one if it differs, until the
// store has the newest one.
func (d *Driver) saveNewest(a pollenfront.Announcement) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		err := d.store.SaveAnnouncement(ctx, d.self.Name, a)
		cancel()
		if err != nil {
			d.logger.Info("could not save the announcement", zap.Error(err))
			time.Sleep(saveRetryDelay)
		}
		d.mu.Lock()
		if err == nil {
			d.savedAnnouncement = a
		}
		a = d.announcement
		d.saving = !reflect.DeepEqual(a, d.savedAnnouncement)
		done := !d.saving
		d.mu.Unlock()
		if done {
			return
		}
	}
}

// RestoreAnnouncement loads the announcement that an earlier incarnation of this
// agent has saved and passes it to the executor, so that the agent can use the
// server before the server announces itself again. It retries failed calls to the
// store until ctx is done or the server has announced itself. What is saved may be
// invalid, which another call would not change.
func (d *Driver) RestoreAnnouncement(ctx context.Context) {
	for ctx.Err() == nil && !d.serverAnnounced() {
		a, found, err := d.store.LoadAnnouncement(ctx, d.self.Name)
		if errors.Is(err, pollenfront.ErrInvalidRow) {
			d.RecordInvalidRows("saved-announcement", []pollenfront.InvalidRow{{Fault: err.Error(), Key: d.self.Name}})
			return
		}
		if err != nil {
			program.Sleep(ctx, loadRetryDelay)
			continue
		}
		if found {
			d.restoreAnnouncement(a)
		}
		return
	}
}

// restoreAnnouncement passes a saved announcement to the executor, unless the server has
// announced itself meanwhile: the saved one may be of an earlier incarnation.
func (d *Driver) restoreAnnouncement(a pollenfront.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.executor.ServerAnnounced() {
		return
	}
	now := bootclock.Now()
	d.logger.Info("announcement restored", zap.String("instance", a.Instance), zap.Uint64("incarnation", a.Incarnation))
	d.announcement, d.savedAnnouncement = a, a
	d.server.SetInstance(a.Instance)
	d.applyEffects(now, d.executor.RestoreAnnouncement(now, a))
}

// serverAnnounced reports whether the executor knows the server's announcement.
func (d *Driver) serverAnnounced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.ServerAnnounced()
}

// HandleDeregistration notifies the executor that the backend server is shutting
// down. It ignores the notice of an instance other than the announced one, which may
// have been delayed. The announcement is saved as that of a draining server, so that the
// next incarnation of the agent does not use the server again if it still answers.
func (d *Driver) HandleDeregistration(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instance != "" && instance != d.instance {
		d.logger.Info("notice of an earlier backend server ignored", zap.String("instance", instance), zap.String("current", d.instance))
		return
	}
	d.logger.Info("backend server left", zap.String("instance", instance))
	now := bootclock.Now()
	d.applyEffects(now, d.executor.HandleDeregistration(now))
	if a := d.announcement; a.Incarnation != 0 && a.Instance == instance {
		a.Draining = true
		d.saveAnnouncement(a)
	}
}

// HandleInvalidAnnouncement counts and logs an announcement that could not be
// decoded or failed a check, for example one of a server of another service. It logs each
// fault of an instance once.
func (d *Driver) HandleInvalidAnnouncement(instance string, err error) {
	d.metrics.invalidAnnouncements.Inc()
	if d.faults.IsNew("announcement", instance, err.Error()) {
		d.logger.Warn("announcement ignored", zap.String("instance", instance), zap.Error(err))
	}
}

// RecordInvalidRows counts rows from a source that can't be used, and logs each fault once.
func (d *Driver) RecordInvalidRows(source string, rows []pollenfront.InvalidRow) {
	d.faults.RecordRows(d.logger, source, rows)
}
