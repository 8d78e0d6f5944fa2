package replay

import (
	"cmp"
	"time"
)

// A Pattern is a load, with or without faults, that design decisions are based on.
type Pattern struct {
	Duration time.Duration // Duration is defaultPatternDuration by default.
	Name     string
	Settings func(seed uint64) Settings
	Setup    func(f *Fleet) // Setup schedules the load and the faults.
}

// defaultPatternDuration is how long a pattern is simulated by default. It leaves the
// last jobs time to end.
const defaultPatternDuration = 14 * time.Second

// Run simulates the pattern once with a seed and returns the result. It calls change to
// adapt the settings first.
func (p *Pattern) Run(seed uint64, change func(s *Settings)) Result {
	s := p.Settings(seed)
	change(&s)
	f := NewFleet(s)
	p.Setup(f)
	return f.Run(cmp.Or(p.Duration, defaultPatternDuration))
}

// Multiples of the rates of Mix, named by the load that they put on SmallFleet.
const (
	quietLoad  = 0.6  // quietLoad is the load of a quiet hour.
	middleLoad = 0.9  // middleLoad is 60 % of the capacity.
	busyLoad   = 1.2  // busyLoad is 80 % of the capacity.
	fullLoad   = 1.5  // fullLoad is 100 % of the capacity.
	overLoad   = 1.95 // overLoad is 130 % of the capacity.
)

// SmallFleet returns settings that resemble a current deployment, in which few servers
// are fast.
func SmallFleet(seed uint64) Settings {
	return Settings{Agents: 11, Entries: 3, RunTimeFactors: []float64{0.55, 1.2, 1.2, 1.2}, Seed: seed}
}

// LargeFleet returns settings with many entries, which place tasks according to stale
// reports.
func LargeFleet(seed uint64) Settings {
	return Settings{Agents: 64, Entries: 11, OneWayDelay: 1400 * time.Microsecond, RunTimeFactors: []float64{0.55, 1.2, 1.2, 1.2}, Seed: seed}
}

// ManyEntries returns settings with so many entries that an agent links to a part of them
// only.
func ManyEntries(seed uint64) Settings {
	return Settings{Agents: 96, Entries: 22, OneWayDelay: 700 * time.Microsecond, RunTimeFactors: []float64{0.55, 1.2, 1.2, 1.2}, Seed: seed, Zones: 4}
}

// ScaleLoad returns the multiple of the rates of Mix that is for a fleet with the given
// settings what factor is for SmallFleet.
func ScaleLoad(s Settings, factor float64) float64 {
	return factor * float64(s.Agents) / float64(SmallFleet(0).Agents)
}

// loadMix submits the jobs of Mix at a multiple of their rates, from the first to the
// tenth second.
func (f *Fleet) loadMix(factor float64) {
	f.Load(Mix, time.Second, 10*time.Second, factor)
}

