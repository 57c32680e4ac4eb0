package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/differ"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Operator identifies the operator who publishes.
type Operator struct {
	OperatorKey
	Operator string `arg:"--operator,env:GREENGAGEWALL_OPERATOR" help:"name for the audit trail while the document in force has no operators; the user's name by default"`
}

// name returns the operator's name for the audit trail.
func (o Operator) name() string {
	if o.Operator != "" {
		return o.Operator
	}

	return os.Getenv("USER")
}

// PublishCmd implements the publish command.
type PublishCmd struct {
	Source
	Target
	Format
	Operator
	Parent    *int64        `arg:"--parent" help:"offset that the files were made from; refuse if another is in force (default: the one in force now)"`
	Reinstate bool          `arg:"--reinstate" help:"publish although withdrawn keys would be admitted again or dropped"`
	Wait      time.Duration `arg:"--wait" help:"wait up to this long until the document is in force everywhere"`
}

// publishReply is the JSON form of a publication.
type publishReply struct {
	Parent  modeler.Offset  `json:"parent"`
	Offset  modeler.Offset  `json:"offset"`
	Changes []differ.Change `json:"changes"`
	// Seen holds the offsets that were read last; nil without --wait.
	Seen *offsetsReply `json:"seen,omitempty"`
}

// publishRequest is the body of PUT /v1/config.
type publishRequest struct {
	Parent   modeler.Offset   `json:"parent"`
	Document modeler.Document `json:"document"`
}

// publish publishes a document on top of the offset parent and returns its
// offset.
func (t Target) publish(
	ctx context.Context, env Env, operator Operator, parent modeler.Offset, doc modeler.Document,
) (modeler.Offset, error) {
	header := http.Header{}
	if name := operator.name(); name != "" {
		header.Set(operatorHeader, name)
	}
	if operator.Key != "" {
		header.Set("Authorization", "Bearer "+operator.Key)
	}
	var reply currentConfig
	err := t.send(ctx, env, http.MethodPut, "/v1/config", header, publishRequest{Parent: parent, Document: doc}, &reply)

	return reply.Offset, err
}

// Run publishes the files on top of the document in force. On a conflict it
// shows what the other publication changed.
func (c *PublishCmd) Run(ctx context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	result, err := c.load()
	if err != nil {
		return codeUsage, err
	}
	current, err := c.current(ctx, env, c.Key)
	if err != nil {
		return codeOf(err), err
	}
	parent := current.Offset
	if c.Parent != nil {
		parent = modeler.Offset(*c.Parent)
	}
	if reinstated := differ.Reinstated(current.Document, result.Document); len(reinstated) > 0 && !c.Reinstate {
		return codeRefused, errors.Errorf(
			"the files would admit or drop withdrawn keys (%s); nothing was published. Mark them withdrawn in the files, or give --reinstate",
			strings.Join(reinstated, ", "))
	}
	offset, err := c.publish(ctx, env, c.Operator, parent, result.Document)
	if isCode(err, modeler.CodeConflict) {
		return codeConflict, c.printConflict(ctx, env, current, err)
	}
	if err != nil {
		return codeOfPublication(err), err
	}
	reply := publishReply{Parent: parent, Offset: offset, Changes: differ.Diff(current.Document, result.Document)}

	return c.finish(ctx, env, reply)
}

// finish prints the publication, with --wait after the offsets were polled. The
// document is already published, so an error here does not undo it.
func (c *PublishCmd) finish(ctx context.Context, env Env, reply publishReply) (int, error) {
	exit := codeOK
	if c.Wait > 0 {
		seen, err := c.await(ctx, env, reply.Offset, c.Wait)
		if err != nil {
			_, _ = fmt.Fprintln(env.Err, "published, but the offsets cannot be read:", err)
		}
		seen.Everywhere = seen.Everywhere && err == nil
		reply.Seen = &seen
		if !seen.Everywhere {
			exit = codeUnknown
		}
	}
	err := c.write(env.Out, reply, func(w io.Writer) error {
		p := printer{w: w}
		p.printf("%spublished at offset %d\n", differ.Text(reply.Changes), reply.Offset)
		if p.err == nil && reply.Seen != nil {
			p.err = reply.Seen.text(w, env.Now())
		}

		return p.err
	})

	return exit, err
}

// printConflict prints which document is in force now and what changed since
// this command read the configuration. It returns cause.
func (c *PublishCmd) printConflict(ctx context.Context, env Env, before currentConfig, cause error) error {
	now, err := c.current(ctx, env, c.Key)
	if err != nil {
		return cause
	}
	p := printer{w: env.Err}
	p.printf("conflict: nothing was published\noffset %d is in force", now.Offset)
	if now.Operator != "" {
		p.printf(", published by %s at %s", now.Operator, now.Time.UTC().Format(time.RFC3339))
	}
	p.printf("\n")
	if now.Offset != before.Offset {
		p.printf("changed since offset %d:\n%s", before.Offset, differ.Text(differ.Diff(before.Document, now.Document)))
	}

	return cause
}
