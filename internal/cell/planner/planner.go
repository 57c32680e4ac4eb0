// Package planner decides which task of a cell runs on which endpoint. It
// performs no I/O and reads no clock: its methods take messages and the time,
// update the state and queue commands, which the caller carries out.
package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Settings holds the time limits of the planner.
type Settings struct {
	// Term is the owner's fencing token: the offset in the state table after its claim.
	Term int64
	// MaxLease is the longest lease that an endpoint grants, whatever the order says; 0 means Lease.
	MaxLease time.Duration
	// Lease is how long an endpoint may run tasks after a renewal, measured by its own clock.
	Lease time.Duration
	// Freshness is the maximum age of an endpoint's last answered renewal for tasks to be started there.
	Freshness time.Duration
	// Status is how long callers may ask for the state of a job after it became final.
	Status time.Duration
	// MaxRecord is the size in bytes up to which the store accepts a record; 0 means DefaultMaxRecord.
	MaxRecord int
	// Learn selects what learned run times are used for.
	Learn Learning
}

// DefaultMaxRecord is the size of a record that the store accepts unless the settings have another one, in bytes.
const DefaultMaxRecord = 256 << 10

// RecordLimit returns the size up to which the store accepts a record, in bytes.
func (s Settings) RecordLimit() int {
	if s.MaxRecord <= 0 {
		return DefaultMaxRecord
	}

	return s.MaxRecord
}

const (
	// clockDriftFactor covers endpoints whose monotonic clock runs up to 2% slow.
	clockDriftFactor = 1.0 / 0.98
	// leaseSlack covers the delay between reading the clock and sending an order.
	leaseSlack = 300 * time.Millisecond
)

// LeaseBound returns the longest time, measured by any other clock, for which
// an endpoint may run tasks after a renewal.
func (s Settings) LeaseBound() time.Duration { return leaseBound(s.Lease) }

// maxLeaseBound is LeaseBound for an order whose end of the lease the endpoint
// could not check, because it was computed with another clock.
func (s Settings) maxLeaseBound() time.Duration { return leaseBound(max(s.Lease, s.MaxLease)) }

func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDriftFactor) + leaseSlack
}

// Planner holds the scheduling state of a cell at its owner. It is not safe for
// concurrent use.
type Planner struct {
	settings  Settings
	config    *definer.Configuration
	routes    routeIndex
	jobs      map[string]*job
	endpoints map[string]*endpoint
	// ordered holds the endpoints sorted by id; a fixed order makes decisions reproducible.
	ordered []*endpoint
	// freeSlots are the slots of removed endpoints, for reuse.
	freeSlots []int
	accounts  map[string]*account
	queues    map[string]*queueStats
	// estimator learns from the runs that end.
	estimator *estimator.Estimator
	// readySteps holds the steps that have tasks to start.
	readySteps map[*step]struct{}
	// unopened holds the jobs with occurrences or tasks that are neither open nor done.
	unopened map[*job]struct{}
	// dirty holds the jobs whose stored progress is out of date, in the order of their change numbers.
	dirty []*job
	// begunJobs holds the jobs that have begun and whose stored progress may not say so.
	begunJobs []*job
	// changes is the last change number that was given.
	changes uint64
	// changedEndpoints holds the ids of the endpoints whose records in the state table are out of date.
	changedEndpoints map[string]struct{}
	// zones holds the evacuated zones by name.
	zones map[string]*evacuatedZone
	// unusedListings holds, by id, the entries of the endpoint list whose services the cell does not use.
	unusedListings map[string]unusedListing
	// routedServices holds the services that routes of the configuration use, and jobsOfService the numbers of
	// jobs that are not final and need endpoints of a service.
	routedServices map[string]bool
	jobsOfService  map[string]int
	// unacknowledged holds the endpoints that have reported ends which are not stored yet.
	unacknowledged map[*endpoint]struct{}
	// listingEnds holds the inherited endpoints that have accepted the term and have not listed all ends that they
	// had then.
	listingEnds map[*endpoint]struct{}
	// finished holds the final jobs in the order in which they became final.
	finished []*job
	// withoutDetails is how many of the finished jobs, from the first on, have no tasks any more.
	withoutDetails int
	// backlog is the last result of measureBacklog.
	backlog backlog
	// speeds holds the speeds of the endpoints by service.
	speeds map[string]*serviceSpeeds
	// deferred holds the room for work that yields, as the last round found it, for the services in which useful
	// work waited.
	deferred map[string]*deferredRoom
	// flows holds the mean of the accepted work of each service.
	acceptedLoads map[string]acceptedLoad
	// admitted holds the admitted jobs that are being stored, and whether they exceed the rate of their account.
	admitted map[string]bool
	// rounds counts the rounds of placement.
	rounds int
	// lastRound is when the last round of placement began.
	lastRound definer.Instant
	// gangTurns counts, by the purpose of the question, the gangs that had their turn to ask their policy.
	gangTurns [gangQuestionRenew + 1]int
	// nextPrefetch is when the next step beyond prefetchShare may request tickets.
	nextPrefetch definer.Instant
	// ownedAt is when the last successful append was made; the instance owned the cell then.
	ownedAt definer.Instant
	// tableEnd is the offset after the last record of the state table, as far as the owner knows.
	tableEnd int64
	// listReadAt is when the first entry of the endpoint list was read, or 0.
	listReadAt definer.Instant
	// inheritedEndpoints counts the endpoints that the table named when the owner loaded it.
	inheritedEndpoints int
	// mustWait means that an inherited endpoint was taken for gone whose leases may not have expired.
	mustWait bool
	// majoritySince is when a majority of the inherited endpoints was first held, or 0.
	majoritySince definer.Instant
	// majorityUntil is when the majority that the last tick found lapses, or 0 if there was none.
	majorityUntil definer.Instant
	// majorityHeld is whether the last tick found a majority.
	majorityHeld bool
	// majorityNoted and settledNoted mean that noteTakeover has written its lines.
	majorityNoted, settledNoted bool
	// inventorySent is when the inventory being processed was requested.
	inventorySent definer.Instant
	// lastActive is the time of the last call of CheckSuspension, and resumedAt when the owner
	// last ran again after it had been suspended.
	lastActive, resumedAt definer.Instant
	// standingNotedAt is when jobs that stand were last looked for.
	standingNotedAt definer.Instant
	// now is the time of the last processed message.
	now      definer.Instant
	commands []Command
	// questions counts the questions to placement policies, and freeQuestionTime is their free decision time.
	questions        int
	freeQuestionTime time.Duration
	// startsLeft is how many more tasks may start in this round of placement.
	startsLeft int
	notes      []Note
	// runTimes is about the runs that ended since the last note about run times.
	runTimes runTimesRecord
	// roundsNoted is about the rounds since the last note about the load.
	roundsNoted roundRecord
}

