package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/limiter"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// tokenRequestInterval is the minimum interval between requests for more of a team's
// limit.
const tokenRequestInterval = time.Second

// starvedTTL is how long a team counts as held back by its allotment after the
// scheduler reported it, which it repeats every second.
const starvedTTL = 3 * time.Second

// team is the resource account of a team in this partition.
type team struct {
	id        modeler.TeamID
	allotment modeler.Resources
	// usage is what the team's placed tasks and calls need.
	usage modeler.Resources
	// hidden is what the work that the scheduler does not know of needs: jobs
	// held back after a takeover and untracked work at endpoints.
	hidden modeler.Resources
	// untracked is the part of hidden that is not in usage: untracked work at
	// endpoints, and tasks of held jobs that may run at endpoints that have not
	// granted a session yet.
	untracked modeler.Resources
	// queuedJobs counts the jobs with queued tasks by queue.
	queuedJobs        map[modeler.QueueID]int
	reported          scheduler.TeamMsg
	tokensRequestedAt time.Time
	// starvedAt is when a job of the team was last held back by the allotment;
	// starvedJobAccepted is when that job was accepted.
	starvedAt, starvedJobAccepted time.Time
}

// team returns the account of a team.
func (c *Core) team(id modeler.TeamID) *team {
	t, ok := c.teams[id]
	if !ok {
		t = &team{id: id, queuedJobs: map[modeler.QueueID]int{}}
		c.teams[id] = t
		c.teamsDirty = true
	}

	return t
}

func (t *team) use(needs modeler.Resources)  { t.usage = t.usage.Add(needs) }
func (t *team) free(needs modeler.Resources) { t.usage = t.usage.Sub(needs) }

// running returns the resources of everything that may run for the team in this
// partition.
func (t *team) running() modeler.Resources { return t.usage.Add(t.untracked) }

// configure applies the configuration in force.
func (c *Core) configure(msg ConfigMsg) {
	if msg.Offset < c.config {
		return
	}
	c.document, c.config = msg.Document, msg.Offset
	for _, t := range msg.Document.Teams {
		c.team(t.Name)
	}
	c.teamsDirty = true
}

// refreshTeams recomputes the allotments and sends the scheduler those that
// have changed.
func (c *Core) refreshTeams() {
	c.teamsDirty = false
	for _, t := range c.teams {
		t.hidden, t.untracked = modeler.Resources{}, modeler.Resources{}
	}
	for _, e := range c.endpoints {
		for _, work := range e.untracked {
			t := c.team(work.team)
			t.hidden, t.untracked = t.hidden.Add(work.needs), t.untracked.Add(work.needs)
		}
	}
	c.addHeldJobs()
	shares := make(map[modeler.TeamID]int64, len(c.document.Teams))
	for _, t := range c.document.Teams {
		shares[t.Name] = t.Share
	}
	layout := limiter.LayoutHash(c.document)
	for id, t := range ordered(c.teams) {
		t.allotment = limiter.Allotment(c.document, c.partition, id, c.transfers.Net[layout][id])
		msg := scheduler.TeamMsg{ID: id, Share: shares[id], Allotment: nonNegative(t.allotment.Sub(t.hidden))}
		if msg != t.reported {
			t.reported = msg
			c.decide(msg)
		}
	}
	c.teamsDirty = false
}

// addHeldJobs adds the tasks of jobs held back to the teams' hidden work. An
// earlier owner may have started a queued one at an endpoint that has not
// granted a session yet.
func (c *Core) addHeldJobs() {
	if c.takeoverComplete && !c.holdingJobs {
		return
	}
	for _, j := range c.jobs {
		if j.scheduled {
			continue
		}
		t := c.team(j.Team)
		for _, task := range j.tasks {
			if task.state.Final() || c.takeoverComplete && task.endpoint == nil {
				continue
			}
			t.hidden = t.hidden.Add(j.Needs)
			if task.endpoint == nil {
				t.untracked = t.untracked.Add(j.Needs)
			}
		}
	}
}

// nonNegative returns r with negative components set to zero.
func nonNegative(r modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(r.Millis, 0), Memory: max(r.Memory, 0), Accelerators: max(r.Accelerators, 0), Slots: max(r.Slots, 0),
	}
}

// handleStarvation records that a job is held back by its team's allotment, and
// asks other partitions for part of the limit.
func (c *Core) handleStarvation(cmd scheduler.TokensCmd) {
	t := c.team(cmd.Team)
	t.starvedAt, t.starvedJobAccepted = c.now, cmd.Since
	c.requestTokens(TokensCmd{Team: cmd.Team, Wanted: cmd.Wanted, Since: cmd.Since})
}

