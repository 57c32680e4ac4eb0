package burner

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Text writes the report as a plain-text table.
func (r Report) Text(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var out strings.Builder
	fmt.Fprintf(&out, "service levels at %s\n", r.Time.Format(time.RFC3339))
	out.WriteString("team\tqueue\tobjective")
	for _, window := range Windows {
		fmt.Fprintf(&out, "\t%s", formatDuration(window))
	}
	out.WriteString("\tbudget left\talerts\n")
	for _, l := range r.Levels {
		fmt.Fprintf(&out, "%s\t%s\t%s within %s", l.Team, l.Queue, percent(l.Target), l.Wait)
		for _, burn := range l.Burns {
			fmt.Fprintf(&out, "\t%.2f", burn.Rate)
		}
		fmt.Fprintf(&out, "\t%.1f%%\t%s\n", 100*l.Left, strings.Join(l.Alerts, ", "))
	}
	if len(r.Levels) == 0 {
		out.WriteString("no work with an objective in the period\n")
	}
	if _, err := io.WriteString(table, out.String()); err != nil {
		return errors.Wrap(err, "write report")
	}

	return errors.Wrap(table.Flush(), "write report")
}

// percent formats a fraction such as 0.999 as 99.9%.
func percent(fraction float64) string {
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", 100*fraction), "0"), ".") + "%"
}
