package owner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// claimInterval is the minimum interval between claims that are requested to
// release transfers or to add endpoints to the roster.
const claimInterval = time.Second

// unreleasedTransfer is a transfer that its receiver must not use yet.
// Otherwise a successor that is cut off from the log could take over by rank
// without having read the transfer, and use the same part of the limit again.
// The transfer is released when a majority of the endpoints has seen the term
// of a claim that follows the transfer in the log: a successor of an earlier
// claim then gets no majority, and a successor of this claim has read the
// transfer.
type unreleasedTransfer struct {
	transfer encoder.Transfer
	// committed is set once the transfer was read back from the stream.
	committed bool
	// term is the term of the first claim that follows the transfer; zero before.
	term modeler.Term
}

// restoreTransfers loads the transfers that earlier owners did not release. The
// claim of this owner, if there is one, follows all of them.
func (c *Core) restoreTransfers(sent []encoder.Transfer) {
	for _, transfer := range sent {
		if !transfer.Released {
			c.unreleased = append(c.unreleased, &unreleasedTransfer{transfer: transfer, committed: true})
		}
	}
	if c.claimed() {
		c.markTransfersClaimed()
	}
}

// applyPredecessorTransfer applies an earlier owner's transfer. The claim that
// replaces this owner's term follows the transfer, and this owner releases it.
func (c *Core) applyPredecessorTransfer(transfer encoder.Transfer) {
	sent := transfer.From == c.partition && !transfer.Received
	switch {
	case sent && transfer.Released:
		c.unreleased = slices.DeleteFunc(c.unreleased, func(o *unreleasedTransfer) bool { return o.transfer.Seq == transfer.Seq })
	case sent && transfer.Seq > c.transfers.LastSent:
		c.unreleased = append(c.unreleased, &unreleasedTransfer{transfer: transfer, committed: true})
	}
	c.applyTransfer(transfer)
}

// markTransfersClaimed records that the claim of the current term follows all
// committed transfers.
func (c *Core) markTransfersClaimed() {
	for _, unreleased := range c.unreleased {
		if unreleased.committed && unreleased.term == 0 {
			unreleased.term = c.term
		}
	}
}

// tickTransfers advances the oldest unreleased transfer: it requests a claim
// that follows the transfer, gets a majority of the endpoints to see the term of
// that claim, and writes the release.
func (c *Core) tickTransfers() {
	for len(c.unreleased) > 0 && c.claimed() && (c.ready() || !c.hasEndpoints()) {
		oldest := c.unreleased[0]
		if !oldest.committed {
			return
		}
		if oldest.term == 0 {
			if c.now.Sub(c.lastClaimRequest) >= claimInterval {
				c.lastClaimRequest = c.now
				c.emit(ClaimCmd{})
			}

			return
		}
		if !c.ensureMajority(oldest.term) || !c.fitsAllotment(oldest.transfer.Team) {
			return
		}
		transfer := oldest.transfer
		transfer.Released = true
		c.write(item{transfer: &transfer})
		c.unreleased = c.unreleased[1:]
	}
}

// quiescent reports whether no start or call is in flight to the endpoint. A
// new session would make the endpoint refuse it.
func (e *endpoint) quiescent() bool {
	for _, t := range e.tasks {
		if t.state == modeler.TaskStarting {
			return false
		}
	}

	return len(e.calls) == 0
}

// fitsAllotment reports whether the team's work fits its allotment and no
// endpoint may run work that the owner does not know of. Work that a successor
// without the log started before it was fenced may exceed the reduced
// allotment.
func (c *Core) fitsAllotment(id modeler.TeamID) bool {
	for _, e := range c.endpoints {
		if e.state != endpointOpen && e.state != endpointGone {
			return false
		}
	}
	t := c.team(id)

	return t.running().Fits(t.allotment)
}
