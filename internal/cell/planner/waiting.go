package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// lack is what keeps a gang from starting.
type lack int

const (
	// lackTurn means that rounds of placement did not look at the gang.
	lackTurn lack = iota
	// lackTakeover means that the runs of the previous owner are not all known.
	lackTakeover
	// lackRuns means that runs of the gang may not be over.
	lackRuns
	// lackLimit means that the gang would exceed the limit of its account.
	lackLimit
	// lackAnswer means that the policy has not answered about any endpoint.
	lackAnswer
	// lackAdmission means that the admitted endpoints are too small even when they are empty.
	lackAdmission
	// lackRoom means that the admitted endpoints have too little room.
	lackRoom
	// lackReserved means that they would have enough without the room that is held for other gangs.
	lackReserved
	// lackTickets means that there is room on admitted endpoints, but not with valid tickets.
	lackTickets
	// lackNumber means that the number of the run is not stored yet.
	lackNumber
	lackCount
)

// lackNames are the names of the lacks in the log and the metrics.
var lackNames = [lackCount]string{"turn", "takeover", "runs", "limit", "answer", "admission", "room", "reserved", "tickets", "number"}

// waitRecord splits the time for which a gang has waited by what it lacked. It affects no
// decision.
type waitRecord struct {
	// since is when a round first considered the gang since it began to wait, or 0.
	since definer.Instant
	// lookedAt and round are of the last look, and lacked is what the gang lacked then.
	lookedAt definer.Instant
	round    int
	lacked   lack
	spent    [lackCount]time.Duration
	// questions counts the questions since then, and named the endpoints in them.
	questions, named int
}

// look notes what a gang lacks in a round.
func (w *waitRecord) look(round int, now definer.Instant, lacked lack) {
	w.charge(round, now)
	w.lookedAt, w.round, w.lacked = now, round, lacked
}

// charge adds the time since the last look to what the gang lacked then, or to its turn
// if rounds have left it out since.
func (w *waitRecord) charge(round int, now definer.Instant) {
	if w.since == 0 {
		w.since = now

		return
	}
	lacked := w.lacked
	if round > w.round+1 {
		lacked = lackTurn
	}
	w.spent[lacked] += now.Sub(w.lookedAt)
}

// args returns the parts of the wait for the log, without those that are 0.
func (w *waitRecord) args() []any {
	args := []any{"questions", w.questions, "named", w.named}
	for lacked, spent := range w.spent {
		if spent > 0 {
			args = append(args, "lacked "+lackNames[lacked], spent)
		}
	}

	return args
}

// lacks notes in the round what a gang lacks.
func (ps *pass) lacks(s *step, lacked lack) { s.waited.look(ps.planner.rounds, ps.now, lacked) }

// noteGangStart notes how long a gang has waited and for what, and begins anew.
func (ps *pass) noteGangStart(s *step, number int, endpoints []*endpoint) {
	w := &s.waited
	w.charge(ps.planner.rounds, ps.now)
	note := Note{Event: "gang started", Job: s.job.ID, Args: append([]any{
		"queue", s.job.Queue.Name, "step", s.index, "run", number, "tasks", len(endpoints), "endpoints", len(distinct(endpoints)),
		"urgency", s.urgency, "waited", ps.now.Sub(w.since),
	}, w.args()...)}
	if s.plan.exists() {
		note.Args = append(note.Args, "plan age", ps.now.Sub(s.plan.since), "plan late", ps.now.Sub(s.plan.startsAt))
	}
	for lacked, spent := range w.spent {
		if spent > 0 {
			note.Latencies = append(note.Latencies, Latency{Name: "gang lacked " + lackNames[lacked], Time: spent})
		}
	}
	ps.planner.notes = append(ps.planner.notes, note)
	s.waited = waitRecord{}
}
