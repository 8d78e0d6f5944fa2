package jobs

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/program"
)

// Parameters of the cancellations that are saved in the store.
const (
	// maxSavedCancellations is the number of cancellations that are saved at a time. Of more, the
	// newest are.
	maxSavedCancellations = 1024
	// restoreRetryDelay is the time between two attempts to read the saved cancellations.
	restoreRetryDelay = 500 * time.Millisecond
	// restoreTimeout bounds one attempt to read the saved cancellations. An entry takes jobs
	// after the first attempt.
	restoreTimeout = 500 * time.Millisecond
	// saveInterval is the time between two calls that save cancellations. Those of that time are
	// saved together.
	saveInterval = 250 * time.Millisecond
	// savedRetention is how long a cancellation is saved. It is longer than a submission may be
	// delayed.
	savedRetention = 15 * time.Second
	// saveTimeout bounds one attempt to save cancellations.
	saveTimeout = 500 * time.Millisecond
	// saveWait is how long the answer to a request to cancel waits until it is saved.
	saveWait = time.Second
)

// savedCancellations are the cancellations that the store keeps, so that a job that was canceled does not
// run when its request arrives once more after all processes were killed.
type savedCancellations struct {
	// enabled is set while the cancellations are being saved.
	enabled bool
	// recent are the cancellations of the last savedRetention.
	recent []savedCancellation
	// waiting are closed when the cancellations that were added so far have been saved.
	waiting []chan struct{}
	// wake has room for one value, which is sent when there is something to save.
	wake chan struct{}
}

// A savedCancellation is a cancellation with the time of its request.
type savedCancellation struct {
	at  time.Duration
	job pollenfront.JobRef
}

// add adds a cancellation. It returns a channel that is closed when it has been saved, or nil if
// cancellations are not saved.
func (s *savedCancellations) add(now time.Duration, job pollenfront.JobRef) <-chan struct{} {
	if !s.enabled {
		return nil
	}
	saved := make(chan struct{})
	s.recent = append(s.recent, savedCancellation{at: now, job: job})
	s.wait(saved)
	return saved
}

// wait adds channels to close after the next attempt to save, and requests one.
func (s *savedCancellations) wait(saved ...chan struct{}) {
	s.waiting = append(s.waiting, saved...)
	select {
	case s.wake <- struct{}{}:
	default: // It is requested already.
	}
}

// next returns the jobs to save, and the channels to close once they are.
func (s *savedCancellations) next(now time.Duration) ([]pollenfront.JobRef, []chan struct{}) {
	s.recent = slices.DeleteFunc(s.recent, func(c savedCancellation) bool { return now-c.at > savedRetention })
	s.recent = s.recent[max(0, len(s.recent)-maxSavedCancellations):]
	jobs := make([]pollenfront.JobRef, len(s.recent))
	for i, c := range s.recent {
		jobs[i] = c.job
	}
	waiting := s.waiting
	s.waiting = nil
	return jobs, waiting
}

// RestoreCancellations applies the cancellations that entries have saved, so that this entry starts
// none of their jobs. If the store can't be read, it goes on to try in the background for as long as
// the cancellations matter.
func (j *Jobs) RestoreCancellations(ctx context.Context) {
	if err := j.readSavedCancellations(ctx); err != nil {
		j.logger.Warn("saved cancellations not read", zap.Error(err))
		go j.retryRestoreCancellations(ctx)
	}
}

// retryRestoreCancellations tries to restore the saved cancellations for savedRetention.
func (j *Jobs) retryRestoreCancellations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, savedRetention)
	defer cancel()
	for ctx.Err() == nil {
		program.Sleep(ctx, restoreRetryDelay)
		if j.readSavedCancellations(ctx) == nil {
			return
		}
	}
}

// readSavedCancellations makes one attempt to restore the saved cancellations.
func (j *Jobs) readSavedCancellations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	saved, invalid, err := j.store.SavedCancellations(ctx)
	if err != nil {
		return err
	}
	j.faults.RecordRows(j.logger, "cancellations", invalid)
	j.restoreCancellations(saved)
	return nil
}

// restoreCancellations applies saved cancellations. They are saved again with the next ones, as
// those replace what a former process of this entry has saved.
func (j *Jobs) restoreCancellations(saved []pollenfront.JobRef) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.beginEvent()
	saved = saved[max(0, len(saved)-maxSavedCancellations):]
	for _, job := range saved {
		j.saved.recent = append(j.saved.recent, savedCancellation{at: now, job: job})
		j.applyEffects(now, j.scheduler.CancelJob(now, job))
	}
	if len(saved) > 0 {
		j.logger.Info("saved cancellations restored", zap.Int("jobs", len(saved)))
	}
}

// SaveCancellations saves the cancellations that callers request here, until ctx is done, and
// returns ctx.Err().
func (j *Jobs) SaveCancellations(ctx context.Context) error {
	j.mu.Lock()
	j.saved.enabled = true
	j.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.saved.wake:
		}
		j.saveCancellations(ctx)
		program.Sleep(ctx, saveInterval)
	}
}

// saveCancellations makes one attempt to save the cancellations of the last savedRetention. If it
// fails, those who wait for it wait for the next one.
func (j *Jobs) saveCancellations(ctx context.Context) {
	j.mu.Lock()
	jobs, waiting := j.saved.next(bootclock.Now())
	j.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := j.store.SaveCancellations(ctx, j.self.Name, jobs); err != nil {
		j.logger.Warn("cancellations not saved", zap.Int("jobs", len(jobs)), zap.Error(err))
		j.mu.Lock()
		defer j.mu.Unlock()
		j.saved.wait(waiting...)
		return
	}
	for _, saved := range waiting {
		close(saved)
	}
}

// awaitSaved waits until a cancellation has been saved, for up to saveWait or until ctx is done. While
// the store is down the answer is given all the same: the processes know of the cancellation.
func awaitSaved(ctx context.Context, saved <-chan struct{}) {
	if saved == nil {
		return
	}
	select {
	case <-saved:
	case <-ctx.Done():
	case <-time.After(saveWait):
	}
}
