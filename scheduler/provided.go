package scheduler

import "github.com/pollenfront/pollenfront"

// providedCPU returns the CPU that an agent's server provides, in thousandths of a core.
// That may be less than the server announces. Whether a job is too large depends on what
// is announced, as the server may provide that again.
func (a *agent) providedCPU() int {
	if a.report.EffectiveCapacity == (pollenfront.Resources{}) {
		return a.report.Capacity.CPU
	}
	return a.report.EffectiveCapacity.CPU
}
