package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/measure/simulator"
)

type simulateCommand struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the work and of its arrival"`
	Endpoints int           `arg:"--endpoints" default:"1100" help:"number of endpoints"`
	Instances int           `arg:"--instances" default:"147" help:"number of instances that ask the placement policies"`
	Load      float64       `arg:"--load" default:"0.8" help:"share of the processors that the work needs on average"`
	Accounts  int           `arg:"--accounts" default:"60" help:"number of client accounts"`
	Limit     float64       `arg:"--limit" default:"1.9" help:"limit of each account as a multiple of its share of the work; 0 means no limits"`
	Duration  time.Duration `arg:"--duration" default:"35s" help:"virtual time for which work arrives"`
	Drain     time.Duration `arg:"--drain" default:"14s" help:"virtual time after that; jobs that are not done by then count as lost"`
	Round     time.Duration `arg:"--round" default:"15ms" help:"virtual time between two rounds of placement"`
	Speeds    speeds        `arg:"--speeds" default:"0.8,1,1.25" help:"speeds of the endpoints, in turn"`
}

// speeds is a comma-separated list of speeds.
type speeds []float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *speeds) UnmarshalText(text []byte) error {
	*s = nil
	for _, field := range strings.Split(string(text), ",") {
		speed, err := strconv.ParseFloat(field, 64)
		if err != nil || speed <= 0 {
			return errors.Errorf("speed %q is not a positive number", field)
		}
		*s = append(*s, speed)
	}

	return nil
}

func (c *simulateCommand) run(context.Context) error {
	result := simulator.Run(simulator.Options{
		Seed: c.Seed, Endpoints: c.Endpoints, Instances: c.Instances, Classes: simulator.Mix(c.Endpoints, c.Load), Duration: c.Duration,
		DrainTime: c.Drain, Accounts: c.Accounts, LimitFactor: c.Limit, Round: c.Round, Speeds: c.Speeds,
	})

	return result.WriteTable(os.Stdout)
}
