package commander

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

// ExplainCmd implements the explain command, which shows why a job or call was
// late, refused or run.
type ExplainCmd struct {
	Caller
	Item string `arg:"positional,required" help:"id of the job, or request key of the call"`
}

// Run prints the decision records.
func (c *ExplainCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	var records []modeler.Record
	if err := c.query(ctx, env, "/v1/jobs/"+url.PathEscape(c.Item)+"/records", &records); err != nil {
		return codeOf(err), err
	}

	return 0, c.write(env.Out, records, func(w io.Writer) error { return recordsText(w, records) })
}

// recordsText prints records in the text format, oldest first.
func recordsText(w io.Writer, records []modeler.Record) error {
	p := printer{w: w}
	for _, r := range records {
		p.printf("%s  %-12s", r.Time.UTC().Format("2006-01-02T15:04:05.000Z"), r.Event)
		for _, part := range []string{r.Cause, string(r.Task), r.Detail} {
			if part != "" {
				p.printf("  %s", part)
			}
		}
		if r.Endpoint != "" {
			p.printf("  on %s", r.Endpoint)
		}
		p.printf("\n")
	}

	return p.err
}

// chains holds the records of a team by partition, oldest first.
type chains map[modeler.PartitionID][]modeler.Record

// partitions returns the partitions in sorted order.
func (c chains) partitions() []modeler.PartitionID { return slices.Sorted(maps.Keys(c)) }

// ExportCmd implements the export command.
type ExportCmd struct {
	Caller
	File string `arg:"--file" help:"write JSON for verify to this file instead of printing"`
}

// Run exports all retained records of the team that owns the key.
func (c *ExportCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	var export chains
	if err := c.query(ctx, env, "/v1/records", &export); err != nil {
		return codeOf(err), err
	}
	if c.File != "" {
		return c.save(env, export)
	}

	return 0, c.write(env.Out, export, func(w io.Writer) error {
		p := printer{w: w}
		for _, id := range export.partitions() {
			p.printf("partition %s\n", id)
			if p.err == nil {
				p.err = recordsText(w, export[id])
			}
		}

		return p.err
	})
}

func (c *ExportCmd) save(env Env, export chains) (int, error) {
	data, err := json.MarshalIndent(export, "", "  ")
	if err != nil {
		return codeFailed, errors.Wrap(err, "encode records")
	}
	if err := os.WriteFile(c.File, append(data, '\n'), 0o600); err != nil {
		return codeUsage, errors.Wrap(err, "--file")
	}
	p := printer{w: env.Out}
	p.printf("records written to %s\n", c.File)

	return 0, p.err
}

// VerifyCmd implements the verify command, which needs no instance.
type VerifyCmd struct {
	Format
	File string `arg:"positional,required" help:"file that export --file wrote"`
	Head string `arg:"--head" help:"digest that an answer to a submission carried; it must be in a chain"`
}

// chainResult is the JSON form of the verification of one chain.
type chainResult struct {
	Partition modeler.PartitionID `json:"partition"`
	Records   int                 `json:"records"`
	First     time.Time           `json:"first,omitzero"`
	Last      time.Time           `json:"last,omitzero"`
	Head      string              `json:"head"`
	// Fault describes why the chain does not verify; empty if it does.
	Fault string `json:"fault,omitempty"`
}

// Run verifies every chain in the file.
func (c *VerifyCmd) Run(_ context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return codeUsage, errors.Wrap(err, "read records")
	}
	var export chains
	if err := json.Unmarshal(data, &export); err != nil {
		return codeUsage, errors.Wrapf(err, "file %s", c.File)
	}
	results, code, found := verifyChains(export, c.Head)
	err = c.write(env.Out, results, func(w io.Writer) error {
		p := printer{w: w}
		for _, result := range results {
			text := "verified"
			if result.Fault != "" {
				text = result.Fault
			}
			p.printf("partition %s: %d records, head %s: %s\n", result.Partition, result.Records, result.Head, text)
		}

		return p.err
	})
	if err == nil && !found {
		return codeFailed, errors.Errorf("no chain contains the digest %s", c.Head)
	}

	return code, err
}

// verifyChains verifies every chain and reports whether one of them contains
// the digest head. An empty head counts as found.
func verifyChains(export chains, head string) (results []chainResult, code int, found bool) {
	found = head == ""
	results = make([]chainResult, 0, len(export))
	for _, id := range export.partitions() {
		records := export[id]
		result := chainResult{Partition: id, Records: len(records)}
		if len(records) > 0 {
			last := records[len(records)-1]
			result.First, result.Last, result.Head = records[0].Time, last.Time, last.Digest
			found = found || records[0].Previous == head
		}
		if err := chainer.Verify(records); err != nil {
			result.Fault, code = err.Error(), codeFailed
		}
		for _, r := range records {
			found = found || r.Digest == head
		}
		results = append(results, result)
	}

	return results, code, found
}
