package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against the product depending on the stand-ins or the runs that use
// them.
func TestProductDoesNotImportStandins(t *testing.T) {
	output, err := exec.Command("go", "list", "-deps", "../greengagewall").Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(output))
	if len(packages) == 0 {
		t.Fatal("no packages listed")
	}
	for _, name := range packages {
		if strings.Contains(name, "/internal/standin") || strings.Contains(name, "/internal/proof") {
			t.Errorf("the product imports %s", name)
		}
	}
}
