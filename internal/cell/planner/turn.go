package planner

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// deferrableShare bounds the steps that start or ask in a round although they are too late to be useful or
	// exceed the rate of their account, as a share of the usable endpoints, so that their number does not lengthen
	// the rounds. It bounds those with valid tickets and the others separately.
	deferrableShare = 1.0 / 4
	// turnInterval is the time between rounds for which deferrableShare holds. Rounds further apart have more turns,
	// up to maxScaledTurns, so that steps of a small cell wait no longer on a slow machine. More turns would make
	// the rounds of a large cell longer, and thereby come further apart.
	turnInterval   = 10 * time.Millisecond
	maxScaledTurns = 24
	// rotationRounds is the number of rounds in which all steps are looked at if none of them starts or asks.
	rotationRounds = 16
)

// placeInTurn places the deferrable steps that have their turn in this round. Steps with
// valid tickets do not wait for the turns of the others, because their tickets would
// expire meanwhile.
func (ps *pass) placeInTurn(deferrable []*step) {
	var holders []*step
	others := make([]*step, 0, len(deferrable))
	for _, s := range deferrable {
		if s.queuedSince == 0 {
			s.queuedSince = ps.now
		}
		if s.holdsTickets(ps.now) {
			holders = append(holders, s)
		} else {
			others = append(others, s)
		}
	}
	slices.SortStableFunc(holders, compareHolders)
	slices.SortStableFunc(others, func(a, b *step) int { return cmp.Compare(a.queuedSince, b.queuedSince) })
	// The steps that have no turn keep their reservations.
	for _, s := range deferrable {
		if ps.mustYield(s) {
			s.dropReservation()
		}
		ps.reserved.add(s)
	}
	ps.placeFirst(holders)
	ps.placeFirst(others)
}

// compareHolders orders steps with valid tickets: those that have had no turn since their
// last answer come first, in the order in which their tickets expire, then those whose
// last turn was longest ago.
func compareHolders(a, b *step) int {
	switch untriedA, untriedB := a.hasUntriedTickets(), b.hasUntriedTickets(); {
	case untriedA != untriedB:
		return compareBool(untriedB, untriedA)
	case untriedA:
		return cmp.Compare(a.admission.validUntil, b.admission.validUntil)
	default:
		return cmp.Compare(a.queuedSince, b.queuedSince)
	}
}

// placeFirst places the first of the steps until turns of them have started or asked. A
// step that did neither may wait for good, so it uses up no turn; such steps delay the
// others by about rotationRounds. Steps that can do nothing in this round keep their place.
func (ps *pass) placeFirst(steps []*step) {
	p := ps.planner
	turns := ps.turns()
	looks := max(turns, len(steps)/rotationRounds)
	for _, s := range steps {
		if turns == 0 || looks == 0 {
			return
		}
		if ps.cannotAct(s) || ps.mustYield(s) {
			continue
		}
		looks--
		s.queuedSince = ps.now
		ps.reserved.remove(s)
		commands, pending := len(p.commands), s.pendingCount
		ps.place(s)
		ps.useDeferred(s, pending-s.pendingCount)
		if len(p.commands) > commands {
			turns--
		}
	}
}

// turns returns the number of turns in this round: deferrableShare of the usable
// endpoints, in a small cell for each turnInterval since the last round.
func (ps *pass) turns() int {
	turns := ps.limit(deferrableShare)
	intervals := max(int(ps.sinceLastRound/turnInterval), 1)

	return max(turns, min(intervals*turns, maxScaledTurns))
}

// cannotAct reports whether s can neither start nor ask in this round, as far as that is
// known without a search for room.
func (ps *pass) cannotAct(s *step) bool {
	account := ps.planner.account(s.job.Account)
	switch {
	case s.pendingCount == 0:
		return false
	case s.job.inherited && !ps.takeoverSettled:
		return true
	case s.def.Gang:
		return false
	case !account.withinLimit(s.def.Need, ps.unconfirmed[account]):
		return true
	case s.admission.askBlocked(ps.now) && !s.holdsTickets(ps.now):
		return true
	default:
		return ps.lacksRoom(s) && !ps.needsQuarantined(s)
	}
}

// holdsTickets reports whether tickets of the last answer are valid at the given time.
func (s *step) holdsTickets(now definer.Instant) bool {
	return now.Add(ticketMargin) < s.admission.validUntil
}

// hasUntriedTickets reports whether s has had no turn since it last got tickets.
func (s *step) hasUntriedTickets() bool {
	return s.queuedSince <= s.admission.validUntil.Add(-s.job.Queue.Policy.Validity)
}
