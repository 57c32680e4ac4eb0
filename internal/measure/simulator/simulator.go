// Package simulator runs the placement of a cell in virtual time: the real planner,
// simulated endpoints, placement policies that take their time, and client accounts with
// limits. Nothing fails but tasks. It shows how long work of each class waits, and for
// what, at sizes and loads of which a run with real processes takes minutes.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Options selects what is simulated.
type Options struct {
	Seed uint64
	// Endpoints and Instances are the sizes of the cell. Each instance asks the placement
	// policies one question at a time.
	Endpoints, Instances int
	// Classes is the work that arrives for Duration, and DrainTime is how long the
	// simulation continues after that.
	Classes             []Class
	Duration, DrainTime time.Duration
	// Accounts is the number of client accounts. Each may run LimitFactor times its share
	// of the work that arrives; 0 means no limits.
	Accounts    int
	LimitFactor float64
	// RateFactor is the rate of each account as a multiple of its share of the jobs that arrive on average; 0 means
	// rates that none exceeds.
	RateFactor float64
	// Hot accounts, the largest first, send HotFactor times their share of the jobs of class HotClass from HotFrom
	// to HotUntil, beside what the others send. They send nothing beyond their share if HotFactor is at most 1.
	Hot               int
	HotFactor         float64
	HotClass          int
	HotFrom, HotUntil time.Duration
	// Round is the time between two rounds of placement.
	Round time.Duration
	// Speeds are the speeds of the endpoints, in turn; empty means endpointSpeeds.
	Speeds []float64
	// Learn selects what the owner uses learned run times for.
	Learn planner.Learning
}

const (
	// callTime is the time of a call to an endpoint in one direction, and of a question on
	// its way to the policy.
	callTime = 15 * time.Millisecond
	// listTime is the time from the end of a run until the owner knows it.
	listTime = 40 * time.Millisecond
	// pollInterval is the time between two reports of an endpoint on which nothing ends.
	pollInterval = time.Second
	service      = "service"
	coreMillis   = 1000
)

// endpointCapacity is the capacity of each endpoint.
var endpointCapacity = modeler.Resources{Millis: 16 * coreMillis, Memory: 64 << 30}

// endpointSpeeds are the speeds of the endpoints, in turn.
var endpointSpeeds = []float64{0.8, 1, 1.25}

// settings are those of an owner on the users' platform.
var settings = planner.Settings{Term: 1, Lease: 4500 * time.Millisecond, Freshness: 2500 * time.Millisecond}

// cell is a simulated cell.
type cell struct {
	options Options
	// arrivals draws the work that arrives, and outcomes all else, so that two versions of the
	// planner get the same work.
	arrivals, outcomes *rand.Rand
	// excess draws the work that hot accounts send beyond their share, so that the other work stays the same.
	excess    *rand.Rand
	planner   *planner.Planner
	now       definer.Instant
	began     time.Time
	events    eventQueue
	endpoints map[string]*endpoint
	order     []*endpoint
	policies  policyService
	jobs      map[string]*job
	result    *Result
}

// Run simulates a cell.
func Run(options Options) *Result {
	settings := settings
	settings.Learn = options.Learn
	if len(options.Speeds) == 0 {
		options.Speeds = endpointSpeeds
	}
	c := &cell{
		options: options, arrivals: rand.New(rand.NewPCG(options.Seed, 1)), outcomes: rand.New(rand.NewPCG(options.Seed, 2)), planner: planner.New(settings), now: definer.Instant(time.Hour),
		began: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), endpoints: map[string]*endpoint{}, jobs: map[string]*job{},
		result: newResult(options.Classes),
	}
	c.excess = rand.New(rand.NewPCG(options.Seed, 3))
	c.policies = newPolicyService(c, options.Instances)
	c.configure()
	for n := range options.Endpoints {
		c.addEndpoint(n)
	}
	for i := range options.Classes {
		c.submitNext(&options.Classes[i])
	}
	for n := range options.Hot {
		c.submitNextExcess(n)
	}
	c.round()
	c.events.run(c, c.now.Add(options.Duration+options.DrainTime))
	c.finish()

	return c.result
}

// wall returns the wall clock time.
func (c *cell) wall() time.Time {
	return c.began.Add(c.now.Sub(definer.Instant(time.Hour)))
}

