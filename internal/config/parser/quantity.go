package parser

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/locator"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Upper limits of quantities. They leave room above the target size and keep
// sums over all teams and tasks within an int64.
const (
	maxProcessors = 100_000_000
	maxMemory     = 1 << 55
	maxCount      = 10_000_000
	maxDuration   = 31 * 24 * time.Hour
)

var (
	memoryPattern = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?)([A-Za-z]*)$`)
	clockPattern  = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

var memoryUnits = map[string]float64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}

// ParseProcessors parses a number of processors such as 0.5 or 16 and returns it
// in thousandths.
func ParseProcessors(text string) (int64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a number of processors such as 0.5 or 16", text)
	}
	millis := math.Round(number * 1000)
	switch {
	case !(number >= 0) || number > maxProcessors:
		return 0, errors.Errorf("%s processors are out of range 0 to %d", text, maxProcessors)
	case math.Abs(millis-number*1000) > 1e-6:
		return 0, errors.Errorf("%s processors are finer than a thousandth", text)
	}

	return int64(millis), nil
}

// ParseMemory parses an amount of memory such as 64GiB and returns it in bytes.
func ParseMemory(text string) (int64, error) {
	parts := memoryPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, errors.Errorf("%q is not an amount of memory such as 64GiB", text)
	}
	unit, ok := memoryUnits[parts[2]]
	if !ok {
		return 0, errors.Errorf("%q has the wrong unit: use KiB, MiB, GiB or TiB", text)
	}
	number, err := strconv.ParseFloat(parts[1], 64)
	bytes := number * unit
	if err != nil || bytes > maxMemory {
		return 0, errors.Errorf("%s of memory are out of range", text)
	}
	if bytes != math.Trunc(bytes) {
		return 0, errors.Errorf("%s of memory are not a whole number of bytes", text)
	}

	return int64(bytes), nil
}

// ParseDuration parses a positive duration such as 2.5s or 8h of at most 31
// days.
func ParseDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration such as 2.5s or 8h", text)
	}
	if duration <= 0 || duration > maxDuration {
		return 0, errors.Errorf("duration %s is out of range 0s to %s", text, maxDuration)
	}

	return duration, nil
}

// ParseDeadline parses a duration such as 8h, or a time of day with an optional
// IANA time zone such as 06:00 America/Lima.
func ParseDeadline(text string) (modeler.Deadline, error) {
	clock, zone, _ := strings.Cut(text, " ")
	if !clockPattern.MatchString(clock) {
		within, err := ParseDuration(text)
		if err != nil {
			return modeler.Deadline{}, errors.Errorf("%q is neither a duration such as 8h nor a time of day such as 06:00 America/Lima", text)
		}

		return modeler.Deadline{Within: within}, nil
	}
	if _, err := locator.Load(zone); err != nil {
		return modeler.Deadline{}, errors.Errorf("%q is not the name of a time zone", zone)
	}

	return modeler.Deadline{Clock: clock, Zone: zone}, nil
}
