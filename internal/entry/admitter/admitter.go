// Package admitter is the admission control of an entry instance. It limits the
// requests in flight and the retries.
package admitter

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

var (
	admitted = expvar.NewInt("admitter.admitted")
	shed     = expvar.NewMap("admitter.shed")
)

const (
	// DefaultMaxInflight is the default of the limit on requests in flight. Each
	// holds a goroutine and a body of up to 1 MiB.
	DefaultMaxInflight = 2048
	// initialLimit is the limit of a service while its capacity is unknown. It
	// doubles with every generation of requests until the first overload.
	initialLimit = 64
	// minLimit keeps a service usable while its owners are unreachable and every
	// request times out.
	minLimit = 16
	// decreaseFactor is the factor by which an overload lowers a limit.
	decreaseFactor = 0.8
	// raiseFraction and lowerFraction are fractions of the timeout of a request. A
	// served request raises the limit only if it took at most raiseFraction, and
	// lowers the limit if it took more than lowerFraction. Lowering it only after
	// timeouts would waste the work of all requests in flight at that time.
	raiseFraction = 0.25
	lowerFraction = 0.5
	// baselineMultiple is the multiple of the shortest recent latency of a service
	// up to which neither threshold applies: a service that needs most of its timeout
	// even when idle is not overloaded.
	baselineMultiple = 3
	// maxRaiseFraction and maxLowerFraction bound that exception. During a long
	// overload every recent latency includes queueing, so that without a bound the
	// exception would extend up to the timeout.
	maxRaiseFraction = 0.75
	maxLowerFraction = 0.9
	// latencyWindow is the period after which the shortest latency is measured again,
	// so that a service that has become slower is noticed.
	latencyWindow = 5 * time.Minute
	// minRetryDelay is the minimum of the advised delay before a retry. The advice
	// adds up to twice that at random, so that shed callers do not return together.
	minRetryDelay = time.Second
)

// classFraction returns the fraction of a limit up to which a class is admitted,
// so that less urgent work cannot keep out more urgent work.
func classFraction(class modeler.Class) float64 {
	switch class {
	case modeler.ClassUrgent:
		return 1
	case modeler.ClassStandard:
		return 0.9
	case modeler.ClassDeferred:
		return 0.75
	default:
		return 0.75
	}
}

// Admitter limits the requests in flight, in total and for each service;
// submissions have a separate limit. The limits are separate so that an
// overload of one service does not lower the limit of another. Each limit adapts
// to the capacity behind this instance: it is raised while requests are served
// well within their timeouts, and lowered when they time out or are refused for
// overload. An Admitter is safe for concurrent use.
type Admitter struct {
	maxInflight float64
	share       func(modeler.TeamID) int64
	now         func() time.Time

	mu       sync.Mutex
	inflight int
	limiters map[string]*limiter
}

// limiter is the adaptive concurrency limit of one service, or of submissions. It
// is guarded by the lock of the Admitter.
type limiter struct {
	limit    float64
	inflight int
	teams    map[modeler.TeamID]int
	// loweredAt is the time of the last decrease; zero before the first one.
	// Requests admitted before it do not lower the limit again, because they met
	// the same overload.
	loweredAt time.Time
	// minLatency is the shortest latency since windowStart, and previousMin that of
	// the window before.
	minLatency, previousMin time.Duration
	windowStart             time.Time
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithMaxInflight sets the limit on all requests in flight.
func WithMaxInflight(limit int) Option {
	return func(a *Admitter) { a.maxInflight = float64(max(limit, minLimit)) }
}

// WithShares sets the source of the teams' shares; without it all are equal.
func WithShares(share func(modeler.TeamID) int64) Option {
	return func(a *Admitter) { a.share = share }
}

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(a *Admitter) { a.now = now } }

// New returns an Admitter.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		maxInflight: DefaultMaxInflight,
		share:       func(modeler.TeamID) int64 { return 1 },
		now:         time.Now,
		limiters:    map[string]*limiter{},
	}
	for _, opt := range opts {
		opt(a)
	}

	return a
}

// Request describes a request to be admitted.
type Request struct {
	// Service is a service of the configuration, or empty for submissions.
	Service string
	Team    modeler.TeamID
	Class   modeler.Class
	// Timeout is the time within which the request must be served.
	Timeout time.Duration
}

