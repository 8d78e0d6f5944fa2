package replay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/replay"
)

// longKind is a kind of job whose tasks run for longer than callers and entries wait before
// they start a lost task again.
var longKind = replay.Kind{
	LatencyTarget: 60 * time.Millisecond, MeanTasks: 4, MeanWork: 3 * time.Second, Name: "long", Priority: 1, Rate: 10, TimeLimit: 20 * time.Second, Value: 0.03,
}

// faultAt is when the tests of this file inject faults. All jobs have started by then.
const faultAt = 2 * time.Second

// oneRunSeedCount is the number of seeds with which each case is simulated.
const oneRunSeedCount = 8

// checkOneRun simulates long jobs on a small fleet with several seeds, and checks that
// no task runs twice at the same time under the given faults.
func checkOneRun(t *testing.T, settings replay.Settings, faults func(f *replay.Fleet)) {
	t.Helper()
	for seed := uint64(1); seed <= oneRunSeedCount; seed++ {
		settings.Seed = seed
		f := replay.NewFleet(settings)
		f.Load([]replay.Kind{longKind}, 300*time.Millisecond, faultAt-100*time.Millisecond, 1)
		faults(f)
		result := f.Run(14 * time.Second)
		qt.Check(t, result.Starts > 0, qt.IsTrue)
		qt.Check(t, result.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestLostStopsOutliveEntry guards against runs of a killed entry that go on beside the runs
// of the same job which its caller submits again 1.3 s later: all requests to stop them get
// lost, and the agent extends the lease of their server for another entry.
func TestLostStopsOutliveEntry(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *replay.Fleet, agent int)
	}{
		{name: "agent is in time", fault: func(*replay.Fleet, int) {}},
		{name: "agent is slow", fault: func(f *replay.Fleet, agent int) { f.SlowAgent(faultAt-500*time.Millisecond, agent, 6*time.Second) }},
		{name: "agent is restarted", fault: func(f *replay.Fleet, agent int) { f.KillAgent(faultAt, agent, 100*time.Millisecond) }},
		{name: "agent is restarted later", fault: func(f *replay.Fleet, agent int) {
			f.KillAgent(faultAt+700*time.Millisecond, agent, 100*time.Millisecond)
		}},
	}
	for _, test := range tests {
		for _, down := range []time.Duration{50 * time.Millisecond, 5 * time.Second} {
			t.Run(test.name+", entry down for "+down.String(), func(t *testing.T) {
				checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
					f.KillEntry(faultAt, 0, down)
					for agent := range 3 {
						f.LoseStops(faultAt-100*time.Millisecond, agent, 8*time.Second)
						test.fault(f, agent)
					}
				})
			})
		}
	}
}

// TestRunsOutliveNotice guards against runs that are started elsewhere when their server
// gives notice that it shuts down, while it goes on for some seconds.
func TestRunsOutliveNotice(t *testing.T) {
	for _, linger := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 4 * time.Second} {
		t.Run(linger.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2, RunTimeFactors: []float64{1.5}}, func(f *replay.Fleet) {
				for agent := range 2 {
					f.ReplaceLingeringServer(faultAt-time.Second, agent, linger, 300*time.Millisecond)
				}
			})
		})
	}
}

// TestNoticeOfFormerIncarnation guards against a delayed notice of a server that has been
// replaced, after which the runs of its successor are started elsewhere.
func TestNoticeOfFormerIncarnation(t *testing.T) {
	checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
		f.Load([]replay.Kind{longKind}, 3500*time.Millisecond, 4500*time.Millisecond, 1)
		for agent := range 2 {
			f.ReplaceServerDelayNotice(faultAt-time.Second, agent, 2*time.Second, 300*time.Millisecond)
		}
	})
}

// TestRunsOutliveListener guards against runs that are started elsewhere when a connection to
// their server is refused, while its process goes on.
func TestRunsOutliveListener(t *testing.T) {
	for _, closed := range closedDurations {
		t.Run(closed.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				for i := range 60 { // The renewals of a server are up to 150 ms apart, so that many miss a short fault.
					f.CloseListener(faultAt+time.Duration(i)*(closed+46*time.Millisecond), i%3, closed)
				}
			})
		})
	}
}

// TestRunsOutliveConnections guards against runs that are started elsewhere when a server's
// connections are reset and new ones refused, as by a partition that rejects packets, while
// its process goes on.
func TestRunsOutliveConnections(t *testing.T) {
	for _, closed := range closedDurations {
		t.Run(closed.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				for i := range 60 {
					at := faultAt + time.Duration(i)*(closed+46*time.Millisecond)
					f.CloseListener(at, i%3, closed)
					f.ResetConnections(at, i%3)
				}
			})
		})
	}
}

