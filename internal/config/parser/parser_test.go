package parser_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
)

// faulty contains every kind of problem that the parser reports.
const faulty = `cell: Humo Andino
partitions:
  - name: costa-1
    region: costa
    weight: 0
  - name: costa-1
    region: costa
    color: red
    services: [Lookup, 7.5]
teams:
  - name: forecasts
    share: -3
    limit: {processors: 0.0005, memory: 64GB, accelerators: 1.5, slots: many}
    keys:
      - name: first
        digest: DEADBEEF
        withdrawn: maybe
  - share: 5
    limit: 7
queues:
  - name: plumes
    name: plumes
    kind: burst
    class: urgent
    depth: 0
    within: 3 days
    objective: {wait: 2.5, target: 1.0}
    teams: forecasts
services:
  - name: lookup
    queue: plumes
    idempotent: yes
    timeout: -2s
jobs:
  - name: nightly
    team: forecasts
    queue: plumes
    needs: {processors: 1, memory: 64}
    runtime: 1h
    deadline: 25:00
  - &anchor
    name: [a]
operators:
  - name: amy
    limit: {slots: 1}
  - keys: [{name: laptop, digest: short}]
`

// TestProblems guards against a problem that is not reported, or reported at the
// wrong line or column.
func TestProblems(t *testing.T) {
	_, err := parser.ParseBase("base.yaml", []byte(faulty))
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
}

// TestOverlayProblems guards against an overlay that changes a field that only
// the base file may set.
func TestOverlayProblems(t *testing.T) {
	_, err := parser.ParseOverlay("costa.yaml", []byte(`cell: other
partitions:
  - name: costa-1
    region: sierra
    services: []
teams:
  - name: forecasts
    keys: [{name: first, digest: 00}]
  - share: 4
queues:
  - name: plumes
    kind: batch
operators: [{name: amy, keys: [{name: laptop, digest: 00}]}]
`))
	goldie.New(t).Assert(t, "overlay", []byte(err.Error()+"\n"))
}

// TestSyntax guards against text that is not a single YAML document and is read
// as an empty configuration.
func TestSyntax(t *testing.T) {
	for text, want := range map[string]string{
		"":                          "f:1:1: the file must hold exactly one YAML document",
		"cell: a\n---\ncell: b":     "f:1:1: the file must hold exactly one YAML document",
		"cell: [a":                  "f:1:7: ",
		"- a":                       "f:1:1: the file must be a mapping",
		"cell: a\n\tteams: []":      "f:2:1: ",
		"cell: *a":                  "f:1:",
		strings.Repeat("#", 17<<20): "f:1:1: the file is larger than 16 MiB",
	} {
		_, err := parser.ParseBase("f", []byte(text))
		var problems parser.Problems
		if !errors.As(err, &problems) || !strings.HasPrefix(problems[0].String(), want) {
			t.Errorf("%.20q: got %v, want %q", text, err, want)
		}
	}
}

// TestQuantities guards against quantities that are rounded or misread.
func TestQuantities(t *testing.T) {
	for text, want := range map[string]int64{"0.5": 500, "16": 16000, "0.001": 1, "NaN": -1, "-1": -1, "0x10": -1, "1e999": -1} {
		if got, err := parser.ParseProcessors(text); (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("processors %s: got %d (%v), want %d", text, got, err, want)
		}
	}
	for text, want := range map[string]int64{
		"64GiB": 64 << 30, "1.5KiB": 1536, "0.0001KiB": -1, "1gib": -1, "64": -1, "9999999TiB": -1, "2 GiB": -1,
	} {
		if got, err := parser.ParseMemory(text); (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("memory %s: got %d (%v), want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"0s", "5", "1000h", "24:00", "06:00 Nowhere/City", "06:00 Local", "6:00"} {
		if got, err := parser.ParseDeadline(text); err == nil {
			t.Errorf("deadline %s: got %+v", text, got)
		}
	}
	for _, text := range []string{"8h", "1h30m", "2.5s", "06:00", "06:00 America/Lima"} {
		if got, err := parser.ParseDeadline(text); err != nil || parser.FormatDeadline(got) != text {
			t.Errorf("deadline %s: got %s (%v)", text, parser.FormatDeadline(got), err)
		}
	}
}

// FuzzParse guards against files that make the parser panic, are accepted without
// a cell or site, or are refused without a reason or position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(faulty))
	f.Add([]byte("site: costa\nteams: [{name: a, limit: {memory: 1GiB}}]\n"))
	f.Add([]byte("? [a]\n: &x {b: *x}\n<<: *x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, parse := range []func(string, []byte) (parser.File, error){parser.ParseBase, parser.ParseOverlay} {
			file, err := parse("f", data)
			var problems parser.Problems
			switch {
			case err == nil && !file.Cell.Set && !file.Site.Set:
				t.Errorf("accepted without a cell or a site")
			case err != nil && (!errors.As(err, &problems) || problems[0].Reason == "" || problems[0].At.Line < 1):
				t.Errorf("refused with %#v", err)
			}
		}
	})
}
