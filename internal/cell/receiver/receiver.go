// Package receiver handles the requests of callers at an entry instance. It finds
// the queue, checks the key and forwards the request to the owner of the cell,
// with retries until the caller's timeout.
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

// Settings configure a receiver.
type Settings struct {
	// Revocation is the time within which a withdrawn key must stop working.
	Revocation time.Duration
}

const (
	// revocationMargin is the part of the revocation time that is reserved for network delays.
	revocationMargin = 300 * time.Millisecond
	// answerMargin is the part of a caller's timeout that is reserved for the answer to reach it.
	answerMargin = 200 * time.Millisecond
	// attemptTimeout bounds one attempt to reach the owner.
	attemptTimeout = 1200 * time.Millisecond
	// attemptDelay is the delay between two attempts to reach the same owner.
	attemptDelay = 100 * time.Millisecond
	// noOwnerRetryAfter is the retry delay given to callers while no owner is known or reachable, or the
	// configuration is missing or out of date. It also bounds the wait for an owner.
	noOwnerRetryAfter = time.Second
)

// Answer is the outcome of a request.
type Answer int

// The outcomes of a request.
const (
	AnswerDone Answer = iota
	// AnswerUnavailable means that the request did not take effect and will not.
	AnswerUnavailable
	// AnswerUnknown means that the request may take effect.
	AnswerUnknown
	// AnswerNoQueue means that no route matches the request.
	AnswerNoQueue
	// AnswerNoKey means that the key is unknown.
	AnswerNoKey
	// AnswerMissing means that there is no such job.
	AnswerMissing
)

// Request is a caller's request.
type Request struct {
	Host, Path, Key string
	// Arrived is when the instance received the request.
	Arrived definer.Instant
	// Timeout is how long the caller waits; 0 means defaultTimeout.
	Timeout time.Duration
}

// RouteMatch is the result of resolving a request.
type RouteMatch struct {
	Route   *definer.Route
	Account string
	// Name is the part of the path after the route's prefix.
	Name string
}

// Result is the answer to a request.
type Result struct {
	Answer Answer
	State  definer.JobState
	Count  int
	// RetryAfter is the delay after which a refused request may be retried; 0 means at once, at another instance.
	RetryAfter time.Duration
}

// index maps hosts to routes and keys to accounts of a configuration.
type index struct {
	config *definer.Configuration
	routes map[string][]*definer.Route
	keys   map[string]string
}

// Receiver resolves the requests of callers and forwards them to the owner of the cell.
type Receiver struct {
	settings Settings
	elector  *elector.Elector
	index    atomic.Pointer[index]
	asOf     func() definer.Instant
	logger   hclog.Logger
	metrics  *recorder.Metrics
}

// New returns a receiver. asOf returns the time at which the configuration was last
// known to be up to date.
func New(settings Settings, el *elector.Elector, asOf func() definer.Instant, logger hclog.Logger, metrics *recorder.Metrics) *Receiver {
	return &Receiver{settings: settings, elector: el, asOf: asOf, logger: logger, metrics: metrics}
}

