package main

import (
	"context"
	"os"
	"time"

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
	Rate      float64       `arg:"--rate" default:"0" help:"rate of each account as a multiple of its share of the jobs; 0 means rates that none exceeds"`
	Hot       float64       `arg:"--hot" default:"1" help:"multiple of their share of small jobs that hot accounts send from 8 s to 16 s"`
	HotCount  int           `arg:"--hot-accounts" default:"1" help:"number of hot accounts, the largest first"`
	Round     time.Duration `arg:"--round" default:"15ms" help:"virtual time between two rounds of placement"`
}

func (c *simulateCommand) run(context.Context) error {
	result := simulator.Run(simulator.Options{
		Seed: c.Seed, Endpoints: c.Endpoints, Instances: c.Instances, Classes: simulator.Mix(c.Endpoints, c.Load), Duration: c.Duration,
		DrainTime: 14 * time.Second, Accounts: c.Accounts, LimitFactor: c.Limit, Round: c.Round,
		RateFactor: c.Rate, Hot: min(c.HotCount, c.Accounts), HotFactor: c.Hot, HotClass: simulator.SmallClass, HotFrom: 8 * time.Second, HotUntil: 16 * time.Second,
	})

	return result.WriteTable(os.Stdout)
}
