package worker

import (
	"time"

	"github.com/pkg/errors"
)

// defaultRun is the run time of a task without a command.
const defaultRun = 200 * time.Millisecond

// work is what a command line describes.
type work struct {
	// run is the run time; zero runs until stopped.
	run  time.Duration
	fail bool
}

// parse reads ["run", "200ms"], ["fail", "50ms"] or ["serve"]. Further words
// are labels for whoever reads the ledger. Any other command runs for
// defaultRun.
func parse(command []string) (work, error) {
	if len(command) == 0 {
		return work{run: defaultRun}, nil
	}
	switch command[0] {
	case "serve":
		return work{}, nil
	case "run", "fail":
	default:
		return work{run: defaultRun}, nil
	}
	if len(command) < 2 {
		return work{}, errors.Errorf("command %q has no duration", command)
	}
	run, err := time.ParseDuration(command[1])
	if err != nil {
		return work{}, err
	}

	return work{run: max(run, time.Millisecond), fail: command[0] == "fail"}, nil
}
