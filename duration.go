package pollenfront

import (
	"fmt"
	"time"
)

// A Duration is a time.Duration that is encoded as text, for example "250ms", in
// settings and in JSON bodies.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler. It returns the format of
// time.Duration.String and never fails.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// String returns d in the format of time.Duration.String.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if
// time.ParseDuration does not accept text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms or 2s", text)
	}
	*d = Duration(parsed)
	return nil
}
