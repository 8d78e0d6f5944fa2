package hardload_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/demandshare"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/scheduler"
)

// full makes TestSharesAndCellsSettle compute all 5,700 agents, which takes 40 s.
var full = flag.Bool("full", false, "compute all agents of the largest fleet, not every tenth")

// Parameters of a shareModel.
const (
	modelCapacity = 64000
	modelStep     = 10 * time.Millisecond
	modelZones    = 3
)

// A shareModel is a fleet without jobs: cells, stated demands and shares only. The demand of
// each entry is constant. It states it as rarely as on an idle link.
type shareModel struct {
	agents      []*modelAgent
	agentCounts []int // agentCounts holds the number of links by entry.
	demands     []float64
	indexes     map[string]int // indexes are the indexes of the entries by name, which is also their address.
	names       []string
	now         time.Duration
	registered  []bool
	stride      int
	t           *testing.T
}

// A modelAgent is an agent of a shareModel.
type modelAgent struct {
	cell    *cell.Cell
	held    map[int]int // held are the shares that entries count on, by entry. Its keys are the linked entries.
	ledger  *demandshare.Ledger
	offset  time.Duration // offset staggers the agents' intervals.
	started bool
}

// newShareModel returns a model whose entries have demands between one and four to one. Of
// the agents, only every stride-th is computed, and stands for the others.
func newShareModel(t *testing.T, entries, agents, stride int) *shareModel {
	m := &shareModel{agentCounts: make([]int, entries), indexes: make(map[string]int), now: time.Minute, registered: make([]bool, entries), stride: stride, t: t}
	for e := range entries {
		m.names = append(m.names, fmt.Sprintf("entry-%d", e))
		m.indexes[m.names[e]] = e
		weight := 1 + 0.6*math.Cos(2*math.Pi*float64(e)/float64(entries))
		m.demands = append(m.demands, weight*modelCapacity*float64(agents)/float64(entries))
		m.registered[e] = true
	}
	for i := 0; i < agents; i += stride {
		a := &modelAgent{held: make(map[int]int), ledger: demandshare.NewLedger(), offset: time.Duration(i*37%500) * time.Millisecond}
		a.cell = cell.New(m.now, fmt.Sprintf("agent-%d", i), fmt.Sprintf("zone-%d", i%modelZones), nil)
		m.agents = append(m.agents, a)
	}
	m.register()
	return m
}

// register passes the registered entries to the cells.
func (m *shareModel) register() {
	var records []pollenfront.EntryRecord
	for e, registered := range m.registered {
		if registered {
			records = append(records, pollenfront.EntryRecord{Address: m.names[e], Name: m.names[e], Zone: fmt.Sprintf("zone-%d", e%modelZones)})
		}
	}
	for _, a := range m.agents {
		a.cell.SetEntries(records)
	}
}

// setRegistered registers or removes every tenth entry, and at least one. The links of a
// removed one end at once.
func (m *shareModel) setRegistered(registered bool) {
	for e := 1; e < len(m.registered); e += 10 {
		m.registered[e] = registered
		for _, a := range m.agents {
			if _, ok := a.held[e]; ok && !registered {
				m.unlink(a, e)
			}
		}
	}
	m.register()
}

// unlink ends a link.
func (m *shareModel) unlink(a *modelAgent, e int) {
	a.ledger.Remove(m.names[e])
	delete(a.held, e)
	m.agentCounts[e]--
}

// updateCell links to the entries of the agent's cell.
func (m *shareModel) updateCell(a *modelAgent) {
	var links []cell.Link
	for e := range a.held {
		links = append(links, cell.Link{Address: m.names[e], AgentCount: m.agentCounts[e] * m.stride})
	}
	wanted := a.cell.Update(m.now, links)
	for e := range a.held {
		if _, want := slices.BinarySearch(wanted, m.names[e]); !want {
			m.unlink(a, e)
		}
	}
	for _, address := range wanted {
		e := m.indexes[address]
		if _, linked := a.held[e]; !linked && m.registered[e] {
			a.ledger.Add(address)
			m.agentCounts[e]++
			a.held[e] = a.ledger.Grant(m.now, address, modelCapacity)
		}
	}
	a.started = true
}

// due reports whether an interval of an agent ends in this step.
func (m *shareModel) due(a *modelAgent, interval time.Duration) bool {
	return (m.now+a.offset)%interval < modelStep
}

// run runs the model for some time. The server of an agent that has linked must never be
// idle or overcommitted by the shares.
func (m *shareModel) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += modelStep {
		for i, a := range m.agents {
			if m.due(a, 500*time.Millisecond) {
				m.updateCell(a)
			}
			state, update := m.due(a, scheduler.IdleCommandsInterval), m.due(a, executor.UpdateInterval)
			if !state && !update {
				continue
			}
			sum := 0
			for e := range a.held {
				if state {
					_ = a.ledger.Record(m.now, m.names[e], m.linkDemand(e))
				}
				if update {
					a.held[e] = a.ledger.Grant(m.now, m.names[e], modelCapacity)
				}
			}
			for _, share := range a.held {
				sum += share
			}
			if a.started && (sum <= 0 || sum > modelCapacity) {
				m.t.Fatalf("%v: the shares of agent %d add up to %d", m.now-time.Minute, i, sum)
			}
		}
	}
}

// linkDemand returns the demand that an entry states on each link.
func (m *shareModel) linkDemand(e int) float64 {
	return m.demands[e] / float64(m.agentCounts[e]*m.stride)
}

// checkSettled checks that each share is within one hundredth of the capacity of the
// max-min fair share of the present demands. One hundredth of the capacity is kept for
// entries that link.
func (m *shareModel) checkSettled() {
	m.t.Helper()
	for i, a := range m.agents {
		var linked []int
		var demands []float64
		for e := range a.held {
			linked = append(linked, e)
			demands = append(demands, m.linkDemand(e))
		}
		for k, want := range demandshare.MaxMin(0.99*modelCapacity, demands) {
			if got := float64(a.held[linked[k]]); math.Abs(got-want) > modelCapacity/100 {
				m.t.Fatalf("%v: entry %d counts on %v of agent %d, and its share is %v", m.now-time.Minute, linked[k], got, i, want)
			}
		}
	}
}

// links returns the linked entries of each agent.
func (m *shareModel) links() [][]int {
	var links [][]int
	for _, a := range m.agents {
		var linked []int
		for e := range a.held {
			linked = append(linked, e)
		}
		slices.Sort(linked)
		links = append(links, linked)
	}
	return links
}

// TestSharesAndCellsSettle guards against shares and cells that take longer than 2 s to
// settle when a tenth of the entries joins or leaves the registered ones, and against
// servers that are idle or overcommitted by the shares meanwhile.
func TestSharesAndCellsSettle(t *testing.T) {
	const settling = 2 * time.Second
	for _, size := range [][2]int{{13, 73}, {55, 240}, {684, 5700}} {
		t.Run(fmt.Sprintf("%d entries, %d agents", size[0], size[1]), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			stride := 1
			if size[1] > 1000 && !*full {
				stride = 10
			}
			m := newShareModel(t, size[0], size[1], stride)
			m.run(5 * time.Second) // Cells may change their size once, 4 s after the start.
			m.run(settling)
			for _, registered := range []bool{false, true} {
				m.checkSettled()
				m.setRegistered(registered)
				m.run(settling)
				m.checkSettled()
				settled := m.links()
				m.run(settling)
				c.Assert(m.links(), qt.DeepEquals, settled)
			}
		})
	}
}
