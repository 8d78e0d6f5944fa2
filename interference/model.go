package interference

import (
	"time"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.InterferenceModel = &Model{}

// conflictWeight multiplies the added time. A task that makes two routes meet on a server
// also slows down the tasks that come there during its run. With 1, routes with a factor of
// 2 do not stay apart at 70 % load.
const conflictWeight = 2

// A Model estimates added times from the findings of a Pool, and has all decisions carried
// out.
type Model struct {
	pool *Pool
}

// NewModel returns a Model that uses the findings of a pool.
func NewModel(pool *Pool) *Model {
	return &Model{pool: pool}
}

// AddedTime implements pollenfront.InterferenceModel.
func (m *Model) AddedTime(route string, runTime time.Duration, neighbors []pollenfront.RouteLoad) time.Duration {
	if len(m.pool.findings) == 0 {
		return 0
	}
	share := 0.0 // share is the added time as a share of the run time.
	for _, n := range neighbors {
		share += (m.factor(route, n.Route) - 1) * min(1, n.Count)
		share += (m.factor(n.Route, route) - 1) * n.Count
	}
	return time.Duration(conflictWeight * share * float64(runTime))
}

// factor returns the factor by which a route is slowed down by a neighbor. If it is not found
// but the factor the other way round is, that is returned: a neighbor that is on all servers
// all the time can't be found, as there are no runs without it to compare with.
func (m *Model) factor(route, neighbor string) float64 {
	if f := m.pool.Factor(route, neighbor); f > 1 {
		return f
	}
	return m.pool.Factor(neighbor, route)
}

// Avoid implements pollenfront.InterferenceModel. It returns true.
func (*Model) Avoid(pollenfront.InterferenceDecision) bool {
	return true
}
