package agents_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/entry/internal/agents"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/roster"
)

func TestSurvey(t *testing.T) {
	tests := []struct {
		name   string
		others []string
		silent map[string]bool
		wait   time.Duration
		want   bool
	}{
		{name: "one of two others answers", others: []string{"e1", "e2"}, silent: map[string]bool{"e1": true}, wait: 5 * time.Second, want: true},
		{name: "an agent has not connected", others: []string{"e1", "e2"}, wait: time.Second},
		{name: "no other answers", others: []string{"e1", "e2"}, silent: map[string]bool{"e1": true, "e2": true}, wait: time.Second},
		{name: "alone, agents need time to connect", wait: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := agents.New(time.Minute, func(dispatch.Event) {}, zap.NewNop())
			ref := pollenfront.ServerRef{Incarnation: 1, Name: "swap-01"}
			ask := func(_ context.Context, name string) (peer.RosterReply, error) {
				if test.silent[name] {
					return peer.RosterReply{}, errors.New("silent")
				}
				return peer.RosterReply{Members: []roster.Member{{Ref: ref, State: roster.Connected}}}, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), test.wait)
			defer cancel()
			a.Survey(ctx, func() []string { return test.others }, ask)
			qt.Assert(t, a.Surveyed(), qt.Equals, test.want)
			if test.want {
				_, unaccounted := a.Adopt(t.Context(), pollenfront.NewJobID(), 1)
				qt.Assert(t, unaccounted, qt.Equals, "swap-01")
			}
		})
	}
}
