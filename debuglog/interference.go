package debuglog

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.InterferenceModel = &InterferenceModel{}

// An InterferenceModel logs each decision of another pollenfront.InterferenceModel.
type InterferenceModel struct {
	logger  *zap.Logger
	wrapped pollenfront.InterferenceModel
}

// NewInterferenceModel returns an InterferenceModel that decides as wrapped does.
func NewInterferenceModel(wrapped pollenfront.InterferenceModel, logger *zap.Logger) *InterferenceModel {
	return &InterferenceModel{logger: logger, wrapped: wrapped}
}

// AddedTime implements pollenfront.InterferenceModel.
func (m *InterferenceModel) AddedTime(route string, runTime time.Duration, neighbors []pollenfront.RouteLoad) time.Duration {
	return m.wrapped.AddedTime(route, runTime, neighbors)
}

// Avoid implements pollenfront.InterferenceModel.
func (m *InterferenceModel) Avoid(d pollenfront.InterferenceDecision) bool {
	avoid := m.wrapped.Avoid(d)
	m.logger.Debug("interference decision", zap.Bool("avoid", avoid), zap.String("route", d.Route), zap.String("server", d.Avoided),
		zap.Duration("added", d.AvoidedTime), zap.String("other-server", d.Chosen), zap.Duration("other-added", d.ChosenTime))
	return avoid
}
