package modeler

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/locator"
)

// Template is a job declared in the configuration that a team can submit by name.
type Template struct {
	Name  string  `json:"name"`
	Team  TeamID  `json:"team"`
	Queue QueueID `json:"queue"`
	// Tasks is the number of equal tasks.
	Tasks int `json:"tasks"`
	// Needs is the declared resource usage of one task.
	Needs Resources `json:"needs"`
	// Runtime is the declared run time of one task.
	Runtime  time.Duration `json:"runtime,omitempty"`
	Deadline Deadline      `json:"deadline,omitzero"`
	// Rack requires all tasks to run in one rack.
	Rack bool `json:"rack,omitempty"`
	// Once forbids a second execution of any task.
	Once    bool     `json:"once,omitempty"`
	Command []string `json:"command,omitempty"`
}

// Deadline is the time by which a declared job must finish: either within a duration
// or by the next occurrence of a time of day. The zero value means no deadline.
type Deadline struct {
	Within time.Duration `json:"within,omitempty"`
	// Clock is a time of day as HH:MM.
	Clock string `json:"clock,omitempty"`
	// Zone is the IANA name of the time zone of Clock; empty means UTC.
	Zone string `json:"zone,omitempty"`
}

// At returns the deadline of a job submitted at now, or the zero time if there is
// none. It returns an error for a malformed time of day or an unknown time zone.
func (d Deadline) At(now time.Time) (time.Time, error) {
	switch {
	case d.Within > 0:
		return now.Add(d.Within), nil
	case d.Clock == "":
		return time.Time{}, nil
	}
	zone, err := locator.Load(d.Zone)
	if err != nil {
		return time.Time{}, fmt.Errorf("time zone %q: %w", d.Zone, err)
	}
	clock, err := time.Parse("15:04", d.Clock)
	if err != nil {
		return time.Time{}, fmt.Errorf("time of day %q: %w", d.Clock, err)
	}
	local := now.In(zone)
	for day := local.Day(); ; day++ {
		at := time.Date(local.Year(), local.Month(), day, clock.Hour(), clock.Minute(), 0, 0, zone)
		if at.After(now) {
			return at, nil
		}
	}
}
