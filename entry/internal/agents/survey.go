package agents

import (
	"context"
	"time"

	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/peer"
)

// Times of a survey.
const (
	lonelySurvey  = 3 * time.Second // Wait for agents to connect when no other entry can tell.
	surveyPause   = 200 * time.Millisecond
	surveyTimeout = time.Second
)

// An Asker asks another entry for its roster.
type Asker func(ctx context.Context, entry string) (peer.RosterReply, error)

// Survey learns from the other entries which agents there are, after this one
// has joined. Until it has, the entry can't tell whether every agent that may
// have started tasks of a job for its former owner has been asked, and must not
// accept jobs. It needs the answers of a majority of the entries, this one
// included; others returns the names of the rest.
func (a *Agents) Survey(ctx context.Context, others func() []string, ask Asker) {
	joined := time.Now()
	answered := make(map[string]bool)
	for ctx.Err() == nil {
		names := others()
		for _, name := range names {
			if !answered[name] {
				answered[name] = a.surveyOne(ctx, name, ask)
			}
		}
		count := 1
		for _, name := range names {
			if answered[name] {
				count++
			}
		}
		alone := len(names) == 0 && time.Since(joined) < lonelySurvey
		if !alone && count >= freshness.Majority(len(names)+1) {
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

// surveyOne asks one entry, and reports whether it answered.
func (a *Agents) surveyOne(ctx context.Context, name string, ask Asker) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	reply, err := ask(ctx, name)
	if err != nil {
		return false
	}
	a.Merge(reply)
	return true
}
