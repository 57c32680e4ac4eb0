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

// KeyCmd makes, grants and withdraws keys.
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

// secretSize is the number of random bytes of a secret.
const secretSize = 24

// KeyNewCmd makes a secret.
type KeyNewCmd struct {
	Team string `arg:"positional,required" help:"name of the team"`
	Format
}

// keyReply is the JSON form of a new key.
type keyReply struct {
	Secret string `json:"secret"`
	Digest string `json:"digest"`
}

// Run prints the secret, which is stored nowhere, and its digest.
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

// change holds what the commands that change one key have in common.
type change struct {
	Team string `arg:"positional,required" help:"name of the team"`
	Name string `arg:"positional,required" help:"name of the key"`
	Target
	Format
	Operator
}

// KeyGrantCmd adds a key.
type KeyGrantCmd struct {
	change
	Digest string `arg:"--digest,required" help:"SHA-256 digest of the secret, as key new prints it"`
}

// Run adds the key and publishes the document.
func (c *KeyGrantCmd) Run(ctx context.Context, env Env) (int, error) {
	return c.publishChange(ctx, env, "granted", func(team *modeler.Team) error {
		if slices.ContainsFunc(team.Keys, func(k modeler.Key) bool { return k.Name == c.Name }) {
			return errors.Errorf("team %q already has a key %q", c.Team, c.Name)
		}
		team.Keys = append(slices.Clone(team.Keys), modeler.Key{Name: c.Name, Digest: c.Digest})

		return nil
	})
}

// KeyWithdrawCmd withdraws a key.
type KeyWithdrawCmd struct {
	change
}

// Run marks the key as withdrawn and publishes the document.
func (c *KeyWithdrawCmd) Run(ctx context.Context, env Env) (int, error) {
	return c.publishChange(ctx, env, "withdrawn", func(team *modeler.Team) error {
		team.Keys = slices.Clone(team.Keys)
		for i := range team.Keys {
			if team.Keys[i].Name == c.Name {
				team.Keys[i].Withdrawn = true

				return nil
			}
		}

		return errors.Errorf("team %q has no key %q", c.Team, c.Name)
	})
}

// changeTries bounds how often a change of one key is made again on top of
// another operator's publication. The change concerns this key only, so it is
// the same on every document.
const changeTries = 5

// publishChange reads the document in force, edits the team and publishes.
func (c *change) publishChange(ctx context.Context, env Env, done string, edit func(*modeler.Team) error) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	for try := 1; ; try++ {
		current, err := c.current(ctx, env)
		if err != nil {
			return codeOf(err), err
		}
		doc, err := c.apply(current.Document, edit)
		if err != nil {
			return codeUsage, err
		}
		offset, err := c.publish(ctx, env, c.name(), current.Offset, doc)
		if isCode(err, modeler.CodeConflict) && try < changeTries {
			continue
		}
		if err != nil {
			return codeOfPublication(err), err
		}
		reply := publishReply{Parent: current.Offset, Offset: offset, Changes: differ.Diff(current.Document, doc)}

		return codeOK, c.write(env.Out, reply, func(w io.Writer) error {
			p := printer{w: w}
			p.printf("key %s of team %s %s at offset %d; make the same change in the files\n", c.Name, c.Team, done, offset)

			return p.err
		})
	}
}

// apply returns a copy of doc with the team edited.
func (c *change) apply(doc modeler.Document, edit func(*modeler.Team) error) (modeler.Document, error) {
	doc.Teams = slices.Clone(doc.Teams)
	i := slices.IndexFunc(doc.Teams, func(t modeler.Team) bool { return string(t.Name) == c.Team })
	if i < 0 {
		return doc, errors.Errorf("team %q is not declared", c.Team)
	}
	if err := edit(&doc.Teams[i]); err != nil {
		return doc, err
	}

	return doc, checker.Check(doc)
}
