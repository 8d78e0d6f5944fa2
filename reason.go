package pollenfront

// A Reason states why a submission was not completed. Its value is part of the
// answers to callers, of logs and of metrics.
type Reason string

// Reasons. The remedies map has an entry for each of them.
const (
	ReasonAlreadyClaimed    Reason = "claimed"      // The job may run at most once, and its ID was submitted before.
	ReasonCallerLeft        Reason = "left"         // The caller has left.
	ReasonCanceled          Reason = "canceled"     // A caller has canceled the job.
	ReasonConflict          Reason = "conflict"     // Another job with the same ID is running.
	ReasonEarlierRunsEnding Reason = "ending"       // Runs of an earlier submission of the job are still being stopped.
	ReasonMalformed         Reason = "malformed"    // The request is invalid.
	ReasonNoServer          Reason = "no-server"    // No backend server of the service is known.
	ReasonOverloaded        Reason = "overloaded"   // The job would be late.
	ReasonRunLost           Reason = "lost"         // The job may run at most once, and one of its runs was lost.
	ReasonServersCrashed    Reason = "crashes"      // Too many processes have crashed while they were working on a task.
	ReasonStopping          Reason = "stopping"     // The entry is stopping.
	ReasonStoreUnavailable  Reason = "store"        // The ID could not be claimed in the platform's store.
	ReasonSuspect           Reason = "suspect"      // The job may have crashed a server, and other servers have crashed since.
	ReasonSuspended         Reason = "suspended"    // The entry's process was suspended.
	ReasonTaskFailed        Reason = "task-failed"  // A task has failed as many times as its route allows.
	ReasonTimeLimit         Reason = "time-limit"   // The caller's time limit has passed.
	ReasonTooLarge          Reason = "too-large"    // No backend server has the capacity for a task of the job.
	ReasonUnconfigured      Reason = "unconfigured" // The entry has not read a configuration yet.
	ReasonUnconfirmed       Reason = "unconfirmed"  // It is not known whether the job to be canceled exists.
	ReasonUnroutable        Reason = "unroutable"   // No queue matches the host and the path, or the name.
	ReasonUnsupported       Reason = "unsupported"  // This kind of job is not supported.
)

// remedies maps each reason to what the caller can do about it.
var remedies = map[Reason]string{
	ReasonAlreadyClaimed:    "look for the effects of the job before submitting it under a new ID",
	ReasonCallerLeft:        "submit again if the work is still wanted",
	ReasonCanceled:          "submit the work under a new ID if it is wanted again",
	ReasonConflict:          "use another ID for another job",
	ReasonEarlierRunsEnding: "submit again in a moment",
	ReasonMalformed:         "correct the request",
	ReasonNoServer:          "submit again after the stated time",
	ReasonOverloaded:        "submit again after the stated time",
	ReasonRunLost:           "look for the effects of the job before submitting it under a new ID",
	ReasonServersCrashed:    "look at the task: servers crash while they run it",
	ReasonStopping:          "submit again at once, to another entry",
	ReasonStoreUnavailable:  "submit again under a new ID, or wait for the store",
	ReasonSuspect:           "submit again after the stated time, or in some seconds",
	ReasonSuspended:         "submit again at once",
	ReasonTaskFailed:        "look at the task: it fails on every server",
	ReasonTimeLimit:         "submit again with a longer time limit",
	ReasonTooLarge:          "ask for less room for each task",
	ReasonUnconfigured:      "submit again after the stated time",
	ReasonUnconfirmed:       "send the request again: the job is canceled where it is met meanwhile",
	ReasonUnroutable:        "use a queue of the operators' configuration",
	ReasonUnsupported:       "submit a job of one step of plain tasks that may run again",
}

// Remedy returns what the caller can do about r. It is sent to the caller as text.
func (r Reason) Remedy() string {
	return remedies[r]
}
