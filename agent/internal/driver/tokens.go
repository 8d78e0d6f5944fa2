package driver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront/bootclock"
)

// Parameters of recording the fencing token in the store.
const (
	recordTokenRetryDelay = 500 * time.Millisecond
	recordTokenTimeout    = time.Second
)

// recordToken records the highest fencing token in the store, unless it is recorded or being
// recorded. The caller must hold mu.
func (d *Driver) recordToken() {
	token := d.executor.ReservedToken()
	if token == d.recordedToken || d.recordingToken {
		return
	}
	d.recordingToken = true
	go d.recordTokens(token)
}

// recordTokens records a fencing token in the store, and then the newest one if it differs, until
// the store has the newest one. If the store has a higher one, former processes of this agent may
// have used it, and the executor passes it first.
func (d *Driver) recordTokens(token uint64) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), recordTokenTimeout)
		recorded, err := d.store.RecordToken(ctx, d.self.Name, token)
		cancel()
		if err != nil {
			d.logger.Info("could not record the fencing token", zap.Error(err))
			time.Sleep(recordTokenRetryDelay)
		}
		if d.finishRecordToken(token, recorded, err) {
			return
		}
		d.mu.Lock()
		token = d.executor.ReservedToken()
		d.mu.Unlock()
	}
}

// finishRecordToken handles the answer of the store. It reports whether the store has the newest
// token.
func (d *Driver) finishRecordToken(token, recorded uint64, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := bootclock.Now()
	switch {
	case err != nil:
	case recorded >= token:
		d.applyEffects(now, d.executor.RaiseToken(recorded))
	default:
		d.recordedToken = token
	}
	d.recordingToken = d.recordedToken != d.executor.ReservedToken()
	return !d.recordingToken
}
