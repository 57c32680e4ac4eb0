package dispatcher

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// try is one of the concurrent attempts of an idempotent call.
type try struct {
	d         *Dispatcher
	msg       modeler.CallMsg
	partition modeler.PartitionID
	results   chan<- result
}

type result struct {
	reply modeler.CallReply
	err   error
}

// run makes the attempt; results has room for it.
func (t try) run(ctx context.Context) {
	reply, err := t.d.callAt(ctx, t.msg, t.partition)
	t.results <- result{reply, err}
}

// callAt sends a call to the present owner of partition, without waiting for
// another one.
func (d *Dispatcher) callAt(ctx context.Context, msg modeler.CallMsg, partition modeler.PartitionID) (modeler.CallReply, error) {
	msg.Partition = partition
	owner, ok := d.owners.To(d.routes()[partition].owner)
	if !ok {
		return modeler.CallReply{}, modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no reachable owner", partition)
	}

	return call(ctx, owner, msg)
}

// attempt calls partition, and a second one after the hedge delay. The first
// answer wins; the other attempt is cancelled. An error is returned only when
// no attempt is left, and is the one of doubt if there is any.
func (d *Dispatcher) attempt(ctx context.Context, doc modeler.Document, msg modeler.CallMsg,
	partition modeler.PartitionID, tried map[modeler.PartitionID]bool,
) (modeler.CallReply, error) {
	if d.hedge <= 0 {
		return d.callAt(ctx, msg, partition)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	go try{d, msg, partition, results}.run(ctx)
	timer := time.NewTimer(d.hedge)
	defer timer.Stop()
	var doubt doubt
	for open := 1; ; {
		select {
		case r := <-results:
			if r.err == nil {
				return r.reply, nil
			}
			refusal := asRefusal(r.err)
			doubt.note(refusal)
			if open--; open == 0 {
				return modeler.CallReply{}, doubt.settle(refusal)
			}
		case <-timer.C:
			// A full partition would answer no sooner, and hedges would add to
			// an overload.
			second, _ := d.nearest(doc, msg.Service, tried, false)
			if second == "" || !d.budget.Spend() {
				continue
			}
			tried[second] = true
			hedges.Add(1)
			open++
			go try{d, msg, second, results}.run(ctx)
		}
	}
}
