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

// lastRecords is the number of records that Explain shows.
const lastRecords = 6

// Team is a team with one of its keys; work of an open queue has no key.
type Team struct {
	Name   modeler.TeamID
	Secret string
}

// Service is a service as callers know it.
type Service struct {
	Name       string
	Idempotent bool
}

// Recorder sends requests and keeps what a verifier needs.
type Recorder struct {
	Pool *Pool
	// WorkerCapacity is the capacity of every worker.
	WorkerCapacity modeler.Resources

	mu    sync.Mutex
	calls []*recorded
	known map[callKey]*recorded
	jobs  []verifier.Job
	// accepted holds the ids and keys of accepted jobs by label.
	accepted map[string]accepted
}

// accepted is what it takes to ask the product about a job.
type accepted struct {
	id     modeler.JobID
	secret string
}

// callKey identifies a request of a team.
type callKey struct {
	team    modeler.TeamID
	request string
}

// recorded is a call with the key that resolves it.
type recorded struct {
	call   verifier.Call
	secret string
}

// NewRecorder returns a recorder that sends through pool; largest is the
// capacity of every worker.
func NewRecorder(pool *Pool, largest modeler.Resources) *Recorder {
	return &Recorder{Pool: pool, WorkerCapacity: largest, known: make(map[callKey]*recorded), accepted: make(map[string]accepted)}
}

// Calls returns the calls so far.
func (r *Recorder) Calls() []verifier.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls := make([]verifier.Call, len(r.calls))
	for i, c := range r.calls {
		calls[i] = c.call
	}

	return calls
}

// Jobs returns the jobs so far.
func (r *Recorder) Jobs() []verifier.Job {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.jobs)
}

// Call sends a call with a request key up to tries times.
func (r *Recorder) Call(ctx context.Context, team Team, service Service, key string, body []byte, tries int) Result {
	result := r.Pool.Send(ctx, NewCallRequest(service.Name, team.Secret, key, body), tries)
	r.record(team, service, key, body, result)

	return result
}

// record adds a call, or the answers of a resent one to the first.
func (r *Recorder) record(team Team, service Service, key string, body []byte, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.known[callKey{team.Name, key}]
	if c == nil {
		c = &recorded{secret: team.Secret, call: verifier.Call{
			Team: team.Name, Service: service.Name, Request: modeler.RequestID(key), Idempotent: service.Idempotent,
			Body: body, OutcomesKnown: true,
		}}
		r.calls = append(r.calls, c)
		r.known[callKey{team.Name, key}] = c
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

// Submit sends a job up to tries times. The third word of its command becomes
// a label by which the ledgers show the job.
func (r *Recorder) Submit(
	ctx context.Context, team Team, key string, job JobRequest, gang bool, tries int,
) (SubmitReply, Result) {
	label := string(team.Name) + "/" + key
	job.Command = append(slices.Clone(job.Command), label)
	result := r.Pool.Send(ctx, NewSubmitRequest(job, team.Secret, key), tries)
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
		r.accepted[label] = accepted{id: reply.Job, secret: team.Secret}
	}

	return reply, result
}

// Explain returns what the product says about a job, for people; nothing is
// verified with it.
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
	for _, record := range records[max(len(records)-lastRecords, 0):] {
		fmt.Fprintf(&text, "\n    %s %s %s %s %s %s", record.Time.Format(time.StampMilli), record.Partition, record.Task,
			record.Event, record.Cause, record.Detail)
	}

	return text.String()
}

// Resolve asks for the outcome of every call whose outcome is unknown, until
// each is known or ctx ends, and returns how many were unknown and are still.
func (r *Recorder) Resolve(ctx context.Context) (unknown, left int) {
	r.mu.Lock()
	var open []*recorded
	for _, c := range r.calls {
		if !c.call.Idempotent && len(c.call.Answers) == 0 && (c.call.Outcome != modeler.OutcomeNotRun || !c.call.OutcomesKnown) {
			open = append(open, c)
		}
	}
	r.mu.Unlock()
	unknown = len(open)
	for len(open) > 0 && ctx.Err() == nil {
		open = slices.DeleteFunc(open, func(c *recorded) bool { return r.resolve(ctx, c) })
		if len(open) > 0 {
			pause(ctx, 500*time.Millisecond)
		}
	}

	return unknown, len(open)
}

// resolve reports whether the outcome of a call is known now.
func (r *Recorder) resolve(ctx context.Context, c *recorded) bool {
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
		// The executor has voided the request, so that the outcome holds for
		// all of its attempts.
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