// elapsed returns the time since the beginning.
func (c *cell) elapsed() time.Duration { return c.now.Sub(definer.Instant(time.Hour)) }

// after calls f when d has passed.
func (c *cell) after(d time.Duration, f func()) { c.events.add(c.now.Add(d), f) }

// configure configures the accounts. Each may run a gang of half of the largest width,
// however small its share is.
func (c *cell) configure() {
	config := &definer.Configuration{Version: 1}
	for i := range c.options.Classes {
		config.Routes = append(config.Routes, definer.Route{Queue: c.options.Classes[i].queue()})
	}
	offered, widest := 0.0, 0.0
	for i := range c.options.Classes {
		class := &c.options.Classes[i]
		offered += class.offered()
		widest = max(widest, class.Width.Max*class.Cores.Mean)
	}
	for n := range c.options.Accounts {
		account := definer.Account{Name: accountName(n), Weight: c.accountRate(n)}
		if c.options.LimitFactor > 0 {
			cores := max(c.options.LimitFactor*offered*c.accountShare(n), widest/2)
			account.Limit = modeler.Resources{Millis: int64(cores * coreMillis)}
		}
		config.Accounts = append(config.Accounts, account)
	}
	c.planner.Configure(config)
}

func accountName(n int) string { return fmt.Sprintf("account-%02d", n) }

// accountWeight returns the weight of an account; the first are the largest.
func accountWeight(n int) float64 { return 1 / float64(n+3) }

// accountShare returns the share of the work that is the account's.
func (c *cell) accountShare(n int) float64 {
	total := 0.0
	for i := range c.options.Accounts {
		total += accountWeight(i)
	}

	return accountWeight(n) / total
}

// accountRate returns the jobs per second that the account may send.
func (c *cell) accountRate(n int) float64 {
	const unlimited = 1000
	if c.options.RateFactor <= 0 {
		return unlimited
	}
	total := 0.0
	for i := range c.options.Classes {
		total += c.options.Classes[i].PerSecond
	}

	return c.options.RateFactor * total * c.accountShare(n)
}

// drawAccount draws an account by its share.
func (c *cell) drawAccount() string {
	draw := c.arrivals.Float64()
	for n := range c.options.Accounts {
		if draw -= c.accountShare(n); draw < 0 {
			return accountName(n)
		}
	}

	return accountName(0)
}

// addEndpoint adds an endpoint to the list and the store.
func (c *cell) addEndpoint(n int) {
	listing := definer.Listing{
		ID: fmt.Sprintf("e%05d", n), Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 80),
		Capacity: endpointCapacity, Born: 1,
	}
	e := &endpoint{cell: c, listing: listing, speed: c.options.Speeds[n%len(c.options.Speeds)], runs: map[runKey]*run{}, lastReport: c.now}
	c.endpoints[listing.ID] = e
	c.order = append(c.order, e)
	c.planner.UpdateListing(listing, c.now)
	c.planner.EndpointsStored([]definer.Listing{listing}, nil)
	e.report()
	c.after(time.Duration(c.outcomes.Int64N(int64(pollInterval))), e.poll)
}

// round plays a round of placement and carries out its commands.
func (c *cell) round() {
	c.planner.Tick(c.now, c.wall())
	c.planner.SetFreeQuestionTime(c.policies.freeTime())
	c.planner.Plan(c.now)
	for _, note := range c.planner.Notes() {
		c.result.note(c, note)
	}
	for _, command := range c.planner.Commands() {
		c.carryOut(command)
	}
	snapshots, ends := c.planner.Dirty()
	c.planner.Stored(snapshots)
	c.planner.Appended(settings.Term+int64(c.elapsed()), c.now)
	c.planner.Acknowledge(ends, c.planner.Lives())
	c.after(c.options.Round, c.round)
}

func (c *cell) carryOut(command planner.Command) {
	switch command := command.(type) {
	case planner.StartCmd:
		e := c.endpoints[command.Target.ID]
		c.after(callTime, func() { e.start(command.Order) })
	case planner.StopCmd:
		e := c.endpoints[command.Target.ID]
		c.after(callTime, func() { e.stop(command.Order) })
	case planner.AskPolicyCmd:
		c.policies.ask(command)
	case planner.InventoryCmd:
		c.after(2*callTime, c.endpoints[command.Endpoint].report)
	}
}
