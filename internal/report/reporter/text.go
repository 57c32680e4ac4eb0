package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/pkg/errors"
)

// Text writes the measures as plain-text tables.
func (m Measures) Text(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "measures at %s, configuration offset %d\n\n", m.Time.Format(time.RFC3339), m.Config)
	out.WriteString("waiting time of jobs\nteam\tqueue\tjobs\tp50\tp95\tp99\tmax\tpending\n")
	for _, wait := range m.Waits {
		fmt.Fprintf(&out, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\n", wait.Team, wait.Queue, wait.Jobs,
			formatSeconds(wait.P50), formatSeconds(wait.P95), formatSeconds(wait.P99), formatSeconds(wait.Max), wait.Pending)
	}
	out.WriteString("\npacking: part of the capacity in use\npartition\tprocessors\tmemory\taccelerators\tslots\tqueued tasks\n")
	for _, p := range m.Packing {
		fmt.Fprintf(&out, "%s\t%s\t%s\t%s\t%s\t%d\n", p.Partition,
			formatPercent(p.Processors), formatPercent(p.Memory), formatPercent(p.Accelerators), formatPercent(p.Slots), p.Queued)
	}
	fmt.Fprintf(&out, "\nshares of teams with running work; largest distance %s%s\n", formatPercent(m.Distance), map[bool]string{
		false: " (not full: shares do not bind)",
	}[m.Saturated])
	out.WriteString("team\tdominant\tpart\tdue\tdistance\n")
	for _, s := range m.Shares {
		fmt.Fprintf(&out, "%s\t%s\t%s\t%s\t%s\n", s.Team, formatPercent(s.Dominant), formatPercent(s.Part), formatPercent(s.Due), formatPercent(s.Distance))
	}
	out.WriteString("\ncontrol cost\ninstance\tcores\theap\tmemory\tallocated a second\n")
	for _, c := range m.Costs {
		out.WriteString(c.formatLine())
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, out.String()); err != nil {
		return errors.Wrap(err, "write measures")
	}

	return errors.Wrap(table.Flush(), "write measures")
}

// formatLine formats the cost of an instance as a table row.
func (c Cost) formatLine() string {
	if c.Error != "" {
		return fmt.Sprintf("%s\tnot measured: %s\n", c.Instance, c.Error)
	}
	cores := "-"
	if c.Cores != nil {
		cores = fmt.Sprintf("%.3f", *c.Cores)
	}

	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\n", c.Instance, cores,
		formatBytes(float64(c.Heap)), formatBytes(float64(c.Memory)), formatBytes(c.Allocated))
}

// formatBytes formats a number of bytes.
func formatBytes(bytes float64) string { return humanize.IBytes(uint64(max(bytes, 0))) }

// formatPercent formats a fraction as a percentage.
func formatPercent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

// formatSeconds formats a duration in seconds.
func formatSeconds(number float64) string {
	return time.Duration(number * float64(time.Second)).Round(100 * time.Microsecond).String()
}
