// Command entry runs an entry instance of the cluster scheduler on the users'
// platform. It reads its settings from the platform's settings file. With the command
// check it checks a configuration instead.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"gitlab.com/greengagewall/greengagewall/platform"
)

// version is set by the linker.
var version = "dev"

type arguments struct {
	Check       *checkCommand `arg:"subcommand:check" help:"check a configuration before it is published"`
	MetricsPort uint16        `arg:"--metrics-port,env:GREENGAGEWALL_METRICS_PORT" help:"port of the metrics on the instance's address, 0 for none" default:"0"`
	Learn       bool          `arg:"--learn,env:GREENGAGEWALL_LEARN" help:"learn run times and endpoint speeds from finished runs; --learn=false keeps the estimates as given" default:"true"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "entry " + version }

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Check != nil {
		os.Exit(args.Check.run(context.Background(), os.Stdout, os.Stderr))
	}
	if err := platform.Run(version, args.MetricsPort, args.Learn); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
