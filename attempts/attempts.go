// Package attempts decides what an attempt of a task is worth. A task may fail a few times
// only, so an entry must not use up its attempts on servers that fail runs while another
// server could still run it in time.
//
// The package estimates the probability that a run fails on a server, and compares the
// expected value of sending a task now with that of waiting for another server. It has no
// clock: callers pass the time.
//
// # Usage
//
//	health := attempts.Assess(servers, evidence.Trust(now))
//	choice := attempts.Compare(task, options)
package attempts

import (
	"math"
	"slices"
)

// Parameters of the assessment of servers.
const (
	// baseFailShare is the share of all runs that fail on healthy servers.
	baseFailShare = 0.002
	// failingShare is the least share of runs that a failing server is taken to fail.
	failingShare = 0.3
	// groupWeight is the weight of the prior against the servers of a group, in servers.
	groupWeight = 5
	// maxFailShare limits the estimated share of failed runs, as no finite number of runs
	// shows that a server fails all.
	maxFailShare = 0.98
	// priorFailing is the prior probability that a server fails runs.
	priorFailing = 0.02
	// reportedRuns is the number of runs that a reported share stands for: the newest one
	// has the weight 0.2.
	reportedRuns = 5
)

// A Server is what an entry knows of the failures on a server.
type Server struct {
	// FailRate is the moving share of failed runs that its agent reports.
	FailRate float64
	// Labels are the groups that it belongs to, such as its rack.
	Labels []string
	// LogOdds is the entry's own evidence that the server fails runs. See Evidence.LogOdds.
	LogOdds float64
	// Zone is the zone of the server, which is a group like those of Labels.
	Zone string
}

// failRate returns the reported share, or 0 if it is invalid.
func (s *Server) failRate() float64 {
	if s.FailRate >= 0 && s.FailRate <= 1 {
		return s.FailRate
	}
	return 0
}

// A Health is the estimated reliability of a server.
type Health struct {
	// FailShare is the probability that a run fails on the server.
	FailShare float64
	// Failing is the probability that the server fails more runs than the others.
	Failing float64
}

// Assess estimates the health of the usable servers of a service. What a server fails is
// compared with the median of all, so that what they have in common marks none. trust is
// the share of the reported failures that servers and not tasks have caused.
//
// The prior probability that a server fails is the share of failing ones among those
// that it shares a label with.
func Assess(servers []Server, trust float64) []Health {
	base := max(baseFailShare, medianFailRate(servers))
	evidence := make([]float64, len(servers))
	health := make([]Health, len(servers))
	groups, zones := make(map[string]group), make(map[string]group)
	for i := range servers {
		s := &servers[i]
		evidence[i] = trust * reportLogOdds(s.failRate(), base)
		if s.LogOdds > 0 {
			evidence[i] = max(evidence[i], s.LogOdds)
		}
		health[i].Failing = posterior(priorFailing, evidence[i])
		for _, label := range s.Labels {
			groups[label] = groups[label].with(health[i].Failing)
		}
		zones[s.Zone] = zones[s.Zone].with(health[i].Failing)
	}
	for i := range servers {
		s, first := &servers[i], health[i].Failing
		prior := max(priorFailing, zones[s.Zone].priorWithout(first))
		for _, label := range s.Labels {
			prior = max(prior, groups[label].priorWithout(first))
		}
		health[i].Failing = posterior(prior, evidence[i])
		failShare := max(base+(1-base)*failingShare, s.failRate())
		health[i].FailShare = min(base+health[i].Failing*(failShare-base), maxFailShare)
	}
	return health
}

// A group is a set of servers that share a label.
type group struct {
	count   int
	failing float64 // failing is the sum of the probabilities that its servers fail.
}

// with returns the group with another server.
func (g group) with(failing float64) group {
	return group{count: g.count + 1, failing: g.failing + failing}
}

// priorWithout returns the probability that a server of the group fails, by the others.
// failing is what the server itself has contributed.
func (g group) priorWithout(failing float64) float64 {
	return (g.failing - failing + groupWeight*priorFailing) / float64(g.count-1+groupWeight)
}

// medianFailRate returns the median of the reported shares. It is 0 for no servers.
func medianFailRate(servers []Server) float64 {
	if len(servers) == 0 {
		return 0
	}
	rates := make([]float64, len(servers))
	for i := range servers {
		rates[i] = servers[i].failRate()
	}
	slices.Sort(rates)
	return min(rates[(len(rates)-1)/2], maxFailShare)
}

// reportLogOdds returns the logarithm of the likelihood ratio of a reported share of failed
// runs, between a server that fails runs and one that fails the share base of them.
func reportLogOdds(failRate, base float64) float64 {
	failing := max(base+(1-base)*failingShare, min(failRate, maxFailShare))
	failed := reportedRuns * failRate
	return failed*math.Log(failing/base) + (reportedRuns-failed)*math.Log((1-failing)/(1-base))
}

// posterior returns the probability of a hypothesis with a prior probability after
// evidence, which is the logarithm of a likelihood ratio.
func posterior(prior, evidence float64) float64 {
	return 1 / (1 + (1-prior)/prior*math.Exp(-evidence))
}
