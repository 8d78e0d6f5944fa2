package replay

import (
	"cmp"
	"maps"
	"slices"
)

// Size classes of the jobs of a kind. A job's size is the CPU time of its tasks without the
// factors of slow ones.
const (
	LargestTenth = "largest tenth"
	NextFifth    = "next fifth"
	SmallerJobs  = "the rest"
)

// SizeClasses are the size classes, largest first.
var SizeClasses = []string{LargestTenth, NextFifth, SmallerJobs}

// A Class is the jobs of a kind in a size class.
type Class struct {
	Kind string
	Size string
}

// An outcome is how a job ended for its caller.
type outcome int

// Outcomes. A job that has not ended at the end of the simulation counts as unknown.
const (
	outcomeUnknown outcome = iota
	outcomeLate
	outcomeOnTime
	outcomeRefused
)

// ClassCounts count how the jobs of a class ended.
type ClassCounts struct {
	EarnedValue  float64 // EarnedValue is the value of the answers.
	Late         int
	OfferedValue float64 // OfferedValue is the value of the answers if all were on time.
	OnTime       int
	Refused      int
	Submitted    int
	Unknown      int
}

// Add adds other counts.
func (c *ClassCounts) Add(other ClassCounts) {
	c.EarnedValue += other.EarnedValue
	c.Late += other.Late
	c.OfferedValue += other.OfferedValue
	c.OnTime += other.OnTime
	c.Refused += other.Refused
	c.Submitted += other.Submitted
	c.Unknown += other.Unknown
}

// OnTimeShare returns the share of the jobs that were answered on time.
func (c *ClassCounts) OnTimeShare() float64 {
	return float64(c.OnTime) / max(1, float64(c.Submitted))
}

// ServedShare returns the share of the jobs that were answered on time or late.
func (c *ClassCounts) ServedShare() float64 {
	return float64(c.OnTime+c.Late) / max(1, float64(c.Submitted))
}

// ValueShare returns the earned value as a share of the offered value.
func (c *ClassCounts) ValueShare() float64 {
	return c.EarnedValue / max(1e-9, c.OfferedValue)
}

// Sum returns the sum of the counts of the classes with the given kind and size. An empty
// kind or size stands for all.
func (r *Result) Sum(kind, size string) ClassCounts {
	var sum ClassCounts
	for _, class := range slices.SortedFunc(maps.Keys(r.Classes), compareClasses) {
		if (kind == "" || class.Kind == kind) && (size == "" || class.Size == size) {
			sum.Add(r.Classes[class])
		}
	}
	return sum
}

// compareClasses orders classes by kind and size.
func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Size, b.Size))
}

// countClasses counts the jobs by kind and size class.
func (f *Fleet) countClasses() map[Class]ClassCounts {
	byKind := make(map[string][]*callerJob)
	for _, j := range f.jobs {
		if j.counted {
			byKind[j.kind.Name] = append(byKind[j.kind.Name], j)
		}
	}
	classes := make(map[Class]ClassCounts)
	for kind, jobs := range byKind {
		slices.SortFunc(jobs, func(a, b *callerJob) int { return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(a.id, b.id)) })
		for i, j := range jobs {
			class := Class{Kind: kind, Size: SmallerJobs}
			switch {
			case i < len(jobs)/10:
				class.Size = LargestTenth
			case i < len(jobs)*3/10:
				class.Size = NextFifth
			}
			counts := classes[class]
			counts.Add(j.counts())
			classes[class] = counts
		}
	}
	return classes
}

// size returns the CPU time of the job's tasks.
func (j *callerJob) size() float64 {
	return float64(j.need.CPU) * float64(j.taskCount) * j.work.Seconds()
}

// counts returns the counts of one job.
func (j *callerJob) counts() ClassCounts {
	counts := ClassCounts{OfferedValue: j.value(), Submitted: 1}
	switch j.outcome {
	case outcomeUnknown:
		counts.Unknown++
	case outcomeLate:
		counts.EarnedValue = lateValueShare * j.value()
		counts.Late++
	case outcomeOnTime:
		counts.EarnedValue = j.value()
		counts.OnTime++
	case outcomeRefused:
		counts.Refused++
	}
	return counts
}
