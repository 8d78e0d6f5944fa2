package pollenfront

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// A JobID is a UUIDv7 in its canonical text form. Its first 48 bits are the
// time of its creation, so that memory of past IDs can be bounded in time.
type JobID string

// NewJobID returns a new JobID for the present time of the local clock.
func NewJobID() JobID {
	return JobID(uuid.Must(uuid.NewV7()).String())
}

// ParseJobID returns text as a JobID. It returns an error if text is not a
// UUIDv7 in lower-case canonical form.
func ParseJobID(text string) (JobID, error) {
	parsed, err := uuid.Parse(text)
	if err != nil || parsed.Version() != 7 || parsed.String() != text {
		return "", fmt.Errorf("%q is not a UUIDv7 in lower-case canonical form", text)
	}
	return JobID(text), nil
}

// Time returns the wall-clock time at which id was created, to a millisecond.
// It returns the zero time if id is not a UUID.
func (id JobID) Time() time.Time {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}
	}
	var milliseconds int64
	for _, b := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds)
}
