package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/limiter"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// askEvery is the pace of requests for tokens of a team.
const askEvery = time.Second

// starvedFor is how long a team counts as held back by its allotment after
// the decision core said so, which it repeats every second.
const starvedFor = 3 * time.Second

// team is what a team has in this partition.
type team struct {
	id        modeler.TeamID
	allotment modeler.Resources
	// usage is what the team's placed tasks and calls need.
	usage modeler.Resources
	// hidden is what work needs that the decider does not know of: jobs held
	// back after a takeover and strangers at endpoints.
	hidden modeler.Resources
	// strange is the part of hidden that is not in usage: strangers, and
	// tasks of held jobs that may run at endpoints not yet raised.
	strange modeler.Resources
	// waiting counts the jobs with queued tasks by queue.
	waiting map[modeler.QueueID]int
	told    scheduler.TeamMsg
	asked   time.Time
	// starved is when a job of the team was last held back by the allotment,
	// and since when that job was accepted.
	starved, since time.Time
}

// team returns the account of a team.
func (c *Core) team(id modeler.TeamID) *team {
	t, ok := c.teams[id]
	if !ok {
		t = &team{id: id, waiting: map[modeler.QueueID]int{}}
		c.teams[id] = t
		c.teamsDirty = true
	}

	return t
}

func (t *team) use(needs modeler.Resources)  { t.usage = t.usage.Add(needs) }
func (t *team) free(needs modeler.Resources) { t.usage = t.usage.Sub(needs) }

// running returns all that a team may have running in this partition.
func (t *team) running() modeler.Resources { return t.usage.Add(t.strange) }

// configure takes over the configuration in force.
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

// refreshTeams recomputes the allotments and tells the decider of changes.
func (c *Core) refreshTeams() {
	c.teamsDirty = false
	for _, t := range c.teams {
		t.hidden, t.strange = modeler.Resources{}, modeler.Resources{}
	}
	for _, e := range c.endpoints {
		for _, s := range e.strangers {
			t := c.team(s.team)
			t.hidden, t.strange = t.hidden.Add(s.needs), t.strange.Add(s.needs)
		}
	}
	c.hideHeld()
	shares := make(map[modeler.TeamID]int64, len(c.document.Teams))
	for _, t := range c.document.Teams {
		shares[t.Name] = t.Share
	}
	shape := limiter.LayoutHash(c.document)
	for id, t := range ordered(c.teams) {
		t.allotment = limiter.Allotment(c.document, c.partition, id, c.gifts.Net[shape][id])
		msg := scheduler.TeamMsg{ID: id, Share: shares[id], Allotment: atLeastZero(t.allotment.Sub(t.hidden))}
		if msg != t.told {
			t.told = msg
			c.decide(msg)
		}
	}
	c.teamsDirty = false
}

// hideHeld counts the tasks of jobs held back. A queued one may have been
// started by an earlier owner at an endpoint that is not yet raised.
func (c *Core) hideHeld() {
	if c.released && !c.holding {
		return
	}
	for _, j := range c.jobs {
		if j.released {
			continue
		}
		t := c.team(j.Team)
		for _, k := range j.tasks {
			if k.state.Final() || c.released && k.at == nil {
				continue
			}
			t.hidden = t.hidden.Add(j.Needs)
			if k.at == nil {
				t.strange = t.strange.Add(j.Needs)
			}
		}
	}
}

// atLeastZero returns r with negative components raised to zero.
func atLeastZero(r modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(r.Millis, 0), Memory: max(r.Memory, 0), Accelerators: max(r.Accelerators, 0), Slots: max(r.Slots, 0),
	}
}

// wantTokens notes that a job waits for the limit and asks other partitions
// for part of it.
func (c *Core) wantTokens(cmd scheduler.TokensCmd) {
	t := c.team(cmd.Team)
	t.starved, t.since = c.now, cmd.Since
	c.askTokens(TokensCmd{Team: cmd.Team, Wanted: cmd.Wanted, Since: cmd.Since})
}

