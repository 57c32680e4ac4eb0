package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
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
	Rate      float64       `arg:"--rate" default:"0" help:"rate of each account as a multiple of its share of the jobs; 0 means rates that none exceeds"`
	Hot       float64       `arg:"--hot" default:"1" help:"multiple of their share of small jobs that hot accounts send from 8 s to 16 s"`
	HotCount  int           `arg:"--hot-accounts" default:"1" help:"number of hot accounts, the largest first"`
	Round     time.Duration `arg:"--round" default:"15ms" help:"virtual time between two rounds of placement"`
	Learn     bool          `arg:"--learn" default:"true" help:"learn run times from finished runs; --learn=false keeps the estimates as given"`
	Uses      []string      `arg:"--uses,separate" help:"what learned run times are used for: order, remaining, speed; all by default"`
	Error     float64       `arg:"--estimate-error" default:"-1" help:"largest relative error of the estimates of all work, up to 1; negative keeps that of each class"`
	Bias      float64       `arg:"--account-bias" help:"deviation of the logarithm of the factor by which all estimates of an account are wrong"`
	Tail      float64       `arg:"--tail" help:"share of the runs that take seven times as long"`
	Speeds    []float64     `arg:"--speeds" help:"speeds of the endpoints, in turn; 0.8, 1 and 1.25 by default"`
}

func (c *simulateCommand) run(context.Context) error {
	learning, err := c.learning()
	if err != nil {
		return err
	}
	result := simulator.Run(simulator.Options{
		Seed: c.Seed, Endpoints: c.Endpoints, Instances: c.Instances, Classes: c.classes(), Duration: c.Duration,
		DrainTime: c.Drain, Accounts: c.Accounts, LimitFactor: c.Limit, Round: c.Round, Speeds: c.Speeds, Learn: learning,
		RateFactor: c.Rate, Hot: min(c.HotCount, c.Accounts), HotFactor: c.Hot, HotClass: simulator.SmallClass, HotFrom: 8 * time.Second, HotUntil: 16 * time.Second,
	})

	return result.WriteTable(os.Stdout)
}

// tailFactor is how many times as long the runs of the tail take.
const tailFactor = 7

// classes returns the work that arrives.
func (c *simulateCommand) classes() []simulator.Class {
	classes := simulator.Mix(c.Endpoints, c.Load)
	for i := range classes {
		if c.Error >= 0 {
			classes[i].EstimateError = min(c.Error, 1)
		}
		classes[i].AccountBias, classes[i].TailShare, classes[i].TailFactor = c.Bias, c.Tail, tailFactor
	}

	return classes
}

// learning returns what learned run times are used for.
func (c *simulateCommand) learning() (planner.Learning, error) {
	switch {
	case !c.Learn:
		return planner.Learning{}, nil
	case len(c.Uses) == 0:
		return planner.LearnAll, nil
	}
	var learning planner.Learning
	for _, use := range c.Uses {
		switch use {
		case "order":
			learning.Order = true
		case "remaining":
			learning.Remaining = true
		case "speed":
			learning.Speed = true
		default:
			return learning, errors.Errorf("unknown use %q of learned run times", use)
		}
	}

	return learning, nil
}
