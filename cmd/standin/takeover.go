package main

import (
	"context"
	"os"

	"gitlab.com/greengagewall/greengagewall/internal/proof/timer"
)

type takeoverCommand struct {
	Binary string `arg:"--binary,required" help:"path of greengagewall"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the choice of owners"`
	Kills  int    `arg:"--kills" default:"10" help:"kills with the log answering, and again with the log down"`
}

func (c *takeoverCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}

	return timer.Run(ctx, timer.Settings{
		Binary: c.Binary, Standin: self, Seed: c.Seed, Kills: max(c.Kills, 1), Out: os.Stdout,
	})
}
