package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// fakeConfig is a fake of the configuration and of the time since its
// confirmation.
type fakeConfig struct {
	offset    modeler.Offset
	withdrawn bool
	age       time.Duration
	confirmed bool
	majority  bool
}

func (config *fakeConfig) InForce() (modeler.Document, modeler.Offset, bool) {
	sum := sha256.Sum256([]byte("secret-of-crops"))
	key := modeler.Key{Digest: hex.EncodeToString(sum[:]), Withdrawn: config.withdrawn}

	operator := sha256.Sum256([]byte("secret-of-amy"))

	return modeler.Document{Operators: []modeler.Operator{
		{Name: "amy", Keys: []modeler.Key{{Digest: hex.EncodeToString(operator[:]), Withdrawn: config.withdrawn}}},
	}, Teams: []modeler.Team{
		{Name: "odd", Keys: []modeler.Key{{Digest: "00"}, {Digest: "not hexadecimal"}}},
		{Name: "crops", Keys: []modeler.Key{key}},
	}}, config.offset, config.offset >= 0
}

func (config *fakeConfig) ConfigAge(time.Time) (time.Duration, bool) {
	return config.age, config.confirmed
}
func (config *fakeConfig) HasMajority(time.Time) bool { return config.majority }

// TestTeam guards against a withdrawn key that is accepted because of a cached
// index or an unconfirmed configuration.
func TestTeam(t *testing.T) {
	config := &fakeConfig{offset: -1, confirmed: true}
	a := New(config, config)
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
	config.offset = 1
	expect("confirmed", "")
	config.age = MaxConfigAge
	expect("not confirmed for too long", modeler.CodeStaleConfig)
	config.majority = true
	expect("outage of the log", "")
	config.confirmed, config.majority = false, false
	expect("never confirmed", modeler.CodeStaleConfig)
	config.confirmed, config.age, config.withdrawn, config.offset = true, 0, true, 2
	expect("withdrawn", modeler.CodeWithdrawnKey)
}

// TestOperator guards against accepting the key of a team as that of an operator,
// which could publish configurations, and the reverse.
func TestOperator(t *testing.T) {
	config := &fakeConfig{offset: 1, confirmed: true}
	a := New(config, config)
	code := func(err error) modeler.Code {
		refusal := new(modeler.Refusal)
		if !errors.As(err, &refusal) {
			return ""
		}

		return refusal.Code
	}
	if name, err := a.Operator("Bearer secret-of-amy"); err != nil || name != "amy" {
		t.Errorf("got %q, %v", name, err)
	}
	if name, err := a.Operator("Bearer secret-of-crops"); code(err) != modeler.CodeWrongTeam || name != "" {
		t.Errorf("key of a team: got %q, %v", name, err)
	}
	if team, err := a.Team("Bearer secret-of-amy"); code(err) != modeler.CodeWrongTeam || team != "" {
		t.Errorf("key of an operator: got %q, %v", team, err)
	}
	config.withdrawn, config.offset = true, 2
	if name, err := a.Operator("Bearer secret-of-amy"); code(err) != modeler.CodeWithdrawnKey || name != "" {
		t.Errorf("withdrawn: got %q, %v", name, err)
	}
}
