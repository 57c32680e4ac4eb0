package merger_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/internal/config/checker"
	"gitlab.com/greengagewall/greengagewall/internal/config/merger"
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/config/renderer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestExamples guards against examples that cannot be published, whose demo
// secrets do not match their digests, or that do not survive rendering.
func TestExamples(t *testing.T) {
	for name, weights := range map[string][]int64{"humo-andino": {3, 2, 2}, "brine-ledger": {4, 3, 2}} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join("../../../examples", name)
			result, err := merger.Load(dir)
			if err != nil {
				t.Fatal(err)
			}
			if err := checker.Check(result.Document); err != nil {
				t.Fatal(err)
			}
			for i, p := range result.Document.Partitions {
				if p.Weight != weights[i] {
					t.Errorf("%s has weight %d, want %d", p.Name, p.Weight, weights[i])
				}
			}
			checkSecrets(t, filepath.Join(dir, "keys.txt"), result.Document)
			text, err := renderer.Render(result.Document)
			if err != nil {
				t.Fatal(err)
			}
			file, err := parser.ParseBase("rendered.yaml", text)
			if err != nil {
				t.Fatalf("%v\n%s", err, text)
			}
			again, err := merger.Merge(file)
			if diff := cmp.Diff(result.Document, again.Document); err != nil || diff != "" {
				t.Errorf("rendering changes the document: %v\n%s", err, diff)
			}
		})
	}
}

// checkSecrets checks that the demo secrets in keys.txt match the digests of the
// document.
func checkSecrets(t *testing.T, path string, doc modeler.Document) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	digests := map[string]string{}
	for line := range strings.Lines(string(data)) {
		if parts := strings.Fields(line); !strings.HasPrefix(line, "#") {
			sum := sha256.Sum256([]byte(parts[2]))
			digests[parts[0]+"/"+parts[1]] = hex.EncodeToString(sum[:])
		}
	}
	match := func(holder string, keys []modeler.Key) {
		for _, key := range keys {
			name := holder + "/" + key.Name
			if digests[name] != key.Digest {
				t.Errorf("the digest of %s does not match its demo secret", name)
			}
			delete(digests, name)
		}
	}
	for _, team := range doc.Teams {
		match(string(team.Name), team.Keys)
	}
	for _, operator := range doc.Operators {
		match("operator:"+operator.Name, operator.Keys)
	}
	if !slices.ContainsFunc(doc.Operators, modeler.Operator.Usable) {
		t.Error("the example has no usable operator key")
	}
	if len(digests) > 0 {
		t.Errorf("demo secrets without a key: %v", digests)
	}
}
