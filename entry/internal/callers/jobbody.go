package callers

import (
	"strings"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

// A jobBody is a job as callers write it. Instead of a deadline it may have a
// timeout, which counts from the arrival of the request.
type jobBody struct {
	pollenfront.Job

	Timeout pollenfront.Duration `json:"timeout"`
}

// job returns the job if it is well formed.
func (b jobBody) job(now time.Time) (pollenfront.Job, error) {
	job := b.Job
	if _, err := pollenfront.ParseJobID(string(job.ID)); err != nil {
		job.ID = ""
		return job, refusal.New(refusal.BadRequest, "id: %v", err)
	}
	if b.Timeout != 0 {
		if !job.Deadline.IsZero() {
			return job, refusal.New(refusal.BadRequest, "deadline and timeout are both set")
		}
		job.Deadline = now.Add(time.Duration(b.Timeout))
	}
	if err := checkDeadline(job.Deadline, now); err != nil {
		return job, err
	}
	return job, checkTasks(job.Tasks)
}

// checkDeadline checks that there is a deadline that is not too far. Whether it
// has passed is for the owner to say, who may have the job's answer.
func checkDeadline(deadline, now time.Time) error {
	if deadline.IsZero() {
		return refusal.New(refusal.BadRequest, "a deadline or a timeout is missing")
	}
	if deadline.Sub(now) > maxDeadline {
		return refusal.New(refusal.BadRequest, "the deadline is more than %v ahead", maxDeadline)
	}
	return nil
}

// checkTasks checks the number, the names and the sizes of tasks.
func checkTasks(tasks []pollenfront.Task) error {
	if len(tasks) == 0 {
		return refusal.New(refusal.BadRequest, "the job has no tasks")
	}
	if len(tasks) > pollenfront.MaxTasksPerJob {
		return refusal.New(refusal.TooLarge, "the job has %d tasks, and the limit is %d", len(tasks), pollenfront.MaxTasksPerJob)
	}
	seen := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		switch {
		case t.Name == "" || len(t.Name) > maxNameSize || strings.ContainsAny(t.Name, "\x00\n"):
			return refusal.New(refusal.BadRequest, "task name %q is empty, longer than %d bytes or has a line break", t.Name, maxNameSize)
		case seen[t.Name]:
			return refusal.New(refusal.BadRequest, "two tasks are named %q", t.Name)
		case len(t.Payload) > pollenfront.MaxPayloadSize:
			return refusal.New(refusal.TooLarge, "the payload of task %q is larger than %d bytes", t.Name, pollenfront.MaxPayloadSize)
		case t.Declared < 0:
			return refusal.New(refusal.BadRequest, "the declared run time of task %q is negative", t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}