// account holds the usage and the limits of a client account.
type account struct {
	name  string
	used  modeler.Resources
	limit modeler.Resources
	// weight is the account's guaranteed rate in jobs per second, and its share of the processors.
	weight float64
	// credit is the account's token bucket in jobs; it refills at weight jobs per second.
	credit     float64
	creditedAt definer.Instant
	// reservedUntil is when the last refused caller was told to return for a token.
	reservedUntil definer.Instant
	// active counts the account's jobs that are not final.
	active int
}

// queueStats holds the moving averages that the planner keeps for a queue.
type queueStats struct {
	// admissionRate is the share of the endpoints that the queue's policy admits.
	admissionRate float64
	// questionWait is the mean time from a question to its answer, beyond the decision time.
	questionWait time.Duration
	// ticketReservationsFrom is when gangs that ask for tickets may reserve room again.
	ticketReservationsFrom definer.Instant
	// delay is what jobs have waited lately.
	delay queueDelay
	// running is the millicores that the runs of the queue use.
	running int64
}

// Command is an action that the caller has to carry out.
type Command interface{ command() }

// StartCmd sends a start order to an endpoint.
type StartCmd struct {
	Target definer.Target
	Order  definer.StartOrder
}

// StopCmd sends a stop order to an endpoint. The caller repeats it until it is
// answered, for StopRetryWindow at most.
type StopCmd struct {
	Target definer.Target
	Order  definer.StopOrder
}

// AskPolicyCmd asks the placement policy of a queue about endpoints.
type AskPolicyCmd struct {
	// Number identifies the question among those of the planner; numbers increase.
	Number           int
	Job              string
	Occurrence, Step int
	Endpoints        []string
	// DecisionTime is the expected duration of the decision.
	DecisionTime time.Duration
	// Queue is the name of the queue. Questions with the lowest Priority are asked first.
	Queue    string
	Priority int
	// Deadline is when the question counts as lost; nobody works on it after that.
	Deadline definer.Instant
}

// PolicyAnswer is the answer to a question.
type PolicyAnswer struct {
	// Answered is false when the question failed; the other fields are then empty.
	Answered bool
	Tickets  []definer.Ticket
	// Arrived is when the answer came from the policy. The validity of the tickets begins with the decision;
	// ticketMargin covers the time in between.
	Arrived definer.Instant
}

