// Package verifier checks the invariants of a run against the events of the
// endpoints and the answers that callers got. It uses no state of the product.
package verifier

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// Names of the checks, as reports print them.
const (
	CheckOnePlace   = "no task in two places"
	CheckCapacity   = "endpoint capacity"
	CheckLimit      = "team limit"
	CheckOnce       = "at most once"
	CheckAccepted   = "accepted work done"
	CheckNotRun     = "not run is true"
	CheckRan        = "ran is true"
	CheckAnswer     = "answer whole and own"
	CheckLeaving    = "leaving gets nothing"
	CheckKey        = "withdrawn key refused"
	CheckGang       = "all at once"
	CheckSameAnswer = "same answer for a resent request"
	CheckFits       = "never fits is true"
)

// Checks returns the names of all checks in the order in which reports print them.
func Checks() []string {
	return []string{
		CheckOnePlace, CheckCapacity, CheckLimit, CheckOnce, CheckAccepted, CheckNotRun, CheckRan, CheckAnswer,
		CheckLeaving, CheckKey, CheckGang, CheckSameAnswer, CheckFits,
	}
}

// Call is a call with everything its caller knew about it at the end of a run.
type Call struct {
	Team       modeler.TeamID
	Service    string
	Request    modeler.RequestID
	Idempotent bool
	Body       []byte
	// Answers holds all answers that arrived, those to resent requests included.
	Answers [][]byte
	// Outcome is the last outcome known to the caller; empty if the last attempt
	// was answered.
	Outcome modeler.Outcome
	// OutcomesKnown is set when the outcome of every attempt is known, so that
	// the outcome not run holds for the whole call.
	OutcomesKnown bool
}

// Job is a job with everything its caller knew about it at the end of a run.
type Job struct {
	Team modeler.TeamID
	// Label is the third word of the command and is unique to the job.
	Label string
	Tasks int
	Once  bool
	// Gang is set for an all-at-once job.
	Gang     bool
	Accepted bool
	// AcceptanceUnknown is set when an attempt to submit the job has an unknown
	// outcome.
	AcceptanceUnknown bool
	Cancelled         bool
	// Fails is set when the command fails.
	Fails bool
	// Fits is set when a task fits on a worker, NeverFits when the job was
	// refused permanently because it does not.
	Fits, NeverFits bool
}

// Withdrawal describes the withdrawal of a team's key.
type Withdrawal struct {
	// Published is when the publication of the withdrawal was acknowledged.
	Published time.Time
	// Accepted is when the last accepted request with the key was sent; zero
	// if none was accepted after the publication.
	Accepted time.Time
	// Attempts counts the requests sent with the key after the publication.
	Attempts int
}

// Evidence holds the observations of a run and the bounds to check them against.
type Evidence struct {
	Events      []worker.Event
	Limits      map[modeler.TeamID]modeler.Resources
	Calls       []Call
	Jobs        []Job
	Withdrawals []Withdrawal
	// KeyBound is how long a withdrawn key may still be accepted, LeavingBound
	// how long a leaving endpoint may still be given work.
	KeyBound, LeavingBound time.Duration
}

// Violation describes a failed check.
type Violation struct {
	Check  string
	Detail string
	// Job is the label of the affected job, if any.
	Job string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Check + ": " + v.Detail }

// Report holds the number of checks by name and the violations.
type Report struct {
	Counts     map[string]int
	Violations []Violation
}

// OK reports whether at least one check was made and none failed.
func (r *Report) OK() bool { return r.Total() > 0 && len(r.Violations) == 0 }

// Total returns the number of checks made.
func (r *Report) Total() int {
	total := 0
	for _, n := range r.Counts {
		total += n
	}

	return total
}

// checkf counts a check and records a violation unless it holds.
func (r *Report) checkf(name string, holds bool, format string, args ...any) {
	r.Counts[name]++
	if !holds {
		r.Violations = append(r.Violations, Violation{Check: name, Detail: fmt.Sprintf(format, args...)})
	}
}
