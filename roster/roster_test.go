package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/roster"
)

func TestUnaccounted(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	first := pollenfront.ServerRef{Incarnation: uint64(at(0).UnixMilli()), Name: "swap-01"}
	second := pollenfront.ServerRef{Incarnation: uint64(at(20).UnixMilli()), Name: "swap-01"}
	tests := []struct {
		name  string
		do    func(*roster.Roster)
		since int // Seconds.
		want  string
	}{
		{name: "connected", do: func(r *roster.Roster) { r.Connected(first, at(0)) }},
		{name: "lost after the job", do: func(r *roster.Roster) { r.Connected(first, at(0)); r.Lost(first, at(15)) }, since: 10, want: "swap-01"},
		{
			// Others may have reached it all the time.
			name: "lost before the job", do: func(r *roster.Roster) { r.Connected(first, at(0)); r.Lost(first, at(5)) }, since: 10, want: "swap-01",
		},
		{name: "back again", do: func(r *roster.Roster) { r.Connected(first, at(0)); r.Lost(first, at(5)); r.Connected(first, at(6)) }, since: 1},
		{name: "restarted after the job", do: func(r *roster.Roster) { r.Connected(first, at(0)); r.Connected(second, at(20)) }, since: 10, want: "swap-01"},
		{name: "restarted before the job", do: func(r *roster.Roster) { r.Connected(first, at(0)); r.Connected(second, at(20)) }, since: 25},
		{name: "handed over", do: func(r *roster.Roster) { r.Connected(first, at(0)); r.Left(first, at(5)); r.Lost(first, at(6)) }, since: 1},
		{
			name: "connected elsewhere", since: 10, want: "swap-01",
			do: func(r *roster.Roster) {
				r.Merge([]roster.Member{{Ref: first, Since: at(0), State: roster.Connected}}, at(12))
			},
		},
		{
			name: "lost elsewhere before the job", since: 10, want: "swap-01",
			do: func(r *roster.Roster) {
				r.Merge([]roster.Member{{Ref: first, Since: at(2), State: roster.Lost}}, at(12))
			},
		},
		{
			name: "a restart that was learned elsewhere", since: 10, want: "swap-01",
			do: func(r *roster.Roster) {
				r.Connected(second, at(21))
				r.Merge([]roster.Member{{Ref: first, State: roster.Connected}}, at(22))
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := roster.New()
			test.do(r)
			qt.Assert(t, r.Unaccounted(at(test.since)), qt.Equals, test.want)
		})
	}
}
