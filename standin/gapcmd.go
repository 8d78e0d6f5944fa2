package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/standin/internal/history"
	"github.com/pollenfront/pollenfront/view"
)

// A gapCmd states how long the jobs of a killed owner had to wait.
type gapCmd struct {
	Entries string    `arg:"required" help:"names of all entries, with commas between"`
	History string    `arg:"required" help:"file with the history"`
	Killed  time.Time `arg:"required" help:"time of the kill"`
	Owner   string    `arg:"required" help:"name of the entry that was killed"`
}

// execute prints the time to the first start of a moved job, and what became
// of the moved jobs by the time of their submission.
func (c *gapCmd) execute(context.Context) error {
	records, err := history.Read(c.History)
	if err != nil {
		return err
	}
	owners := c.view()
	moved := func(id pollenfront.JobID) bool {
		owner, ok := owners.Owner(id)
		return ok && owner.Name == c.Owner
	}
	var first time.Time
	outcomes := make(map[string]int)
	started := make(map[pollenfront.JobID]bool)
	for _, r := range records {
		if r.Event == history.EventStart {
			started[r.Job] = true
			if moved(r.Job) && r.Job.Time().After(c.Killed) && (first.IsZero() || r.At.Before(first)) {
				first = r.At
			}
		}
	}
	for _, r := range records {
		if r.Event != history.EventAnswer || !moved(r.Job) {
			continue
		}
		outcomes[c.describe(r, started[r.Job])]++
	}
	if first.IsZero() {
		fmt.Println("no moved job started under its own ID")
	} else {
		fmt.Printf("first start of a moved job %v after the kill\n", first.Sub(c.Killed).Round(time.Millisecond))
	}
	var names []string
	for name := range outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("  %-60s %d\n", name, outcomes[name])
	}
	return nil
}

// describe names what became of a submission to the killed owner.
func (c *gapCmd) describe(r history.Record, started bool) string {
	when := "made before the kill"
	switch since := r.Job.Time().Sub(c.Killed); {
	case since > 5*time.Second:
		when = "made 5 s or more after it"
	case since > 0:
		when = "made in the 5 s after it"
	case r.End.After(c.Killed):
		when = "in flight at the kill"
	}
	status := "no answer"
	if r.Answer != nil {
		status = string(r.Answer.Status)
	}
	if r.Answer != nil && r.Answer.Status == pollenfront.StatusUnknown {
		status += fmt.Sprintf(" (started: %v)", started)
	}
	return when + ": " + status
}

// view returns a view in which all entries are active.
func (c *gapCmd) view() *view.View {
	v := &view.View{EntrySets: []view.EntrySet{{From: 1}}, Version: 1}
	for _, name := range strings.Split(c.Entries, ",") {
		v.Entries = append(v.Entries, view.Entry{Name: name})
		v.EntrySets[0].Members = append(v.EntrySets[0].Members, pollenfront.EntryRef{Name: name})
	}
	return v
}
