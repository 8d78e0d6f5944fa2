package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/view"
)

// show lists objects.
func (s *session) show(ctx context.Context, what string) error {
	if what == "jobs" || what == "servers" {
		states, err := s.entries.States(ctx)
		if err != nil {
			return err
		}
		if what == "jobs" {
			return s.showJobs(states)
		}
		return s.showServers(states)
	}
	v, err := s.entries.View(ctx)
	if err != nil {
		return err
	}
	return s.showView(what, v)
}

// showView lists objects of the view.
func (s *session) showView(what string, v *view.View) error {
	switch what {
	case "changes":
		return list(s, []string{"version", "at", "by", "operation"}, v.Changes, func(c view.AppliedChange) []string {
			return []string{number(c.Version), c.At.Format(time.RFC3339), c.By, string(c.Operation)}
		})
	case "entries":
		return list(s, []string{"entry", "zone", "state", "api", "incarnation"}, v.Entries, func(e view.Entry) []string {
			return []string{e.Name, e.Zone, string(e.State), e.API, number(e.Incarnation)}
		})
	case "kinds":
		return list(s, []string{"kind", "idempotent"}, v.Kinds, func(k view.Kind) []string {
			return []string{k.Name, strconv.FormatBool(k.Idempotent)}
		})
	case "settings":
		return list(s, []string{"setting", "value", "changed"}, v.EffectiveSettings(), func(e view.Setting) []string {
			return []string{e.Key, e.Value, number(e.Changed)}
		})
	case "teams":
		return list(s, []string{"team", "quota", "weight", "changed"}, v.Teams, func(t view.Team) []string {
			return []string{t.Name, strconv.Itoa(t.Quota), strconv.Itoa(t.Weight), number(t.Changed)}
		})
	default:
		return list(s, []string{"zone", "state", "changed"}, v.Zones, func(z view.Zone) []string {
			state := "in"
			if z.Out {
				state = "out"
			}
			return []string{z.Name, state, number(z.Changed)}
		})
	}
}

// showJobs lists the jobs without an answer.
func (s *session) showJobs(states map[string]dispatch.Dump) error {
	type row struct {
		dispatch.JobDump

		Owner string `json:"owner"`
	}
	var rows []row
	for name, state := range states {
		for _, j := range state.Jobs {
			rows = append(rows, row{JobDump: j, Owner: name})
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.ID, b.ID) })
	return list(s, []string{"job", "owner", "team", "kind", "age", "done", "sent", "queued", "waiting"}, rows, func(r row) []string {
		return []string{
			string(r.ID), r.Owner, r.Team, r.Kind, r.Age.String(), strconv.Itoa(r.Done), strconv.Itoa(r.Sent), strconv.Itoa(r.Queued), r.Waiting,
		}
	})
}

// showServers lists the backend servers as the entries see them.
func (s *session) showServers(states map[string]dispatch.Dump) error {
	type row struct {
		dispatch.ServerDump

		Entry string `json:"entry"`
	}
	var rows []row
	for name, state := range states {
		for _, server := range state.Servers {
			rows = append(rows, row{Entry: name, ServerDump: server})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Entry, b.Entry))
	})
	return list(s, []string{"server", "zone", "entry", "own", "others", "slots", "slowness", "seen", "state"}, rows, func(r row) []string {
		return []string{
			r.Name, r.Zone, r.Entry, strconv.Itoa(r.Own), strconv.Itoa(r.Others), strconv.Itoa(r.Slots),
			fmt.Sprintf("%.2f", r.Slowness), r.Seen, serverState(r.ServerDump),
		}
	})
}

// serverState describes whether a server gets tasks.
func serverState(s dispatch.ServerDump) string {
	switch {
	case s.Refusal != "":
		return s.Refusal
	case s.Gone:
		return "gone"
	case s.Ejected:
		return "ejected"
	}
	return "in use"
}

// list writes a table with a row for each element.
func list[T any](s *session, header []string, elements []T, row func(T) []string) error {
	rows := make([][]string, 0, len(elements))
	for _, e := range elements {
		rows = append(rows, row(e))
	}
	if elements == nil {
		elements = []T{}
	}
	return s.writer.Table(header, rows, elements)
}

// number returns n in decimal.
func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}
