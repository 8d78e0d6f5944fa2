package pollenfront

import (
	"fmt"
	"time"
)

// A Duration is a time.Duration that is written as text, for example "250ms",
// in settings and in messages.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// String returns d in the format of time.Duration.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if
// text is not a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms or 2s", text)
	}
	*d = Duration(parsed)
	return nil
}
