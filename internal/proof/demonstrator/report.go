package demonstrator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/verifier"
)

// conclude prints the table and the records of one job, and verifies the ledgers.
func (d *demo) conclude(ctx context.Context) error {
	incorrect := d.printTable()
	if err := d.explain(ctx); err != nil {
		return err
	}
	report, err := d.verify(ctx)
	if err != nil {
		return err
	}
	d.printf("\nledgers of the endpoints: %d checks, %d violations\n", report.Total(), len(report.Violations))
	for _, name := range verifier.Checks() {
		d.printf("  %-34s %6d\n", name, report.Counts[name])
	}
	for _, violation := range report.Violations {
		d.printf("violation: %s\n", violation)
	}
	if incorrect > 0 || !report.OK() {
		return errors.Errorf("%d wrong answers, %d violations, %d checks", incorrect, len(report.Violations), report.Total())
	}

	return nil
}

// printTable prints the answers and latencies by kind of work and returns the
// number of wrong answers.
func (d *demo) printTable() int {
	writer := tabwriter.NewWriter(d.settings.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "\nwork\trequests\tright\tright answer\twait p50\twait p99\twait max")
	incorrect := 0
	for _, r := range d.rows {
		incorrect += r.requests - r.correct
		_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n",
			r.work, r.requests, r.correct, r.answer, percentile(r.latencies, 50), percentile(r.latencies, 99), percentile(r.latencies, 100))
	}
	_ = writer.Flush()
	for _, r := range d.rows {
		for _, failure := range r.failures {
			d.printf("wrong: %s: %s\n", r.work, failure)
		}
	}

	return incorrect
}

func percentile(latencies []time.Duration, percent int) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(latencies))

	return sorted[(len(sorted)-1)*percent/100].Round(100 * time.Microsecond)
}

// explain prints the decision records of the gang job.
func (d *demo) explain(ctx context.Context) error {
	team := d.plan.gang.team
	for _, entry := range d.cluster.Entries {
		if !entry.Process().Alive() {
			continue
		}
		output, err := d.runCommand(ctx, "explain", "--server", "http://"+entry.Listen.String(), "--key", team.Secret, d.explainedJob)
		if err != nil {
			return errors.Wrap(err, strings.TrimSpace(output))
		}
		d.printf("\n$ greengagewall explain %s\n%s", d.explainedJob, output)

		return nil
	}

	return errors.New("no entry instance runs")
}

// verify compares the ledgers with the callers' answers.
func (d *demo) verify(ctx context.Context) (*verifier.Report, error) {
	limits, err := d.limits(ctx)
	if err != nil {
		return nil, err
	}
	events, err := d.cluster.Ledgers(ctx)
	if err != nil {
		return nil, err
	}

	return verifier.Verify(verifier.Evidence{
		Events: events, Limits: limits, Calls: d.recorder.Calls(), Jobs: d.recorder.Jobs(),
	}), nil
}

// limits returns the upper limits of the teams in the published configuration.
func (d *demo) limits(ctx context.Context) (map[modeler.TeamID]modeler.Resources, error) {
	doc, err := d.cluster.Config(ctx, d.plan.operator)
	limits := make(map[modeler.TeamID]modeler.Resources)
	for _, team := range doc.Document.Teams {
		limits[team.Name] = team.Limit
	}

	return limits, err
}
