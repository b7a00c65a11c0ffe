package settings

import "time"

// durationForm is the accepted form of a duration.
const durationForm = `a duration with its unit, such as "10s" or "500ms"`

// Duration is a time.Duration that is encoded as text with its unit.
type Duration time.Duration

// UnmarshalText accepts the form of time.ParseDuration and returns its error otherwise.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }
