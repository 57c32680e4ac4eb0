package dispatcher

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// attempt is one of the concurrent attempts of an idempotent call.
type attempt struct {
	d         *Dispatcher
	msg       modeler.CallMsg
	partition modeler.PartitionID
	results   chan<- result
}

// result is the reply or the error of an attempt.
type result struct {
	reply modeler.CallReply
	err   error
}

// run makes the attempt. Sending its result never blocks, because the channel
// has room for the results of all attempts.
func (a attempt) run(ctx context.Context) {
	reply, err := a.d.callAt(ctx, a.msg, a.partition)
	a.results <- result{reply, err}
}

// callAt sends a call to the current owner of partition. It does not wait for an
// owner if there is none.
func (d *Dispatcher) callAt(ctx context.Context, msg modeler.CallMsg, partition modeler.PartitionID) (modeler.CallReply, error) {
	msg.Partition = partition
	owner, ok := d.owners.CommandsOf(d.routes()[partition].owner)
	if !ok {
		return modeler.CallReply{}, modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no reachable owner", partition)
	}

	return call(ctx, owner, msg)
}

// callHedged calls partition and, after the hedge delay, a second partition. The
// first answer is returned and the other attempt is cancelled. An error is
// returned only after all attempts have failed; one that leaves the outcome
// unknown takes precedence.
func (d *Dispatcher) callHedged(ctx context.Context, doc modeler.Document, msg modeler.CallMsg,
	partition modeler.PartitionID, tried map[modeler.PartitionID]bool,
) (modeler.CallReply, error) {
	if d.hedge <= 0 {
		return d.callAt(ctx, msg, partition)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	go attempt{d, msg, partition, results}.run(ctx)
	timer := time.NewTimer(d.hedge)
	defer timer.Stop()
	var outcome outcomeTracker
	for pending := 1; ; {
		select {
		case r := <-results:
			if r.err == nil {
				return r.reply, nil
			}
			refusal := asRefusal(r.err)
			outcome.observe(refusal)
			if pending--; pending == 0 {
				return modeler.CallReply{}, outcome.resolve(refusal)
			}
		case <-timer.C:
			// Only partitions with free slots are hedged to: a full one would not
			// answer sooner, and hedges would add to an overload.
			second, _ := d.nearest(doc, msg.Service, tried, false)
			if second == "" || !d.budget.Spend() {
				continue
			}
			tried[second] = true
			hedges.Add(1)
			pending++
			go attempt{d, msg, second, results}.run(ctx)
		}
	}
}