// askTokens asks other partitions for part of a team's limit.
func (c *Core) askTokens(cmd TokensCmd) {
	t := c.team(cmd.Team)
	if !t.asked.IsZero() && c.now.Sub(t.asked) < askEvery || len(c.document.Partitions) < 2 || c.journal.down {
		return
	}
	t.asked = c.now
	c.emit(cmd)
}

// portion returns how much of a team's idle allotment another partition may
// have. A partition whose own job waits for the limit gives nothing to one
// with a younger job, and everything to one with an older job: two partitions
// that passed halves to and fro would both stay below what a wide job needs.
func (c *Core) portion(t *team, msg modeler.TokensMsg) limiter.Portion {
	// Calls wait for slots only, jobs never do.
	slots := modeler.Resources{Slots: msg.Wanted.Slots}
	if msg.Wanted == slots || t.starved.IsZero() || c.now.Sub(t.starved) > starvedFor {
		return limiter.PortionHalf
	}
	if t.since.Before(msg.Since) || t.since.Equal(msg.Since) && c.partition < msg.To {
		return limiter.PortionNone
	}

	return limiter.PortionAll
}

// give hands part of a team's idle allotment to another partition: the
// allotment is reduced at once, and the caller is answered when the gift is in
// the stream, from which the receiver learns it.
func (c *Core) give(msg GiveMsg) {
	t := c.team(msg.Team)
	shape := limiter.LayoutHash(c.document)
	parts := limiter.TransferableParts(c.document, c.partition, msg.Team, c.gifts.Net[shape][msg.Team], t.running(), msg.Wanted, c.portion(t, msg.TokensMsg))
	switch {
	case c.retired:
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeNotOwner, notOwnerRetry, "partition %s has another owner", c.partition))
	case c.journal.down || !c.claimed() || c.journal.full():
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetry, "partition %s: the log does not answer", c.partition))
	case !c.Ready() && c.listsAny():
		// A successor that reaches the endpoints but not the log may have taken
		// over, and would not know of the gift.
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeNotOwner, askEvery, "partition %s has lost the majority of its endpoints", c.partition))
	case parts.Zero():
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeOverLimit, askEvery, "partition %s has nothing idle of team %s", c.partition, msg.Team))
	default:
		gift := encoder.Gift{
			Seq: c.gifts.LastGiven + 1, From: c.partition, To: msg.To, Team: msg.Team, Parts: parts, Shape: shape,
		}
		c.applyGift(gift)
		held := &unreleased{gift: gift}
		c.unreleased = append(c.unreleased, held)
		// A gift is not taken back when its caller gives up: its number was
		// used, and the receiver learns of it from the stream.
		w := &wait{waiters: []Waiter{msg.Waiter}, expires: c.now.Add(c.patience), keep: true}
		w.done = func(ok bool) {
			held.logged = ok
			for _, waiter := range w.waiters {
				if ok {
					c.answer(waiter, nil, nil)
				}
			}
		}
		c.write(item{gift: &gift, wait: w})
	}
}

// listsAny reports whether the partition has endpoints at all.
func (c *Core) listsAny() bool {
	_, listed := c.count(func(*endpoint) bool { return false })

	return listed > 0
}

// receive takes a gift that the giver's stream contains.
func (c *Core) receive(gift encoder.Gift) {
	if c.retired || gift.To != c.partition || gift.Seq <= c.gifts.LastReceived[gift.From] {
		return
	}
	gift.Received = true
	c.applyGift(gift)
	c.write(item{gift: &gift})
}

// applyGift counts a gift that this partition gave or received.
func (c *Core) applyGift(gift encoder.Gift) {
	parts := gift.Parts
	switch {
	case !gift.Received && gift.From == c.partition && gift.Seq > c.gifts.LastGiven:
		c.gifts.LastGiven = gift.Seq
		parts = modeler.Resources{}.Sub(parts)
	case gift.Received && gift.To == c.partition && gift.Seq > c.gifts.LastReceived[gift.From]:
		c.gifts.LastReceived[gift.From] = gift.Seq
	default:
		return
	}
	net := c.gifts.Net[gift.Shape]
	if net == nil {
		net = map[modeler.TeamID]modeler.Resources{}
		c.gifts.Net[gift.Shape] = net
	}
	net[gift.Team] = net[gift.Team].Add(parts)
	c.teamsDirty = true
}
