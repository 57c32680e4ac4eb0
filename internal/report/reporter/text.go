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

// Text writes the measures as tables for people.
func (m Measures) Text(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "measures at %s, configuration offset %d\n\n", m.Time.Format(time.RFC3339), m.Config)
	out.WriteString("waiting time of jobs\nteam\tqueue\tjobs\tp50\tp95\tp99\tmax\tpending\n")
	for _, wait := range m.Waits {
		fmt.Fprintf(&out, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\n", wait.Team, wait.Queue, wait.Jobs,
			seconds(wait.P50), seconds(wait.P95), seconds(wait.P99), seconds(wait.Max), wait.Pending)
	}
	out.WriteString("\npacking: part of the capacity in use\npartition\tprocessors\tmemory\taccelerators\tslots\tqueued tasks\n")
	for _, p := range m.Packing {
		fmt.Fprintf(&out, "%s\t%s\t%s\t%s\t%s\t%d\n", p.Partition,
			percent(p.Processors), percent(p.Memory), percent(p.Accelerators), percent(p.Slots), p.Queued)
	}
	fmt.Fprintf(&out, "\nshares of teams with running work; largest distance %s%s\n", percent(m.Distance), map[bool]string{
		false: " (not full: shares do not bind)",
	}[m.Saturated])
	out.WriteString("team\tdominant\tpart\tdue\tdistance\n")
	for _, s := range m.Shares {
		fmt.Fprintf(&out, "%s\t%s\t%s\t%s\t%s\n", s.Team, percent(s.Dominant), percent(s.Part), percent(s.Due), percent(s.Distance))
	}
	out.WriteString("\ncontrol cost\ninstance\tcores\theap\tmemory\tallocated a second\n")
	for _, c := range m.Costs {
		out.WriteString(c.line())
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, out.String()); err != nil {
		return errors.Wrap(err, "write measures")
	}

	return errors.Wrap(table.Flush(), "write measures")
}

// line formats the cost of an instance.
func (c Cost) line() string {
	if c.Error != "" {
		return fmt.Sprintf("%s\tnot measured: %s\n", c.Instance, c.Error)
	}
	cores := "-"
	if c.Cores != nil {
		cores = fmt.Sprintf("%.3f", *c.Cores)
	}

	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\n", c.Instance, cores,
		size(float64(c.Heap)), size(float64(c.Memory)), size(c.Allocated))
}

// size formats a number of bytes.
func size(bytes float64) string { return humanize.IBytes(uint64(max(bytes, 0))) }

// percent formats a fraction.
func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

// seconds formats a number of seconds.
func seconds(number float64) string {
	return time.Duration(number * float64(time.Second)).Round(100 * time.Microsecond).String()
}
