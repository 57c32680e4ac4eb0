// Package authenticator finds the team or operator of a bearer key in the configuration in
// force.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// MaxConfigAge is the age of the last confirmation of the configuration from
	// which on keys are refused, so that a withdrawn key stops working.
	MaxConfigAge = 5 * time.Second
	// shortest and longest bound the length of a key in bytes.
	shortest = 8
	longest  = 512
)

// Freshness tells whether the configuration in force is the newest.
type Freshness interface {
	// ConfigAge returns the time since the configuration was confirmed.
	ConfigAge(now time.Time) (age time.Duration, ok bool)
	// HasMajority reports contact with a majority of the listed entry instances.
	HasMajority(now time.Time) bool
}

// Authenticator checks keys. It is safe for concurrent use.
type Authenticator struct {
	config    modeler.Configuration
	freshness Freshness
	now       func() time.Time
	cache     atomic.Pointer[index]
}

// index holds the decoded digests of one configuration, by their first byte.
// Comparing one presented key with all 1170 keys of the target size took 76 µs;
// the byte tells a caller who measures times nothing about a secret.
type index struct {
	offset modeler.Offset
	keys   [256][]key
}

type key struct {
	digest [sha256.Size]byte
	// team is empty for the key of an operator.
	team      modeler.TeamID
	operator  string
	withdrawn bool
}

// New returns an Authenticator.
func New(config modeler.Configuration, freshness Freshness) *Authenticator {
	return &Authenticator{config: config, freshness: freshness, now: time.Now}
}

// Team returns the team of the Authorization header's bearer key (RFC 6750).
// Errors are of type *modeler.Refusal.
func (a *Authenticator) Team(header string) (modeler.TeamID, error) {
	found, err := a.holder(header)
	if err == nil && found.operator != "" {
		err = modeler.NotRun(modeler.CodeWrongTeam, 0, "the key belongs to an operator and to no team")
	}
	if err != nil {
		return "", err
	}

	return found.team, nil
}

// Operator returns the name of the operator of the Authorization header's
// bearer key. Errors are of type *modeler.Refusal.
func (a *Authenticator) Operator(header string) (string, error) {
	found, err := a.holder(header)
	if err == nil && found.operator == "" {
		err = modeler.NotRun(modeler.CodeWrongTeam, 0, "the key belongs to a team and to no operator")
	}
	if err != nil {
		return "", err
	}

	return found.operator, nil
}

// holder returns the key of the configuration that a header presents.
func (a *Authenticator) holder(header string) (key, error) {
	secret, err := parse(header)
	if err != nil {
		return key{}, err
	}
	doc, offset, ok := a.config.InForce()
	if !ok {
		return key{}, modeler.NotRun(modeler.CodeStaleConfig, time.Second, "this instance has no configuration yet")
	}
	if err := a.fresh(); err != nil {
		return key{}, err
	}

	return a.index(doc, offset).find(sha256.Sum256([]byte(secret)))
}

// parse returns the key in header.
func parse(header string) (string, error) {
	scheme, secret, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", modeler.NotRun(modeler.CodeBadKey, 0, "header Authorization must be \"Bearer <key>\"")
	}
	if len(secret) < shortest || len(secret) > longest {
		return "", modeler.NotRun(modeler.CodeBadKey, 0, "a key has %d to %d characters, not %d", shortest, longest, len(secret))
	}
	for _, r := range secret {
		if r <= ' ' || r > '~' {
			return "", modeler.NotRun(modeler.CodeBadKey, 0, "a key has printable ASCII characters only")
		}
	}

	return secret, nil
}

// fresh refuses when the configuration was not confirmed recently. Contact with
// a majority of the entry instances is enough, because an outage of the log
// that all of them see also keeps operators from publishing.
func (a *Authenticator) fresh() error {
	now := a.now()
	age, ok := a.freshness.ConfigAge(now)
	if ok && age < MaxConfigAge || a.freshness.HasMajority(now) {
		return nil
	}
	if !ok {
		return modeler.NotRun(modeler.CodeStaleConfig, time.Second, "the configuration was never confirmed by the log")
	}

	return modeler.NotRun(modeler.CodeStaleConfig, time.Second,
		"the configuration was confirmed by the log %s ago; keys are accepted up to %s", age.Round(time.Millisecond), MaxConfigAge)
}

func (a *Authenticator) index(doc modeler.Document, offset modeler.Offset) *index {
	if cached := a.cache.Load(); cached != nil && cached.offset == offset {
		return cached
	}
	made := &index{offset: offset}
	for _, team := range doc.Teams {
		made.add(team.Keys, key{team: team.Name})
	}
	for _, operator := range doc.Operators {
		made.add(operator.Keys, key{operator: operator.Name})
	}
	a.cache.Store(made)

	return made
}

// add adds the keys of one holder; keys with a malformed digest match nothing.
func (i *index) add(keys []modeler.Key, entry key) {
	for _, k := range keys {
		digest, err := hex.DecodeString(k.Digest)
		if err != nil || copy(entry.digest[:], digest) != sha256.Size || len(digest) != sha256.Size {
			continue
		}
		entry.withdrawn = k.Withdrawn
		i.keys[digest[0]] = append(i.keys[digest[0]], entry)
	}
}

// find compares digest with every key of the same first byte, so that the time
// taken does not depend on which one matches. A digest that is withdrawn anywhere is refused.
func (i *index) find(digest [sha256.Size]byte) (key, error) {
	var match key
	var found, withdrawn bool
	keys := i.keys[digest[0]]
	for n := range keys {
		if subtle.ConstantTimeCompare(keys[n].digest[:], digest[:]) == 1 {
			match, found = keys[n], true
			withdrawn = withdrawn || keys[n].withdrawn
		}
	}
	switch {
	case !found:
		return key{}, modeler.NotRun(modeler.CodeUnknownKey, 0, "the key belongs to no team or operator")
	case withdrawn && match.operator != "":
		return key{}, modeler.NotRun(modeler.CodeWithdrawnKey, 0, "the key of operator %s was withdrawn", match.operator)
	case withdrawn:
		return key{}, modeler.NotRun(modeler.CodeWithdrawnKey, 0, "the key of team %s was withdrawn", match.team)
	}

	return match, nil
}
