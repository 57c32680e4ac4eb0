package planner_test

import (
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// stop mirrors leader.stopCall.
func (o *owner) stop(target definer.Target, order definer.StopOrder, began definer.Instant) {
	w := o.world
	w.call(o, target, stopTimeout, func(l *life, answer func(reply)) { answer(l.stop(order)) }, func(r reply) {
		if r.verdict == definer.VerdictUnknown || r.verdict == definer.VerdictRefused {
			if w.now.Sub(began) <= planner.StopRetryWindow {
				o.later(stopRetryDelay, func() { o.stop(target, order, began) })
			}

			return
		}
		o.post(func() {
			switch r.verdict { //nolint:exhaustive // All other verdicts are repeated.
			case definer.VerdictFenced:
				o.stepDown("fenced by " + target.ID)
			case definer.VerdictMisdirected:
				o.misdirected(target)
			default:
				o.planner.StopAnswered(target.ID, order, w.now)
			}
		})
	})
}

// renewDue mirrors leader.renewDue.
func (o *owner) renewDue() {
	ids := o.planner.Endpoints()
	slices.Sort(ids)
	for _, id := range ids {
		r := o.renewal(id)
		if !r.outstanding && o.world.now >= r.due {
			wait := renewWait
			if r.due == 0 {
				wait = 0
			}
			r.outstanding = true
			o.renew(id, wait, false)
		}
	}
}

func (o *owner) renewal(id string) *renewal {
	r := o.renewals[id]
	if r == nil {
		r = &renewal{}
		o.renewals[id] = r
	}

	return r
}

// renew mirrors leader.renewCall.
func (o *owner) renew(id string, wait time.Duration, extra bool) {
	w := o.world
	sent := w.now
	target, order, ok := o.planner.RenewOrder(id, sent)
	if !ok {
		return
	}
	order.Term, order.Wait = o.term, wait
	w.call(o, target, wait+renewSlack, func(l *life, answer func(reply)) { l.renew(order, sent, answer) }, func(r reply) {
		o.post(func() { o.reported(target, sent, r, extra) })
	})
}

// reported mirrors leader.reportMsg.
func (o *owner) reported(target definer.Target, sent definer.Instant, r reply, extra bool) {
	now, id := o.world.now, target.ID
	if extra {
		if r.verdict == definer.VerdictDone {
			o.planner.Report(id, sent, now, r.report)
		}

		return
	}
	next := o.renewal(id)
	next.outstanding, next.sent = false, sent
	switch r.verdict { //nolint:exhaustive // All other verdicts mean that the lease was not renewed.
	case definer.VerdictDone:
		o.planner.Report(id, sent, now, r.report)
		next.due = max(sent.Add(minRenewInterval), now)
		if o.planner.HasUnacknowledgedEnds(id) {
			next.due = max(sent.Add(minUnstoredRenewInterval), now)
		}
		if next.due <= now {
			next.outstanding = true
			o.renew(id, renewWait, false)
		}
	case definer.VerdictFenced:
		o.stepDown("fenced by " + id)
	default:
		if r.verdict == definer.VerdictMisdirected {
			o.misdirected(target)
		}
		o.planner.RenewalFailed(id)
		next.due = now.Add(renewRetryDelay)
	}
}

// misdirected handles the answer of another endpoint at the target's address.
func (o *owner) misdirected(target definer.Target) {
	o.world.record(definer.TaskName{}, target.ID, "%s: another endpoint answers at %v", o.name, target.Address)
	o.planner.EndpointReplaced(target, o.world.now)
}

// appendIfDue mirrors leader.journal.appendIfDue and the outcome of an append.
func (o *owner) appendIfDue() {
	now := o.world.now
	if o.outstanding != nil || o.ended {
		return
	}
	elapsed := now.Sub(o.lastAppend)
	urgent := len(o.submissions) > 0 || len(o.confirmations) > 0 || o.planner.HasChangedEndpoints()
	switch {
	case urgent && elapsed >= urgentAppendInterval:
	case o.planner.HasUnstoredProgress() && elapsed >= progressAppendInterval:
	case elapsed >= heartbeatInterval:
	default:
		return
	}
	b := o.newBatch()
	o.outstanding, o.lastAppend = b, now
	o.append(o.end, b.records, false, func(appended bool) { o.post(func() { o.appended(b, appended) }) })
}

// newBatch mirrors leader.journal.newBatch: the order of the records matters.
func (o *owner) newBatch() *batch {
	b := &batch{created: o.world.now, submissions: o.submissions, confirmations: o.confirmations}
	b.endpoints, b.removedEndpoints = o.planner.ChangedEndpoints()
	slices.SortFunc(b.endpoints, func(a, b definer.Listing) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(b.removedEndpoints)
	for i := range b.endpoints {
		b.records = append(b.records, journaler.EncodeEndpoint(&b.endpoints[i]))
	}
	for _, id := range b.removedEndpoints {
		b.records = append(b.records, journaler.EncodeEndpointRemoval(id))
	}
	for _, id := range o.jobsToRemove {
		b.records = append(b.records, journaler.EncodeJobRemoval(id))
	}
	o.jobsToRemove, o.submissions, o.confirmations = nil, nil, nil
	for _, c := range b.submissions {
		b.records = append(b.records, journaler.EncodeJob(&c.job))
	}
	b.snapshots, b.ends = o.planner.Dirty()
	slices.SortFunc(b.snapshots, func(a, b planner.Snapshot) int { return strings.Compare(a.ID, b.ID) })
	b.lives = o.planner.Lives()
	for _, snapshot := range b.snapshots {
		b.records = append(b.records, journaler.EncodeProgress(snapshot)...)
	}
	if len(b.records) == 0 {
		o.beats++
		claim := o.claim
		claim.Term, claim.Beat = o.term, o.beats
		b.records = append(b.records, journaler.EncodeClaim(claim))
	}

	return b
}

// appended mirrors leader.appendedMsg.
func (o *owner) appended(b *batch, appended bool) {
	now := o.world.now
	if !appended {
		o.stepDown("another owner has appended")

		return
	}
	o.outstanding = nil
	o.end += int64(len(b.records))
	for _, c := range b.submissions {
		o.planner.Accept(c.job, now, o.world.wall())
		c.accepted = true
	}
	for _, confirm := range b.confirmations {
		confirm()
	}
	o.planner.EndpointsStored(b.endpoints, b.removedEndpoints)
	for _, id := range b.removedEndpoints {
		delete(o.renewals, id)
	}
	o.planner.Appended(o.end, b.created)
	o.planner.Stored(b.snapshots)
	o.planner.Acknowledge(b.ends, b.lives)
	for id := range b.ends {
		if r := o.renewals[id]; r != nil && r.due > now {
			r.due = max(min(r.due, r.sent.Add(minRenewInterval)), now)
		}
	}
}

// client submits a job until it is accepted and follows it until it is final.
type client struct {
	job      definer.Job
	accepted bool
	state    definer.JobState
}

// follow submits the job to the newest owner or asks it for the job's state.
func (c *client) follow(w *world) {
	if c.state.Final() {
		return
	}
	if o := w.newestOwner(); o != nil && o.loaded && !o.frozen {
		o.post(func() {
			state, _, known := o.planner.State(c.job.ID)
			switch {
			case known:
				c.accepted, c.state = true, state
				if state == definer.JobRunning {
					w.checkBegun(c.job.ID)
				}
			case !slices.Contains(o.submissions, c) && (o.outstanding == nil || !slices.Contains(o.outstanding.submissions, c)):
				o.submissions = append(o.submissions, c)
			}
		})
	}
	w.after(500*time.Millisecond, func() { c.follow(w) })
}
