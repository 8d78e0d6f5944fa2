package jobs

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A cancellationStore is a store that keeps the saved cancellations of one entry.
type cancellationStore struct {
	pollenfront.Store

	mu    sync.Mutex
	calls int
	err   error // err, if set, is the error of all calls.
	jobs  []pollenfront.JobRef
}

func (s *cancellationStore) SaveCancellations(_ context.Context, _ string, jobs []pollenfront.JobRef) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err == nil {
		s.jobs = jobs
	}
	return s.err
}

func (s *cancellationStore) SavedCancellations(context.Context) ([]pollenfront.JobRef, []pollenfront.InvalidRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs, nil, s.err
}

// setErr sets the error of all later calls.
func (s *cancellationStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// newSavingJobs returns a Jobs without agents that saves cancellations in store.
func newSavingJobs(t *testing.T, store pollenfront.Store) *Jobs {
	t.Helper()
	j := New(tasklink.Hello{Incarnation: 1, Name: "entry-1", Version: tasklink.Version, Zone: "west"}, store, prometheus.NewRegistry(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = j.SaveCancellations(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for enabled := false; !enabled; time.Sleep(time.Millisecond) {
		j.mu.Lock()
		enabled = j.saved.enabled
		j.mu.Unlock()
	}
	return j
}

// TestCanceledJobAfterRestart guards against a job that runs after its cancellation was acknowledged,
// since its request arrived once more after all processes were killed (review case 9).
func TestCanceledJobAfterRestart(t *testing.T) {
	for _, failsFirst := range []bool{false, true} {
		c := qt.New(t)
		store := &cancellationStore{}
		sub := newSubmission(false)
		newSavingJobs(t, store).Cancel(context.Background(), sub.Ref(), time.Second)

		next := newSavingJobs(t, store)
		if failsFirst {
			store.setErr(errors.New("the store is down"))
			time.AfterFunc(10*time.Millisecond, func() { store.setErr(nil) })
		}
		next.RestoreCancellations(context.Background())
		if failsFirst {
			time.Sleep(2 * restoreRetryDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c.Assert(next.Submit(ctx, sub).Verdict, qt.Equals, pollenfront.VerdictCanceled)
		other := newSubmission(false)
		other.ID = "8899aabbccddeeff"
		next.Cancel(context.Background(), other.Ref(), time.Second)
		c.Assert(store.jobs, qt.DeepEquals, []pollenfront.JobRef{sub.Ref(), other.Ref()}, qt.Commentf("the next process saves what it has restored"))
	}
}

// TestManyCancellationsSavedTogether guards against a call to the store for each cancellation.
func TestManyCancellationsSavedTogether(t *testing.T) {
	c := qt.New(t)
	store := &cancellationStore{}
	j := newSavingJobs(t, store)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			j.Cancel(context.Background(), pollenfront.JobRef{ID: string(rune('a' + i)), Route: "r"}, 500*time.Millisecond)
		})
	}
	group.Wait()
	c.Assert(len(store.jobs), qt.Equals, 200)
	c.Assert(store.calls <= 6, qt.IsTrue, qt.Commentf("%d calls", store.calls))
}

// TestCancelWithoutStore guards against callers that get no answer to a DELETE while the store is
// down, and against cancellations that are not saved when it is back.
func TestCancelWithoutStore(t *testing.T) {
	c := qt.New(t)
	store := &cancellationStore{err: errors.New("the store is down")}
	j := newSavingJobs(t, store)
	started := time.Now()
	j.Cancel(context.Background(), pollenfront.JobRef{ID: "0a", Route: "r"}, 500*time.Millisecond)
	c.Assert(time.Since(started) < 3*time.Second, qt.IsTrue)
	store.setErr(nil)
	j.Cancel(context.Background(), pollenfront.JobRef{ID: "0b", Route: "r"}, 500*time.Millisecond)
	c.Assert(store.jobs, qt.HasLen, 2)
}
