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

// parse reads ["run", "200ms"], ["fail", "50ms"] or ["serve"].
func parse(command []string) (work, error) {
	if len(command) == 0 {
		return work{run: defaultRun}, nil
	}
	if command[0] == "serve" && len(command) == 1 {
		return work{}, nil
	}
	if (command[0] != "run" && command[0] != "fail") || len(command) != 2 {
		return work{}, errors.Errorf("unknown command %q", command)
	}
	run, err := time.ParseDuration(command[1])
	if err != nil {
		return work{}, err
	}

	return work{run: max(run, time.Millisecond), fail: command[0] == "fail"}, nil
}
