package driver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
)

// renewLease renews the lease of all runs on the backend server until ctx is done.
// It sends the next renewal when the previous one is answered, when the fencing token was raised, or at
// the latest after the renewal's interval.
func (d *Driver) renewLease(ctx context.Context) {
	failedBefore := false
	for ctx.Err() == nil {
		sent := bootclock.Now()
		d.mu.Lock()
		request := d.executor.NextRenewal(sent)
		d.mu.Unlock()
		done := make(chan error, 1)
		go func() { done <- d.sendRenewal(ctx, sent, request) }()
		select {
		case err := <-done:
			if err != nil && failedBefore { // The next renewal after a first failure shows whether the server has crashed.
				d.awaitRenewalRetry(ctx, err)
			}
			failedBefore = err != nil
		case <-d.tokenRaised:
		case <-time.After(request.Interval):
		}
	}
}

// awaitRenewalRetry waits for the delay after a renewal that failed with err, until a renewal is
// requested, the fencing token was raised, or ctx is done.
func (d *Driver) awaitRenewalRetry(ctx context.Context, err error) {
	d.mu.Lock()
	delay := d.executor.RenewalRetryDelay(bootclock.Now(), err)
	d.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-d.renewNow:
	case <-d.tokenRaised:
	case <-time.After(delay):
	}
}

// notify sends a value on a channel with room for one, unless it holds one.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default: // The receiver has not received the one before.
	}
}

// logServerAvailability logs when renewals start to fail and when they succeed
// again. err is the error of the newest renewal, or nil if it succeeded.
func (d *Driver) logServerAvailability(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.renewalFailed == (err != nil) {
		return
	}
	d.renewalFailed = err != nil
	if d.renewalFailed {
		d.logger.Warn("backend server lost", zap.Error(err))
		return
	}
	d.logger.Info("backend server regained")
}

// sendRenewal sends one renewal and passes the response, or the failure, to the
// executor. sent is the time at which request was made.
func (d *Driver) sendRenewal(ctx context.Context, sent time.Duration, request pollenfront.RenewalRequest) error {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	response, err := d.server.Renew(ctx, request)
	d.logServerAvailability(err)
	d.RecordInvalidRows("renewal", response.InvalidRows)
	switch {
	case err == nil:
		now := bootclock.Now()
		d.handleEvent(now, func() executor.Effects { return d.executor.HandleRenewal(now, sent, &response) })
	case errors.Is(err, pollenfront.ErrReplaced):
		d.server.SetInstance("") // The instance ID is unknown until the new incarnation announces itself.
	case errors.Is(err, pollenfront.ErrFenced):
		d.handleEvent(bootclock.Now(), func() executor.Effects { return d.executor.HandleRenewalFenced(request.Token) })
	default:
		now := bootclock.Now()
		d.handleEvent(now, func() executor.Effects { return d.executor.HandleRenewalError(now, sent, err) })
	}
	return err
}
