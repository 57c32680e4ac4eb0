package dispatcher

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

var (
	retries    = expvar.NewInt("dispatcher.retries")
	hedges     = expvar.NewInt("dispatcher.hedges")
	violations = expvar.NewInt("dispatcher.violations")
)

// Call executes a call. A non-idempotent call goes to the home partition of its
// request; an idempotent one to the nearest partition with free slots. Errors
// are of type *modeler.Refusal.
func (d *Dispatcher) Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	doc, offset, ok := d.config.InForce()
	if !ok {
		return modeler.CallReply{}, noConfiguration()
	}
	msg.Config = offset
	d.budget.Earn()
	if msg.Idempotent {
		return d.callAnywhere(ctx, doc, msg)
	}
	if msg.Partition = HomeOfCall(doc.Partitions, msg.Service, msg.Team, msg.Request); msg.Partition == "" {
		return modeler.CallReply{}, modeler.NotRun(modeler.CodeNoExecutor, time.Second, "no partition lists service %q", msg.Service)
	}
	var reply modeler.CallReply
	err := d.withOwner(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) (err error) {
		reply, err = call(ctx, owner, msg)

		return err
	})

	return reply, err
}

// answerMargin is the part of a call's timeout that is reserved for the return
// of the answer. It covers three round trips between regions.
const answerMargin = 100 * time.Millisecond

// call sends a call to an owner and checks that the answer belongs to it (I5).
// The owner gets a shorter timeout than the caller: an owner whose timeout expires knows
// whether the call ran, whereas an expired context here leaves that open.
func call(ctx context.Context, owner modeler.Commands, msg modeler.CallMsg) (modeler.CallReply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		msg.Timeout = max(left-min(answerMargin, left/5), time.Millisecond)
	}
	reply, err := owner.Call(ctx, msg)
	if err == nil && reply.Request != msg.Request {
		violations.Add(1)

		return modeler.CallReply{}, modeler.Unknown(modeler.CodeInternal, 0,
			"answer belongs to request %q", reply.Request)
	}

	return reply, err
}

// callAnywhere tries partitions one after the other within the retry budget.
func (d *Dispatcher) callAnywhere(ctx context.Context, doc modeler.Document, msg modeler.CallMsg) (modeler.CallReply, error) {
	var outcome outcomeTracker
	var last *modeler.Refusal
	tried := map[modeler.PartitionID]bool{}
	for {
		partition, ok := d.selectPartition(ctx, doc, msg.Service, tried, last)
		if !ok {
			if last == nil {
				last = modeler.NotRun(modeler.CodeNoExecutor, time.Second, "no partition offers service %q", msg.Service)
			}

			return modeler.CallReply{}, outcome.resolve(last)
		}
		if last != nil {
			if !d.budget.Spend() {
				return modeler.CallReply{}, outcome.resolve(last)
			}
			retries.Add(1)
		}
		reply, err := d.callHedged(ctx, doc, msg, partition, tried)
		if err == nil {
			return reply, nil
		}
		refusal := asRefusal(err)
		outcome.observe(refusal)
		last = refusal
		if ctx.Err() != nil || !retryableElsewhere(refusal.Code) {
			return modeler.CallReply{}, outcome.resolve(refusal)
		}
		d.invalidateRoutes()
	}
}

// retryableElsewhere reports whether an idempotent call may succeed in another
// partition.
func retryableElsewhere(code modeler.Code) bool {
	switch code { //nolint:exhaustive // All other causes apply to every partition.
	case modeler.CodeNotOwner, modeler.CodeNoOwner, modeler.CodeLostAnswer, modeler.CodeNoExecutor, modeler.CodeDraining,
		modeler.CodeOverload, modeler.CodeQueueFull, modeler.CodeLogDown, modeler.CodeInternal, modeler.CodeTimeout:
		return true
	default:
		return false
	}
}

// selectPartition selects a partition for the next attempt. Before the first
// attempt it waits for one while any partition has no ready owner. After a refusal
// for overload it selects only partitions with free slots, because another full
// one would refuse as well.
func (d *Dispatcher) selectPartition(ctx context.Context, doc modeler.Document, service string,
	tried map[modeler.PartitionID]bool, last *modeler.Refusal,
) (modeler.PartitionID, bool) {
	allowFull := last == nil || last.Code != modeler.CodeOverload && last.Code != modeler.CodeQueueFull
	for {
		partition, allReady := d.nearest(doc, service, tried, allowFull)
		if partition != "" {
			tried[partition] = true

			return partition, true
		}
		if last != nil || allReady || !sleep(ctx, retryInterval/2+rand.N(retryInterval)) {
			return "", false
		}
	}
}

// The tiers of candidates, by increasing cost of reaching them.
const (
	sameZone = iota
	sameRegion
	otherRegion
	tierCount
)

// candidate is a partition that may answer a call.
type candidate struct {
	id   modeler.PartitionID
	free int64
}

// nearest selects the less loaded of two random candidates in the nearest tier
// with free slots. If no tier has any and allowFull is set, it selects in the
// nearest tier. allReady reports that every partition has a ready owner, so
// that waiting would yield no further candidate.
func (d *Dispatcher) nearest(doc modeler.Document, service string,
	tried map[modeler.PartitionID]bool, allowFull bool,
) (id modeler.PartitionID, allReady bool) {
	routes := d.routes()
	var free, busy [tierCount][]candidate
	allReady = true
	for _, p := range doc.Partitions {
		r, ok := routes[p.Name]
		if !ok || !r.live || !r.load.Ready {
			allReady = false

			continue
		}
		slots, offered := freeSlots(r.load, service)
		if tried[p.Name] || !offered {
			continue
		}
		tier := d.tier(p, r)
		switch {
		case slots > 0:
			free[tier] = append(free[tier], candidate{p.Name, slots})
		case allowFull:
			busy[tier] = append(busy[tier], candidate{p.Name, slots})
		}
	}
	for _, groups := range [...][tierCount][]candidate{free, busy} {
		for _, group := range groups {
			if len(group) > 0 {
				return lessLoaded(group), allReady
			}
		}
	}

	return "", allReady
}

func (d *Dispatcher) tier(p modeler.Partition, r route) int {
	switch {
	case p.Region != d.self.Region:
		return otherRegion
	case r.zone != d.self.Zone:
		return sameRegion
	default:
		return sameZone
	}
}

// freeSlots returns the free slots for service. offered is false if the
// partition has no executor for it.
func freeSlots(load modeler.Load, service string) (free int64, offered bool) {
	dedicated, ok := load.Services[service]
	shared, okShared := load.Services[""]

	return dedicated + shared, ok || okShared
}

// lessLoaded returns the candidate with more free slots out of two random ones
// (power of two choices).
func lessLoaded(group []candidate) modeler.PartitionID {
	a, b := group[rand.N(len(group))], group[rand.N(len(group))]
	if b.free > a.free {
		a = b
	}

	return a.id
}