// Patterns are the patterns that design decisions are based on. Tables and charts show
// them in this order.
var Patterns = []Pattern{
	{Name: "a calm day", Settings: SmallFleet, Setup: func(f *Fleet) { f.loadMix(quietLoad) }},
	{Name: "80 % of the room", Settings: SmallFleet, Setup: func(f *Fleet) { f.loadMix(busyLoad) }},
	{Name: "100 % of the room", Settings: SmallFleet, Setup: func(f *Fleet) { f.loadMix(fullLoad) }},
	{Name: "130 % of the room", Settings: SmallFleet, Setup: func(f *Fleet) { f.loadMix(overLoad) }},
	{Name: "many entries that see the same servers free", Settings: LargeFleet, Setup: func(f *Fleet) { f.Load(Mix, time.Second, 5*time.Second, 3.6) }},
	{Name: "60 % of the room, many entries", Duration: 6 * time.Second, Settings: ManyEntries, Setup: func(f *Fleet) {
		f.Load(Mix, 2*time.Second, 5*time.Second, ScaleLoad(f.settings, middleLoad))
	}},
	{Name: "130 % of the room, many entries", Duration: 6 * time.Second, Settings: ManyEntries, Setup: func(f *Fleet) {
		f.Load(Mix, 2*time.Second, 5*time.Second, ScaleLoad(f.settings, overLoad))
	}},
	{Name: "a burst of small jobs", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.Load(Mix[:1], 4*time.Second, 6*time.Second, 6)
	}},
	{Name: "jobs whose data is in one rack", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(0.5)
		near := Mix[0]
		near.DataRack, near.Name = "rack-1", "near"
		f.Load([]Kind{near}, time.Second, 10*time.Second, 0.5)
	}},
	{Name: "a third of the servers lost", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(0.9)
		for i := range 4 {
			f.CrashServer(4*time.Second, i, 3*time.Second)
		}
	}},
	{Name: "a server that hangs", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.HangServer(3*time.Second, 1, 5*time.Second)
	}},
	{Name: "a server that fails all that it starts", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.FailServer(3*time.Second, 0, 5*time.Second)
	}},
	{Name: "a server that turns slow", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.SlowServer(3*time.Second, 1, 6, 5*time.Second)
	}},
	{Name: "two slow servers and one that fails", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(0.9)
		f.SlowServer(3*time.Second, 1, 6.5, 5*time.Second)
		f.SlowServer(3*time.Second, 2, 6.5, 5*time.Second)
		f.FailServer(4*time.Second, 3, 5*time.Second)
	}},
	{Name: "slow servers met by a burst", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.SlowServer(3*time.Second, 1, 6.5, 5*time.Second)
		f.SlowServer(3*time.Second, 2, 6.5, 5*time.Second)
		f.Load(Mix, 4*time.Second, 6*time.Second, 0.7)
	}},
	{Name: "orders that are carried out late", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.DelayRequests(3*time.Second, 0.3, 5*time.Second)
	}},
	{Name: "servers that lose their answers", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		f.LoseAnswers(3*time.Second, 0.3, 5*time.Second)
	}},
	{Name: "servers that go down and up by turns", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		for i := range 12 {
			f.CrashServerProcess(3*time.Second+time.Duration(i)*500*time.Millisecond, i%3, 700*time.Millisecond)
		}
	}},
	{Name: "servers that are replaced one after the other", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(quietLoad)
		for i := range 11 {
			f.ReplaceServer(2*time.Second+time.Duration(i)*600*time.Millisecond, i, 300*time.Millisecond)
		}
	}},
	{Name: "a wave of callers that leave", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(busyLoad)
		f.CancelEarly(3*time.Second, 0.5, 4*time.Second)
	}},
	{Name: "callers that come back after an outage", Duration: 32 * time.Second, Settings: func(seed uint64) Settings {
		s := SmallFleet(seed)
		s.RetryRefused = true
		return s
	}, Setup: func(f *Fleet) {
		f.Load(Mix, time.Second, 24*time.Second, 0.9)
		for i := range 11 {
			f.CrashServer(3*time.Second, i, 2*time.Second)
		}
	}},
	{Name: "jobs that always fail", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(0.9)
		failing := Mix[2]
		failing.AlwaysFails, failing.Name, failing.Value = true, "failing", 0
		f.Load([]Kind{failing}, 3*time.Second, 7*time.Second, 0.4)
	}},
	{Name: "small jobs that crash their servers", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(0.9)
		f.Load([]Kind{crashing(Mix[0])}, 3*time.Second, 9*time.Second, 0.1)
	}},
	{Name: "large jobs that crash their servers", Settings: SmallFleet, Setup: func(f *Fleet) {
		f.loadMix(0.9)
		f.Load([]Kind{crashing(Mix[1])}, 3*time.Second, 9*time.Second, 0.2)
	}},
}

// crashing returns a kind like the given one whose jobs crash the servers that start them.
func crashing(kind Kind) Kind {
	kind.CrashesAfter, kind.Value = 12*time.Millisecond, 0
	return kind
}
