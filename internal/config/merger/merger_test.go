package merger_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/config/differ"
	"gitlab.com/greengagewall/greengagewall/internal/config/merger"
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
)

const base = `cell: test
partitions:
  - {name: costa-1, region: costa}
  - {name: sierra-1, region: sierra, weight: 2}
teams:
  - name: forecasts
    share: 3
    limit: {processors: 16, memory: 64GiB}
    keys: [{name: first, digest: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae}]
queues:
  - {name: plumes, kind: batch, class: urgent, teams: [forecasts], objective: {wait: 2.5s, target: 0.99}}
services:
  - {name: lookup, queue: plumes, idempotent: true, timeout: 2s}
jobs:
  - {name: nightly, team: forecasts, queue: plumes, needs: {processors: 1}, runtime: 1h}
operators:
  - name: amy
    keys: [{name: laptop, digest: fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9}]
`

// costa changes every field that an overlay may change.
const costa = `site: costa
partitions: [{name: costa-1, weight: 5}]
teams:
  - name: forecasts
    share: 4
    limit: {processors: 32}
    keys: [{name: first, withdrawn: true}]
queues:
  - {name: plumes, class: standard, depth: 9, attempts: 5, within: 1h, objective: {target: 0.9}}
services: [{name: lookup, timeout: 3s}]
jobs: [{name: nightly, tasks: 4, needs: {memory: 1GiB}, runtime: 2h, deadline: 06:00, command: [run]}]
operators: [{name: amy, keys: [{name: laptop, withdrawn: true}]}]
`

// sierra has every kind of problem that merging reports.
const sierra = `site: sierra
partitions: [{name: costa-1, weight: 5}, {name: selva-1, weight: 2}]
teams:
  - {name: forecasts, share: 9, keys: [{name: second, withdrawn: true}]}
  - {name: schools, share: 2}
queues: [{name: plumes, depth: 9}, {name: lookups, depth: 3}]
services: [{name: missing, timeout: 3s}]
jobs: [{name: missing, tasks: 3}]
operators: [{name: amy, keys: [{name: desktop, withdrawn: true}]}, {name: bob}]
`

// parse parses the base file and the texts of overlays.
func parse(t *testing.T, overlays ...string) (parser.File, []parser.File) {
	t.Helper()
	first, err := parser.ParseBase("base.yaml", []byte(base))
	if err != nil {
		t.Fatal(err)
	}
	files := make([]parser.File, 0, len(overlays))
	for i, text := range overlays {
		file, err := parser.ParseOverlay([]string{"costa.yaml", "sierra.yaml", "again.yaml"}[i], []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}

	return first, files
}

// TestOverlayChangesOnlyWhatDiffers guards against an overlay that resets the
// fields it does not set, and against a merge that modifies the base file.
func TestOverlayChangesOnlyWhatDiffers(t *testing.T) {
	first, files := parse(t, costa)
	before, err := merger.Merge(first)
	if err != nil {
		t.Fatal(err)
	}
	after, err := merger.Merge(first, files...)
	if err != nil {
		t.Fatal(err)
	}
	again, err := merger.Merge(first)
	if changes := differ.Diff(before.Document, again.Document); err != nil || len(changes) > 0 {
		t.Errorf("merging changed the base: %v %v", changes, err)
	}
	goldie.New(t).Assert(t, "overlay", []byte(differ.Text(differ.Diff(before.Document, after.Document))))
	goldie.New(t).AssertJson(t, "overlay-json", differ.Diff(after.Document, before.Document))
	if at, ok := after.Locate("queues/plumes/depth/deeper"); !ok || at.File != "costa.yaml" || at.Line != 9 {
		t.Errorf("depth located at %v", at)
	}
}

// TestMergeProblems guards against an overlay that is accepted although it names
// an undeclared entry, changes a partition of another site, or contradicts another
// overlay.
func TestMergeProblems(t *testing.T) {
	first, files := parse(t, costa, sierra, costa)
	result, err := merger.Merge(first, files...)
	if err == nil || result.Document.Cell != "" {
		t.Fatalf("partly merged: %+v", result.Document)
	}
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
}

// TestLoadReportsAllFiles guards against a load that reports only the problems of
// the first faulty file.
func TestLoadReportsAllFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(path, text string) {
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, path), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("base.yaml", "cell: 7!\n")
	write("overlays/costa.yaml", "cell: x\n")
	_, err := merger.Load(dir)
	problems, ok := err.(parser.Problems) //nolint:errorlint // Load returns Problems unwrapped
	files := map[string]bool{}
	for _, problem := range problems {
		files[filepath.Base(problem.At.File)] = true
	}
	if !ok || len(files) != 2 {
		t.Fatalf("got %v", err)
	}
	if _, err := merger.Load(dir, "selva"); err == nil {
		t.Fatal("a site without an overlay was accepted")
	}
}
