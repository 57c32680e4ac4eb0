// Package router serves the HTTP API of callers and operators. Commands are in
// commands.go, queries in queries.go.
package router

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/admitter"
	"gitlab.com/greengagewall/greengagewall/internal/report/burner"
)

const (
	// submitTimeout bounds a submission or cancellation; it covers a takeover.
	submitTimeout = 10 * time.Second
	// callTimeout bounds a call of a service without a timeout of its own.
	callTimeout = 10 * time.Second
	// parentWait bounds the wait for the document that a publication was made
	// from; a caller may have read it from an instance that follows faster.
	parentWait = 2 * time.Second
	// longestWait bounds the parameter wait of GET /v1/jobs/{id}.
	longestWait = time.Minute
	// pollShortest and pollLongest bound the pauses of a waiting query, which
	// grow, because each look copies the state of every task.
	pollShortest = 20 * time.Millisecond
	pollLongest  = 500 * time.Millisecond
	// queriesOpen bounds the queries in progress, most of which wait.
	queriesOpen = 4096
)

// Authenticator finds the team or the operator of an Authorization header.
type Authenticator interface {
	Team(header string) (modeler.TeamID, error)
	Operator(header string) (string, error)
}

// Admitter bounds the requests in flight.
type Admitter interface {
	Admit(req admitter.Request) (*admitter.Permit, error)
}

// Dispatcher routes commands to the owners of partitions.
type Dispatcher interface {
	Submit(ctx context.Context, job modeler.Job) (modeler.SubmitReply, error)
	Cancel(ctx context.Context, team modeler.TeamID, job modeler.JobID) error
	Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error)
	Resolve(ctx context.Context, team modeler.TeamID, request modeler.RequestID) (modeler.ResolveReply, error)
	// CheckFit refuses a job that no partition can ever hold.
	CheckFit(job modeler.Job) error
	// OwnersKnown reports whether the owner of every partition is known.
	OwnersKnown() bool
}

// Publisher publishes configurations.
type Publisher interface {
	// PublishAs returns after the document is in the log and valid. Errors are
	// of type *modeler.Refusal, with the code bad-config, conflict, log-down or
	// lost-answer.
	PublishAs(ctx context.Context, operator string, parent modeler.Offset, document modeler.Document) (modeler.Offset, error)
	// Origin tells who published the document in force and when; both are zero
	// when it came from a peer.
	Origin() (operator string, at time.Time)
}

// Router implements http.Handler.
type Router struct {
	mux           *chi.Mux
	self          modeler.Instance
	authenticator Authenticator
	admitter      Admitter
	dispatcher    Dispatcher
	publisher     Publisher
	queries       modeler.Queries
	membership    modeler.Membership
	config        modeler.Configuration
	tally         *burner.Tally
	draining      func() bool
	logger        hclog.Logger
	waiting       chan struct{}
	now           func() time.Time
	// owned is set once the owner of every partition was known.
	owned atomic.Bool
}

// Option configures a Router.
type Option func(*Router)

// WithSelf describes this instance.
func WithSelf(self modeler.Instance) Option { return func(r *Router) { r.self = self } }

// WithAuthenticator sets the check of keys.
func WithAuthenticator(a Authenticator) Option { return func(r *Router) { r.authenticator = a } }

// WithAdmitter sets the admission of requests.
func WithAdmitter(a Admitter) Option { return func(r *Router) { r.admitter = a } }

// WithDispatcher sets where commands go.
func WithDispatcher(d Dispatcher) Option { return func(r *Router) { r.dispatcher = d } }

// WithPublisher sets where configurations are published.
func WithPublisher(p Publisher) Option { return func(r *Router) { r.publisher = p } }

// WithQueries sets the view of the partitions' streams.
func WithQueries(q modeler.Queries) Option { return func(r *Router) { r.queries = q } }

// WithMembership sets the view of the peers.
func WithMembership(m modeler.Membership) Option { return func(r *Router) { r.membership = m } }

// WithConfiguration sets the configuration in force.
func WithConfiguration(c modeler.Configuration) Option { return func(r *Router) { r.config = c } }

// WithTally sets where the outcomes of idempotent calls are counted.
func WithTally(t *burner.Tally) Option { return func(r *Router) { r.tally = t } }

// WithDraining sets the test of whether this instance is shutting down.
func WithDraining(draining func() bool) Option { return func(r *Router) { r.draining = draining } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger hclog.Logger) Option { return func(r *Router) { r.logger = logger } }

// WithClock replaces the clock that deadlines are compared with.
func WithClock(now func() time.Time) Option { return func(r *Router) { r.now = now } }

// New returns a Router; WithTally, WithDraining, WithLogger and WithClock are
// optional.
func New(opts ...Option) *Router {
	r := &Router{
		mux:      chi.NewMux(),
		draining: func() bool { return false },
		logger:   hclog.NewNullLogger(),
		waiting:  make(chan struct{}, queriesOpen),
		now:      time.Now,
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.tally == nil {
		r.tally = burner.NewTally(r.now)
	}
	r.mux.NotFound(func(w http.ResponseWriter, req *http.Request) {
		r.problem(w, modeler.NotRun(modeler.CodeNotFound, 0, "no resource %s", req.URL.Path))
	})
	r.mux.MethodNotAllowed(func(w http.ResponseWriter, req *http.Request) {
		r.problemStatus(w, http.StatusMethodNotAllowed,
			modeler.NotRun(modeler.CodeBadRequest, 0, "method %s is not allowed on %s", req.Method, req.URL.Path))
	})
	r.routeCommands()
	r.routeQueries()

	return r
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

func (r *Router) routeCommands() {
	r.mux.Post("/v1/jobs", r.submit)
	r.mux.Delete("/v1/jobs/{id}", r.cancel)
	r.mux.Post("/v1/services/{service}/calls", r.call)
	r.mux.Put("/v1/config", r.publish)
}

func (r *Router) routeQueries() {
	r.mux.Get("/healthz", r.healthz)
	r.mux.Get("/readyz", r.readyz)
	r.mux.Handle("/debug/vars", expvar.Handler())
	r.mux.Group(func(bounded chi.Router) {
		bounded.Use(r.bound)
		bounded.Get("/v1/jobs/{id}", r.job)
		bounded.Get("/v1/jobs/{id}/records", r.records)
		bounded.Get("/v1/requests/{id}", r.resolve)
		bounded.Get("/v1/requests/{id}/records", r.records)
		bounded.Get("/v1/records", r.export)
		bounded.Get("/v1/outcomes", r.outcomes)
		bounded.Get("/v1/config", r.configuration)
		bounded.Get("/v1/config/offsets", r.offsets)
		bounded.Get("/v1/state", r.state)
	})
}

// bound refuses queries above the bound on those in progress.
func (r *Router) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case r.waiting <- struct{}{}:
			defer func() { <-r.waiting }()
			next.ServeHTTP(w, req)
		default:
			r.problem(w, modeler.NotRun(modeler.CodeOverload, time.Second, "%d queries in progress", queriesOpen))
		}
	})
}
