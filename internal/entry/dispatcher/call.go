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

// Call has a call answered. A non-idempotent call goes to the home partition of
// its request; an idempotent one to the nearest partition with free slots.
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
	err := d.atHome(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) (err error) {
		reply, err = call(ctx, owner, msg)

		return err
	})

	return reply, err
}

// answerMargin is the part of a call's time that is left for the way back of the
// answer. It covers three round trips between regions.
const answerMargin = 100 * time.Millisecond

// call executes a call and checks that the answer belongs to it (I5). The owner
// gets less time than the caller has: an owner that gives up knows whether the
// call ran, whereas an expired context here leaves that open.
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
	var doubt doubt
	var last *modeler.Refusal
	tried := map[modeler.PartitionID]bool{}
	for {
		partition, ok := d.await(ctx, doc, msg.Service, tried, last)
		if !ok {
			if last == nil {
				last = modeler.NotRun(modeler.CodeNoExecutor, time.Second, "no partition offers service %q", msg.Service)
			}

			return modeler.CallReply{}, doubt.settle(last)
		}
		if last != nil {
			if !d.budget.Spend() {
				return modeler.CallReply{}, doubt.settle(last)
			}
			retries.Add(1)
		}
		reply, err := d.attempt(ctx, doc, msg, partition, tried)
		if err == nil {
			return reply, nil
		}
		refusal := asRefusal(err)
		doubt.note(refusal)
		last = refusal
		if ctx.Err() != nil || !elsewhere(refusal.Code) {
			return modeler.CallReply{}, doubt.settle(refusal)
		}
		d.forgetTable()
	}
}

// elsewhere reports whether an idempotent call may succeed in another
// partition.
func elsewhere(code modeler.Code) bool {
	switch code { //nolint:exhaustive // All other causes hold everywhere.
	case modeler.CodeNotOwner, modeler.CodeNoOwner, modeler.CodeLostAnswer, modeler.CodeNoExecutor, modeler.CodeDraining,
		modeler.CodeOverload, modeler.CodeQueueFull, modeler.CodeLogDown, modeler.CodeInternal, modeler.CodeTimeout:
		return true
	default:
		return false
	}
}

// await selects a partition. On the first attempt it waits for one while any
// partition is between owners. After a refusal for overload only partitions
// with free slots are tried, because another full one would refuse as well.
func (d *Dispatcher) await(ctx context.Context, doc modeler.Document, service string,
	tried map[modeler.PartitionID]bool, last *modeler.Refusal,
) (modeler.PartitionID, bool) {
	full := last == nil || last.Code != modeler.CodeOverload && last.Code != modeler.CodeQueueFull
	for {
		partition, settled := d.nearest(doc, service, tried, full)
		if partition != "" {
			tried[partition] = true

			return partition, true
		}
		if last != nil || settled || !sleep(ctx, pause/2+rand.N(pause)) {
			return "", false
		}
	}
}

// The tiers of a candidate by the cost of reaching it.
const (
	sameZone = iota
	sameRegion
	otherRegion
	tiers
)

// candidate is a partition that may answer a call.
type candidate struct {
	id   modeler.PartitionID
	free int64
}

// nearest selects the less loaded of two random candidates of the nearest tier
// that has free slots or, if none has and full is set, of the nearest tier at
// all. settled is set when every partition has a ready owner, so that waiting
// is no use.
func (d *Dispatcher) nearest(doc modeler.Document, service string,
	tried map[modeler.PartitionID]bool, full bool,
) (id modeler.PartitionID, settled bool) {
	routes := d.routes()
	var free, busy [tiers][]candidate
	settled = true
	for _, p := range doc.Partitions {
		r, ok := routes[p.Name]
		if !ok || !r.alive || !r.load.Ready {
			settled = false

			continue
		}
		slots, offered := slots(r.load, service)
		if tried[p.Name] || !offered {
			continue
		}
		tier := d.tier(p, r)
		switch {
		case slots > 0:
			free[tier] = append(free[tier], candidate{p.Name, slots})
		case full:
			busy[tier] = append(busy[tier], candidate{p.Name, slots})
		}
	}
	for _, groups := range [...][tiers][]candidate{free, busy} {
		for _, group := range groups {
			if len(group) > 0 {
				return lessLoaded(group), settled
			}
		}
	}

	return "", settled
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

// slots returns the free slots for service. offered is unset when the partition
// has no executor that runs it.
func slots(load modeler.Load, service string) (free int64, offered bool) {
	own, ok := load.Services[service]
	shared, okShared := load.Services[""]

	return own + shared, ok || okShared
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
