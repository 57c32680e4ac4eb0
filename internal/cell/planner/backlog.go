package planner

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Refusal says why a job is not admitted and after what time to try again.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Delay is the wait that the decision rests on.
	Delay time.Duration
}

// The reasons of refusals.
const (
	refusalOverRate = "account is over its rate"
	refusalBacklog  = "backlog"
	refusalLimit    = "limit of the account"
	refusalTooLarge = "job is too large"
)

// TooLargeRetryAfter is the retry delay given to callers whose job is never accepted because of its size.
const TooLargeRetryAfter = time.Hour

// excessBacklog is the wait of work within the rates above which jobs beyond their account's rate are refused.
const excessBacklog = 300 * time.Millisecond

// Admit decides whether a job may be accepted; nil means yes, and the job is charged to
// its account until Accept or Withdraw. A job beyond its account's rate is refused while
// work within the rates waits, or accepted work beyond them. Every job is refused that
// would be done too late to be useful, or that an owner can't hold in memory.
func (p *Planner) Admit(j *definer.Job, now definer.Instant) *Refusal {
	if tooLarge(j) {
		return &Refusal{Reason: refusalTooLarge, RetryAfter: TooLargeRetryAfter}
	}
	a := p.account(j.Account)
	if a.overRate(now) {
		if wait := p.excessDelay(j.Queue.Service, now); wait > excessBacklog {
			return &Refusal{Reason: refusalOverRate, RetryAfter: retryAfter(j, max(a.reserveToken(now), wait-excessBacklog)), Delay: wait}
		}
	}
	if refusal := p.refuseUseless(j, a, now); refusal != nil {
		return refusal
	}
	p.admitted[j.ID] = a.takeCredit(now)

	return nil
}

// Withdraw takes back the admission of a job that could not be stored.
func (p *Planner) Withdraw(j *definer.Job) {
	if excess, admitted := p.admitted[j.ID]; admitted && !excess {
		p.account(j.Account).credit++
	}
	delete(p.admitted, j.ID)
}

// charge returns whether an accepted job exceeds the rate of its account, as decided when
// it was admitted.
func (p *Planner) charge(j *job, now definer.Instant) (excess bool) {
	excess, admitted := p.admitted[j.ID]
	if !admitted {
		return p.account(j.Account).takeCredit(now)
	}
	delete(p.admitted, j.ID)

	return excess
}

// excessDelay returns the larger of the wait that work within the rates has seen lately
// and the estimate for such work of all priorities. Work beyond a rate comes after all of
// it, and after work beyond a rate that was accepted before.
func (p *Planner) excessDelay(service string, now definer.Instant) time.Duration {
	load := p.measuredBacklog(now).services[service]
	if load == nil {
		return 0
	}
	wait := max(load.delay, load.total.wait(load.free(), load.millis))
	if room := p.deferred[service]; room != nil && len(p.readySteps) > 0 {
		wait = max(wait, load.excess.wait(room.left(), room.bound()))
	}

	return wait
}

// refuseUseless refuses a job that would not be done within lateFactor times its objective.
// The estimate of its start is a low one: it counts only waiting work that the job comes
// after, as far as it has no room now and its account's limit lets it run, at the capacity
// that more urgent work has left of late.
func (p *Planner) refuseUseless(j *definer.Job, a *account, now definer.Instant) *Refusal {
	b := p.measuredBacklog(now)
	allowed := lateFactor*objective(j) - shortestRun(j)
	if load := b.services[j.Queue.Service]; load != nil {
		ahead := load.ahead(j.Queue.Priority)
		capacity := p.acceptedLoadOf(j.Queue.Service).remaining(j.Queue.Priority, load.millis, now)
		wait := ahead.wait(load.free(), capacity)
		if load.millis == 0 {
			wait = p.waitForZones(float64(ahead.work), now)
		}
		if wait > allowed {
			return &Refusal{Reason: refusalBacklog, RetryAfter: retryAfter(j, wait-allowed), Delay: wait}
		}
	}
	if a.limit.Millis == 0 {
		return nil
	}
	ahead := b.accounts[a].ahead(j.Queue.Priority)
	if wait := ahead.wait(a.limit.Millis-a.used.Millis, a.limit.Millis); wait > allowed {
		return &Refusal{Reason: refusalLimit, RetryAfter: retryAfter(j, wait-allowed), Delay: wait}
	}

	return nil
}

// shortestRun returns the time that a job takes at least: the estimates along its critical
// path, and one decision of its policy about one endpoint.
func shortestRun(j *definer.Job) time.Duration {
	path := criticalPath(j)
	if policy := j.Queue.Policy; policy != nil {
		path += policy.Decide + policy.Each
	}

	return path
}

// backlogAge is how long a measured backlog is used. Work that is accepted meanwhile
// is added to it.
const backlogAge = 50 * time.Millisecond

// demand is work that waits: its estimate in millicore-microseconds, and the millicores
// that it would use at once. Whole numbers make sums independent of their order.
type demand struct{ work, millis int64 }

func (d demand) add(o demand) demand { return demand{d.work + o.work, d.millis + o.millis} }

// within returns the part of d that may use the given millicores.
func (d demand) within(millis int64) demand {
	if d.millis <= millis {
		return d
	}
	millis = max(millis, 0)

	return demand{int64(float64(d.work) * float64(millis) / float64(d.millis)), millis}
}

// wait returns how long work behind d waits: the time that all of the capacity takes for
// the part of d that has no room now. Without capacity the wait is unknown, and 0.
func (d demand) wait(free, capacity int64) time.Duration {
	if capacity <= 0 {
		return 0
	}
	without := d.work - d.within(free).work

	return time.Duration(float64(without) / float64(capacity) * float64(time.Microsecond))
}

