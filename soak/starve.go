package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pollenfront/pollenfront/soak/internal/callers"
	"github.com/pollenfront/pollenfront/soak/internal/fleet"
)

// Parameters of starvation. A starved entry handles events in small parts, late and in another
// order than they happened.
const (
	// starvePause is the time for which a starved entry gets no processor time.
	starvePause = 396 * time.Millisecond

	// starvePeriod is the time from one turn of a starved entry to the next.
	starvePeriod = 400 * time.Millisecond

	// starveDuration is how long entries are starved, and starveInterval the time from then to
	// the next time.
	starveDuration = 6 * time.Second
	starveInterval = time.Second

	// maxResetPause is the upper bound of the times between two resets of the connections of
	// callers to a starved entry.
	maxResetPause = 100 * time.Millisecond
)

// starveEntries starves all entries for starveDuration, again and again until ctx is done, and
// resets the connections of callers to a random one meanwhile.
func starveEntries(ctx context.Context, f *fleet.Fleet, c *callers.Callers, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // The schedule must be reproducible.
	for ctx.Err() == nil {
		fmt.Printf("%s starve all entries for %v\n", time.Now().Format("15:04:05.000"), starveDuration)
		starveCtx, cancel := context.WithTimeout(ctx, starveDuration)
		go starve(starveCtx, f.Entries)
		for starveCtx.Err() == nil {
			time.Sleep(time.Duration(random.Int64N(int64(maxResetPause))))
			c.ResetConnections(random.IntN(len(f.Entries)))
		}
		cancel()
		time.Sleep(starveInterval)
	}
}

// starve gives processes little processor time until ctx is done, all at the same time.
func starve(ctx context.Context, processes []*fleet.Process) {
	for ctx.Err() == nil {
		for _, p := range processes {
			p.Signal(syscall.SIGSTOP)
		}
		time.Sleep(starvePause)
		for _, p := range processes {
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(starvePeriod - starvePause)
	}
}
