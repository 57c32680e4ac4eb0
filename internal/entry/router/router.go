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
	// callTimeout bounds a call to a service that has no configured timeout.
	callTimeout = 10 * time.Second
	// parentWait bounds the wait for the document that a publication is based on.
	// The caller may have read it from an instance that is further ahead.
	parentWait = 2 * time.Second
	// maxWait bounds the query parameter wait of GET /v1/jobs/{id}.
	maxWait = time.Minute
	// minPollInterval and maxPollInterval bound the polling interval of a waiting
	// query. The interval grows, because each poll copies the state of every task.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// maxQueries bounds the queries in progress, most of which are waiting.
	maxQueries = 4096
)

// Authenticator returns the team or the operator that an Authorization header
// identifies.
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
	// CheckFit returns a refusal for a job that no partition can ever hold.
	CheckFit(job modeler.Job) error
	// OwnersKnown reports whether the owner of every partition is known.
	OwnersKnown() bool
}

// Publisher publishes configurations.
type Publisher interface {
	// PublishAs returns once the document is in the log and valid. Errors are of
	// type *modeler.Refusal, with the code bad-config, conflict, log-down or
	// lost-answer.
	PublishAs(ctx context.Context, operator string, parent modeler.Offset, document modeler.Document) (modeler.Offset, error)
	// Origin returns the operator who published the document in force and the
	// time of publication; both are zero if it came from a peer.
	Origin() (operator string, at time.Time)
}

// Router serves the HTTP API. It implements http.Handler.
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
	querySlots    chan struct{}
	now           func() time.Time
	// ownersKnown is set once the owner of every partition has been known.
	ownersKnown atomic.Bool
}

// Option configures a Router.
type Option func(*Router)

// WithSelf sets this instance.
func WithSelf(self modeler.Instance) Option { return func(r *Router) { r.self = self } }

// WithAuthenticator sets the authenticator of requests.
func WithAuthenticator(a Authenticator) Option { return func(r *Router) { r.authenticator = a } }

// WithAdmitter sets the admission control.
func WithAdmitter(a Admitter) Option { return func(r *Router) { r.admitter = a } }

// WithDispatcher sets the dispatcher of commands.
func WithDispatcher(d Dispatcher) Option { return func(r *Router) { r.dispatcher = d } }

// WithPublisher sets the publisher of configurations.
func WithPublisher(p Publisher) Option { return func(r *Router) { r.publisher = p } }

// WithQueries sets the view of the partitions' streams.
func WithQueries(q modeler.Queries) Option { return func(r *Router) { r.queries = q } }

// WithMembership sets the view of the peers.
func WithMembership(m modeler.Membership) Option { return func(r *Router) { r.membership = m } }

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(c modeler.Configuration) Option { return func(r *Router) { r.config = c } }

// WithTally sets the counter of the outcomes of idempotent calls.
func WithTally(t *burner.Tally) Option { return func(r *Router) { r.tally = t } }

// WithDraining sets the function that reports whether this instance is draining.
func WithDraining(draining func() bool) Option { return func(r *Router) { r.draining = draining } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger hclog.Logger) Option { return func(r *Router) { r.logger = logger } }

// WithClock sets the clock that deadlines are compared with; the default is
// time.Now.
func WithClock(now func() time.Time) Option { return func(r *Router) { r.now = now } }

// New returns a Router; WithTally, WithDraining, WithLogger and WithClock are
// optional.
func New(opts ...Option) *Router {
	r := &Router{
		mux:        chi.NewMux(),
		draining:   func() bool { return false },
		logger:     hclog.NewNullLogger(),
		querySlots: make(chan struct{}, maxQueries),
		now:        time.Now,
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.tally == nil {
		r.tally = burner.NewTally(r.now)
	}
	r.mux.NotFound(func(w http.ResponseWriter, req *http.Request) {
		r.writeProblem(w, modeler.NotRun(modeler.CodeNotFound, 0, "no resource %s", req.URL.Path))
	})
	r.mux.MethodNotAllowed(func(w http.ResponseWriter, req *http.Request) {
		r.writeProblemStatus(w, http.StatusMethodNotAllowed,
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
	r.mux.Group(func(limited chi.Router) {
		limited.Use(r.limitQueries)
		limited.Get("/v1/jobs/{id}", r.job)
		limited.Get("/v1/jobs/{id}/records", r.records)
		limited.Get("/v1/requests/{id}", r.resolve)
		limited.Get("/v1/requests/{id}/records", r.records)
		limited.Get("/v1/records", r.export)
		limited.Get("/v1/outcomes", r.outcomes)
		limited.Get("/v1/config", r.configuration)
		limited.Get("/v1/config/offsets", r.offsets)
		limited.Get("/v1/state", r.state)
	})
}

// limitQueries refuses queries while maxQueries are in progress.
func (r *Router) limitQueries(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case r.querySlots <- struct{}{}:
			defer func() { <-r.querySlots }()
			next.ServeHTTP(w, req)
		default:
			r.writeProblem(w, modeler.NotRun(modeler.CodeOverload, time.Second, "%d queries in progress", maxQueries))
		}
	})
}
