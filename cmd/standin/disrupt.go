package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/proof/disrupter"
)

// disruptCommand runs a cell on the stand-ins of the users' platform under faults.
type disruptCommand struct {
	Binary    string        `arg:"--binary" default:"bin/entry" help:"program of an entry instance"`
	Dir       string        `arg:"--dir" help:"directory for the processes' output"`
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the first run"`
	Seeds     int           `arg:"--seeds" default:"1" help:"number of runs, with seeds that follow one another"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"time under faults"`
	Entries   int           `arg:"--entries" default:"5" help:"entry instances"`
	Endpoints int           `arg:"--endpoints" default:"9" help:"endpoints"`
	Rate      int           `arg:"--rate" default:"20" help:"jobs a second"`
}

func (c *disruptCommand) run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "disrupt-")
		if err != nil {
			return err
		}
		dir = made
	}
	var failed error
	for n := range c.Seeds {
		seed := c.Seed + uint64(n)
		settings := disrupter.Settings{
			Seed: seed, Duration: c.Duration, Binary: c.Binary, Dir: filepath.Join(dir, fmt.Sprint(seed)),
			Entries: c.Entries, Endpoints: c.Endpoints, Rate: c.Rate, Output: os.Stdout,
		}
		if err := disrupter.Run(ctx, settings); err != nil {
			fmt.Println(err, "output in", settings.Dir)
			failed = err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}

	return failed
}