// demandOf returns the demand of the pending tasks of a step.
func demandOf(s *step) demand {
	millis := int64(s.pendingCount) * s.need().Millis

	return demand{millis * s.def.Estimate.Microseconds(), millis}
}

// demands holds demands by the priority of their queue.
type demands map[int]demand

// ahead returns the demand with the given priority or a more urgent one.
func (d demands) ahead(priority int) demand {
	var total demand
	for other, waiting := range d {
		if other <= priority {
			total = total.add(waiting)
		}
	}

	return total
}

// serviceBacklog is the load of the endpoints of a service.
type serviceBacklog struct {
	// millis and used are the millicores of the endpoints that are listed, neither draining nor in an evacuated zone
	// and have ever answered, and what runs use of them.
	millis, used int64
	// demands is the useful work within the rates, as far as the limits of its accounts let it run now, and total is
	// that of all priorities.
	demands
	total demand
	// excess is the work beyond the rates.
	excess demand
	// delay is the longest of the waits that its queues have seen lately.
	delay time.Duration
}

func (l *serviceBacklog) free() int64 { return max(l.millis-l.used, 0) }

// backlog is the waiting work of the cell.
type backlog struct {
	measuredAt definer.Instant
	services   map[string]*serviceBacklog
	// accounts holds the useful work within the rates of each account.
	accounts map[*account]demands
}

// service returns the load of a service.
func (b *backlog) service(name string) *serviceBacklog {
	load := b.services[name]
	if load == nil {
		load = &serviceBacklog{demands: demands{}}
		b.services[name] = load
	}

	return load
}

// Backlog returns the estimated work in core-seconds of the pending tasks whose
// queue has the given priority or a more urgent one, and the cores of all
// listed endpoints that are neither draining nor in an evacuated zone and have ever
// answered. Jobs beyond their account's rate and those that are too late to be useful are
// left out, as is work that the limit of its account keeps from running.
func (p *Planner) Backlog(priority int, now definer.Instant) (work, processors float64) {
	for _, load := range p.measuredBacklog(now).services {
		work += float64(load.ahead(priority).work) / millisPerCore / float64(time.Second/time.Microsecond)
		processors += float64(load.millis) / millisPerCore
	}

	return work, processors
}

// measuredBacklog returns the backlog, measured within backlogAge.
func (p *Planner) measuredBacklog(now definer.Instant) *backlog {
	if p.backlog.services == nil || now.Sub(p.backlog.measuredAt) >= backlogAge {
		p.measureBacklog(now)
	}

	return &p.backlog
}

func (p *Planner) measureBacklog(now definer.Instant) {
	p.backlog = backlog{measuredAt: now, services: map[string]*serviceBacklog{}, accounts: map[*account]demands{}}
	for _, e := range p.ordered {
		if e.listed && !e.Draining && !e.cordoned && !e.neverUsed() {
			load := p.backlog.service(e.Service)
			load.millis += e.Capacity.Millis
			load.used += e.used.Millis
		}
	}
	p.addWaiting(now)
	for _, q := range p.queues {
		if q.delay.service != "" {
			load := p.backlog.service(q.delay.service)
			load.delay = max(load.delay, q.delay.typical(now, len(p.readySteps) > 0))
		}
	}
}

// accountDemand is the demand of an account for a service in queues of a priority.
type accountDemand struct {
	account  *account
	service  string
	priority int
}

// addWaiting adds the demands of the waiting steps: all of them to those of their account,
// and to those of their service the part that the limit of the account lets run now, the
// most urgent first.
func (p *Planner) addWaiting(now definer.Instant) {
	waiting := map[accountDemand]demand{}
	for s := range p.readySteps {
		if s.job.excess {
			load := p.backlog.service(s.job.Queue.Service)
			load.excess = load.excess.add(demandOf(s))
		} else if p.urgencyAt(s, now) <= urgencyLate {
			key := accountDemand{p.account(s.job.Account), s.job.Queue.Service, s.job.Queue.Priority}
			waiting[key] = waiting[key].add(demandOf(s))
		}
	}
	keys := make([]accountDemand, 0, len(waiting))
	for key := range waiting {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b accountDemand) int {
		return cmp.Or(cmp.Compare(a.account.name, b.account.name), cmp.Compare(a.priority, b.priority), cmp.Compare(a.service, b.service))
	})
	var last *account
	room := int64(0)
	for _, key := range keys {
		if key.account != last {
			last, room = key.account, key.account.limit.Millis-key.account.used.Millis
		}
		d := waiting[key]
		p.backlog.addTo(key.account, key.priority, d)
		if key.account.limit.Millis > 0 {
			d = d.within(room)
			room -= d.millis
		}
		p.backlog.service(key.service).add(key.priority, d)
	}
}

// add adds a demand of a priority.
func (l *serviceBacklog) add(priority int, d demand) {
	l.demands[priority] = l.demands[priority].add(d)
	l.total = l.total.add(d)
}

// addTo adds a demand to those of an account.
func (b *backlog) addTo(a *account, priority int, d demand) {
	if b.accounts[a] == nil {
		b.accounts[a] = demands{}
	}
	b.accounts[a][priority] = b.accounts[a][priority].add(d)
}

// addAccepted adds a step of a job that was accepted since the measurement.
func (b *backlog) addAccepted(s *step, a *account) {
	d := demandOf(s)
	if s.job.excess {
		load := b.service(s.job.Queue.Service)
		load.excess = load.excess.add(d)

		return
	}
	b.addTo(a, s.job.Queue.Priority, d)
	if a.limit.Millis > 0 {
		d = d.within(a.limit.Millis - a.used.Millis)
	}
	b.service(s.job.Queue.Service).add(s.job.Queue.Priority, d)
}

const millisPerCore = 1000
