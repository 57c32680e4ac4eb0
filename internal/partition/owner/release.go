package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// claimGiftsEvery bounds the claims that are made to release gifts.
const claimGiftsEvery = time.Second

// unreleased is a gift that its receiver must not use yet. A successor that is
// cut off from the log could otherwise take over by rank without having read
// the gift, and use the same part of the limit again. The gift is released
// when a majority of the endpoints has seen the term of a claim that is in the
// log behind the gift: a successor of an earlier claim gets no majority then,
// and one of this claim has read the gift.
type unreleased struct {
	gift encoder.Gift
	// logged is set once the gift was read back.
	logged bool
	// term is that of the first claim behind the gift; zero before.
	term modeler.Term
}

// restoreGifts takes over the gifts that earlier owners did not release. The
// claim of this owner, if there is one, is behind all of them.
func (c *Core) restoreGifts(given []encoder.Gift) {
	for _, gift := range given {
		if !gift.Released {
			c.unreleased = append(c.unreleased, &unreleased{gift: gift, logged: true})
		}
	}
	if c.claimed() {
		c.coverGifts()
	}
}

// coverGifts notes that the claim of the present term is behind all gifts that
// were read back.
func (c *Core) coverGifts() {
	for _, held := range c.unreleased {
		if held.logged && held.term == 0 {
			held.term = c.term
		}
	}
}

// tickRelease moves the oldest unreleased gift on: it asks for a claim behind
// it, raises endpoints to the term of that claim, and writes the release.
func (c *Core) tickRelease() {
	for len(c.unreleased) > 0 && c.claimed() && (c.Ready() || !c.listsAny()) {
		held := c.unreleased[0]
		if !held.logged {
			return
		}
		if held.term == 0 {
			if c.now.Sub(c.claimAsked) >= claimGiftsEvery {
				c.claimAsked = c.now
				c.emit(ClaimCmd{})
			}

			return
		}
		if !c.raisedTo(held.term) || !c.settled(held.gift.Team) {
			return
		}
		gift := held.gift
		gift.Released = true
		c.write(item{gift: &gift})
		c.unreleased = c.unreleased[1:]
	}
}

// raisedTo reports whether a majority of the endpoints has granted a session
// under term or later, and asks as many others as are missing for one, when
// nothing is on its way to them. Without
// endpoints a successor has nothing to start work on.
func (c *Core) raisedTo(term modeler.Term) bool {
	raised, listed := c.count(func(e *endpoint) bool { return e.state == endpointOpen && e.term >= term })
	missing := listed/2 + 1 - raised
	if missing <= 0 || listed == 0 {
		return true
	}
	for _, e := range ordered(c.endpoints) {
		if missing > 0 && e.listed && e.state == endpointOpen && e.term < term && e.quiet() {
			e.renew = true
			missing--
		}
	}

	return false
}

// quiet reports whether no start or call is on its way to the endpoint. A new
// session would make the endpoint refuse it.
func (e *endpoint) quiet() bool {
	for _, t := range e.tasks {
		if t.state == modeler.TaskStarting {
			return false
		}
	}

	return len(e.calls) == 0
}

// settled reports whether the team's work fits its allotment and no endpoint
// may run work that the owner does not know of. Work that a successor without
// the log had started before it was fenced may exceed the reduced allotment.
func (c *Core) settled(id modeler.TeamID) bool {
	for _, e := range c.endpoints {
		if e.state != endpointOpen && e.state != endpointGone {
			return false
		}
	}
	t := c.team(id)

	return t.running().Fits(t.allotment)
}
