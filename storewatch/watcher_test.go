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

// TestRun checks what a watcher applies when the store fails and forgets.
func TestRun(t *testing.T) {
	errDown := errors.New("down")
	tests := []struct {
		name    string
		reads   []error // Errors of the calls for everything, in turn.
		changes []error // Errors of the calls for changes, in turn.
		want    []int
	}{
		{name: "no fault", reads: []error{nil}, changes: []error{nil, nil}, want: []int{100, 101, 102}},
		{name: "down at the start", reads: []error{errDown, errDown, nil}, changes: []error{nil}, want: []int{100, 101}},
		{name: "down later", reads: []error{nil}, changes: []error{nil, errDown, nil}, want: []int{100, 101, 102}},
		{name: "history gone", reads: []error{nil, nil}, changes: []error{nil, pollenfront.ErrHistoryGone}, want: []int{100, 101, 100}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			next := func(errs *[]error) error {
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
					return known + 1, next(&test.changes)
				},
				Read: func(context.Context) (int, error) { return 100, next(&test.reads) },
			}
			_ = w.Run(ctx)
			qt.Assert(t, applied, qt.DeepEquals, test.want)
		})
	}
}