// Configure applies a newer configuration.
func (r *Receiver) Configure(config *definer.Configuration) {
	idx := &index{config: config, routes: map[string][]*definer.Route{}, keys: map[string]string{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		idx.routes[route.Host] = append(idx.routes[route.Host], route)
	}
	for _, routes := range idx.routes {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	for _, account := range config.Accounts {
		for _, key := range account.Keys {
			idx.keys[key] = account.Name
		}
	}
	r.index.Store(idx)
}

// Ready reports whether requests can be answered: there is a configuration, recent
// enough to check keys, and an owner.
func (r *Receiver) Ready() bool {
	owner, _ := r.elector.Owner()

	return r.index.Load() != nil && owner.Term > 0 && definer.Since(r.asOf()) < r.settings.Revocation-revocationMargin
}

// Resolve finds the queue of a request by the longest matching prefix and checks
// the key. If the request is refused, the second result holds the answer; otherwise
// it is nil. Public routes need no key.
func (r *Receiver) Resolve(request *Request) (RouteMatch, *Result) {
	idx := r.index.Load()
	if idx == nil {
		return RouteMatch{}, &Result{Answer: AnswerUnavailable, RetryAfter: noOwnerRetryAfter}
	}
	for _, route := range idx.routes[request.Host] {
		if !strings.HasPrefix(request.Path, route.Prefix) {
			continue
		}
		match := RouteMatch{Route: route, Name: request.Path[len(route.Prefix):]}
		if account, ok := idx.keys[request.Key]; ok {
			match.Account = account
		}
		if route.Public {
			return match, nil
		}
		if age := request.Arrived.Sub(r.asOf()); age > r.settings.Revocation-revocationMargin {
			r.logger.Warn("request refused", "path", request.Path, "reason", "keys may be out of date", "age", age.String(), "version", idx.config.Version)

			return match, &Result{Answer: AnswerUnavailable, RetryAfter: r.staleKeysRetryAfter()}
		}
		if match.Account == "" {
			r.logger.Info("request refused", "path", request.Path, "reason", "unknown key", "version", idx.config.Version)

			return match, &Result{Answer: AnswerNoKey}
		}

		return match, nil
	}
	r.logger.Info("request refused", "host", request.Host, "path", request.Path, "reason", "no such queue", "version", idx.config.Version)

	return RouteMatch{}, &Result{Answer: AnswerNoQueue}
}

// staleKeysRetryAfter returns the retry delay of a request whose key cannot be checked
// because this instance has lost the store. If the store serves the owner, it is likely
// to serve other instances, and a caller reaches another one with each try.
func (r *Receiver) staleKeysRetryAfter() time.Duration {
	if r.elector.OwnerHasStore() {
		return 0
	}

	return noOwnerRetryAfter
}

// Submit forwards a job to the owner.
func (r *Receiver) Submit(ctx context.Context, request *Request, job *definer.Job) Result {
	return r.forward(ctx, request, "Submit", job.ID, func(ctx context.Context, timeout time.Duration, lead *leader.Leader, owner elector.Ownership) (*forwarder.Reply, error) {
		submission := &forwarder.Submission{Job: *job, Timeout: timeout}
		if lead != nil {
			return lead.Submit(ctx, submission), nil
		}

		return forwarder.Call[forwarder.Submission, forwarder.Reply](ctx, r.elector.Pool(), owner.Address, "Submit", submission)
	})
}

// Query asks for the state of a job.
func (r *Receiver) Query(ctx context.Context, request *Request, match *RouteMatch) Result {
	return r.lookUp(ctx, request, match, "Query", (*leader.Leader).Query)
}

// Cancel cancels a job.
func (r *Receiver) Cancel(ctx context.Context, request *Request, match *RouteMatch) Result {
	return r.lookUp(ctx, request, match, "Cancel", (*leader.Leader).Cancel)
}

// Count asks for the number of pending jobs of a queue.
func (r *Receiver) Count(ctx context.Context, request *Request, match *RouteMatch) Result {
	return r.lookUp(ctx, request, match, "Count", (*leader.Leader).Count)
}

func (r *Receiver) lookUp(ctx context.Context, request *Request, match *RouteMatch, method string,
	local func(*leader.Leader, context.Context, *forwarder.Lookup) *forwarder.Reply,
) Result {
	return r.forward(ctx, request, method, match.Name, func(ctx context.Context, timeout time.Duration, lead *leader.Leader, owner elector.Ownership) (*forwarder.Reply, error) {
		lookup := &forwarder.Lookup{Job: match.Name, Place: definer.Place{Queue: match.Route.Queue.Name, Location: match.Route.Location()}, Timeout: timeout}
		if lead != nil {
			return local(lead, ctx, lookup), nil
		}

		return forwarder.Call[forwarder.Lookup, forwarder.Reply](ctx, r.elector.Pool(), owner.Address, method, lookup)
	})
}

// attemptFunc sends a request to the owner once; lead is nil if the owner is another instance.
type attemptFunc func(ctx context.Context, timeout time.Duration, lead *leader.Leader, owner elector.Ownership) (*forwarder.Reply, error)

// defaultTimeout is the timeout of requests that do not state one.
const defaultTimeout = 3 * time.Second

// forward sends a request to the owner until it gets a final reply or the caller's
// timeout ends. In the latter case the answer is AnswerUnknown if an attempt may
// have reached an owner.
func (r *Receiver) forward(ctx context.Context, request *Request, method, id string, attempt attemptFunc) Result {
	callerTimeout := request.Timeout
	if callerTimeout <= 0 {
		callerTimeout = defaultTimeout
	}
	deadline := request.Arrived.Add(callerTimeout - answerMargin)
	maybeSent := false
	attempts := 0
	for {
		remaining := deadline.Sub(definer.Now())
		if remaining <= 0 || ctx.Err() != nil {
			break
		}
		owner, changed := r.elector.Owner()
		lead := r.elector.LocalLeader()
		if owner.Term == 0 {
			definer.Sleep(ctx, min(remaining, noOwnerRetryAfter), changed)

			continue
		}
		attempts++
		timeout := min(remaining, attemptTimeout)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		reply, err := attempt(callCtx, timeout, lead, owner)
		cancel()
		if err == nil {
			if result, final := toResult(reply); final {
				if result.Answer == AnswerUnavailable && maybeSent {
					// An earlier attempt may still take effect.
					result = Result{Answer: AnswerUnknown}
				}
				r.finish(method, id, request, owner, result, attempts, nil)

				return result
			}
		}
		if (err != nil && !forwarder.Unsent(err)) || err == nil && reply.Outcome == forwarder.OutcomeUnknown {
			maybeSent = true
		}
		if err != nil || reply.Outcome == forwarder.OutcomeNotOwner {
			r.elector.Suspect()
		}
		definer.Sleep(ctx, min(remaining, attemptDelay), changed)
	}
	result := Result{Answer: AnswerUnavailable, RetryAfter: noOwnerRetryAfter}
	if maybeSent {
		result.Answer = AnswerUnknown
	}
	owner, _ := r.elector.Owner()
	r.finish(method, id, request, owner, result, attempts, ctx.Err())

	return result
}

// toResult converts an owner's reply to a result. It returns false if the request
// has to be retried.
func toResult(reply *forwarder.Reply) (Result, bool) {
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

// finish records the metrics of a request. It logs submissions, and all requests
// that needed several attempts or failed.
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
