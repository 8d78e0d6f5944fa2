package interference

import (
	"math"
	"slices"
	"time"
)

// Indexes of the covariates. The first MaxRoutes are the shares of the run's time in which
// a run of each route was on the server. The load of the server by other runs counts
// linearly and squared, since full servers may be slow beyond proportion.
const (
	loadCovariate       = MaxRoutes
	loadSquareCovariate = MaxRoutes + 1
	covariateCount      = MaxRoutes + 2
)

// Parameters of the regression.
const (
	// blockRuns is the weight of runs from which on a block ends after blockTime.
	blockRuns = 10
	// blockTime is the shortest time that a block covers. Loads with a period of 15 s
	// change little within it.
	blockTime = 2 * time.Second
	// centerWeight is the weight of the newest run in the center of its route.
	centerWeight = 0.05
	// halfLife is the time in which evidence loses half of its weight. It is long, since
	// routes that are kept apart give little new evidence.
	halfLife = 5 * time.Minute
	// maxBlockTime is the longest time that a block covers.
	maxBlockTime = 5 * time.Second
	// maxDeviation limits the logarithm of a ratio to this distance from the center of its
	// route: twice the deviation of the estimates. A few runs take seven times as long.
	maxDeviation = 0.8
	// maxRuns limits the evidence of a route to that of its newest runs, so that a change
	// of what the tasks do displaces it.
	maxRuns = 1000
	// minVariance is the least variance assumed of the logarithm of a ratio.
	minVariance = 0.04
	// minInformation is the least information of a pair that is reported: that of a few
	// runs.
	minInformation = 0.25
	// loadRidge and pairRidge express the assumption, until there is evidence, that the load
	// and the other neighbors have little effect. They are the ratios of the variance of the
	// values to that of the effects that are assumed. Without them, most of the evidence of
	// the first minute would be lost, since the neighbors are a large part of the load.
	loadRidge = 0.25
	pairRidge = 4
)

// An observation is a finished run. value is the logarithm of the ratio of its actual to
// its expected time.
type observation struct {
	at     time.Duration
	value  float64
	weight float64
	x      []float64
}

// A regression estimates the effects of the covariates on the runs of one route.
type regression struct {
	block        []observation
	blockStarted time.Duration
	// center is the moving center of the values, around which they are clamped.
	center  float64
	decayed time.Duration // decayed is the time up to which the sums have decayed.
	matrix  [covariateCount][covariateCount]float64
	runs    float64 // runs is the number of independent observations in the sums.
	seen    int     // seen is the number of observations, up to those that center needs.
	squares float64 // squares is the sum of the squared deviations of the values.
	vector  [covariateCount]float64
}

// newRegression returns a regression without observations.
func newRegression() *regression {
	return &regression{}
}

// add adds a run to the block, and ends the block if it is complete.
func (r *regression) add(now time.Duration, o observation) {
	r.endBlock(now)
	r.seen++
	o.value = min(max(o.value, r.center-maxDeviation), r.center+maxDeviation)
	r.center += (o.value - r.center) * max(centerWeight, 1/float64(r.seen))
	if len(r.block) == 0 {
		r.blockStarted = now
	}
	o.at = now
	r.block = append(r.block, o)
}

// endBlock adds the block to the sums if it is complete.
func (r *regression) endBlock(now time.Duration) {
	weight := blockWeight(r.block)
	age := now - r.blockStarted
	if len(r.block) == 0 || age < blockTime || weight < blockRuns && age < maxBlockTime {
		return
	}
	r.decay(now)
	r.addBlock()
	r.block = r.block[:0]
}

// blockWeight returns the sum of the weights of the runs of a block.
func blockWeight(block []observation) float64 {
	weight := 0.0
	for _, o := range block {
		weight += o.weight
	}
	return weight
}

// withOpenBlock returns a copy whose sums have the runs of the block that has not ended.
func (r *regression) withOpenBlock() *regression {
	c := *r
	c.block = slices.Clone(r.block)
	for i := range c.block {
		c.block[i].x = slices.Clone(c.block[i].x)
	}
	c.addBlock()
	return &c
}

