package scheduler

import (
	"expvar"
	"math/rand/v2"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// faults counts violated assertions of this package; any value above zero is a
// programming error.
var faults = expvar.NewInt("scheduler.violations")

// Scheduler decides which task starts where. It is not safe for concurrent
// use.
type Scheduler struct {
	settings Settings
	ledger   *accountant.Ledger
	shares   *sharer.Sharer
	jobs     map[modeler.JobID]*job
	queues   map[modeler.QueueID]*history
	lines    map[modeler.TeamID]*line
	// waiting lists, by band, the lines that may have work there.
	waiting [bands][]*line
	// tenants lists the tasks charged to each endpoint by position.
	tenants [][]ref
	health  []health
	// fresh lists jobs that arrived since the last pass.
	fresh []*job
	// unfit lists needs that found no room since the last release.
	unfit        []modeler.Resources
	unfitRelease uint64
	seq          uint64
	ticked       time.Time
	held         int
	random       *rand.Rand
	out          []Command
	contenders   []contender
	ring         contest
	heads        []*job
	stats        Stats
	// passStart is the number of starts when the present pass began.
	passStart uint64
	// holds are the reserved amounts by position.
	holds        []hold
	reservations []*reservation
	dated        deadlines
	// fixed is what services and urgent work have running.
	fixed modeler.Resources
	// stopping lists the tasks being preempted.
	stopping []ref
	// preemptCursor is the endpoint that the last search for victims ended
	// with.
	preemptCursor int
	// promises is how many more tasks room may be made for at present.
	promises int
	// chore is the number of the next chore, reclaimCursor the team that the
	// last chore of reclaiming ended with.
	chore, reclaimCursor int
	// blocked lists the jobs that found no room and could reserve it.
	blocked []*job
	// cursor is the rack that the last search for a reservation ended with.
	cursor int
	// largest is the componentwise maximum of the endpoints' capacities.
	largest modeler.Resources
	// changed is set when a pass may start what the last one could not, apart
	// from releases, which servedRelease compares.
	changed       bool
	servedRelease uint64
	// wide is an all-at-once job that the last pass had no budget for.
	wide *job
}

// Stats counts what the scheduler has done since it was made.
type Stats struct {
	// Starts counts the tasks started.
	Starts uint64
	// Preempted counts the tasks stopped to make room.
	Preempted uint64
	// LostCPUTime is the processor time, in processors times duration, that was
	// spent by preempted tasks and not kept by a checkpoint.
	LostCPUTime time.Duration
	// Queued is the number of tasks that wait now.
	Queued int
	// Running is the number of tasks charged to endpoints now.
	Running int
	// Quarantined is the number of endpoints closed for failing tasks now.
	Quarantined int
}

// New returns a scheduler without endpoints, teams or jobs.
func New(opts ...Option) *Scheduler {
	settings := DefaultSettings()
	for _, opt := range opts {
		opt(&settings)
	}

	return &Scheduler{
		settings: settings,
		ledger:   accountant.NewLedger(),
		shares:   sharer.New(),
		jobs:     make(map[modeler.JobID]*job),
		queues:   make(map[modeler.QueueID]*history),
		lines:    make(map[modeler.TeamID]*line),
		dated:    newDeadlines(),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
	}
}

// Stats returns the counters of the scheduler.
func (s *Scheduler) Stats() Stats { return s.stats }

// Ledger returns the account of the endpoints; callers only read it.
func (s *Scheduler) Ledger() *accountant.Ledger { return s.ledger }

// Shares returns the account of the teams; callers only read it.
func (s *Scheduler) Shares() *sharer.Sharer { return s.shares }

// Update applies msg at the time now and returns what is to be done. The
// returned slice is valid until the next call.
func (s *Scheduler) Update(msg Msg, now time.Time) []Command {
	s.out = s.out[:0]
	switch m := msg.(type) {
	case EndpointMsg:
		s.setEndpoint(m)
	case EndpointGoneMsg:
		s.dropEndpoint(m, now)
	case TeamMsg:
		s.setTeam(m, now)
	case JobMsg:
		s.addJob(m.Job, now)
	case AdoptMsg:
		s.adopt(m, now)
	case StartedMsg:
		s.started(m)
	case EndedMsg:
		s.ended(m, now)
	case CancelMsg:
		s.cancel(m, now)
	case UsageMsg:
		s.observe(m)
	case DecideMsg:
		s.decide(m.Budget, now)
	default:
		s.fault("unknown message")
	}

	return s.out
}

func (s *Scheduler) emit(command Command) { s.out = append(s.out, command) }

// fault counts a violated assertion.
func (s *Scheduler) fault(string) { faults.Add(1) }

// Violations returns the number of violated assertions in this process.
func Violations() int64 { return faults.Value() }

func (s *Scheduler) setEndpoint(m EndpointMsg) {
	at := s.ledger.Set(m.ID, m.Zone, m.Rack, m.Capacity, m.Usable)
	for len(s.tenants) <= at {
		s.tenants = append(s.tenants, nil)
		s.health = append(s.health, health{})
	}
	s.shares.SetTotal(s.ledger.Total())
	s.largest = s.largest.Add(m.Capacity).Sub(s.largest.Min(m.Capacity))
}

// dropEndpoint removes an endpoint. Tasks that were not reported as ended
// before are treated as lost.
func (s *Scheduler) dropEndpoint(m EndpointGoneMsg, now time.Time) {
	at, known := s.ledger.Position(m.ID)
	if !known {
		return
	}
	for len(s.tenants[at]) > 0 {
		r := s.tenants[at][0]
		result := ResultRequeue
		if r.job.Once {
			result = ResultUnknown
		}
		s.end(r, EndedMsg{Result: result, Cause: "endpoint gone"}, now)
	}
	s.setHeld(at, false)
	s.health[at] = health{}
	s.ledger.Remove(m.ID)
	s.dropReservationsAt(at)
	s.shares.SetTotal(s.ledger.Total())
}

func (s *Scheduler) setTeam(m TeamMsg, now time.Time) {
	team := s.shares.Set(m.ID, m.Share, m.Allotment)
	s.changed = true
	if team.OverLimit() {
		s.shrink(team, now)
	}
}

// lineOf returns the waiting line of a team.
func (s *Scheduler) lineOf(team *sharer.Team) *line {
	l, known := s.lines[team.ID]
	if !known {
		l = newLine(team, len(s.lines), s.settings)
		s.lines[team.ID] = l
	}

	return l
}

func (s *Scheduler) observe(m UsageMsg) {
	if at, known := s.ledger.Position(m.Endpoint); known {
		s.ledger.Observe(at, m.Usage)
	}
}
