package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/platform"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestCheck guards against a check that misses a fault, gives another line or field, or
// exits with another code. The golden files hold the whole output.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name, file, inForce string
		code                int
	}{
		{"sound", "in-force.json", "", exitOK},
		{"faulty", "faulty.json", "in-force.json", exitFaulty},
		{"broken", "broken.json", "", exitFaulty},
		{"changes", "next.json", "in-force.json", exitOK},
		{"missing", "no-such-file.json", "", exitUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Chdir("testdata")
			var out, errOut bytes.Buffer
			command := &checkCommand{File: test.file, InForce: test.inForce}
			if code := command.run(context.Background(), &out, &errOut); code != test.code {
				t.Errorf("exit code %d, want %d: %s", code, test.code, errOut.String())
			}
			golden := test.name + ".golden"
			if *update {
				if err := os.WriteFile(golden, out.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), out.String()); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCheckAsJSON guards against JSON output that holds other findings than the text.
func TestCheckAsJSON(t *testing.T) {
	var out bytes.Buffer
	command := &checkCommand{File: filepath.Join("testdata", "faulty.json"), JSON: true}
	command.run(context.Background(), &out, &out)
	var report platform.CheckReport
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	if !report.Faulty() || report.Findings[0].Line == 0 {
		t.Errorf("findings %+v, want errors with lines", report.Findings)
	}
}
