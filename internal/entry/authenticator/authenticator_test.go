package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// state is a fake of the configuration and its freshness.
type state struct {
	offset    modeler.Offset
	withdrawn bool
	age       time.Duration
	confirmed bool
	majority  bool
}

func (s *state) InForce() (modeler.Document, modeler.Offset, bool) {
	sum := sha256.Sum256([]byte("secret-of-crops"))
	key := modeler.Key{Digest: hex.EncodeToString(sum[:]), Withdrawn: s.withdrawn}

	return modeler.Document{Teams: []modeler.Team{
		{Name: "odd", Keys: []modeler.Key{{Digest: "00"}, {Digest: "not hexadecimal"}}},
		{Name: "crops", Keys: []modeler.Key{key}},
	}}, s.offset, s.offset >= 0
}

func (s *state) Fresh(time.Time) (time.Duration, bool) { return s.age, s.confirmed }
func (s *state) Majority(time.Time) bool               { return s.majority }

// TestTeam guards against a withdrawn key that is accepted from an old index
// or under a configuration that nobody has confirmed.
func TestTeam(t *testing.T) {
	s := &state{offset: -1, confirmed: true}
	a := New(s, s)
	expect := func(name string, code modeler.Code) {
		t.Helper()
		team, err := a.Team("bearer secret-of-crops")
		refusal := new(modeler.Refusal)
		switch errors.As(err, &refusal); {
		case code == "" && (err != nil || team != "crops"):
			t.Errorf("%s: got %q, %v", name, team, err)
		case code != "" && (refusal.Code != code || refusal.Outcome != modeler.OutcomeNotRun || team != ""):
			t.Errorf("%s: got %q, %v, want %s", name, team, err, code)
		}
	}
	expect("no configuration", modeler.CodeStaleConfig)
	s.offset = 1
	expect("confirmed", "")
	s.age = Stale
	expect("not confirmed for too long", modeler.CodeStaleConfig)
	s.majority = true
	expect("outage of the log", "")
	s.confirmed, s.majority = false, false
	expect("never confirmed", modeler.CodeStaleConfig)
	s.confirmed, s.age, s.withdrawn, s.offset = true, 0, true, 2
	expect("withdrawn", modeler.CodeWithdrawnKey)
}
