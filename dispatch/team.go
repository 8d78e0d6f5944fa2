package dispatch

import "time"

// fairnessWindow is how much service, by weight, a team may be ahead of the
// one that is furthest behind before its tasks wait.
const fairnessWindow = time.Second

// A team is what the dispatcher keeps of a team with jobs.
type team struct {
	inFlight int           // Tasks of unanswered jobs.
	queued   int           // Tasks.
	served   time.Duration // Expected run time of the tasks sent, divided by the weight.
}
