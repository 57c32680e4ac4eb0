package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/proof/disrupter"
)

// disruptCommand runs a cell of real processes on stand-ins of the users'
// platform and injects faults.
type disruptCommand struct {
	Binary    string        `arg:"--binary" default:"bin/entry" help:"program of an entry instance"`
	Dir       string        `arg:"--dir" help:"directory for the processes' output"`
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the first run"`
	Seeds     int           `arg:"--seeds" default:"1" help:"number of runs, with seeds that follow one another"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"time under faults"`
	Entries   int           `arg:"--entries" default:"5" help:"entry instances"`
	Endpoints int           `arg:"--endpoints" default:"9" help:"endpoints"`
	Rate      int           `arg:"--rate" default:"20" help:"jobs a second"`
	Mix       disrupter.Mix `arg:"--mix" default:"single" help:"faults: single, struck-twice, store-cut, malformed, many-ends, policies or all"`
	Evacuate  bool          `arg:"--evacuate" default:"true" help:"evacuate zones and take them back beside the faults, not with the mix policies or --known"`
	Known     bool          `arg:"--known" help:"play the runs that once broke a promise instead"`
}

func (c *disruptCommand) run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		created, err := os.MkdirTemp("", "disrupt-")
		if err != nil {
			return err
		}
		dir = created
	}
	var lastErr error
	for _, settings := range c.selectedRuns() {
		settings.Binary, settings.Output = c.Binary, os.Stdout
		settings.Dir = filepath.Join(dir, fmt.Sprint(settings.Seed))
		if err := disrupter.Run(ctx, settings); err != nil {
			fmt.Println(err, "output in", settings.Dir)
			lastErr = err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}

	return lastErr
}

// selectedRuns returns the settings of the runs selected by the flags, without
// paths and output.
func (c *disruptCommand) selectedRuns() []disrupter.Settings {
	var runs []disrupter.Settings
	if c.Known {
		for _, known := range disrupter.Regressions {
			runs = append(runs, disrupter.Settings{Seed: known.Seed, Duration: known.Duration, Entries: known.Entries, Endpoints: known.Endpoints, Rate: known.Rate, Mix: known.Mix})
		}

		return runs
	}
	for n := range c.Seeds {
		runs = append(runs, disrupter.Settings{Seed: c.Seed + uint64(n), Duration: c.Duration, Entries: c.Entries, Endpoints: c.Endpoints, Rate: c.Rate, Mix: c.Mix,
			Evacuations: c.Evacuate && c.Mix != disrupter.MixPolicies})
	}

	return runs
}
