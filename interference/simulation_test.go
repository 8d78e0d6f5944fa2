package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollenfront/pollenfront/interference"
)

// A load is a route in a simulation.
type load struct {
	drift func(at float64) float64 // drift is the factor of the real run times at a time in seconds, of which the estimates do not know.
	jobs  float64                  // jobs is the number of jobs per second.
	tasks int                      // tasks is the number of tasks of a job.
	wave  func(at float64) float64 // wave is the factor of jobs at a time in seconds, at most 1. It is nil for a constant load.
	work  float64                  // work is the mean run time in seconds.
}

// A simulation is a number of servers to which tasks are sent at random. The Observers of
// the servers report to one Pool.
type simulation struct {
	agents    int
	factors   map[interference.Pair]float64       // factors are the injected effects.
	found     map[interference.Pair]time.Duration // found holds when each pair was found first.
	loads     []load
	observers []*interference.Observer
	pool      *interference.Pool
	random    *rand.Rand
	runs      int
	servers   [][]*simulatedRun
	// slowness returns the factor of the run time by the share of the server in use when
	// the run starts. It may be nil.
	slowness func(used float64) float64
}

// A simulatedRun is a run in a simulation.
type simulatedRun struct {
	expected, remaining float64
	job                 string
	route               int
	started             float64
}

// Parameters of a simulation, as docs/design/8-hard-load.md gives them for a customer.
const (
	estimateDeviation = 0.4   // estimateDeviation is the deviation of the logarithm of the estimates.
	heavyTailFactor   = 7     // heavyTailFactor is how much longer a task of the heavy tail takes.
	heavyTailShare    = 0.03  // heavyTailShare is the share of the tasks in the heavy tail.
	simulatedCapacity = 32000 // simulatedCapacity is the CPU capacity of a server.
	simulatedNeed     = 2400  // simulatedNeed is the CPU need of a run.
)

// routeName returns the name of the route with an index.
func routeName(i int) string {
	return fmt.Sprintf("route-%d", i)
}

// run simulates the load for some time.
func (s *simulation) run(seed uint64, duration time.Duration) {
	s.random = rand.New(rand.NewPCG(seed, 5))
	s.pool = interference.NewPool()
	s.found = make(map[interference.Pair]time.Duration)
	s.servers = make([][]*simulatedRun, s.agents)
	for range s.agents {
		o := interference.NewObserver()
		o.SetCapacity(simulatedCapacity)
		s.observers = append(s.observers, o)
	}
	now, reported, evaluated, jobs := 0.0, 0.0, 0.0, 0
	arrivals := make([]float64, len(s.loads))
	for i := range arrivals {
		arrivals[i] = s.random.ExpFloat64() / s.loads[i].jobs
	}
	for now < duration.Seconds() {
		next, route := math.Inf(1), -1
		for i, at := range arrivals {
			if at < next {
				next, route = at, i
			}
		}
		server, ending := -1, -1
		for i, runs := range s.servers {
			for k, r := range runs {
				if at := now + r.remaining*s.factor(r, runs); at < next {
					next, server, ending = at, i, k
				}
			}
		}
		s.advance(next - now)
		now = next
		if server >= 0 {
			s.end(now, server, ending)
		} else {
			jobs++
			arrivals[route] = now + s.random.ExpFloat64()/s.loads[route].jobs
			s.arrive(now, route, jobs)
		}
		if now-reported > 3 {
			reported = now
			s.report(now)
		}
		if now-evaluated > 1 {
			evaluated = now
			s.evaluate(now)
		}
	}
}

// factor returns the factor by which a run progresses slower beside other runs.
func (s *simulation) factor(r *simulatedRun, runs []*simulatedRun) float64 {
	factor := 1.0
	for pair, f := range s.factors {
		if pair.Route != routeName(r.route) {
			continue
		}
		for _, other := range runs {
			if other != r && routeName(other.route) == pair.Neighbor {
				factor *= f
				break
			}
		}
	}
	return factor
}

// advance lets all runs progress.
func (s *simulation) advance(seconds float64) {
	for _, runs := range s.servers {
		progress := make([]float64, len(runs))
		for i, r := range runs {
			progress[i] = seconds / s.factor(r, runs)
		}
		for i, r := range runs {
			r.remaining -= progress[i]
		}
	}
}

// arrive starts the tasks of a job on random servers that have room.
func (s *simulation) arrive(now float64, route, job int) {
	l := s.loads[route]
	if l.wave != nil && s.random.Float64() > l.wave(now) {
		return
	}
	work := l.work * math.Exp(s.random.NormFloat64()*0.35)
	expected := work * math.Exp(s.random.NormFloat64()*estimateDeviation)
	if l.drift != nil {
		work *= l.drift(now)
	}
	for range l.tasks {
		server := s.random.IntN(s.agents)
		used := float64(len(s.servers[server])+1) * simulatedNeed / simulatedCapacity
		if used > 1 {
			continue
		}
		actual := work
		if s.random.Float64() < heavyTailShare {
			actual *= heavyTailFactor
		}
		if s.slowness != nil {
			actual *= s.slowness(used)
		}
		r := &simulatedRun{expected: expected, job: fmt.Sprint(job), remaining: actual, route: route, started: now}
		s.servers[server] = append(s.servers[server], r)
		s.observers[server].Start(seconds(now), interference.Run{CPU: simulatedNeed, Job: r.job, Key: r, Route: routeName(route)})
		s.runs++
	}
}

// seconds converts seconds to a time.Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// end ends a run.
func (s *simulation) end(now float64, server, index int) {
	r := s.servers[server][index]
	s.servers[server] = append(s.servers[server][:index:index], s.servers[server][index+1:]...)
	s.observers[server].End(seconds(now), r, (now-r.started)/r.expected)
}

// report passes the estimates of all agents to the pool.
func (s *simulation) report(now float64) {
	for i, o := range s.observers {
		_, _ = s.pool.Add(seconds(now), fmt.Sprint(i), o.Estimates(seconds(now)))
	}
}

// evaluate records when pairs are found first.
func (s *simulation) evaluate(now float64) {
	for _, change := range s.pool.Evaluate(seconds(now)) {
		if _, ok := s.found[change.Pair]; !ok && !change.Dropped {
			s.found[change.Pair] = seconds(now)
		}
	}
}
