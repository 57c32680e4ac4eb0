package main

import (
	"context"
	"os"

	"gitlab.com/greengagewall/greengagewall/internal/measure/meter"
)

type measureCommand struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the streams of work"`
}

func (c *measureCommand) run(ctx context.Context) error {
	report, err := meter.Run(ctx, meter.Options{Seed: c.Seed})
	if err != nil {
		return err
	}

	return report.WriteTable(os.Stdout)
}
