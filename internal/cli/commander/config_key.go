package commander

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/checker"
	"gitlab.com/greengagewall/greengagewall/internal/config/differ"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// KeyCmd implements the key command, which makes, grants and withdraws keys.
type KeyCmd struct {
	New      *KeyNewCmd      `arg:"subcommand:new" help:"make a secret and its digest; changes nothing"`
	Grant    *KeyGrantCmd    `arg:"subcommand:grant" help:"add a key to the document in force"`
	Withdraw *KeyWithdrawCmd `arg:"subcommand:withdraw" help:"withdraw a key in the document in force"`
}

// Run runs the chosen subcommand.
func (c *KeyCmd) Run(ctx context.Context, env Env) (int, error) {
	switch {
	case c.New != nil:
		return c.New.Run(ctx, env)
	case c.Grant != nil:
		return c.Grant.Run(ctx, env)
	case c.Withdraw != nil:
		return c.Withdraw.Run(ctx, env)
	}

	return codeUsage, errors.New("give new, grant or withdraw")
}

// secretSize is the number of random bytes in a secret.
const secretSize = 24

// KeyNewCmd implements the key new command.
type KeyNewCmd struct {
	Team string `arg:"positional,required" help:"name of the team or operator"`
	Format
}

// keyReply is the JSON form of a new key.
type keyReply struct {
	Secret string `json:"secret"`
	Digest string `json:"digest"`
}

// Run prints a new secret, which is not stored anywhere, and its digest.
func (c *KeyNewCmd) Run(_ context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	random := make([]byte, secretSize)
	if _, err := rand.Read(random); err != nil {
		return codeUsage, errors.Wrap(err, "make secret")
	}
	secret := "ggw_" + c.Team + "_" + hex.EncodeToString(random)
	sum := sha256.Sum256([]byte(secret))
	reply := keyReply{Secret: secret, Digest: hex.EncodeToString(sum[:])}

	return codeOK, c.write(env.Out, reply, func(w io.Writer) error {
		p := printer{w: w}
		p.printf("secret: %s\ndigest: %s\n", reply.Secret, reply.Digest)

		return p.err
	})
}

// keyChange holds the options of the commands that change one key.
type keyChange struct {
	Team   string `arg:"positional,required" help:"name of the team or operator"`
	Name   string `arg:"positional,required" help:"name of the key"`
	Holder string `arg:"--holder" default:"team" help:"whether the key is that of a team or of an operator"`
	Target
	Format
	Operator
}

// KeyGrantCmd implements the key grant command.
type KeyGrantCmd struct {
	keyChange
	Digest string `arg:"--digest,required" help:"SHA-256 digest of the secret, as key new prints it"`
}

// Run adds the key and publishes the document.
func (c *KeyGrantCmd) Run(ctx context.Context, env Env) (int, error) {
	return c.publishChange(ctx, env, "granted", func(keys []modeler.Key) ([]modeler.Key, error) {
		if slices.ContainsFunc(keys, func(k modeler.Key) bool { return k.Name == c.Name }) {
			return nil, errors.Errorf("%s %q already has a key %q", c.Holder, c.Team, c.Name)
		}

		return append(keys, modeler.Key{Name: c.Name, Digest: c.Digest}), nil
	})
}

// KeyWithdrawCmd implements the key withdraw command.
type KeyWithdrawCmd struct {
	keyChange
}

// Run marks the key as withdrawn and publishes the document.
func (c *KeyWithdrawCmd) Run(ctx context.Context, env Env) (int, error) {
	return c.publishChange(ctx, env, "withdrawn", func(keys []modeler.Key) ([]modeler.Key, error) {
		for i := range keys {
			if keys[i].Name == c.Name {
				keys[i].Withdrawn = true

				return keys, nil
			}
		}

		return nil, errors.Errorf("%s %q has no key %q", c.Holder, c.Team, c.Name)
	})
}

// maxChangeAttempts bounds how often a change of one key is attempted when other
// operators publish at the same time. A retry is safe, because the change
// concerns this key only and is the same on every document.
const maxChangeAttempts = 5

// keyEdit returns an edited copy of the keys of one holder.
type keyEdit func(keys []modeler.Key) ([]modeler.Key, error)

// The values of --holder.
const (
	holderTeam     = "team"
	holderOperator = "operator"
)

// publishChange reads the document in force, edits the keys and publishes the
// result.
func (c *keyChange) publishChange(ctx context.Context, env Env, verb string, edit keyEdit) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	if c.Holder != holderTeam && c.Holder != holderOperator {
		return codeUsage, errors.Errorf("--holder is %q; it must be team or operator", c.Holder)
	}
	for attempt := 1; ; attempt++ {
		current, err := c.current(ctx, env, c.Key)
		if err != nil {
			return codeOf(err), err
		}
		doc, err := c.apply(current.Document, edit)
		if err != nil {
			return codeUsage, err
		}
		offset, err := c.publish(ctx, env, c.Operator, current.Offset, doc)
		if isCode(err, modeler.CodeConflict) && attempt < maxChangeAttempts {
			continue
		}
		if err != nil {
			return codeOfPublication(err), err
		}
		reply := publishReply{Parent: current.Offset, Offset: offset, Changes: differ.Diff(current.Document, doc)}

		return codeOK, c.write(env.Out, reply, func(w io.Writer) error {
			p := printer{w: w}
			p.printf("key %s of %s %s %s at offset %d; make the same change in the files\n", c.Name, c.Holder, c.Team, verb, offset)

			return p.err
		})
	}
}

// apply returns a copy of doc in which edit has changed the keys of the holder.
func (c *keyChange) apply(doc modeler.Document, edit keyEdit) (modeler.Document, error) {
	keys, err := c.keys(&doc)
	if err != nil {
		return doc, err
	}
	if *keys, err = edit(slices.Clone(*keys)); err != nil {
		return doc, err
	}

	return doc, checker.Check(doc)
}

// keys returns the keys of the holder in doc, after cloning the list that holds
// it. An operator that is not declared is added, because it consists of its keys
// only.
func (c *keyChange) keys(doc *modeler.Document) (*[]modeler.Key, error) {
	if c.Holder == holderTeam {
		doc.Teams = slices.Clone(doc.Teams)
		i := slices.IndexFunc(doc.Teams, func(t modeler.Team) bool { return string(t.Name) == c.Team })
		if i < 0 {
			return nil, errors.Errorf("team %q is not declared", c.Team)
		}

		return &doc.Teams[i].Keys, nil
	}
	doc.Operators = slices.Clone(doc.Operators)
	i := slices.IndexFunc(doc.Operators, func(o modeler.Operator) bool { return o.Name == c.Team })
	if i < 0 {
		i = len(doc.Operators)
		doc.Operators = append(doc.Operators, modeler.Operator{Name: c.Team})
	}

	return &doc.Operators[i].Keys, nil
}
