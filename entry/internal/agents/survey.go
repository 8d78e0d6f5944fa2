package agents

import (
	"context"
	"time"

	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/roster"
)

// Times of a survey.
const (
	longestSurvey = 3 * time.Second // Wait for agents to connect.
	surveyPause   = 100 * time.Millisecond
	surveyTimeout = time.Second
)

// An Asker asks another entry for its roster.
type Asker func(ctx context.Context, entry string) (peer.RosterReply, error)

// Survey learns from the other entries which agents there are, after this one
// has joined. Until it has, the entry can't tell whether every agent that may
// have started tasks of a job for its former owner has been asked, and must not
// accept jobs. It needs the answers of a majority of the entries, this one
// included; others returns the names of the rest. It also waits until about all
// agents have connected, but not for long, and takes over what was learned of
// run times, so that the first jobs are placed as well as elsewhere.
func (a *Agents) Survey(ctx context.Context, others func() []string, ask Asker) {
	joined := time.Now()
	connected := 0 // Agents that another entry is connected to, at the most.
	answered := make(map[string]bool)
	for ctx.Err() == nil {
		names := others()
		for _, name := range names {
			if !answered[name] {
				var count int
				count, answered[name] = a.surveyOne(ctx, name, ask)
				connected = max(connected, count)
			}
		}
		count := 1
		for _, name := range names {
			if answered[name] {
				count++
			}
		}
		known := count >= freshness.Majority(len(names)+1)
		early := time.Since(joined) < longestSurvey && (len(names) == 0 || a.reached() < connected)
		if known && !early {
			a.mutex.Lock()
			a.surveyed = true
			a.mutex.Unlock()
			return
		}
		time.Sleep(surveyPause)
	}
}

// Surveyed reports whether the survey is complete.
func (a *Agents) Surveyed() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.surveyed
}

// reached returns the number of agents that this entry is connected to.
func (a *Agents) reached() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.links)
}

// surveyOne asks one entry. It returns the number of agents that the other one
// is connected to, and whether it answered.
func (a *Agents) surveyOne(ctx context.Context, name string, ask Asker) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	reply, err := ask(ctx, name)
	if err != nil {
		return 0, false
	}
	a.Merge(reply)
	a.sink(dispatch.Learned{Estimates: reply.Estimates})
	connected := 0
	for _, m := range reply.Members {
		if m.State == roster.Connected {
			connected++
		}
	}
	return connected, true
}
