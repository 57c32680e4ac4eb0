package parser

import (
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// FormatProcessors formats thousandths of a processor in the syntax of
// ParseProcessors.
func FormatProcessors(millis int64) string {
	return strconv.FormatFloat(float64(millis)/1000, 'f', -1, 64)
}

// FormatMemory formats bytes in the syntax of ParseMemory, with the largest unit
// that divides them, or in KiB.
func FormatMemory(bytes int64) string {
	for _, unit := range []string{"TiB", "GiB", "MiB"} {
		if size := int64(memoryUnits[unit]); bytes >= size && bytes%size == 0 {
			return strconv.FormatInt(bytes/size, 10) + unit
		}
	}

	return strconv.FormatFloat(float64(bytes)/1024, 'f', -1, 64) + "KiB"
}

// FormatDuration formats a duration without trailing zero parts, such as 8h.
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

// FormatDeadline formats a deadline in the syntax of ParseDeadline.
func FormatDeadline(d modeler.Deadline) string {
	switch {
	case d.Within > 0:
		return FormatDuration(d.Within)
	case d.Zone != "":
		return d.Clock + " " + d.Zone
	}

	return d.Clock
}
