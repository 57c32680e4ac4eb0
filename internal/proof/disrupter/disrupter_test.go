package disrupter

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestPromisesHoldUnderFaults runs entry instances as real processes for a
// short time. It guards against faults that only occur between processes, such as
// overlapping takeovers, lost connections and restarts.
func TestPromisesHoldUnderFaults(t *testing.T) {
	runMix(t, Settings{Duration: 8 * time.Second, Endpoints: 6, Mix: MixSingle})
}

// TestMalformedEntriesEndNoProcess guards against entries of another writer in the endpoint
// list that end the processes which read it, or make them stop following it.
func TestMalformedEntriesEndNoProcess(t *testing.T) {
	runMix(t, Settings{Duration: 6 * time.Second, Endpoints: 6, Mix: MixMalformed})
}

// TestNoJobStandsBesideRoom guards against jobs with placement policies, limits for each endpoint or gangs that have
// nothing running although there is room on endpoints that their policies admit.
func TestNoJobStandsBesideRoom(t *testing.T) {
	runMix(t, Settings{Duration: 10 * time.Second, Endpoints: 24, Mix: MixPolicies})
}

// runMix builds the program and runs it with a few instances.
func runMix(t *testing.T, settings Settings) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "entry")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", binary, "gitlab.com/greengagewall/greengagewall/cmd/entry")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	var output bytes.Buffer
	settings.Seed, settings.Entries, settings.Rate = 1, 4, 15
	settings.Binary, settings.Dir, settings.Output = binary, dir, &output
	if err := Run(context.Background(), settings); err != nil {
		t.Errorf("%v\n%s", err, output.String())
	}
}
