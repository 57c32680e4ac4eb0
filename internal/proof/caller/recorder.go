package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/verifier"
)

// maxExplainedRecords is the maximum number of records that Explain shows.
const maxExplainedRecords = 6

// Team is a team with the secret of one of its keys. The secret is empty for work
// in a queue that is open to all.
type Team struct {
	Name   modeler.TeamID
	Secret string
}

// Service is a service that callers use.
type Service struct {
	Name       string
	Idempotent bool
}

// Recorder sends requests and records the calls and jobs for package verifier.
type Recorder struct {
	Pool *Pool
	// WorkerCapacity is the capacity of every worker.
	WorkerCapacity modeler.Resources

	mu         sync.Mutex
	calls      []*recordedCall
	callsByKey map[callKey]*recordedCall
	jobs       []verifier.Job
	// accepted holds the accepted jobs by label.
	accepted map[string]acceptedJob
}

// acceptedJob holds what Explain needs to ask for the records of a job.
type acceptedJob struct {
	id     modeler.JobID
	secret string
}

// callKey identifies a request of a team.
type callKey struct {
	team    modeler.TeamID
	request string
}

// recordedCall is a call with the secret needed to resolve it.
type recordedCall struct {
	call   verifier.Call
	secret string
}

// NewRecorder returns a recorder that sends through pool; workerCapacity
// is the capacity of every worker.
func NewRecorder(pool *Pool, workerCapacity modeler.Resources) *Recorder {
	return &Recorder{Pool: pool, WorkerCapacity: workerCapacity, callsByKey: make(map[callKey]*recordedCall), accepted: make(map[string]acceptedJob)}
}

// Calls returns the calls recorded so far.
func (r *Recorder) Calls() []verifier.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls := make([]verifier.Call, len(r.calls))
	for i, c := range r.calls {
		calls[i] = c.call
	}

	return calls
}

// Jobs returns the jobs recorded so far.
func (r *Recorder) Jobs() []verifier.Job {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.jobs)
}

// Call sends a call with a request key at most attempts times and records it.
func (r *Recorder) Call(ctx context.Context, team Team, service Service, key string, body []byte, attempts int) Result {
	result := r.Pool.Send(ctx, NewCallRequest(service.Name, team.Secret, key, body), attempts)
	r.record(team, service, key, body, result)

	return result
}

// record records a call. If its key is already known, the call was resent and its
// answers are added to the recorded call.
func (r *Recorder) record(team Team, service Service, key string, body []byte, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.callsByKey[callKey{team.Name, key}]
	if c == nil {
		c = &recordedCall{secret: team.Secret, call: verifier.Call{
			Team: team.Name, Service: service.Name, Request: modeler.RequestID(key), Idempotent: service.Idempotent,
			Body: body, OutcomesKnown: true,
		}}
		r.calls = append(r.calls, c)
		r.callsByKey[callKey{team.Name, key}] = c
	}
	c.call.OutcomesKnown = c.call.OutcomesKnown && result.OutcomesKnown
	for _, a := range result.Answers {
		if a.OK() {
			c.call.Answers = append(c.call.Answers, a.Body)
		}
	}
	c.call.Outcome = result.Last.Outcome
}

// SubmitReply is the answer to a submission.
type SubmitReply struct {
	Job       modeler.JobID `json:"job"`
	Duplicate bool          `json:"duplicate"`
	Head      string        `json:"head"`
}

// Submit submits a job at most attempts times and records it. It appends a label
// to the command, as its third word, by which the ledgers identify the job.
func (r *Recorder) Submit(
	ctx context.Context, team Team, key string, job JobRequest, gang bool, attempts int,
) (SubmitReply, Result) {
	label := string(team.Name) + "/" + key
	job.Command = append(slices.Clone(job.Command), label)
	result := r.Pool.Send(ctx, NewSubmitRequest(job, team.Secret, key), attempts)
	var reply SubmitReply
	if result.Last.OK() {
		_ = json.Unmarshal(result.Last.Body, &reply)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, verifier.Job{
		Team: team.Name, Label: label, Tasks: job.Tasks, Once: job.Once, Gang: gang, Accepted: result.Last.OK(),
		AcceptanceUnknown: !result.OutcomesKnown, Fails: job.Command[0] == "fail",
		Fits:      job.Needs.Fits(r.WorkerCapacity),
		NeverFits: result.Last.Code == modeler.CodeNeverFits && result.Last.RetryAfter == 0,
	})

	if result.Last.OK() {
		r.accepted[label] = acceptedJob{id: reply.Job, secret: team.Secret}
	}

	return reply, result
}

// Explain returns the last decision records of an accepted job as text for
// operators. Nothing is verified with it.
func (r *Recorder) Explain(ctx context.Context, label string) string {
	r.mu.Lock()
	job, ok := r.accepted[label]
	r.mu.Unlock()
	if !ok {
		return "not accepted"
	}
	result := r.Pool.Send(ctx, NewGetRequest("/v1/jobs/"+url.PathEscape(string(job.id))+"/records", job.secret), len(r.Pool.entries))
	var records []modeler.Record
	if !result.Last.OK() || json.Unmarshal(result.Last.Body, &records) != nil {
		return string(job.id) + ": " + result.Last.Detail
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d records", job.id, len(records))
	for _, record := range records[max(len(records)-maxExplainedRecords, 0):] {
		fmt.Fprintf(&text, "\n    %s %s %s %s %s %s", record.Time.Format(time.StampMilli), record.Partition, record.Task,
			record.Event, record.Cause, record.Detail)
	}

	return text.String()
}

// Resolve asks for the outcome of every non-idempotent call without an answer
// whose outcome is not certain, until all are known or ctx ends. It returns the
// number of these calls and the number still unknown at the end.
func (r *Recorder) Resolve(ctx context.Context) (unknown, remaining int) {
	r.mu.Lock()
	var unresolved []*recordedCall
	for _, c := range r.calls {
		if !c.call.Idempotent && len(c.call.Answers) == 0 && (c.call.Outcome != modeler.OutcomeNotRun || !c.call.OutcomesKnown) {
			unresolved = append(unresolved, c)
		}
	}
	r.mu.Unlock()
	unknown = len(unresolved)
	for len(unresolved) > 0 && ctx.Err() == nil {
		unresolved = slices.DeleteFunc(unresolved, func(c *recordedCall) bool { return r.resolve(ctx, c) })
		if len(unresolved) > 0 {
			sleep(ctx, 500*time.Millisecond)
		}
	}

	return unknown, len(unresolved)
}

// resolve asks for the outcome of a call, records it and reports whether it is
// known.
func (r *Recorder) resolve(ctx context.Context, c *recordedCall) bool {
	result := r.Pool.Send(ctx, NewResolveRequest(c.secret, string(c.call.Request)), 1)
	if !result.Last.OK() {
		return false
	}
	var reply modeler.ResolveReply
	if json.Unmarshal(result.Last.Body, &reply) != nil || reply.Request != c.call.Request {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.call.Outcome = reply.Outcome
	switch reply.Outcome {
	case modeler.OutcomeNotRun:
		// The executor has voided the request, so the outcome holds for all of
		// its attempts.
		c.call.OutcomesKnown = true
	case modeler.OutcomeRan:
		if len(reply.Answer) > 0 {
			c.call.Answers = append(c.call.Answers, reply.Answer)
		}
	case modeler.OutcomeUnknown:
		return false
	}

	return true
}
