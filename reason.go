package pollenfront

// A Reason is why a submission was not completed.
type Reason string

// Reasons, each with its remedy in remedies.
const (
	ReasonAlreadyClaimed    Reason = "claimed"      // An earlier submission of a job that may run only once.
	ReasonCallerLeft        Reason = "left"         // The caller has left.
	ReasonConflict          Reason = "conflict"     // Another job with the same ID is under way.
	ReasonEarlierRunsEnding Reason = "ending"       // Runs of an earlier submission are being ended.
	ReasonMalformed         Reason = "malformed"    // The request is not one that can be served.
	ReasonNoServer          Reason = "no-server"    // No server of the service is known.
	ReasonOverloaded        Reason = "overloaded"   // The job would be late.
	ReasonRunLost           Reason = "lost"         // A run of a job that may run only once was lost.
	ReasonStopping          Reason = "stopping"     // The entry is stopping.
	ReasonStoreUnavailable  Reason = "store"        // The platform's store did not answer.
	ReasonSuspended         Reason = "suspended"    // The entry was suspended.
	ReasonTaskFailed        Reason = "task-failed"  // A task failed as often as its route allows.
	ReasonTimeLimit         Reason = "time-limit"   // The caller's time limit has passed.
	ReasonTooLarge          Reason = "too-large"    // No server is large enough for a task.
	ReasonUnconfigured      Reason = "unconfigured" // The entry has no configuration yet.
	ReasonUnroutable        Reason = "unroutable"   // No queue has this host and path, or this name.
	ReasonUnsupported       Reason = "unsupported"  // The kind of job is not served.
)

// remedies maps each reason to what the caller can do.
var remedies = map[Reason]string{
	ReasonAlreadyClaimed:    "look for the effects of the job before submitting it under a new ID",
	ReasonCallerLeft:        "submit again if the work is still wanted",
	ReasonConflict:          "use another ID for another job",
	ReasonEarlierRunsEnding: "submit again in a moment",
	ReasonMalformed:         "correct the request",
	ReasonNoServer:          "submit again after the stated time",
	ReasonOverloaded:        "submit again after the stated time",
	ReasonRunLost:           "look for the effects of the job before submitting it under a new ID",
	ReasonStopping:          "submit again at once, to another entry",
	ReasonStoreUnavailable:  "submit again under a new ID, or wait for the store",
	ReasonSuspended:         "submit again at once",
	ReasonTaskFailed:        "look at the task: it fails on every server",
	ReasonTimeLimit:         "submit again with a longer time limit",
	ReasonTooLarge:          "ask for less room for each task",
	ReasonUnconfigured:      "submit again after the stated time",
	ReasonUnroutable:        "use a queue of the operators' configuration",
	ReasonUnsupported:       "submit a job of one step of plain tasks that may run again",
}

// Remedy returns what the caller can do.
func (r Reason) Remedy() string {
	return remedies[r]
}
