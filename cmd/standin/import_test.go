package main

import (
	"os/exec"
	"strings"
	"testing"
)

// TestProduct_DoesNotImportStandins guards against the product depending on the
// stand-ins or on the proof runs that use them.
func TestProduct_DoesNotImportStandins(t *testing.T) {
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
