package replay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the hard load, as observed at the customers that
// docs/design/8-hard-load.md describes.
const (
	// slowTaskFactor is how much longer a slow task takes than the rest of its kind.
	slowTaskFactor = 7
	// slowTaskShare is the share of slow tasks.
	slowTaskShare = 0.03
	// waveAmplitude is the amplitude of the demand as a share of its mean.
	waveAmplitude = 0.55
	wavePeriod    = 15 * time.Second
	// wavePhaseStep is the difference between the phases of the waves of two neighboring
	// zones, in radians. The waves of three zones still add up to one of 0.80 of the
	// amplitude.
	wavePhaseStep = 0.8
)

// Durations of the hard load patterns.
const (
	hardLoadStart = 2 * time.Second
	hardLoadEnd   = hardLoadStart + wavePeriod
)

// HardFleet returns settings that resemble the larger customer's deployment, with a third
// of its servers and entries.
func HardFleet(seed uint64) Settings {
	return Settings{
		Agents: 24, Entries: 4, OneWayDelay: 700 * time.Microsecond, RunTimeFactors: []float64{0.55, 1.2, 1.2, 1.2}, Seed: seed, SlowTaskShare: slowTaskShare,
		Zones: 3,
	}
}

// FullHardFleet returns HardFleet with all servers and entries.
func FullHardFleet(seed uint64) Settings {
	s := HardFleet(seed)
	s.Agents, s.Entries = 73, 13
	return s
}

// HardPattern returns a pattern in which the demand of each zone follows a wave around the
// given share of the capacity of the fleet. The slow tasks count in this share.
func HardPattern(name string, settings func(seed uint64) Settings, share float64) Pattern {
	return Pattern{Duration: hardLoadEnd + 4*time.Second, Name: name, Settings: settings, Setup: func(f *Fleet) {
		factor := ScaleLoad(f.settings, fullLoad) * share / (1 + f.settings.SlowTaskShare*(slowTaskFactor-1))
		f.LoadWave(Mix, hardLoadStart, hardLoadEnd, factor)
	}}
}

// HardPatterns are the patterns of hard load without faults.
var HardPatterns = []Pattern{
	HardPattern("100 % of the capacity in a wave", HardFleet, 1),
	HardPattern("130 % of the capacity in a wave", HardFleet, 1.3),
	HardPattern("160 % of the capacity in a wave", HardFleet, 1.6),
}

// LoadWave submits jobs of some kinds between from and until. The rates in each zone follow
// a sine around their mean, which is factor times the rates of the kinds over all zones.
func (f *Fleet) LoadWave(kinds []Kind, from, until time.Duration, factor float64) {
	for zone := range f.settings.Zones {
		for _, kind := range kinds {
			rate := kind.Rate * factor / float64(f.settings.Zones)
			f.scheduleAt(from, func() { f.scheduleWaveArrival(kind, zone, f.now, until+startTime, rate) })
		}
	}
}

// scheduleWaveArrival schedules the next job of a kind in a zone, which schedules its
// successor in turn. Jobs arrive at the highest rate of the wave, and a job is left out with
// the probability by which the current rate is lower.
func (f *Fleet) scheduleWaveArrival(kind Kind, zone int, from, until time.Duration, rate float64) {
	wait := time.Duration(f.loadRandom.ExpFloat64() / (rate * (1 + waveAmplitude)) * float64(time.Second))
	f.schedule(wait, func() {
		if f.now > until {
			return
		}
		phase := 2*math.Pi*float64(f.now-from)/float64(wavePeriod) + wavePhaseStep*float64(zone)
		if f.loadRandom.Float64()*(1+waveAmplitude) < 1+waveAmplitude*math.Sin(phase) {
			entry := f.drawEntryOf(zone)
			f.submitNewJob(kind, func() int { return entry })
		}
		f.scheduleWaveArrival(kind, zone, from, until, rate)
	})
}

// drawEntryOf returns the index of an entry of a zone, which must have one.
func (f *Fleet) drawEntryOf(zone int) int {
	zones := f.settings.Zones
	entriesInZone := (len(f.entries) - zone + zones - 1) / zones // Entry i is in zone i modulo zones.
	return zone + zones*f.loadRandom.IntN(entriesInZone)
}

// taskFactor returns the factor by which a task takes longer than the work of its job. All
// runs of a task have the same one.
func (f *Fleet) taskFactor(j *callerJob, index int) float64 {
	if f.settings.SlowTaskShare == 0 {
		return 1
	}
	draw := rand.New(rand.NewPCG(f.settings.Seed, xxhash.Sum64String(j.id)+uint64(index))) //nolint:gosec // A seed makes runs reproducible.
	if draw.Float64() < f.settings.SlowTaskShare {
		return slowTaskFactor
	}
	return 1
}

// maxTaskFactor returns the largest factor of the tasks of a job.
func (f *Fleet) maxTaskFactor(j *callerJob) float64 {
	factor := 1.0
	for i := range j.taskCount {
		factor = max(factor, f.taskFactor(j, i))
	}
	return factor
}

// strictnessInterval is the time between two records of the admission limits.
const strictnessInterval = 100 * time.Millisecond

// recordStrictness records the admission limits of the first entry at regular intervals.
func (f *Fleet) recordStrictness() {
	if f.result.Strictness == nil {
		f.result.Strictness = make(map[string][]float64)
	}
	if accounts := f.entries[0].scheduler.FairShares(); accounts != nil {
		for _, route := range accounts.Routes() {
			f.result.Strictness[route.Name] = append(f.result.Strictness[route.Name], route.Limit.Strictness(f.now))
		}
	}
	f.schedule(strictnessInterval, f.recordStrictness)
}
