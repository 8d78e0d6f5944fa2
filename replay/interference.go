package replay

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dryrun"
	"github.com/pollenfront/pollenfront/interference"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An Interference makes runs of two kinds slow each other down: a run progresses slower by
// the factor while a run of the other kind is on its server.
type Interference struct {
	Factor float64
	Kinds  [2]string // Kinds are the names of the two kinds.
}

// interferenceOption returns the option that makes a scheduler work in the mode of the
// fleet.
func (f *Fleet) interferenceOption() scheduler.Option {
	pool := interference.NewPool()
	var model pollenfront.InterferenceModel = interference.NewModel(pool)
	if f.settings.InterferenceMode != pollenfront.InterferenceAvoid {
		model = dryrun.NewInterferenceModel(model, zap.NewNop())
	}
	return scheduler.WithInterference(f.settings.InterferenceMode, pool, model)
}

// recordInterference records the findings of an entry and the invalid estimates that it
// has received.
func (f *Fleet) recordInterference(effects *scheduler.Effects) {
	for _, change := range effects.InterferenceChanges {
		f.result.InterferenceChanges = append(f.result.InterferenceChanges, change)
		f.result.ChangeTimes = append(f.result.ChangeTimes, f.elapsed())
		if _, ok := f.result.FirstFindings[change.Pair]; !ok && !change.Dropped {
			f.result.FirstFindings[change.Pair] = f.elapsed()
		}
	}
	for _, invalid := range effects.InvalidEstimates {
		f.result.InvalidEstimates += invalid.Count
	}
}

// corruptUpdate lets Settings.CorruptEstimates change an update of an agent.
func (f *Fleet) corruptUpdate(agent int, update *tasklink.Update) {
	if f.settings.CorruptEstimates != nil {
		f.settings.CorruptEstimates(agent, update)
	}
}

// progressFactor returns the factor by which a run is slower now because of others.
func (s *serverNode) progressFactor(r *serverRun) float64 {
	kind := s.fleet.jobs[r.id.Job].kind.Name
	factor := 1.0
	for _, injected := range s.fleet.settings.Interference {
		for side, name := range injected.Kinds {
			if name == kind && s.kindCounts[injected.Kinds[1-side]] > 0 {
				factor *= injected.Factor
			}
		}
	}
	return factor
}

// changeKindCount records that a run of a kind starts or ends, and adapts the progress of
// all runs if that begins or ends interference.
func (s *serverNode) changeKindCount(r *serverRun, change int) {
	if len(s.fleet.settings.Interference) == 0 {
		return
	}
	kind := s.fleet.jobs[r.id.Job].kind.Name
	before := s.kindCounts[kind]
	s.kindCounts[kind] += change
	if (before > 0) == (s.kindCounts[kind] > 0) {
		return
	}
	for _, other := range s.runsByStart() {
		if other.end != nil && !other.ended {
			s.adaptProgress(other)
		}
	}
}

// adaptProgress reschedules the end of a run if its speed changes.
func (s *serverNode) adaptProgress(r *serverRun) {
	factor := s.progressFactor(r)
	if factor == r.factor {
		return
	}
	now := s.fleet.now
	if r.factor > 0 {
		r.remaining -= time.Duration(float64(now-r.adapted) / r.factor)
	}
	r.adapted, r.factor = now, factor
	r.endEpoch++
	epoch := r.endEpoch
	s.fleet.schedule(max(0, time.Duration(math.Round(float64(r.remaining)*factor))), func() {
		if r.endEpoch == epoch {
			r.end()
		}
	})
}

// scheduleEnd schedules the end of a run that has just started.
func (s *serverNode) scheduleEnd(r *serverRun, end func()) {
	if len(s.fleet.settings.Interference) == 0 {
		s.fleet.schedule(r.runTime, end)
		return
	}
	r.end, r.remaining = end, r.runTime
	s.adaptProgress(r)
}

// interferedPercent returns the progress of a run in percent, with what interference has cost.
func (r *serverRun) interferedPercent(now time.Duration) int {
	remaining := r.remaining - time.Duration(float64(now-r.adapted)/r.factor)
	return int(100 * (r.runTime - remaining) / r.runTime)
}
