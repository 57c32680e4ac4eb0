// Package injector injects faults into the HTTP servers of the stand-ins.
package injector

import (
	"time"

	"github.com/pkg/errors"
)

// Outage is the way in which a server fails every request without carrying it
// out.
type Outage string

// The outages.
const (
	// OutageNone serves requests as usual.
	OutageNone Outage = ""
	// OutageUnavailable answers 503.
	OutageUnavailable Outage = "unavailable"
	// OutageRefuse closes the connection without an answer.
	OutageRefuse Outage = "refuse"
	// OutageHang keeps the connection open without an answer.
	OutageHang Outage = "hang"
)

// Duration is a time.Duration that is encoded in JSON as text such as "50ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)

	return err
}

// Faults are the faults of a server; the zero value has none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// Frozen delays requests until it is reset. They take effect then, even if the
	// client has closed the connection.
	Frozen bool `json:"frozen,omitempty"`
	// Latency is the delay of every request before it takes effect.
	Latency Duration `json:"latency,omitempty"`
	// LostAnswerShare is the share of commands, which are all requests other than
	// GET, whose answer is lost after the command took effect.
	LostAnswerShare float64 `json:"lose,omitempty"`
}

// Validate returns an error for an unknown outage or for a LostAnswerShare outside
// of 0 to 1.
func (f Faults) Validate() error {
	switch f.Outage {
	case OutageNone, OutageUnavailable, OutageRefuse, OutageHang:
	default:
		return errors.Errorf("unknown outage %q", f.Outage)
	}
	if f.LostAnswerShare < 0 || f.LostAnswerShare > 1 {
		return errors.Errorf("lose is %v, want 0 to 1", f.LostAnswerShare)
	}

	return nil
}