// requestTokens asks other partitions for part of a team's limit.
func (c *Core) requestTokens(cmd TokensCmd) {
	t := c.team(cmd.Team)
	if !t.tokensRequestedAt.IsZero() && c.now.Sub(t.tokensRequestedAt) < tokenRequestInterval || len(c.document.Partitions) < 2 || c.journal.down {
		return
	}
	t.tokensRequestedAt = c.now
	c.emit(cmd)
}

// portion returns how much of a team's idle allotment another partition may
// have. A partition whose own job waits for the limit gives nothing to a
// partition with a younger job, and everything to one with an older job: two
// partitions that passed halves back and forth would both stay below what a
// large gang needs.
func (c *Core) portion(t *team, msg modeler.TokensMsg) limiter.Portion {
	// Only calls wait for slots; jobs never do.
	slots := modeler.Resources{Slots: msg.Wanted.Slots}
	if msg.Wanted == slots || t.starvedAt.IsZero() || c.now.Sub(t.starvedAt) > starvedTTL {
		return limiter.PortionHalf
	}
	if t.starvedJobAccepted.Before(msg.Since) || t.starvedJobAccepted.Equal(msg.Since) && c.partition < msg.To {
		return limiter.PortionNone
	}

	return limiter.PortionAll
}

// transferTokens transfers part of a team's idle allotment to another partition.
// The allotment is reduced at once; the caller is answered when the transfer is
// committed. The receiver learns of the transfer from the stream.
func (c *Core) transferTokens(msg RequestTransferMsg) {
	t := c.team(msg.Team)
	layout := limiter.LayoutHash(c.document)
	parts := limiter.TransferableParts(c.document, c.partition, msg.Team, c.transfers.Net[layout][msg.Team], t.running(), msg.Wanted, c.portion(t, msg.TokensMsg))
	switch {
	case c.retired:
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition))
	case c.journal.down || !c.claimed() || c.journal.full():
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "partition %s: the log does not answer", c.partition))
	case !c.ready() && c.hasEndpoints():
		// A successor that reaches the endpoints but not the log may have taken
		// over, and would not know of the transfer.
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeNotOwner, tokenRequestInterval, "partition %s has lost the majority of its endpoints", c.partition))
	case parts.Zero():
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeOverLimit, tokenRequestInterval, "partition %s has nothing idle of team %s", c.partition, msg.Team))
	default:
		transfer := encoder.Transfer{
			Seq: c.transfers.LastSent + 1, From: c.partition, To: msg.To, Team: msg.Team, Parts: parts, LayoutHash: layout,
		}
		c.applyTransfer(transfer)
		unreleased := &unreleasedTransfer{transfer: transfer}
		c.unreleased = append(c.unreleased, unreleased)
		// A transfer is not revoked when its caller stops waiting: its number is used,
		// and the receiver learns of it from the stream.
		w := &pendingWrite{waiters: []Waiter{msg.Waiter}, expires: c.now.Add(c.logTimeout), irrevocable: true}
		w.done = func(ok bool) {
			unreleased.committed = ok
			for _, waiter := range w.waiters {
				if ok {
					c.answer(waiter, nil, nil)
				}
			}
		}
		c.write(item{transfer: &transfer, pending: w})
	}
}

// receiveTransfer applies a transfer from the sending partition's stream.
func (c *Core) receiveTransfer(transfer encoder.Transfer) {
	if c.retired || transfer.To != c.partition || transfer.Seq <= c.transfers.LastReceived[transfer.From] {
		return
	}
	transfer.Received = true
	c.applyTransfer(transfer)
	c.write(item{transfer: &transfer})
}

// applyTransfer updates the transferred parts for a transfer that this partition sent
// or received.
func (c *Core) applyTransfer(transfer encoder.Transfer) {
	parts := transfer.Parts
	switch {
	case !transfer.Received && transfer.From == c.partition && transfer.Seq > c.transfers.LastSent:
		c.transfers.LastSent = transfer.Seq
		parts = modeler.Resources{}.Sub(parts)
	case transfer.Received && transfer.To == c.partition && transfer.Seq > c.transfers.LastReceived[transfer.From]:
		c.transfers.LastReceived[transfer.From] = transfer.Seq
	default:
		return
	}
	net := c.transfers.Net[transfer.LayoutHash]
	if net == nil {
		net = map[modeler.TeamID]modeler.Resources{}
		c.transfers.Net[transfer.LayoutHash] = net
	}
	net[transfer.Team] = net[transfer.Team].Add(parts)
	c.teamsDirty = true
}
