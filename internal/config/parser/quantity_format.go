package parser

import (
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// FormatProcessors writes thousandths of a processor as Processors reads them.
func FormatProcessors(millis int64) string {
	return strconv.FormatFloat(float64(millis)/1000, 'f', -1, 64)
}

// FormatMemory writes bytes with the largest unit that divides them.
func FormatMemory(bytes int64) string {
	for _, unit := range []string{"TiB", "GiB", "MiB"} {
		if size := int64(memoryUnits[unit]); bytes >= size && bytes%size == 0 {
			return strconv.FormatInt(bytes/size, 10) + unit
		}
	}

	return strconv.FormatFloat(float64(bytes)/1024, 'f', -1, 64) + "KiB"
}

// FormatDuration writes a duration without the zero parts at its end.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}

	return text
}

// FormatDeadline writes a deadline as Deadline reads it.
func FormatDeadline(d modeler.Deadline) string {
	switch {
	case d.Within > 0:
		return FormatDuration(d.Within)
	case d.Zone != "":
		return d.Clock + " " + d.Zone
	}

	return d.Clock
}