// addBlock adds the runs of the block to the sums, as deviations from a linear trend. A line
// fits two runs exactly, so that a block of two independent runs has no information.
func (r *regression) addBlock() {
	weight := blockWeight(r.block)
	if weight <= 2 {
		return
	}
	removeTrend(r.block, weight, func(o *observation) *float64 { return &o.value })
	for i := range covariateCount {
		removeTrend(r.block, weight, func(o *observation) *float64 { return &o.x[i] })
	}
	for _, o := range r.block {
		r.squares += o.weight * o.value * o.value
		for i, x := range o.x {
			if x == 0 {
				continue
			}
			r.vector[i] += o.weight * x * o.value
			for k, other := range o.x {
				r.matrix[i][k] += o.weight * x * other
			}
		}
	}
	r.runs += weight - 2
}

// removeTrend subtracts the linear trend over the time from a variable of a block with the
// given weight.
func removeTrend(block []observation, weight float64, variable func(o *observation) *float64) {
	mean, meanTime, constant := 0.0, 0.0, true
	for i := range block {
		o := &block[i]
		mean += *variable(o) * o.weight / weight
		meanTime += o.at.Seconds() * o.weight / weight
		constant = constant && *variable(o) == *variable(&block[0])
	}
	slope, square := 0.0, 0.0
	for i := range block {
		o := &block[i]
		offset := o.at.Seconds() - meanTime
		slope += o.weight * offset * (*variable(o) - mean)
		square += o.weight * offset * offset
	}
	if square > 0 {
		slope /= square
	}
	for i := range block {
		o := &block[i]
		*variable(o) -= mean + slope*(o.at.Seconds()-meanTime)
		if constant {
			*variable(o) = 0
		}
	}
}

// decay reduces the weight of the evidence by its age, and to that of maxRuns runs at most.
func (r *regression) decay(now time.Duration) {
	factor := math.Exp2(-(now - r.decayed).Seconds() / halfLife.Seconds())
	r.decayed = now
	if r.runs*factor > maxRuns {
		factor = maxRuns / r.runs
	}
	r.runs *= factor
	r.squares *= factor
	for i := range r.vector {
		r.vector[i] *= factor
		for k := range r.matrix[i] {
			r.matrix[i][k] *= factor
		}
	}
}

// An effect is the estimated effect of a covariate. weight is the inverse of its variance,
// and zero if there is no evidence.
type effect struct {
	effect, weight float64
}

// solve returns the effects of the first n covariates. The ridges limit what is attributed
// to the other covariates, but not the effect itself.
func (r *regression) solve(now time.Duration, n int) []effect {
	r.endBlock(now)
	r.decay(now)
	sums := r.withOpenBlock()
	effects := make([]effect, n)
	if sums.runs < 1 {
		return effects
	}
	variance := max(minVariance, sums.squares/sums.runs)
	var used []int
	for i := range covariateCount {
		if sums.matrix[i][i] > minInformation/4 {
			used = append(used, i)
		}
	}
	inverse := sums.invert(used)
	for row, i := range used {
		if i >= n {
			break
		}
		information := 1/inverse[row][row] - ridge(i)
		if information < minInformation {
			continue
		}
		value := 0.0
		for column, k := range used {
			value += inverse[row][column] * sums.vector[k]
		}
		effects[i] = effect{effect: value / inverse[row][row] / information, weight: information / variance}
	}
	return effects
}

// ridge returns what is added to the diagonal of the normal matrix for a covariate.
func ridge(covariate int) float64 {
	if covariate < MaxRoutes {
		return pairRidge
	}
	return loadRidge
}

// invert returns the inverse of the normal matrix of the given covariates. The matrix is
// positive definite because of the ridges, so no pivoting is needed.
func (r *regression) invert(used []int) [][]float64 {
	n := len(used)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, 2*n)
		for k := range used {
			rows[i][k] = r.matrix[used[i]][used[k]]
		}
		rows[i][i] += ridge(used[i])
		rows[i][n+i] = 1
	}
	for i := range rows {
		pivot := rows[i][i]
		for k := range rows[i] {
			rows[i][k] /= pivot
		}
		for other := range rows {
			factor := rows[other][i]
			if other == i || factor == 0 {
				continue
			}
			for k := range rows[other] {
				rows[other][k] -= factor * rows[i][k]
			}
		}
	}
	for i := range rows {
		rows[i] = rows[i][n:]
	}
	return rows
}
