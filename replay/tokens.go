package replay

import "time"

// Times of calls to the store.
const (
	storeDelay      = 4 * time.Millisecond
	storeRetryDelay = 500 * time.Millisecond // storeRetryDelay is the time after which a failed call is repeated.
)

// recordToken records the agent's highest fencing token in the store, unless it is recorded. If an
// earlier incarnation has recorded a higher one, the agent passes that first.
func (a *agentNode) recordToken() {
	if token := a.executor.ReservedToken(); token != a.recordedToken && !a.recordingToken {
		a.recordingToken = true
		a.schedule(storeDelay, func() { a.finishRecordToken(token) })
	}
}

// finishRecordToken carries out the call of recordToken. While the store is down, it is repeated.
func (a *agentNode) finishRecordToken(token uint64) {
	if a.fleet.storeOutages > 0 {
		a.schedule(storeRetryDelay, func() { a.finishRecordToken(token) })
		return
	}
	a.recordingToken = false
	if recorded := a.fleet.tokens[a.name]; recorded >= token {
		a.applyEffects(a.executor.RaiseToken(recorded))
		return
	}
	a.fleet.tokens[a.name], a.recordedToken = token, token
	a.recordToken() // The token may have risen meanwhile.
}

// StopStore makes all calls to the store fail for some time.
func (f *Fleet) StopStore(at, d time.Duration) {
	f.scheduleAt(at, func() {
		f.storeOutages++
		f.schedule(d, func() { f.storeOutages-- })
	})
}
