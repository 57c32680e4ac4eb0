// Package locator loads time zones from the database that is part of the program.
// The database of the host is not consulted, so that all instances of a cell, and a
// run of the tests on any machine, derive the same instant from a time of day.
package locator

import (
	"archive/zip"
	"bytes"
	_ "embed"
	"io"
	"time"

	"github.com/pkg/errors"
)

// zoneinfo is the time zone database of the Go distribution; make zoneinfo updates it.
//
//go:embed zoneinfo.zip
var zoneinfo []byte

// Load returns the time zone with the given IANA name; an empty name means UTC. It
// returns an error for a name that the database lacks, which includes "Local".
func Load(name string) (*time.Location, error) {
	if name == "" || name == time.UTC.String() {
		return time.UTC, nil
	}
	archive, err := zip.NewReader(bytes.NewReader(zoneinfo), int64(len(zoneinfo)))
	if err != nil {
		return nil, errors.Wrap(err, "time zone database")
	}
	file, err := archive.Open(name)
	if err != nil {
		return nil, errors.Errorf("unknown time zone %s", name)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, errors.Wrapf(err, "time zone %q", name)
	}

	return time.LoadLocationFromTZData(name, data)
}
