package worker

import (
	"time"

	"github.com/pkg/errors"
)

// defaultRun is the run time of a task without a command.
const defaultRun = 200 * time.Millisecond

// workload describes the run that a command asks for.
type workload struct {
	// duration is the run time; a task with zero runs until it is stopped.
	duration time.Duration
	fail     bool
}

// parseCommand parses ["run", "200ms"], ["fail", "50ms"] or ["serve"]. Further
// words are labels that appear in the ledger and have no effect. Any other
// command runs for defaultRun.
func parseCommand(command []string) (workload, error) {
	if len(command) == 0 {
		return workload{duration: defaultRun}, nil
	}
	switch command[0] {
	case "serve":
		return workload{}, nil
	case "run", "fail":
	default:
		return workload{duration: defaultRun}, nil
	}
	if len(command) < 2 {
		return workload{}, errors.Errorf("command %q has no duration", command)
	}
	run, err := time.ParseDuration(command[1])
	if err != nil {
		return workload{}, err
	}

	return workload{duration: max(run, time.Millisecond), fail: command[0] == "fail"}, nil
}
