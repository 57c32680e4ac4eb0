package main

import (
	"context"
	"os"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/proof/breaker"
	"gitlab.com/greengagewall/greengagewall/internal/proof/demonstrator"
	"gitlab.com/greengagewall/greengagewall/internal/proof/soaker"
)

type demoCommand struct {
	Binary     string `arg:"--binary,required" help:"path of greengagewall"`
	Deployment string `arg:"--deployment,required" help:"directory with base.yaml, overlays and keys.txt"`
}

func (c *demoCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}

	return demonstrator.Run(ctx, demonstrator.Settings{
		Binary: c.Binary, Standin: self, Deployment: c.Deployment, Out: os.Stdout,
	})
}

type chaosCommand struct {
	Binary   string        `arg:"--binary,required" help:"path of greengagewall"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the faults and the load"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"time with faults; settling comes on top"`
	Keep     bool          `arg:"--keep" help:"keep the output of the processes"`
}

func (c *chaosCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}

	return breaker.Run(ctx, breaker.Settings{
		Binary: c.Binary, Standin: self, Seed: c.Seed, Duration: c.Duration, Keep: c.Keep, Out: os.Stdout,
	})
}

type soakCommand struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the first round; later rounds follow from it"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"wall time after which no further round begins; 0 sets no bound"`
	Rounds   int           `arg:"--rounds" help:"number of rounds; 0 sets no bound"`
	Trace    string        `arg:"--trace" help:"file for the whole trace"`
}

func (c *soakCommand) run(ctx context.Context) error {
	settings := soaker.Settings{Seed: c.Seed, Duration: c.Duration, Rounds: c.Rounds, Out: os.Stdout}
	if c.Trace != "" {
		file, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer file.Close() //nolint:errcheck // The trace is for people to read.
		settings.Trace = file
	}
	_, err := soaker.Run(ctx, settings)

	return err
}
