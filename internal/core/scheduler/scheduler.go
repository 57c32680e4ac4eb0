package scheduler

import (
	"expvar"
	"math/rand/v2"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// violations counts violated assertions of this package. Any value above zero
// indicates a programming error.
var violations = expvar.NewInt("scheduler.violations")

// Scheduler decides which task starts where. It is not safe for concurrent
// use.
type Scheduler struct {
	settings   Settings
	ledger     *accountant.Ledger
	shares     *sharer.Sharer
	jobs       map[modeler.JobID]*job
	histories  map[modeler.QueueID]*history
	teamQueues map[modeler.TeamID]*teamQueue
	// queuesByBand lists, by band, the team queues that may have work there.
	queuesByBand [bands][]*teamQueue
	// tasksAt lists, by position, the tasks charged to each endpoint.
	tasksAt [][]taskRef
	health  []endpointHealth
	// newJobs lists jobs that arrived since the last pass.
	newJobs []*job
	// unplaceable lists needs that no endpoint had room for since release
	// number unplaceableRelease.
	unplaceable        []modeler.Resources
	unplaceableRelease uint64
	seq                uint64
	maintainedAt       time.Time
	quarantined        int
	random             *rand.Rand
	commands           []Command
	contenders         []contender
	contenderHeap      contenderHeap
	heads              []*job
	stats              Stats
	// startsBeforePass is the value of stats.Starts when the current pass began.
	startsBeforePass uint64
	// reservedAt holds the reservation of each endpoint by position.
	reservedAt   []endpointReservation
	reservations []*reservation
	deadlines    deadlineIndex
	// usageBeforeDeadlines is the sum of the needs of running services and urgent
	// work, which do not yield to work with a deadline.
	usageBeforeDeadlines modeler.Resources
	// preempting lists the tasks being preempted.
	preempting []taskRef
	// preemptCursor is the position where the last search for victims ended.
	preemptCursor int
	// preemptionBudget is the number of tasks for which the current pass or
	// maintenance step may still preempt others.
	preemptionBudget int
	// nextStep is the next maintenance step; reclaimCursor is the team where the
	// last reclaim step ended.
	nextStep, reclaimCursor int
	// blocked lists the jobs that found no room and are eligible for a
	// reservation.
	blocked []*job
	// rackCursor is the rack where the last search for a group of endpoints ended.
	rackCursor int
	// maxCapacity is the componentwise maximum of the endpoints' capacities.
	maxCapacity modeler.Resources
	// changed is set when a pass may start work that the previous one could not,
	// for reasons other than a release; lastPassRelease detects releases.
	changed         bool
	lastPassRelease uint64
	// deferredGang is a gang job that did not fit the budget of the last pass.
	deferredGang *job
}

// Stats holds counters since the scheduler was created and current gauges.
type Stats struct {
	// Starts counts the tasks started.
	Starts uint64
	// Preempted counts the preempted tasks.
	Preempted uint64
	// LostCPUTime is the processor time of preempted tasks, in processors times
	// duration, that no checkpoint saved.
	LostCPUTime time.Duration
	// Queued is the number of queued tasks.
	Queued int
	// Running is the number of tasks charged to endpoints.
	Running int
	// Quarantined is the number of endpoints in quarantine.
	Quarantined int
}

// New returns a scheduler without endpoints, teams or jobs.
func New(opts ...Option) *Scheduler {
	settings := DefaultSettings()
	for _, opt := range opts {
		opt(&settings)
	}

	return &Scheduler{
		settings:   settings,
		ledger:     accountant.NewLedger(),
		shares:     sharer.New(),
		jobs:       make(map[modeler.JobID]*job),
		histories:  make(map[modeler.QueueID]*history),
		teamQueues: make(map[modeler.TeamID]*teamQueue),
		deadlines:  newDeadlineIndex(),
		random:     rand.New(rand.NewPCG(settings.Seed, 0)),
	}
}

// Stats returns the counters of the scheduler.
func (s *Scheduler) Stats() Stats { return s.stats }

// Ledger returns the endpoints' resource ledger. Callers must not modify it.
func (s *Scheduler) Ledger() *accountant.Ledger { return s.ledger }

// Shares returns the teams' shares and usage. Callers must not modify them.
func (s *Scheduler) Shares() *sharer.Sharer { return s.shares }

// Update applies msg at time now and returns the commands to execute. The
// returned slice is valid until the next call.
func (s *Scheduler) Update(msg Msg, now time.Time) []Command {
	s.commands = s.commands[:0]
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
		s.recordViolation("unknown message")
	}

	return s.commands
}

func (s *Scheduler) emit(command Command) { s.commands = append(s.commands, command) }

// recordViolation counts a violated assertion. The text only documents the call.
func (s *Scheduler) recordViolation(string) { violations.Add(1) }

// Violations returns the number of violated assertions in this process.
func Violations() int64 { return violations.Value() }

func (s *Scheduler) setEndpoint(m EndpointMsg) {
	at := s.ledger.Set(m.ID, m.Zone, m.Rack, m.Capacity, m.Usable)
	for len(s.tasksAt) <= at {
		s.tasksAt = append(s.tasksAt, nil)
		s.health = append(s.health, endpointHealth{})
	}
	s.shares.SetTotal(s.ledger.Total())
	s.maxCapacity = s.maxCapacity.Add(m.Capacity).Sub(s.maxCapacity.Min(m.Capacity))
}

// dropEndpoint removes an endpoint. Tasks on it that were not reported as ended
// are treated as lost.
func (s *Scheduler) dropEndpoint(m EndpointGoneMsg, now time.Time) {
	at, known := s.ledger.Position(m.ID)
	if !known {
		return
	}
	for len(s.tasksAt[at]) > 0 {
		r := s.tasksAt[at][0]
		result := ResultRequeue
		if r.job.Once {
			result = ResultUnknown
		}
		s.end(r, EndedMsg{Result: result, Cause: "endpoint gone"}, now)
	}
	s.setQuarantined(at, false)
	s.health[at] = endpointHealth{}
	s.ledger.Remove(m.ID)
	s.dropReservationsAt(at)
	s.shares.SetTotal(s.ledger.Total())
}

func (s *Scheduler) setTeam(m TeamMsg, now time.Time) {
	team := s.shares.Set(m.ID, m.Share, m.Allotment)
	s.changed = true
	if team.OverLimit() {
		s.enforceLimit(team, now)
	}
}

// teamQueueOf returns the queue of a team, creating it on first use.
func (s *Scheduler) teamQueueOf(team *sharer.Team) *teamQueue {
	q, known := s.teamQueues[team.ID]
	if !known {
		q = newTeamQueue(team, len(s.teamQueues), s.settings)
		s.teamQueues[team.ID] = q
	}

	return q
}

func (s *Scheduler) observe(m UsageMsg) {
	if at, known := s.ledger.Position(m.Endpoint); known {
		s.ledger.Observe(at, m.Usage)
	}
}