// closedDurations are the times for which servers refuse connections. The last one is shorter
// than the lease.
var closedDurations = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// restartDelays are the times between the restart of a server and the arrival of a request
// that was sent to its former incarnation.
var restartDelays = []time.Duration{
	time.Microsecond, 2500 * time.Microsecond, 10 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond,
}

// TestDelayedStartReachesNextIncarnation guards against a start that gets no response, is
// fenced by a stop and reported as not started, and is then carried out by the next
// incarnation of the server, which knows neither the stop nor the fencing token, while the
// task runs elsewhere.
func TestDelayedStartReachesNextIncarnation(t *testing.T) {
	const crash, down = time.Second, 500 * time.Millisecond
	for _, delay := range restartDelays {
		t.Run(delay.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				f.HoldRequests(faultAt-600*time.Millisecond, 0, replay.Starts, 500*time.Millisecond, faultAt+crash+down+delay)
				f.CrashServer(faultAt+crash, 0, down)
			})
		})
	}
}

// TestDelayedRenewalReachesNextIncarnation guards against a renewal that is carried out by the
// next incarnation of the server, where the end of its lease is far in the future. Runs then
// outlive their agent for up to a second, while their entry counts them as lost.
func TestDelayedRenewalReachesNextIncarnation(t *testing.T) {
	const restart = 2500 * time.Millisecond
	tests := []struct{ renewal, kill time.Duration }{ // Times after the restart.
		{renewal: time.Microsecond, kill: 300 * time.Millisecond},
		{renewal: 10 * time.Millisecond, kill: 300 * time.Millisecond},
		{renewal: 40 * time.Millisecond, kill: 300 * time.Millisecond},
		{renewal: 450 * time.Millisecond, kill: 300 * time.Millisecond},
		{renewal: 2100 * time.Millisecond, kill: 2 * time.Second},
		{renewal: 2300 * time.Millisecond, kill: 2 * time.Second},
		{renewal: 2550 * time.Millisecond, kill: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.renewal.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				f.Load([]replay.Kind{longKind}, restart, restart+test.kill, 2)
				f.HoldRequests(faultAt, 0, replay.Renewals, 200*time.Millisecond, restart+test.renewal)
				f.CrashServerProcess(faultAt+200*time.Millisecond, 0, restart-faultAt-200*time.Millisecond)
				f.KillAgent(restart+test.kill, 0, 5*time.Second)
			})
		})
	}
}

// TestRunsOutliveForgedAnnouncement guards against runs that are started elsewhere when another
// writer announces another incarnation of their server.
func TestRunsOutliveForgedAnnouncement(t *testing.T) {
	for _, later := range []time.Duration{-time.Second, time.Millisecond, time.Hour} {
		t.Run(later.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				for i := range 10 {
					f.ForgeAnnouncement(faultAt+time.Duration(i)*207*time.Millisecond, 0, later)
				}
			})
		})
	}
}

// TestDelayedAnnouncementOfFormerIncarnation guards against a delayed announcement of a former
// incarnation that is taken for a new one, after which the runs on the current one are started
// elsewhere. The time of day was set back before the restart, or not at all.
func TestDelayedAnnouncementOfFormerIncarnation(t *testing.T) {
	for _, step := range []time.Duration{0, -10 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				f.Load([]replay.Kind{longKind}, faultAt+time.Second, faultAt+2*time.Second, 1)
				for agent := range 2 {
					f.DelayAnnouncement(faultAt, agent, 2500*time.Millisecond)
					f.StepTimeOfDay(faultAt, agent, step)
					f.CrashServerProcess(faultAt+50*time.Millisecond, agent, 300*time.Millisecond)
				}
			})
		})
	}
}

