package dryrun

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.InterferenceModel = &InterferenceModel{}

// An InterferenceModel counts and logs what another pollenfront.InterferenceModel would
// avoid, and avoids nothing.
type InterferenceModel struct {
	// avoidable is the number of tasks for which another server would have been chosen.
	avoidable int
	logger    *zap.Logger
	wrapped   pollenfront.InterferenceModel
}

// NewInterferenceModel returns an InterferenceModel that estimates as wrapped does.
func NewInterferenceModel(wrapped pollenfront.InterferenceModel, logger *zap.Logger) *InterferenceModel {
	return &InterferenceModel{logger: logger, wrapped: wrapped}
}

// AddedTime implements pollenfront.InterferenceModel.
func (m *InterferenceModel) AddedTime(route string, runTime time.Duration, neighbors []pollenfront.RouteLoad) time.Duration {
	return m.wrapped.AddedTime(route, runTime, neighbors)
}

// Avoid implements pollenfront.InterferenceModel. It returns false.
func (m *InterferenceModel) Avoid(d pollenfront.InterferenceDecision) bool {
	m.avoidable++
	m.logger.Info("would avoid interference", zap.String("route", d.Route), zap.String("server", d.Avoided), zap.Duration("added", d.AvoidedTime),
		zap.String("other-server", d.Chosen), zap.Duration("other-added", d.ChosenTime), zap.Int("count", m.avoidable))
	return false
}
