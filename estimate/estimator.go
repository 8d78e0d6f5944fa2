// Package estimate learns run times per kind of task and per backend server.
//
// The model is log(run time) = base of the kind + slowness of the server +
// noise. Sharing the slowness between kinds lets a server be judged after a few
// tasks of any kind.
//
// # Usage
//
//	e := estimate.NewEstimator()
//	e.Observe("fast-1", "stock-lookup", 80*time.Millisecond)
//	d := e.Expected("fast-1", "stock-lookup", declared)
package estimate

import (
	"math"
	"time"
)

// Parameters of the learning.
const (
	defaultRunTime = 200 * time.Millisecond // Of a kind that is neither known nor declared.
	knownAfter     = 3                      // Observations.
	minGain        = 0.03                   // Share of an error that is learned once much is known.
	shortest       = time.Millisecond       // Shorter observations are taken for this.
)

// An average is a value learned from a number of observations.
type average struct {
	count int
	value float64
}

// learn moves the value by a share of err that shrinks with experience.
func (a *average) learn(err float64) {
	a.count++
	a.value += err * max(minGain, 1/float64(a.count+1))
}

// A slowness is what was learned of a server.
type slowness struct {
	average

	factor float64 // Exponential of the value.
}

// An Estimator learns run times. It is not safe for concurrent use.
type Estimator struct {
	kinds   map[string]*average // Log of seconds on a server of slowness 0.
	servers map[string]*slowness
	sum     float64 // Of the servers' values.
	typical average // Of all kinds, as they are observed.
}

// NewEstimator returns an Estimator that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[string]*average), servers: make(map[string]*slowness)}
}

// Observe learns that a task of a kind took runTime on a server.
func (e *Estimator) Observe(server, kind string, runTime time.Duration) {
	observed := math.Log(max(runTime, shortest).Seconds())
	s := e.server(server)
	defer e.settle(s, s.value)
	e.typical.learn(observed - s.value - e.typical.value)
	k, known := e.kinds[kind]
	if !known {
		e.kinds[kind] = &average{count: 1, value: observed - s.value}
		s.count++
		return
	}
	err := observed - k.value - s.value
	k.learn(err)
	s.learn(err)
}

// settle brings up to date what depends on a server's value.
func (e *Estimator) settle(s *slowness, before float64) {
	e.sum += s.value - before
	s.factor = math.Exp(s.value)
}

// Expected returns the run time expected for a task of a kind on a server.
// Declared is used only while nothing is known of the kind; zero means none.
func (e *Estimator) Expected(server, kind string, declared time.Duration) time.Duration {
	return scale(e.Base(kind, declared), e.Slowness(server))
}

// Base returns the run time of a kind on a server of slowness 1.
func (e *Estimator) Base(kind string, declared time.Duration) time.Duration {
	if k, ok := e.kinds[kind]; ok {
		return seconds(math.Exp(k.value))
	}
	if declared > 0 {
		return declared
	}
	return defaultRunTime
}

// A Snapshot is what an Estimator has learned, as logarithms.
type Snapshot struct {
	Kinds   map[string]float64 `json:"kinds"`
	Servers map[string]float64 `json:"servers"`
	Typical float64            `json:"typical"`
}

// Snapshot returns what was learned of kinds and servers that are known.
func (e *Estimator) Snapshot() Snapshot {
	s := Snapshot{Kinds: make(map[string]float64), Servers: make(map[string]float64), Typical: e.typical.value}
	for name, k := range e.kinds {
		s.Kinds[name] = k.value
	}
	for name, server := range e.servers {
		if e.Known(name) {
			s.Servers[name] = server.value
		}
	}
	return s
}

// Restore takes over what another Estimator has learned. It does nothing if
// this one has made observations of its own.
func (e *Estimator) Restore(s Snapshot) {
	if len(e.kinds) > 0 || len(s.Kinds) == 0 {
		return
	}
	e.typical = average{count: knownAfter, value: s.Typical}
	for name, value := range s.Kinds {
		e.kinds[name] = &average{count: knownAfter, value: value}
	}
	for name, value := range s.Servers {
		e.servers[name] = &slowness{average: average{count: knownAfter, value: value}, factor: math.Exp(value)}
		e.sum += value
	}
}

// KnownKind reports whether a task of a kind has been observed.
func (e *Estimator) KnownKind(kind string) bool {
	_, ok := e.kinds[kind]
	return ok
}

// Typical returns the run time of an average task on a server.
func (e *Estimator) Typical(server string) time.Duration {
	if e.typical.count == 0 {
		return defaultRunTime
	}
	return scale(seconds(math.Exp(e.typical.value)), e.Slowness(server))
}

// Short reports whether tasks of a kind are shorter than an average task.
func (e *Estimator) Short(kind string) bool {
	k, ok := e.kinds[kind]
	return ok && k.value <= e.typical.value
}

// Slowness returns the factor by which a server is slower than the reference.
// A server that has not run a task yet is taken for an average one.
func (e *Estimator) Slowness(server string) float64 {
	if s, ok := e.servers[server]; ok {
		return s.factor
	}
	return math.Exp(e.meanSlowness())
}

// Known reports whether a server has run enough tasks to be judged.
func (e *Estimator) Known(server string) bool {
	s, ok := e.servers[server]
	return ok && s.count >= knownAfter
}

// server returns what is known of a server, which starts as an average one.
func (e *Estimator) server(name string) *slowness {
	s, ok := e.servers[name]
	if !ok {
		s = &slowness{average: average{value: e.meanSlowness()}}
		e.servers[name] = s
		e.sum += s.value
	}
	return s
}

// meanSlowness returns the mean slowness of the known servers, as a logarithm.
func (e *Estimator) meanSlowness() float64 {
	return e.sum / float64(max(1, len(e.servers)))
}

// scale returns d times factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// seconds returns s seconds as a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
