package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/burner"
	"gitlab.com/greengagewall/greengagewall/internal/report/reporter"
)

// ReportCmd implements the report command.
type ReportCmd struct {
	Burn     *BurnCmd     `arg:"subcommand:burn" help:"use of the error budgets of the service levels"`
	Measures *MeasuresCmd `arg:"subcommand:measures" help:"waiting time, packing, control cost and shares of a running system"`
}

// Run runs the chosen report.
func (c *ReportCmd) Run(ctx context.Context, env Env) (int, error) {
	switch {
	case c.Burn != nil:
		return c.Burn.Run(ctx, env)
	case c.Measures != nil:
		return c.Measures.Run(ctx, env)
	}

	return codeUsage, errors.New("give burn or measures")
}

// Exports selects the sources of decision records. Reading the records of a
// team from the server requires a key of that team.
type Exports struct {
	Key     []string `arg:"--key,separate,env:GREENGAGEWALL_KEY" help:"secret of a team whose records are read from the server; may be repeated"`
	Records []string `arg:"--records,separate" help:"file with exported records, instead of the server; may be repeated"`
}

// OperatorAccess holds the key of an operator for commands in which --key is
// the key of a team.
type OperatorAccess struct {
	OperatorKey string `arg:"--operator-key,env:GREENGAGEWALL_OPERATOR_KEY" help:"key of an operator, to read the configuration and the usage"`
}

// records reads the records of all files and keys.
func (e Exports) records(ctx context.Context, env Env, target Target) ([]modeler.Record, error) {
	var records []modeler.Record
	add := func(export map[modeler.PartitionID][]modeler.Record) {
		for _, list := range export {
			records = append(records, list...)
		}
	}
	for _, path := range e.Records {
		data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, asInputError(errors.Wrap(err, "read records"))
		}
		var export map[modeler.PartitionID][]modeler.Record
		if err := json.Unmarshal(data, &export); err != nil {
			return nil, asInputError(errors.Wrapf(err, "%s is not an export of records", path))
		}
		add(export)
	}
	for _, key := range e.Key {
		var export map[modeler.PartitionID][]modeler.Record
		if err := target.get(ctx, env, "/v1/records", key, &export); err != nil {
			return nil, err
		}
		add(export)
	}

	return records, nil
}

// outcomes reads the outcomes of idempotent calls. They are not logged: each
// instance counts the calls that it received. All instances are therefore
// queried, and one that does not answer is reported on the error output.
func (e Exports) outcomes(ctx context.Context, env Env, target Target) ([]burner.Outcome, error) {
	if len(e.Key) == 0 {
		return nil, nil
	}
	var state reporter.State
	if err := target.get(ctx, env, "/v1/state", "", &state); err != nil {
		return nil, err
	}
	instances := []modeler.Instance{state.Instance}
	for _, peer := range state.Peers {
		instances = append(instances, peer.Instance)
	}
	var outcomes []burner.Outcome
	for i, instance := range instances {
		// The first instance is queried by its own address if that is known,
		// because a load balancer may route the next request to another one.
		server := Target{Server: "http://" + instance.Address.String()}
		if i == 0 && !instance.Address.IsValid() {
			server = target
		}
		for _, key := range e.Key {
			var calls []burner.Outcome
			err := errors.New("its address is not known")
			if i == 0 || instance.Address.IsValid() {
				err = server.get(ctx, env, "/v1/outcomes", key, &calls)
			}
			if err != nil {
				_, _ = fmt.Fprintf(env.Err, "calls that instance %s took are missing: %v\n", instance.ID, err)

				break
			}
			outcomes = append(outcomes, calls...)
		}
	}

	return outcomes, nil
}

// BurnCmd implements the report burn command, which shows the use of the error
// budgets.
type BurnCmd struct {
	Source
	Target
	Exports
	OperatorAccess
	Output string     `arg:"--output" default:"text" help:"text, json or html"`
	At     *time.Time `arg:"--at" help:"time of the report in RFC 3339 (default: now)"`
}

// Run prints the report. The objectives come from the configuration files if
// any are given, else from the configuration in force.
func (c *BurnCmd) Run(ctx context.Context, env Env) (int, error) {
	if c.Output != "html" && (Format{c.Output}).check() != nil {
		return codeUsage, errors.Errorf("--output is %q; it must be text, json or html", c.Output)
	}
	if len(c.Key)+len(c.Records) == 0 {
		return codeUsage, errors.New("give --key or --records")
	}
	doc, err := c.document(ctx, env)
	if err != nil {
		return codeOf(err), err
	}
	records, err := c.records(ctx, env, c.Target)
	if err != nil {
		return codeOf(err), err
	}
	outcomes, err := c.outcomes(ctx, env, c.Target)
	if err != nil {
		return codeOf(err), err
	}
	now := env.Now()
	if c.At != nil {
		now = *c.At
	}
	report := burner.Compute(doc, append(outcomes, burner.FromRecords(doc, records, now)...), now)
	if c.Output == "html" {
		return codeOK, report.HTML(env.Out)
	}

	return codeOK, Format{c.Output}.write(env.Out, report, report.Text)
}

// document returns the configuration that declares the objectives.
func (c *BurnCmd) document(ctx context.Context, env Env) (modeler.Document, error) {
	if c.Deployment != "" || c.Base != "" {
		result, err := c.load()

		return result.Document, asInputError(err)
	}
	current, err := c.current(ctx, env, c.OperatorKey)
	if err == nil && current.Offset < 0 {
		err = modeler.NotRun(modeler.CodeStaleConfig, time.Second, "no configuration is in force; give --deployment or --base")
	}

	return current.Document, err
}
