package main

import (
	"fmt"
	"time"
)

// Times of the case at-most-once.
const (
	// heldUp is how much later the order without an answer is carried out.
	heldUp = 3 * time.Second
	// powerLossAt is the time from that order to the loss of power of the runner's zone.
	powerLossAt = 500 * time.Millisecond
	// onceWorkMS is the run time of the task, in milliseconds.
	onceWorkMS = 200
)

// atMostOnce submits a job that may run at most once to the callers' API of the project. The first order to
// its runner gets no answer and is held up. The task ends done, and the end is taken note
// of. Then the runner's zone loses power; the runner starts again under its id and carries out what it was sent.
func atMostOnce(rec *record, trouble bool) (string, bool, error) {
	f, err := startFleet(rec, 3, 11)
	defer f.stop()
	if err != nil {
		return "", false, err
	}
	const task = "7a1e0c52d94b36f8.0.0.0"
	orders := 0
	f.onOrder(func(r *runner, o *order) time.Duration {
		if !trouble || o.Task != task {
			return 0
		}
		if orders++; orders > 1 {
			return 0
		}
		time.AfterFunc(powerLossAt, func() { f.loseZone(r.zone) })
		return heldUp
	})
	status, answer, err := f.postAPI(0, task[:16], onceWorkMS, 4*time.Second, false)
	if err != nil {
		return "", false, err
	}
	time.Sleep(6 * time.Second)
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for i, a := range f.history.runs {
		for _, b := range f.history.runs[i+1:] {
			if a.task == task && b.task == task && a.how == "done" && a.acked > 0 && b.start > a.ended {
				return fmt.Sprintf("%s run %d on %s (life %d) ended done at %v, which was taken note of at %v, and the client was answered %d; it started again as run %d on %s (life %d) at %v and ended %q",
					task, a.number, a.runner, a.life, a.ended.Round(time.Millisecond), a.acked.Round(time.Millisecond), status,
					b.number, b.runner, b.life, b.start.Round(time.Millisecond), b.how), true, nil
			}
		}
	}
	return fmt.Sprintf("the task started %d times; the answer was %d %s", len(f.history.runs), status, answer), false, nil
}