// Admit admits a request or returns a *modeler.Refusal. The caller must call Done
// on the permit.
func (a *Admitter) Admit(req Request) (*Permit, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.limiters[req.Service]
	if !ok {
		l = &limiter{limit: min(initialLimit, a.maxInflight), teams: map[modeler.TeamID]int{}}
		a.limiters[req.Service] = l
	}
	fraction := classFraction(req.Class)
	if float64(a.inflight) >= a.maxInflight*fraction || float64(l.inflight) >= l.limit*fraction*a.teamFraction(l, req.Team) {
		shed.Add(string(req.Class), 1)

		return nil, modeler.NotRun(modeler.CodeOverload, minRetryDelay+rand.N(2*minRetryDelay),
			"%d requests in flight, %d of team %s", l.inflight, l.teams[req.Team], req.Team)
	}
	a.inflight++
	l.inflight++
	l.teams[req.Team]++
	admitted.Add(1)

	return &Permit{admitter: a, limiter: l, team: req.Team, admittedAt: a.now(), timeout: req.Timeout}, nil
}

// teamFraction returns the fraction of the limit up to which a team is admitted: 1
// within the team's share of the limit among the teams in flight, and falling
// towards 0.5 the further the team is above it. The team furthest above its
// share is therefore shed first, and half of the limit always remains for teams
// within their shares.
func (a *Admitter) teamFraction(l *limiter, team modeler.TeamID) float64 {
	own := max(a.share(team), 1)
	total := own
	for other := range l.teams {
		if other != team {
			total += max(a.share(other), 1)
		}
	}
	ratio := float64(l.teams[team]+1) * float64(total) / (l.limit * float64(own))
	if ratio <= 1 {
		return 1
	}

	return 0.5 + 0.5/ratio
}

// Permit is the admission of one request.
type Permit struct {
	admitter   *Admitter
	limiter    *limiter
	team       modeler.TeamID
	admittedAt time.Time
	timeout    time.Duration
}

// Done ends the request with its result; nil means success.
func (p *Permit) Done(err *modeler.Refusal) {
	a, l := p.admitter, p.limiter
	a.mu.Lock()
	defer a.mu.Unlock()
	// A limit that is not used is not raised, because nothing shows that the
	// capacity suffices for it.
	used := float64(l.inflight) >= l.limit/2
	a.inflight--
	l.inflight--
	if l.teams[p.team]--; l.teams[p.team] == 0 {
		delete(l.teams, p.team)
	}
	now := a.now()
	if err != nil {
		if err.Code == modeler.CodeOverload || err.Code == modeler.CodeTimeout {
			l.lower(now, p.admittedAt)
		}

		return
	}
	latency := now.Sub(p.admittedAt)
	baseline := baselineMultiple * l.observe(now, latency)
	switch {
	case latency > threshold(p.timeout, lowerFraction, maxLowerFraction, baseline):
		l.lower(now, p.admittedAt)
	case latency > threshold(p.timeout, raiseFraction, maxRaiseFraction, baseline) || !used:
	case l.loweredAt.IsZero():
		l.limit = min(l.limit+1, a.maxInflight)
	default:
		l.limit = min(l.limit+1/l.limit, a.maxInflight)
	}
}

// threshold returns baseline, bounded by the given fractions of timeout.
func threshold(timeout time.Duration, minFraction, maxFraction float64, baseline time.Duration) time.Duration {
	return min(max(time.Duration(minFraction*float64(timeout)), baseline), time.Duration(maxFraction*float64(timeout)))
}

// lower lowers the limit because of an overloaded request, unless the request was
// admitted before the last decrease.
func (l *limiter) lower(now, admittedAt time.Time) {
	if admittedAt.After(l.loweredAt) {
		l.loweredAt = now
		l.limit = max(l.limit*decreaseFactor, minLimit)
	}
}

// observe records a latency and returns the shortest recent one.
func (l *limiter) observe(now time.Time, latency time.Duration) time.Duration {
	switch {
	case l.windowStart.IsZero():
		l.minLatency, l.previousMin, l.windowStart = latency, latency, now
	case now.Sub(l.windowStart) > latencyWindow:
		l.minLatency, l.previousMin, l.windowStart = latency, l.minLatency, now
	default:
		l.minLatency = min(l.minLatency, latency)
	}

	return min(l.minLatency, l.previousMin)
}
