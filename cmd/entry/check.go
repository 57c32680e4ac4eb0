package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/platform"
)

// Exit codes of the check command.
const (
	exitOK = 0
	// exitFaulty means that the configuration has errors, or that the usage is wrong.
	exitFaulty = 2
	// exitUnreachable means that a file or the store could not be read.
	exitUnreachable = 5
)

// checkCommand checks a configuration before it is published.
type checkCommand struct {
	File    string `arg:"positional,required" help:"file with the configuration"`
	InForce string `arg:"--in-force" help:"file with the configuration in force, to compare with"`
	Store   string `arg:"--store" help:"IP:PORT of the store of a running cell, to compare with the configuration in force there and the endpoints listed"`
	JSON    bool   `arg:"--json" help:"print the result as JSON"`
}

// run prints the result of the check and returns the exit code.
func (c *checkCommand) run(ctx context.Context, out, errOut io.Writer) int {
	report, err := c.check(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)

		return exitUnreachable
	}
	if err := c.write(out, report); err != nil {
		_, _ = fmt.Fprintln(errOut, err)

		return exitUnreachable
	}
	if report.Faulty() {
		return exitFaulty
	}

	return exitOK
}

func (c *checkCommand) check(ctx context.Context) (*platform.CheckReport, error) {
	sources := platform.CheckSources{InForce: c.InForce}
	if c.Store != "" {
		address, err := netip.ParseAddrPort(c.Store)
		if err != nil {
			return nil, errors.Wrap(err, "address of the store")
		}
		sources.Store = address
	}

	return platform.CheckConfiguration(ctx, c.File, sources)
}

func (c *checkCommand) write(out io.Writer, report *platform.CheckReport) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")

		return errors.Wrap(encoder.Encode(report), "write result")
	}
	for _, finding := range report.Findings {
		if _, err := fmt.Fprintf(out, "%s:%d: %s: %s: %s\n", c.File, finding.Line, finding.Level, finding.Field, finding.Text); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	for _, change := range report.Changes {
		mark := "change"
		if change.Loss {
			mark = "loss"
		}
		if _, err := fmt.Fprintf(out, "%s: %s\n", mark, change.Text); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	_, err := fmt.Fprintf(out, "%d findings, %d changes\n", len(report.Findings), len(report.Changes))

	return errors.Wrap(err, "write result")
}
