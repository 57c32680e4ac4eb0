package meter

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// WriteTable writes the tables of all deployments and a legend.
func (r Report) WriteTable(w io.Writer) error {
	for _, section := range r.Deployments {
		if err := section.table(w); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	_, err := fmt.Fprintf(w, "seed %d, took %v\n"+
		"wait: from acceptance to first start; late of dated: jobs not finished by their deadline\n"+
		"packing: use of the resource in greatest demand over min(capacity, demand within limits)\n"+
		"share error: distance from weighted max-min in parts of the cluster while it is full\n"+
		"cross-region bytes: n/a, the core decides within one partition, whose endpoints are in one region\n",
		r.Seed, r.Duration.Round(time.Millisecond))

	return errors.Wrap(err, "write table")
}

// table writes a table of the waits by group of work and one of the other
// measures.
func (r DeploymentResult) table(w io.Writer) error {
	header := append(make([]string, 0, 8), "wait p50/p99 (late of dated)")
	for _, group := range generator.Groups() {
		header = append(header, string(group))
	}
	waits := append(make(grid, 0, 8), header)
	others := append(make(grid, 0, 8), []string{
		"", "packing", "share error max", "mean", "back within", "preempted", "work lost", "placements", "processor each", "bytes",
		"allocations", "cross-region bytes", "violations",
	})
	for _, result := range r.Results {
		row := append(make([]string, 0, 8), result.Policy)
		for _, group := range generator.Groups() {
			row = append(row, result.Work[group].String())
		}
		waits = append(waits, row)
		others = append(others, result.row())
	}
	if _, err := fmt.Fprintf(w, "%s (an ideal schedule misses %d deadlines)\n", r.Deployment, r.UnavoidableMisses); err != nil {
		return err
	}
	if err := waits.write(w); err != nil {
		return err
	}

	return others.write(w)
}

// grid is a table of text whose first row is the header.
type grid [][]string

// write writes the table with aligned columns.
func (g grid) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append(g, nil) {
		if _, err := io.WriteString(t, strings.Join(row, "\t")+"\t\n"); err != nil {
			return err
		}
	}

	return t.Flush()
}

// row returns the measures that are not split by group of work.
func (r Result) row() []string {
	return []string{
		r.Policy, formatPercent(r.Packing), formatPercent(r.ShareErrorMax), formatPercent(r.ShareErrorMean), formatDuration(r.ShareRecovery), strconv.FormatUint(r.Preempted, 10),
		fmt.Sprintf("%s (%s)", formatDuration(r.Lost), formatPercent(r.LostFraction)), strconv.Itoa(r.Cost.Placements), r.Cost.CPUTime.String(),
		strconv.FormatUint(r.Cost.Bytes, 10), fmt.Sprintf("%.1f", r.Cost.Allocations), "n/a", strconv.FormatInt(r.Violations, 10),
	}
}

func formatPercent(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) }

// String formats the waits, missed deadlines and failed tasks of a group.
func (w Work) String() string {
	if w.Jobs == 0 {
		return "-"
	}
	text := fmt.Sprintf("%s/%s", formatDuration(w.P50), formatDuration(w.P99))
	if w.WithDeadline > 0 {
		text += fmt.Sprintf(" (%d of %d)", w.MissedDeadline, w.WithDeadline)
	}
	if w.Failed > 0 {
		text += fmt.Sprintf(" %d failed", w.Failed)
	}

	return text
}

// formatDuration formats a duration in its largest fitting unit, with at most one
// decimal.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return fmt.Sprintf("%.1fs", d.Seconds())
	case d < time.Hour:
		return fmt.Sprintf("%.1fm", d.Minutes())
	}

	return fmt.Sprintf("%.1fh", d.Hours())
}
