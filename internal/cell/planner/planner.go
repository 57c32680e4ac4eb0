// Package planner decides which task of a cell runs on which endpoint. It is
// pure: it takes messages and the time, changes its state and returns
// commands; the caller performs all I/O.
package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Settings holds the limits of the planner.
type Settings struct {
	// Lease is how long an endpoint runs tasks after a renewal, by its own clock.
	Lease time.Duration
	// Freshness is how old the last answered renewal of an endpoint may be when tasks are started.
	Freshness time.Duration
}

const (
	// clockDrift covers endpoints whose steady clock is up to 2% slow.
	clockDrift = 1.0 / 0.98
	// leaseSlack covers the time between the reading of a clock and the sending of an order.
	leaseSlack = 300 * time.Millisecond
)

// LeaseBound returns the longest time, by any other clock, for which an
// endpoint may run tasks after a renewal.
func (s Settings) LeaseBound() time.Duration {
	return time.Duration(float64(s.Lease)*clockDrift) + leaseSlack
}

// Planner is the state of a cell at its owner.
type Planner struct {
	settings  Settings
	config    *definer.Configuration
	jobs      map[string]*job
	endpoints map[string]*endpoint
	// ordered holds the endpoints by their ids: a fixed order makes decisions repeatable.
	ordered []*endpoint
	// vacant are the slots below the highest one that no endpoint has.
	vacant   []int
	accounts map[string]*account
	queues   map[string]*queueStats
	// ready holds the steps that have tasks to start.
	ready map[*step]struct{}
	// timed holds the jobs that have occurrences to come.
	timed map[*job]struct{}
	// dirty holds the jobs whose record in the store is out of date.
	dirty map[*job]struct{}
	// openedAt is when a majority of the endpoints had accepted the owner's term, or 0.
	openedAt definer.Instant
	// now is the time of the last message.
	now      definer.Instant
	commands []Command
	notes    []Note
}

// account is the usage of a client account.
type account struct {
	name  string
	used  modeler.Resources
	limit modeler.Resources
	// weight is the rate of jobs a second that the account is owed.
	weight float64
	// credit is the account's token bucket of jobs, filled at weight a second.
	credit     float64
	creditedAt definer.Instant
	// active counts the jobs that are not final.
	active int
}

// queueStats is what the planner has learned of a queue.
type queueStats struct {
	// admitted is the share of the endpoints that the queue's policy admits.
	admitted float64
	// duration is the mean ratio of run times to their estimates.
	duration float64
}

// Command is something that the caller has to do.
type Command interface{ command() }

// StartCmd asks for a task to be started.
type StartCmd struct {
	Target definer.Target
	Order  definer.StartOrder
}

// StopCmd asks for a run to be stopped; it is repeated until it is answered.
type StopCmd struct {
	Target definer.Target
	Order  definer.StopOrder
}

// AskPolicyCmd asks the placement policy of a queue about endpoints.
type AskPolicyCmd struct {
	Job              string
	Occurrence, Step int
	Endpoints        []string
	// DecisionTime is the time that the decision takes.
	DecisionTime time.Duration
	// Priority is that of the queue.
	Priority int
}

// InventoryCmd asks for an inventory of an endpoint at once.
type InventoryCmd struct{ Endpoint string }

// StoreEndpointCmd asks for an endpoint to be stored before it is used.
type StoreEndpointCmd struct{ Endpoint string }

// RemoveEndpointCmd asks for an endpoint to be dropped from the store and from the caller's loops.
type RemoveEndpointCmd struct{ Endpoint string }

func (StartCmd) command()          {}
func (StopCmd) command()           {}
func (AskPolicyCmd) command()      {}
func (InventoryCmd) command()      {}
func (StoreEndpointCmd) command()  {}
func (RemoveEndpointCmd) command() {}

// Note is a decision that touched a job, for the log.
type Note struct {
	Event string
	Job   string
	Args  []any
}

// New returns an empty planner.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings, config: &definer.Configuration{}, jobs: map[string]*job{},
		endpoints: map[string]*endpoint{}, accounts: map[string]*account{}, queues: map[string]*queueStats{},
		ready: map[*step]struct{}{}, timed: map[*job]struct{}{}, dirty: map[*job]struct{}{},
	}
}

// Commands returns the commands since the last call.
func (p *Planner) Commands() []Command {
	commands := p.commands
	p.commands = nil

	return commands
}

// Notes returns the decisions since the last call.
func (p *Planner) Notes() []Note {
	notes := p.notes
	p.notes = nil

	return notes
}

// Configure takes a new configuration.
func (p *Planner) Configure(config *definer.Configuration) {
	p.config = config
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
		q = &queueStats{admitted: initialAdmission, duration: 1}
		p.queues[queue] = q
	}

	return q
}

func (p *Planner) emit(command Command) { p.commands = append(p.commands, command) }

func (p *Planner) note(event, job string, args ...any) {
	p.notes = append(p.notes, Note{Event: event, Job: job, Args: args})
}

// allows reports whether the account may have need more running beside what
// it may have on endpoints that have not answered.
func (a *account) allows(need, hidden modeler.Resources) bool {
	after := a.used.Add(hidden).Add(need)
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }

	return within(after.Millis, a.limit.Millis) && within(after.Memory, a.limit.Memory) &&
		within(after.Accelerators, a.limit.Accelerators)
}

// hidden returns a bound on what each account has running on endpoints that an
// earlier owner used and that have not answered: its tasks that are not known
// to run or to be done, and no more than these endpoints hold.
func (p *Planner) hidden(now definer.Instant) map[*account]modeler.Resources {
	if p.settled(now) {
		return nil
	}
	var capacity modeler.Resources
	for _, e := range p.ordered {
		if e.stored && !e.held {
			capacity = capacity.Add(e.Capacity)
		}
	}
	hidden := map[*account]modeler.Resources{}
	for _, j := range p.jobs {
		if !j.inherited || j.state.Final() {
			continue
		}
		a := p.account(j.Account)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				hidden[a] = hidden[a].Add(s.def.Need.Scale(int64(len(s.pending()))))
			}
		}
	}
	for a, need := range hidden {
		hidden[a] = need.Min(capacity)
	}

	return hidden
}