// InventoryCmd requests the inventory of an endpoint immediately.
type InventoryCmd struct{ Endpoint string }

func (StartCmd) command()     {}
func (StopCmd) command()      {}
func (AskPolicyCmd) command() {}
func (InventoryCmd) command() {}

// Note records a decision about a job or an endpoint, for the log.
type Note struct {
	Event string
	Job   string
	Args  []any
	// Warn means that the note may show a fault.
	Warn bool
	// Latencies are for the metrics, and so are Counts, by the name of the counter.
	Latencies []Latency
	Counts    map[string]int64
}

// Latency is a measured time, under the name of its histogram.
type Latency struct {
	Name string
	Time time.Duration
}

// New returns an empty planner.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings, tableEnd: settings.Term, config: &definer.Configuration{}, jobs: map[string]*job{},
		endpoints: map[string]*endpoint{}, accounts: map[string]*account{}, queues: map[string]*queueStats{},
		speeds: map[string]*serviceSpeeds{}, readySteps: map[*step]struct{}{}, unopened: map[*job]struct{}{}, admitted: map[string]bool{}, acceptedLoads: map[string]acceptedLoad{},
		unusedListings: map[string]unusedListing{}, jobsOfService: map[string]int{},
		estimator: estimator.New(), changedEndpoints: map[string]struct{}{}, unacknowledged: map[*endpoint]struct{}{}, listingEnds: map[*endpoint]struct{}{},
	}
}

// Commands returns and clears the commands emitted since the last call.
func (p *Planner) Commands() []Command {
	commands := p.commands
	p.commands = nil

	return commands
}

// Notes returns and clears the decisions recorded since the last call.
func (p *Planner) Notes() []Note {
	notes := p.notes
	p.notes = nil

	return notes
}

// Configure applies a new configuration. Accounts that it does not name keep
// their usage but lose their limit and weight.
func (p *Planner) Configure(config *definer.Configuration) {
	p.config = config
	p.routes = newRouteIndex(config.Routes)
	p.configureServices(config.Routes)
	for _, a := range p.accounts {
		a.limit, a.weight = modeler.Resources{}, 0
	}
	for _, definition := range config.Accounts {
		a := p.account(definition.Name)
		a.limit, a.weight = definition.Limit, definition.Weight
	}
}

func (p *Planner) account(name string) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name}
		p.accounts[name] = a
	}

	return a
}

func (p *Planner) stats(queue string) *queueStats {
	q := p.queues[queue]
	if q == nil {
		q = &queueStats{admissionRate: initialAdmission}
		p.queues[queue] = q
	}

	return q
}

func (p *Planner) emit(command Command) { p.commands = append(p.commands, command) }

func (p *Planner) note(event, job string, args ...any) {
	p.notes = append(p.notes, Note{Event: event, Job: job, Args: args})
}

// withinLimit reports whether the account stays within its limit when need is
// added to its known usage and to its unconfirmed usage.
func (a *account) withinLimit(need, unconfirmed modeler.Resources) bool {
	after := a.used.Add(unconfirmed).Add(need)
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }

	return within(after.Millis, a.limit.Millis) && within(after.Memory, a.limit.Memory) &&
		within(after.Accelerators, a.limit.Accelerators)
}

// unconfirmedUsage returns an upper bound on what each account has running on
// endpoints that a previous owner used and that have not answered yet. The
// bound is the need of the account's inherited tasks that are neither done nor
// known to run, limited by the capacity of these endpoints. It is nil once the
// takeover is settled.
func (p *Planner) unconfirmedUsage() map[*account]modeler.Resources {
	if p.takeoverSettled() {
		return nil
	}
	var capacity modeler.Resources
	for _, e := range p.ordered {
		if e.inherited && !e.acceptedTerm {
			capacity = capacity.Add(e.Capacity)
		}
	}
	usage := map[*account]modeler.Resources{}
	for _, j := range p.jobs {
		if !j.inherited || j.state.Final() {
			continue
		}
		a := p.account(j.Account)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				usage[a] = usage[a].Add(s.def.Need.Scale(int64(s.pendingCount)))
			}
		}
		if j.heldBack {
			// The previous owner may have opened other occurrences, of which it kept no more tasks open.
			for i := range j.Steps {
				usage[a] = usage[a].Add(j.Steps[i].Need.Scale(maxOpenTasks)).Min(capacity)
			}
		}
	}
	for a, need := range usage {
		usage[a] = need.Min(capacity)
	}

	return usage
}
