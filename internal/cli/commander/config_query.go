package commander

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/differ"
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/config/renderer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// CheckCmd implements the check command, which needs no instance.
type CheckCmd struct {
	Source
	Format
}

// checkReply is the JSON form of a check.
type checkReply struct {
	Valid    bool            `json:"valid"`
	Problems parser.Problems `json:"problems"`
	Cell     string          `json:"cell,omitempty"`
	Teams    int             `json:"teams"`
	Queues   int             `json:"queues"`
	Services int             `json:"services"`
	Jobs     int             `json:"jobs"`
}

// Run prints every problem of the files. The exit code is 2 if there is any.
func (c *CheckCmd) Run(_ context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	result, err := c.load()
	var problems parser.Problems
	if err != nil && !errors.As(err, &problems) {
		return codeUsage, err
	}
	doc := result.Document
	reply := checkReply{
		Valid: err == nil, Problems: append(parser.Problems{}, problems...), Cell: doc.Cell,
		Teams: len(doc.Teams), Queues: len(doc.Queues), Services: len(doc.Services), Jobs: len(doc.Jobs),
	}
	err = c.write(env.Out, reply, func(w io.Writer) error {
		p := printer{w: w}
		for _, problem := range problems {
			p.printf("%s\n", problem)
		}
		if !reply.Valid {
			p.printf("%d problems\n", len(problems))
		} else {
			p.printf("%s: %d partitions, %d teams, %d queues, %d services, %d jobs: valid\n",
				doc.Cell, len(doc.Partitions), reply.Teams, reply.Queues, reply.Services, reply.Jobs)
		}

		return p.err
	})
	if !reply.Valid {
		return codeUsage, err
	}

	return codeOK, err
}

// RenderCmd implements the render command.
type RenderCmd struct {
	Source
	Format
}

// Run prints the merged document in the format of the base file, or with
// --output json in the format of the API.
func (c *RenderCmd) Run(_ context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	result, err := c.load()
	if err != nil {
		return codeUsage, err
	}

	return codeOK, c.write(env.Out, result.Document, func(w io.Writer) error {
		data, err := renderer.Render(result.Document)
		if err != nil {
			return err
		}
		_, err = w.Write(data)

		return errors.Wrap(err, "write configuration")
	})
}

// DiffCmd implements the diff command.
type DiffCmd struct {
	Source
	Target
	Format
	OperatorKey
}

// diffReply is the JSON form of a diff.
type diffReply struct {
	// Offset is the offset of the document that the files are compared with.
	Offset  modeler.Offset  `json:"offset"`
	Changes []differ.Change `json:"changes"`
	// Reinstated lists withdrawn keys that the files would admit again or drop.
	Reinstated []string `json:"reinstated,omitempty"`
}

// Run prints what publishing the files would change. The exit code is 1 if
// there are changes.
func (c *DiffCmd) Run(ctx context.Context, env Env) (int, error) {
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
	reply := diffReply{
		Offset: current.Offset, Changes: differ.Diff(current.Document, result.Document),
		Reinstated: differ.Reinstated(current.Document, result.Document),
	}
	if err := c.write(env.Out, reply, reply.text); err != nil {
		return codeUnknown, err
	}
	if len(reply.Changes) > 0 {
		return codeNegative, nil
	}

	return codeOK, nil
}

// text prints the diff in the text format.
func (r diffReply) text(w io.Writer) error {
	p := printer{w: w}
	p.printf("compared with offset %d\n%s", r.Offset, differ.Text(r.Changes))
	for _, key := range r.Reinstated {
		p.printf("warning: %s is withdrawn, and the files would admit it or drop it\n", key)
	}

	return p.err
}
