package storewatch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/storewatch"
)

// TestRun checks which states a watcher applies while calls to the store fail or the
// store has discarded its history.
func TestRun(t *testing.T) {
	errUnavailable := errors.New("store unavailable")
	tests := []struct {
		name string
		// reads lists the errors that successive calls of Read return.
		reads []error
		// polls lists the errors that successive calls of Poll return.
		polls []error
		want  []int
	}{
		{name: "no failure", reads: []error{nil}, polls: []error{nil, nil}, want: []int{100, 101, 102}},
		{name: "unavailable at the start", reads: []error{errUnavailable, errUnavailable, nil}, polls: []error{nil}, want: []int{100, 101}},
		{name: "unavailable later", reads: []error{nil}, polls: []error{nil, errUnavailable, nil}, want: []int{100, 101, 102}},
		{name: "history gone", reads: []error{nil, nil}, polls: []error{nil, pollenfront.ErrHistoryGone}, want: []int{100, 101, 100}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			// pop removes and returns the next error. When none is left, it cancels ctx,
			// so that Run returns.
			pop := func(errs *[]error) error {
				if len(*errs) == 0 {
					cancel()
					return ctx.Err()
				}
				err := (*errs)[0]
				*errs = (*errs)[1:]
				return err
			}
			var applied []int
			w := storewatch.Watcher[int]{
				Apply:  func(n int) { applied = append(applied, n) },
				Logger: zap.NewNop(),
				Poll: func(_ context.Context, known int, _ time.Duration) (int, error) {
					return known + 1, pop(&test.polls)
				},
				Read: func(context.Context) (int, error) { return 100, pop(&test.reads) },
			}
			_ = w.Run(ctx)
			qt.Assert(t, applied, qt.DeepEquals, test.want)
		})
	}
}

// TestHistoryGoneAgain checks that a watcher does not call a store in a loop that has
// discarded its history again after each read.
func TestHistoryGoneAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	reads := 0
	w := storewatch.Watcher[int]{
		Apply:  func(int) {},
		Logger: zap.NewNop(),
		Poll:   func(context.Context, int, time.Duration) (int, error) { return 0, pollenfront.ErrHistoryGone },
		Read: func(context.Context) (int, error) {
			reads++
			return 0, nil
		},
	}
	_ = w.Run(ctx)
	qt.Assert(t, reads <= 50, qt.IsTrue, qt.Commentf("%d reads", reads))
}

// TestRowWrittenAgain guards against a watcher that polls without limit while another writer
// changes a row all the time: all processes share the store's rate of reads. The first changes
// after a quiet time are still applied at once.
func TestRowWrittenAgain(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	polls := 0
	started := time.Now()
	var firstChanges time.Duration
	w := storewatch.Watcher[int]{
		Apply:  func(int) {},
		Logger: zap.NewNop(),
		Poll: func(ctx context.Context, known int, _ time.Duration) (int, error) {
			time.Sleep(10 * time.Millisecond)
			if polls++; polls == 5 {
				firstChanges = time.Since(started)
			}
			return known + 1, ctx.Err()
		},
		Read: func(context.Context) (int, error) { return 0, nil },
	}
	_ = w.Run(ctx)
	c.Assert(polls >= 5 && polls <= 10+8+1, qt.IsTrue, qt.Commentf("%d polls in 2 s", polls))
	c.Assert(firstChanges < time.Second, qt.IsTrue, qt.Commentf("5 changes took %v", firstChanges))
}

// TestPollsThatAlwaysFail guards against a watcher that repeats a poll for ever of which the
// response never arrives in time, since it holds too many changes.
func TestPollsThatAlwaysFail(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reads := 0
	w := storewatch.Watcher[int]{
		Apply:  func(int) {},
		Logger: zap.NewNop(),
		Poll: func(_ context.Context, known int, _ time.Duration) (int, error) {
			return known, errors.New("timed out")
		},
		Read: func(context.Context) (int, error) {
			if reads++; reads == 3 {
				cancel()
			}
			return 0, nil
		},
	}
	_ = w.Run(ctx)
	qt.Assert(t, reads, qt.Equals, 3)
}
