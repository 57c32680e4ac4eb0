package modeler

import (
	"testing"
	"time"
)

// TestDeadlineAt guards against a deadline by time of day that falls on the wrong day,
// or is off by an hour after a change to or from daylight saving time. A directory of
// time zones in which Winnipeg never changes its clocks must not be consulted: which
// rules a host has for a future date depends on the host.
func TestDeadlineAt(t *testing.T) {
	t.Setenv("ZONEINFO", "testdata/zoneinfo")
	morning := Deadline{Clock: "06:30", Zone: "America/Winnipeg"}
	for now, want := range map[string]string{
		"2026-03-07T13:00:00Z": "2026-03-08T11:30:00Z",
		"2026-03-07T12:00:00Z": "2026-03-07T12:30:00Z",
		"2026-12-31T12:30:00Z": "2027-01-01T12:30:00Z",
		"2025-03-08T13:00:00Z": "2025-03-09T11:30:00Z",
		"2025-11-01T12:00:00Z": "2025-11-02T12:30:00Z",
		"2025-12-31T12:30:00Z": "2026-01-01T12:30:00Z",
	} {
		at, err := time.Parse(time.RFC3339, now)
		if err != nil {
			t.Fatal(err)
		}
		got, err := morning.At(at)
		if err != nil || got.UTC().Format(time.RFC3339) != want {
			t.Errorf("at %s: got %v (%v), want %s", now, got.UTC(), err, want)
		}
	}
	if _, err := (Deadline{Clock: "06:30", Zone: "Nowhere"}).At(time.Now()); err == nil {
		t.Error("an unknown time zone was accepted")
	}
}
