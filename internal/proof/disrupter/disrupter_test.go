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
func TestPromisesHoldUnderFaults(t *testing.T) { runMix(t, MixSingle, 8*time.Second) }

// TestMalformedEntriesEndNoProcess guards against entries of another writer in the endpoint
// list that end the processes which read it, or make them stop following it.
func TestMalformedEntriesEndNoProcess(t *testing.T) { runMix(t, MixMalformed, 6*time.Second) }

// runMix builds the program and runs it for the duration under a mix of faults.
func runMix(t *testing.T, mix Mix, duration time.Duration) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "entry")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", binary, "gitlab.com/greengagewall/greengagewall/cmd/entry")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	var output bytes.Buffer
	settings := Settings{Seed: 1, Duration: duration, Binary: binary, Dir: dir, Entries: 4, Endpoints: 6, Rate: 15, Mix: mix, Output: &output}
	if err := Run(context.Background(), settings); err != nil {
		t.Errorf("%v\n%s", err, output.String())
	}
}
