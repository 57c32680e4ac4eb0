// Package verifier compares what endpoints and callers saw, without any help
// from the product.
package verifier

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// The checks.
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

// Checks lists every check in the order of reports.
func Checks() []string {
	return []string{
		CheckOnePlace, CheckCapacity, CheckLimit, CheckOnce, CheckAccepted, CheckNotRun, CheckRan, CheckAnswer,
		CheckLeaving, CheckKey, CheckGang, CheckSameAnswer, CheckFits,
	}
}

// Call is what a caller knows of its call at the end.
type Call struct {
	Team       modeler.TeamID
	Service    string
	Request    modeler.RequestID
	Idempotent bool
	Body       []byte
	// Answered is set when an answer came; Answers are all that came.
	Answers [][]byte
	// Outcome is the last one stated by a refusal; empty if an answer came.
	Outcome modeler.Outcome
	// OutcomesKnown is set when no attempt of the call was left open, so that the
	// outcome not run is about the whole call.
	OutcomesKnown bool
}

// Job is what a caller knows of its job at the end.
type Job struct {
	Team modeler.TeamID
	// Label is the third word of the command, which only this job has.
	Label string
	Tasks int
	Once  bool
	// Gang is set for an all-at-once job.
	Gang     bool
	Accepted bool
	// AcceptanceUnknown is set when it is not known whether the job was accepted.
	AcceptanceUnknown bool
	Cancelled         bool
	// Fails is set when the command fails.
	Fails bool
	// Fits is set when a task fits the endpoints, NeverFits when the job was
	// refused for good because it did not.
	Fits, NeverFits bool
}

// Withdrawal is a key that was withdrawn.
type Withdrawal struct {
	// Published is when the publication was answered.
	Published time.Time
	// Accepted is when the last accepted request with the key was sent; zero
	// if there was none after the publication.
	Accepted time.Time
	// Attempts counts the requests with the key after the publication.
	Attempts int
}

// Evidence is what is compared.
type Evidence struct {
	Events      []worker.Event
	Limits      map[modeler.TeamID]modeler.Resources
	Calls       []Call
	Jobs        []Job
	Withdrawals []Withdrawal
	// KeyBound is how long a withdrawn key may still work, LeavingBound how long
	// a leaving endpoint may still get work.
	KeyBound, LeavingBound time.Duration
}

// Violation is a check that failed.
type Violation struct {
	Check  string
	Detail string
	// Job is the label of the job that the violation is about, if any.
	Job string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Check + ": " + v.Detail }

// Report counts checks and lists violations.
type Report struct {
	Counts     map[string]int
	Violations []Violation
}

// OK reports whether something was checked and nothing failed.
func (r *Report) OK() bool { return r.Total() > 0 && len(r.Violations) == 0 }

// Total returns the number of checks.
func (r *Report) Total() int {
	total := 0
	for _, n := range r.Counts {
		total += n
	}

	return total
}

// checkf counts a check and reports a violation if it does not hold.
func (r *Report) checkf(name string, holds bool, format string, args ...any) {
	r.Counts[name]++
	if !holds {
		r.Violations = append(r.Violations, Violation{Check: name, Detail: fmt.Sprintf(format, args...)})
	}
}
