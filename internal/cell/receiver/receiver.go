// Package receiver answers the requests of callers at an entry instance: it
// finds the queue, checks the key and forwards the request to the owner of the
// cell until the caller's patience ends.
package receiver

import (
	"context"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/elector"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// Settings hold the limits of a receiver.
type Settings struct {
	// Revocation is the time within which a withdrawn key must stop working.
	Revocation time.Duration
}

const (
	// revocationMargin is left of the revocation time for delays on the way.
	revocationMargin = 300 * time.Millisecond
	// patienceMargin is left of a caller's patience for the answer to reach it.
	patienceMargin = 200 * time.Millisecond
	// attemptTimeout bounds one attempt to reach the owner.
	attemptTimeout = 1200 * time.Millisecond
	// attemptPause is the pause between two attempts at the same owner.
	attemptPause = 100 * time.Millisecond
	// retryOwner is when a request that found no owner may come again.
	retryOwner = time.Second
)

// Answer is the outcome of a request.
type Answer int

// The outcomes of a request.
const (
	AnswerDone Answer = iota
	// AnswerUnavailable means that the request did not and will not take effect.
	AnswerUnavailable
	// AnswerUnknown means that the request may take effect.
	AnswerUnknown
	AnswerNoQueue
	AnswerNoKey
	AnswerMissing
)

// Request is a caller's request.
type Request struct {
	Host, Path, Key string
	// Arrived is when it arrived.
	Arrived definer.Instant
	// Timeout is how long the caller waits; 0 means until the default.
	Timeout time.Duration
}

// RouteMatch is where a request leads.
type RouteMatch struct {
	Route   *definer.Route
	Account string
	// Name is what follows the route's prefix.
	Name string
}

// Result is the answer to a request.
type Result struct {
	Answer Answer
	State  definer.JobState
	Count  int
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
}

// index is a configuration prepared for look-ups.
type index struct {
	config *definer.Configuration
	routes map[string][]*definer.Route
	keys   map[string]string
}

// Receiver answers requests.
type Receiver struct {
	settings Settings
	elector  *elector.Elector
	index    atomic.Pointer[index]
	asOf     func() definer.Instant
	logger   hclog.Logger
	metrics  *recorder.Metrics
}

// New returns a receiver. asOf tells up to when the configuration is known.
func New(settings Settings, el *elector.Elector, asOf func() definer.Instant, logger hclog.Logger, metrics *recorder.Metrics) *Receiver {
	return &Receiver{settings: settings, elector: el, asOf: asOf, logger: logger, metrics: metrics}
}

// Configure takes a newer configuration.
func (r *Receiver) Configure(config *definer.Configuration) {
	prepared := &index{config: config, routes: map[string][]*definer.Route{}, keys: map[string]string{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		prepared.routes[route.Host] = append(prepared.routes[route.Host], route)
	}
	for _, routes := range prepared.routes {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	for _, account := range config.Accounts {
		for _, key := range account.Keys {
			prepared.keys[key] = account.Name
		}
	}
	r.index.Store(prepared)
}

// Ready reports whether requests can be answered.
func (r *Receiver) Ready() bool {
	owner, _ := r.elector.Owner()

	return r.index.Load() != nil && owner.Term > 0 && definer.Since(r.asOf()) < r.settings.Revocation-revocationMargin
}

// Resolve finds the queue of a request and checks its key. The second result
// is nil when the request may go on.
func (r *Receiver) Resolve(request *Request) (RouteMatch, *Result) {
	prepared := r.index.Load()
	if prepared == nil {
		return RouteMatch{}, &Result{Answer: AnswerUnavailable, RetryAfter: retryOwner}
	}
	for _, route := range prepared.routes[request.Host] {
		if !strings.HasPrefix(request.Path, route.Prefix) {
			continue
		}
		place := RouteMatch{Route: route, Name: request.Path[len(route.Prefix):]}
		if account, ok := prepared.keys[request.Key]; ok {
			place.Account = account
		}
		if route.Public {
			return place, nil
		}
		if age := request.Arrived.Sub(r.asOf()); age > r.settings.Revocation-revocationMargin {
			r.logger.Warn("request refused", "path", request.Path, "reason", "keys may be out of date", "age", age.String(), "version", prepared.config.Version)

			return place, &Result{Answer: AnswerUnavailable, RetryAfter: retryOwner}
		}
		if place.Account == "" {
			r.logger.Info("request refused", "path", request.Path, "reason", "unknown key", "version", prepared.config.Version)

			return place, &Result{Answer: AnswerNoKey}
		}

		return place, nil
	}
	r.logger.Info("request refused", "host", request.Host, "path", request.Path, "reason", "no such queue", "version", prepared.config.Version)

	return RouteMatch{}, &Result{Answer: AnswerNoQueue}
}

// Submit hands a job to the owner.
func (r *Receiver) Submit(ctx context.Context, request *Request, job *definer.Job) Result {
	return r.forward(ctx, request, "Submit", job.ID, func(ctx context.Context, patience time.Duration, lead *leader.Leader, owner elector.Ownership) (*forwarder.Reply, error) {
		submission := &forwarder.Submission{Job: *job, Timeout: patience}
		if lead != nil {
			return lead.Submit(ctx, submission), nil
		}

		return forwarder.Call[forwarder.Submission, forwarder.Reply](ctx, r.elector.Pool(), owner.Address, "Submit", submission)
	})
}

// Query asks for the state of a job.
func (r *Receiver) Query(ctx context.Context, request *Request, place *RouteMatch) Result {
	return r.lookUp(ctx, request, place, "Query", (*leader.Leader).Query)
}

// Cancel cancels a job.
func (r *Receiver) Cancel(ctx context.Context, request *Request, place *RouteMatch) Result {
	return r.lookUp(ctx, request, place, "Cancel", (*leader.Leader).Cancel)
}

// Count asks for the number of waiting jobs of a queue.
func (r *Receiver) Count(ctx context.Context, request *Request, place *RouteMatch) Result {
	return r.lookUp(ctx, request, place, "Count", (*leader.Leader).Count)
}

func (r *Receiver) lookUp(ctx context.Context, request *Request, place *RouteMatch, method string,
	local func(*leader.Leader, context.Context, *forwarder.Lookup) *forwarder.Reply,
) Result {
	return r.forward(ctx, request, method, place.Name, func(ctx context.Context, patience time.Duration, lead *leader.Leader, owner elector.Ownership) (*forwarder.Reply, error) {
		lookup := &forwarder.Lookup{Job: place.Name, Queue: place.Route.Queue.Name, Timeout: patience}
		if lead != nil {
			return local(lead, ctx, lookup), nil
		}

		return forwarder.Call[forwarder.Lookup, forwarder.Reply](ctx, r.elector.Pool(), owner.Address, method, lookup)
	})
}

type attempt func(ctx context.Context, patience time.Duration, lead *leader.Leader, owner elector.Ownership) (*forwarder.Reply, error)

// defaultPatience is how long a caller waits that does not say so.
const defaultPatience = 3 * time.Second

// forward tries the owner until it answers or the caller's patience ends. A
// request that may have reached an owner is answered as unknown in the end.
func (r *Receiver) forward(ctx context.Context, request *Request, method, id string, try attempt) Result {
	patience := request.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	deadline := request.Arrived.Add(patience - patienceMargin)
	sent := false
	attempts := 0
	for {
		left := deadline.Sub(definer.Now())
		if left <= 0 || ctx.Err() != nil {
			break
		}
		owner, changed := r.elector.Owner()
		lead := r.elector.LocalLeader()
		if owner.Term == 0 {
			definer.Sleep(ctx, min(left, retryOwner), changed)

			continue
		}
		attempts++
		timeout := min(left, attemptTimeout)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		reply, err := try(callCtx, timeout, lead, owner)
		cancel()
		if err == nil {
			if result, final := conclude(reply); final {
				if result.Answer == AnswerUnavailable && sent {
					// An earlier attempt may still take effect.
					result = Result{Answer: AnswerUnknown}
				}
				r.finish(method, id, request, owner, result, attempts, nil)

				return result
			}
		}
		if (err != nil && !forwarder.Unsent(err)) || err == nil && reply.Outcome == forwarder.OutcomeUnknown {
			sent = true
		}
		if err != nil || reply.Outcome == forwarder.OutcomeNotOwner {
			r.elector.Suspect()
		}
		definer.Sleep(ctx, min(left, attemptPause), changed)
	}
	result := Result{Answer: AnswerUnavailable, RetryAfter: retryOwner}
	if sent {
		result.Answer = AnswerUnknown
	}
	owner, _ := r.elector.Owner()
	r.finish(method, id, request, owner, result, attempts, ctx.Err())

	return result
}

// conclude turns an owner's reply into a result; false means to try again.
func conclude(reply *forwarder.Reply) (Result, bool) {
	switch reply.Outcome {
	case forwarder.OutcomeDone:
		return Result{Answer: AnswerDone, State: reply.State, Count: reply.Count}, true
	case forwarder.OutcomeRefused:
		return Result{Answer: AnswerUnavailable, RetryAfter: reply.RetryAfter}, true
	case forwarder.OutcomeMissing:
		return Result{Answer: AnswerMissing}, true
	case forwarder.OutcomeUnknown, forwarder.OutcomeNotOwner:
	}

	return Result{}, false
}

// finish counts a request and logs those that did not simply succeed.
func (r *Receiver) finish(method, id string, request *Request, owner elector.Ownership, result Result, attempts int, err error) {
	took := definer.Since(request.Arrived)
	r.metrics.Observe(method, took)
	if result.Answer == AnswerDone || result.Answer == AnswerMissing {
		if method == "Submit" || attempts > 1 {
			r.logger.Info("request answered", "call", method, "job", id, "owner", owner.Name, "term", owner.Term, "answer", int(result.Answer), "took", took.String(), "attempts", attempts)
		}

		return
	}
	r.metrics.Count("given up: " + method)
	r.logger.Warn("request given up", "call", method, "job", id, "owner", owner.Name, "term", owner.Term, "unknown", result.Answer == AnswerUnknown, "took", took.String(), "attempts", attempts, "error", err)
}
