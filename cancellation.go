package pollenfront

import "time"

// A message that states more elements is rejected before memory is allocated for them.
//
//msgp:limit arrays:65536 maps:65536

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file cancellation.go -o cancellation_gen.go -tests=false -io=false

// A JobRef identifies a job. Callers choose the IDs, so that jobs of two routes may have the
// same one.
//
//msgp:tuple JobRef
type JobRef struct {
	ID string
	// Route is the address of the job's route, which stays the same when operators give the
	// route another name.
	Route string
}

// A Cancellation is a caller's request to cancel a job. Entries and agents pass it on, since it
// may have arrived at another entry than the one that runs the job.
//
//msgp:tuple Cancellation
type Cancellation struct {
	JobRef

	// Age is the time since the request.
	Age time.Duration
	// Found is whether an entry had the job and has canceled it.
	Found bool
}
