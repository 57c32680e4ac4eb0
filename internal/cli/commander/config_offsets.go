package commander

import (
	"context"
	"io"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// offsetsPollInterval is the time between two reads of the offsets.
const offsetsPollInterval = 200 * time.Millisecond

// OffsetsCmd implements the offsets command.
type OffsetsCmd struct {
	Target
	Format
	Offset *int64        `arg:"--offset" help:"offset to wait for (default: the highest)"`
	Wait   time.Duration `arg:"--wait" help:"wait up to this long until the offset is in force everywhere"`
}

// instanceOffset is one element of the reply to GET /v1/config/offsets.
type instanceOffset struct {
	Instance      modeler.InstanceID `json:"instance"`
	Offset        modeler.Offset     `json:"offset"`
	LastHeartbeat time.Time          `json:"heard,omitzero"`
}

// offsetsReply is the JSON form of the offsets.
type offsetsReply struct {
	Offset modeler.Offset `json:"offset"`
	// Everywhere reports whether every instance has the offset or a higher one.
	Everywhere bool             `json:"everywhere"`
	Instances  []instanceOffset `json:"instances"`
}

// Run prints the offsets. The exit code is 1 if an instance lags behind.
func (c *OffsetsCmd) Run(ctx context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	target := modeler.Offset(-1)
	if c.Offset != nil {
		target = modeler.Offset(*c.Offset)
	}

	reply, err := c.await(ctx, env, target, c.Wait)
	if err != nil {
		return codeOf(err), err
	}

	return reply.exitCode(), c.write(env.Out, reply, func(w io.Writer) error { return reply.text(w, env.Now()) })
}

// exitCode returns codeNegative if an instance lags behind.
func (r offsetsReply) exitCode() int {
	if r.Everywhere {
		return codeOK
	}

	return codeNegative
}

// await polls the offsets until target is in force everywhere or wait has
// passed, and returns the offsets that it read last. A negative target stands
// for the highest offset of the first successful read.
func (t Target) await(ctx context.Context, env Env, target modeler.Offset, wait time.Duration) (offsetsReply, error) {
	deadline := env.Now().Add(wait)
	for {
		reply, err := t.offsets(ctx, env, target)
		if expired := !env.Now().Before(deadline); expired || err == nil && reply.Everywhere {
			return reply, err
		}
		if err == nil {
			target = reply.Offset
		}
		if env.Sleep(ctx, offsetsPollInterval); ctx.Err() != nil {
			return reply, ctx.Err()
		}
	}
}

// offsets reads the offsets and compares them with target.
func (t Target) offsets(ctx context.Context, env Env, target modeler.Offset) (offsetsReply, error) {
	reply := offsetsReply{Offset: target, Everywhere: true}
	if err := t.get(ctx, env, "/v1/config/offsets", "", &reply.Instances); err != nil {
		return reply, err
	}
	if target < 0 {
		for _, instance := range reply.Instances {
			reply.Offset = max(reply.Offset, instance.Offset)
		}
	}
	for _, instance := range reply.Instances {
		reply.Everywhere = reply.Everywhere && instance.Offset >= reply.Offset
	}

	return reply, nil
}

// text prints the offsets in the text format.
func (r offsetsReply) text(w io.Writer, now time.Time) error {
	p := printer{w: w}
	for _, instance := range r.Instances {
		p.printf("%-24s %8d", instance.Instance, instance.Offset)
		if !instance.LastHeartbeat.IsZero() {
			p.printf("  heard %s ago", now.Sub(instance.LastHeartbeat).Round(time.Millisecond))
		}
		if instance.Offset < r.Offset {
			p.printf("  behind")
		}
		p.printf("\n")
	}
	if r.Everywhere {
		p.printf("offset %d is in force everywhere\n", r.Offset)
	} else {
		p.printf("offset %d is not in force everywhere\n", r.Offset)
	}

	return p.err
}
