package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// largeConfig is a configuration of the target size: 390 teams with three keys
// each.
type largeConfig struct{ doc modeler.Document }

func (f *largeConfig) InForce() (modeler.Document, modeler.Offset, bool) { return f.doc, 1, true }
func (f *largeConfig) ConfigAge(time.Time) (time.Duration, bool)         { return 0, true }
func (f *largeConfig) HasMajority(time.Time) bool                        { return true }

// BenchmarkTeam measures the authentication of a key with a configuration of the
// target size.
func BenchmarkTeam(b *testing.B) {
	f := &largeConfig{}
	for team := range 390 {
		t := modeler.Team{Name: modeler.TeamID(fmt.Sprint("team-", team))}
		for key := range 3 {
			sum := sha256.Sum256(fmt.Appendf(nil, "secret-%d-%d", team, key))
			t.Keys = append(t.Keys, modeler.Key{Digest: hex.EncodeToString(sum[:])})
		}
		f.doc.Teams = append(f.doc.Teams, t)
	}
	a := New(f, f)
	for b.Loop() {
		if _, err := a.Team("Bearer secret-200-1"); err != nil {
			b.Fatal(err)
		}
	}
}