// TestRestartWithEarlierTimeOfDay guards against a server that is ignored after a restart since
// its time of day was set back: its tasks run twice, or it gets none any more.
func TestRestartWithEarlierTimeOfDay(t *testing.T) {
	pair := replay.Mix[2] // Small enough for several jobs at a time on one server.
	tests := []struct {
		name    string
		restart func(f *replay.Fleet)
	}{
		{name: "process crashes", restart: func(f *replay.Fleet) { f.CrashServerProcess(faultAt, 0, 300*time.Millisecond) }},
		{name: "machine crashes", restart: func(f *replay.Fleet) { f.CrashServer(faultAt, 0, 300*time.Millisecond) }},
		{name: "planned", restart: func(f *replay.Fleet) { f.ReplaceServer(faultAt, 0, 300*time.Millisecond) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := replay.NewFleet(replay.Settings{Agents: 1, Entries: 2, Seed: 1})
			f.Load([]replay.Kind{longKind}, 300*time.Millisecond, faultAt-100*time.Millisecond, 0.3)
			f.Load([]replay.Kind{pair}, faultAt+5*time.Second, faultAt+8*time.Second, 0.05)
			f.StepTimeOfDay(faultAt, 0, -10*time.Second)
			test.restart(f)
			result := f.Run(14 * time.Second)
			qt.Check(t, result.Violations, qt.HasLen, 0)
			share := result.KindOnTimeShare(pair.Name)
			qt.Check(t, share > 0.9, qt.IsTrue, qt.Commentf("share of jobs on time after the restart: %.3f", share))
		})
	}
}

// TestRunsOutliveCallers guards against runs of an entry that go on beside those of another one,
// to which a caller submits its job again 1.3 s after its connection broke. The first entry
// notices late, and the requests to stop the runs get lost or not.
func TestRunsOutliveCallers(t *testing.T) {
	tests := []struct {
		notice    time.Duration
		loseStops bool
		partition bool // partition separates the first entry from the agents right before it notices.
	}{
		{notice: 0},
		{notice: 0, loseStops: true},
		{notice: 300 * time.Millisecond, loseStops: true},
		{notice: 600 * time.Millisecond},
		{notice: 600 * time.Millisecond, loseStops: true},
		{notice: 1200 * time.Millisecond},
		{notice: 500 * time.Millisecond, partition: true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("noticed after %v, stops lost %v, partition %v", test.notice, test.loseStops, test.partition), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				f.BreakCallers(faultAt, 0, test.notice)
				for agent := range 3 {
					if test.loseStops {
						f.LoseStops(faultAt, agent, 8*time.Second)
					}
					if test.partition {
						f.Partition(faultAt+test.notice-10*time.Millisecond, 0, agent, 3*time.Second)
					}
				}
			})
		})
	}
}

// TestRunsOutliveCallersUnnoticed is TestRunsOutliveCallers for entries whose kernel is told late
// or never. They have only the silence of the caller's machine to go by.
func TestRunsOutliveCallersUnnoticed(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *replay.Fleet)
	}{
		{name: "never", fault: func(f *replay.Fleet) { f.BreakCallersUnnoticed(faultAt, 0) }},
		{name: "after 2 s", fault: func(f *replay.Fleet) { f.BreakCallers(faultAt, 0, 2*time.Second) }},
		{name: "after 1 s, stops get lost", fault: func(f *replay.Fleet) {
			f.BreakCallers(faultAt, 0, time.Second)
			for agent := range 3 {
				f.LoseStops(faultAt, agent, 8*time.Second)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, test.fault)
		})
	}
}

// TestOvertakingAnswers guards against runs that are taken for ended since a late response to a
// renewal does not list them. Lost responses make the agent send several renewals at a time.
func TestOvertakingAnswers(t *testing.T) {
	for _, kinds := range [][]replay.Kind{{longKind}, replay.Mix} {
		t.Run(kinds[0].Name, func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				f.Load(kinds, faultAt, faultAt+4*time.Second, 0.2)
				f.LoseAnswers(faultAt, 0.1, 5*time.Second)
				for agent := range 3 {
					f.DelayAnswers(faultAt, agent, 5*time.Second)
				}
			})
		})
	}
}

// TestLeaseByClockOfFormerIncarnation guards against a renewal that is sent while a server
// restarts. The end of its lease is a time on the former clock, so that the next incarnation
// grants its longest lease. Runs there then outlive the end that their agent expects while it
// can't extend the lease.
func TestLeaseByClockOfFormerIncarnation(t *testing.T) {
	for _, down := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			checkOneRun(t, replay.Settings{Agents: 3, Entries: 2}, func(f *replay.Fleet) {
				f.Load([]replay.Kind{longKind, replay.Mix[2]}, faultAt-200*time.Millisecond, faultAt+4*time.Second, 0.2)
				for i := range 12 {
					f.CrashServerProcess(faultAt+time.Duration(i)*300*time.Millisecond, i%3, down)
				}
				for agent := range 3 {
					f.LoseStops(faultAt-100*time.Millisecond, agent, 8*time.Second)
				}
			})
		})
	}
}
