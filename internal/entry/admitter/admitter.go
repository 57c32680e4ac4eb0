// Package admitter decides whether an entry instance takes on a request, and
// limits retries.
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
	// DefaultMaxInflight is the highest bound on requests in flight. Each holds a
	// goroutine and a body of up to 1 MiB.
	DefaultMaxInflight = 2048
	// first is the bound of a lane before anything is known of its capacity;
	// it doubles with every generation of requests until the first overload.
	first = 64
	// least keeps a lane useful while its owners are unreachable and every
	// request times out.
	least = 16
	// cut is the factor by which an overload lowers the bound of a lane.
	cut = 0.8
	// hold and late are the parts of its time after which a served request no
	// longer raises the bound of its lane, and lowers it. Waiting for timeouts
	// instead wastes the work of all requests in flight at each cut.
	hold = 0.25
	late = 0.5
	// natural is the multiple of the shortest recent latency of a lane up to
	// which neither applies: a service that needs most of its timeout even
	// when idle is not overloaded.
	natural = 3
	// holdMost and lateMost bound that exception. During a long overload every
	// recent latency includes waiting, and without a bound the exception would
	// follow it up to the timeout.
	holdMost = 0.75
	lateMost = 0.9
	// window is the age at which the shortest latency is measured anew, so that
	// a service that has become slower is noticed.
	window = 5 * time.Minute
	// retryBase is the least advised delay before a retry; the advice is
	// spread over twice that, so that shed callers do not return together.
	retryBase = time.Second
)

// part returns the part of the bound up to which a class is admitted, so that
// less urgent work cannot keep out more urgent work.
func part(class modeler.Class) float64 {
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

// Admitter bounds the requests in flight, in total and in every lane. A lane is
// a service, or all submissions: what one service's executors cannot answer
// must not lower the bound of another. The bound of a lane follows the capacity
// behind this instance: it rises while requests are served with time to spare
// and is cut when they time out or are refused for overload. An Admitter is
// safe for concurrent use.
type Admitter struct {
	most  float64
	share func(modeler.TeamID) int64
	now   func() time.Time

	mu       sync.Mutex
	inflight int
	lanes    map[string]*lane
}

// lane is guarded by the admitter's lock.
type lane struct {
	bound    float64
	inflight int
	teams    map[modeler.TeamID]int
	// cutAt is the time of the last cut; zero before the first one. Requests
	// admitted before it do not cut again, because they met the same overload.
	cutAt time.Time
	// shortest is the shortest latency since measured, and previous that of
	// the window before.
	shortest, previous time.Duration
	measured           time.Time
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithMaxInflight sets the highest bound on requests in flight.
func WithMaxInflight(most int) Option {
	return func(a *Admitter) { a.most = float64(max(most, least)) }
}

// WithShares sets the source of the teams' shares; without it all are equal.
func WithShares(share func(modeler.TeamID) int64) Option {
	return func(a *Admitter) { a.share = share }
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(a *Admitter) { a.now = now } }

// New returns an Admitter.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		most:  DefaultMaxInflight,
		share: func(modeler.TeamID) int64 { return 1 },
		now:   time.Now,
		lanes: map[string]*lane{},
	}
	for _, opt := range opts {
		opt(a)
	}

	return a
}

// Request describes what is to be admitted.
type Request struct {
	// Service is a service of the configuration, or empty for submissions.
	Service string
	Team    modeler.TeamID
	Class   modeler.Class
	// Timeout is the time that the request has.
	Timeout time.Duration
}

// Admit admits a request or returns a *modeler.Refusal. Done must be called on
// the ticket.
func (a *Admitter) Admit(req Request) (*Permit, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.lanes[req.Service]
	if !ok {
		l = &lane{bound: min(first, a.most), teams: map[modeler.TeamID]int{}}
		a.lanes[req.Service] = l
	}
	class := part(req.Class)
	if float64(a.inflight) >= a.most*class || float64(l.inflight) >= l.bound*class*a.favour(l, req.Team) {
		shed.Add(string(req.Class), 1)

		return nil, modeler.NotRun(modeler.CodeOverload, retryBase+rand.N(2*retryBase),
			"%d requests in flight, %d of team %s", l.inflight, l.teams[req.Team], req.Team)
	}
	a.inflight++
	l.inflight++
	l.teams[req.Team]++
	admitted.Add(1)

	return &Permit{admitter: a, lane: l, team: req.Team, at: a.now(), timeout: req.Timeout}, nil
}

// favour returns the factor of the bound up to which a team is admitted: 1 up
// to the team's share of the bound among the teams in flight, and falling
// towards 0.5 the further the team is above it. The team furthest above its
// share is therefore shed first, and half of the bound is always left to
// teams within theirs.
func (a *Admitter) favour(l *lane, team modeler.TeamID) float64 {
	own := max(a.share(team), 1)
	total := own
	for other := range l.teams {
		if other != team {
			total += max(a.share(other), 1)
		}
	}
	ratio := float64(l.teams[team]+1) * float64(total) / (l.bound * float64(own))
	if ratio <= 1 {
		return 1
	}

	return 0.5 + 0.5/ratio
}

// Permit is the admission of one request.
type Permit struct {
	admitter *Admitter
	lane     *lane
	team     modeler.TeamID
	at       time.Time
	timeout  time.Duration
}

// Done ends the request with its result; nil is success.
func (t *Permit) Done(err *modeler.Refusal) {
	a, l := t.admitter, t.lane
	a.mu.Lock()
	defer a.mu.Unlock()
	// An unused bound is not raised, because nothing shows that it holds.
	full := float64(l.inflight) >= l.bound/2
	a.inflight--
	l.inflight--
	if l.teams[t.team]--; l.teams[t.team] == 0 {
		delete(l.teams, t.team)
	}
	now := a.now()
	if err != nil {
		if err.Code == modeler.CodeOverload || err.Code == modeler.CodeTimeout {
			l.lower(now, t.at)
		}

		return
	}
	took := now.Sub(t.at)
	idle := natural * l.observe(now, took)
	switch {
	case took > limit(t.timeout, late, lateMost, idle):
		l.lower(now, t.at)
	case took > limit(t.timeout, hold, holdMost, idle) || !full:
	case l.cutAt.IsZero():
		l.bound = min(l.bound+1, a.most)
	default:
		l.bound = min(l.bound+1/l.bound, a.most)
	}
}

// limit returns idle, but at least and at most these parts of timeout.
func limit(timeout time.Duration, least, most float64, idle time.Duration) time.Duration {
	return min(max(time.Duration(least*float64(timeout)), idle), time.Duration(most*float64(timeout)))
}

// lower cuts the bound for a request admitted at at.
func (l *lane) lower(now, at time.Time) {
	if at.After(l.cutAt) {
		l.cutAt = now
		l.bound = max(l.bound*cut, least)
	}
}

// observe notes a latency and returns the shortest recent one.
func (l *lane) observe(now time.Time, took time.Duration) time.Duration {
	switch {
	case l.measured.IsZero():
		l.shortest, l.previous, l.measured = took, took, now
	case now.Sub(l.measured) > window:
		l.shortest, l.previous, l.measured = took, l.shortest, now
	default:
		l.shortest = min(l.shortest, took)
	}

	return min(l.shortest, l.previous)
}
