// Package injector switches failures of the stand-ins' HTTP servers on and
// off.
package injector

import (
	"time"

	"github.com/pkg/errors"
)

// Outage tells how a server fails every request without any effect.
type Outage string

// The outages.
const (
	// OutageNone serves requests.
	OutageNone Outage = ""
	// OutageUnavailable answers 503.
	OutageUnavailable Outage = "unavailable"
	// OutageRefuse closes the connection without an answer.
	OutageRefuse Outage = "refuse"
	// OutageHang keeps the connection open without an answer.
	OutageHang Outage = "hang"
)

// Duration is a time.Duration that is text such as "50ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)

	return err
}

// Faults are the failures of a server; the zero value has none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// Frozen holds requests; they take effect when it ends, even those whose
	// client is gone.
	Frozen bool `json:"frozen,omitempty"`
	// Latency delays every request before it takes effect.
	Latency Duration `json:"latency,omitempty"`
	// LostAnswerShare is the fraction of commands whose answer is lost after the command
	// took effect.
	LostAnswerShare float64 `json:"lose,omitempty"`
}

// Validate reports the first setting that has no meaning.
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
