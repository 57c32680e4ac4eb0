// Command standin runs stand-ins for the platform's services, and the demo,
// soak, chaos, takeover, disruption and measurement runs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// version is set by the linker.
var version = "dev"

type arguments struct {
	Log      *logCommand      `arg:"subcommand:log" help:"stand in for the platform's log"`
	List     *listCommand     `arg:"subcommand:list" help:"stand in for the platform's instance list"`
	Workers  *workersCommand  `arg:"subcommand:workers" help:"stand in for workers or executors"`
	Relay    *relayCommand    `arg:"subcommand:relay" help:"forward TCP connections and disturb them"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"show every kind of work on a small cluster"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"run the decisions against fakes with random faults"`
	Chaos    *chaosCommand    `arg:"subcommand:chaos" help:"run a cluster with faults and verify it"`
	Measure  *measureCommand  `arg:"subcommand:measure" help:"measure the decisions against baselines"`
	Simulate *simulateCommand `arg:"subcommand:simulate" help:"run the placement of a cell in virtual time and measure how long work waits"`
	Takeover *takeoverCommand `arg:"subcommand:takeover" help:"measure takeovers after kills of owners"`
	Disrupt  *disruptCommand  `arg:"subcommand:disrupt" help:"run a cell as real processes on stand-ins of the users' platform, with faults"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "standin " + version }

// command is implemented by every subcommand.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	subcommand, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := subcommand.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
