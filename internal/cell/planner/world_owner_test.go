package planner_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// The times of the owner's loop and calls, as in package leader.
const (
	startTimeout             = 700 * time.Millisecond
	stopTimeout              = 700 * time.Millisecond
	stopRetryDelay           = 150 * time.Millisecond
	renewWait                = 1000 * time.Millisecond
	renewSlack               = 700 * time.Millisecond
	renewRetryDelay          = 250 * time.Millisecond
	minRenewInterval         = 150 * time.Millisecond
	minUnstoredRenewInterval = 400 * time.Millisecond
	urgentAppendInterval     = 15 * time.Millisecond
	progressAppendInterval   = 80 * time.Millisecond
	heartbeatInterval        = 300 * time.Millisecond
	tickInterval             = 20 * time.Millisecond
	minPlanInterval          = 10 * time.Millisecond
	quorumTimeout            = 3 * time.Second
)

var settings = planner.Settings{Lease: 4500 * time.Millisecond, Freshness: 2500 * time.Millisecond}

// owner mirrors leader.Leader: it passes messages to a planner and carries out its commands.
type owner struct {
	world *world
	name  string
	term  int64
	claim journaler.Claim
	// loaded means that the loop runs, and ended that it has ended.
	loaded, ended bool
	// frozen means that the process does not run; deferred is what it does once it runs again.
	frozen   bool
	deferred []func()
	// cut holds the endpoints that the owner does not reach.
	cut          map[string]bool
	cutFromStore bool

	planner         *planner.Planner
	nextPlan        definer.Instant
	lastQuorum      definer.Instant
	renewals        map[string]*renewal
	pendingListings []listingChange
	end             int64
	outstanding     *batch
	lastAppend      definer.Instant
	beats           int64
	submissions     []*client
	confirmations   []func()
	jobsToRemove    []string
}

// renewal mirrors leader.renewal.
type renewal struct {
	outstanding bool
	due, sent   definer.Instant
}

// batch mirrors leader.batch.
type batch struct {
	created          definer.Instant
	records          []definer.Record
	submissions      []*client
	confirmations    []func()
	snapshots        []planner.Snapshot
	ends, lives      map[string]int64
	endpoints        []definer.Listing
	removedEndpoints []string
}

// deliver runs f in the owner's process, once it is not frozen.
func (o *owner) deliver(f func()) {
	switch {
	case o.ended:
	case o.frozen:
		o.deferred = append(o.deferred, f)
	default:
		f()
	}
}

// later runs f in the owner's process after d.
func (o *owner) later(d time.Duration, f func()) {
	o.world.after(d, func() { o.deliver(f) })
}

// post applies a message to the planner.
func (o *owner) post(apply func()) {
	o.deliver(func() {
		o.planner.CheckSuspension(o.world.now)
		apply()
		o.planAndExecute()
	})
}

// claimCell makes a new instance claim the cell; it becomes the owner if it succeeds.
func (w *world) claimCell() *owner {
	o := &owner{world: w, name: fmt.Sprintf("owner %d", len(w.owners)+1), cut: map[string]bool{}, renewals: map[string]*renewal{}}
	o.claim = journaler.Claim{Name: o.name, Life: int64(len(w.owners) + 1)}
	w.owners = append(w.owners, o)
	w.claiming++
	offset := w.store.end
	w.record(definer.TaskName{}, "", "%s claims at %d", o.name, offset)
	settled := false
	settle := func() {
		if !settled {
			settled = true
			w.claiming--
		}
	}
	// Others do not wait for a claim for long.
	w.after(3*time.Second, settle)
	o.append(offset, []definer.Record{journaler.EncodeClaim(o.claim)}, false, func(appended bool) {
		settle()
		if !appended {
			w.record(definer.TaskName{}, "", "%s does not own the cell", o.name)
			o.ended = true

			return
		}
		o.term, o.end = offset+1, offset+1
		w.tellOthers(o)
		o.later(w.between(50*time.Millisecond, time.Second), o.load)
	})

	return o
}

// tellOthers tells the earlier owners sooner or later that they are superseded.
func (w *world) tellOthers(newest *owner) {
	for _, o := range w.owners {
		if o == newest || o.term > newest.term {
			continue
		}
		delay := w.between(50*time.Millisecond, 600*time.Millisecond)
		if w.happens("takeover", 0.4) {
			delay = w.between(time.Second, 8*time.Second)
		}
		w.after(delay, func() { o.tell(newest) })
	}
}

// tell tells the owner that it is superseded, once it is not cut off.
func (o *owner) tell(newest *owner) {
	switch {
	case o.cutFromStore:
		o.later(stopRetryDelay, func() { o.tell(newest) })
	case o.loaded:
		o.post(func() { o.stepDown("told of " + newest.name) })
	}
}

// load reads the state table, if it has not grown since the claim, and begins the loop.
func (o *owner) load() {
	w := o.world
	if w.store.down() || o.cutFromStore {
		o.later(storeRetryDelay, o.load)

		return
	}
	if w.store.end != o.end {
		o.stepDown("table has grown before it was read")

		return
	}
	own := settings
	own.Term, own.MaxLease = o.term, w.holdMax
	o.planner = planner.New(own)
	o.planner.Configure(&definer.Configuration{Routes: []definer.Route{{Queue: definer.Queue{Name: "queue", Service: "service"}}}})
	w.store.state().Restore(o.planner, w.now, w.wall())
	o.loaded, o.lastQuorum, o.pendingListings = true, w.now, w.sortedListings()
	w.record(definer.TaskName{}, "", "%s of term %d begins", o.name, o.term)
	o.tick()
	o.later(w.between(50*time.Millisecond, 500*time.Millisecond), o.readList)
}

// readList applies the changes of the endpoint list.
func (o *owner) readList() {
	w := o.world
	if !w.store.down() && !o.cutFromStore {
		changes := o.pendingListings
		o.pendingListings = nil
		for _, change := range changes {
			o.post(func() {
				if change.listing == nil {
					o.planner.RemoveListing(change.id)
				} else {
					o.planner.UpdateListing(*change.listing, w.now)
				}
			})
		}
	}
	o.later(w.between(20*time.Millisecond, 500*time.Millisecond), o.readList)
}

// stepDown ends the ownership. What the owner could not store is passed on.
func (o *owner) stepDown(why string) {
	if o.ended {
		return
	}
	w := o.world
	w.record(definer.TaskName{}, "", "%s ends: %s", o.name, why)
	o.ended = true
	if o.planner == nil {
		return
	}
	if o.outstanding != nil {
		o.planner.MarkDirty(o.outstanding.snapshots)
	}
	if observations := o.planner.Unstored(); len(observations) > 0 {
		slices.SortFunc(observations, func(a, b planner.Observation) int { return strings.Compare(a.ID, b.ID) })
		w.after(w.between(50*time.Millisecond, 2*time.Second), func() { w.passOn(observations, o.term, w.now.Add(30*time.Second)) })
	}
}

// passOn passes unstored progress to the newest owner until one has stored it.
func (w *world) passOn(observations []planner.Observation, term int64, until definer.Instant) {
	if w.now > until {
		return
	}
	if o := w.newestOwner(); o != nil && o.loaded && o.term > term {
		confirmed := false
		o.post(func() {
			for _, observation := range observations {
				o.planner.Inherit(observation, term, w.now)
			}
			o.confirmations = append(o.confirmations, func() { confirmed = true })
		})
		w.after(5*time.Second, func() {
			if !confirmed {
				w.passOn(observations, term, until)
			}
		})

		return
	}
	w.after(200*time.Millisecond, func() { w.passOn(observations, term, until) })
}

// tick mirrors the tick of leader.loop.
func (o *owner) tick() {
	w := o.world
	now := w.now
	o.jobsToRemove = append(o.jobsToRemove, o.planner.Tick(now, w.wall())...)
	o.renewDue()
	if o.planner.HasMajority(now) || !o.planner.HasEndpoints() {
		o.lastQuorum = now
	} else if now.Sub(o.lastQuorum) > quorumTimeout+settings.LeaseBound() {
		o.stepDown("no majority")

		return
	}
	o.planAndExecute()
	o.later(tickInterval, o.tick)
}

// planAndExecute mirrors leader.planAndExecute.
func (o *owner) planAndExecute() {
	w := o.world
	if o.ended {
		return
	}
	if w.now >= o.nextPlan {
		o.planner.Plan(w.now)
		o.nextPlan = w.now.Add(minPlanInterval)
	}
	for _, note := range o.planner.Notes() {
		o.recordNote(note)
	}
	commands := o.planner.Commands()
	// The planner emits some commands in the order of a map.
	slices.SortStableFunc(commands, func(a, b planner.Command) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, command := range commands {
		o.execute(command)
	}
	o.appendIfDue()
}

// recordNote records a decision that is about one task or endpoint.
func (o *owner) recordNote(note planner.Note) {
	args := map[string]any{}
	for i := 0; i+1 < len(note.Args); i += 2 {
		args[fmt.Sprint(note.Args[i])] = note.Args[i+1]
	}
	task := definer.TaskName{}
	if index, ok := args["index"].(int); ok {
		step, _ := args["step"].(int)
		task = definer.TaskName{Job: note.Job, Step: step, Index: index}
	} else if note.Job != "" {
		return
	}
	id, _ := args["endpoint"].(string)
	o.world.record(task, id, "%s: %s %v", o.name, note.Event, note.Args)
}

// execute mirrors leader.execute.
func (o *owner) execute(command planner.Command) {
	w := o.world
	switch c := command.(type) {
	case planner.StartCmd:
		c.Order.Term = o.term
		sent := w.now
		w.record(c.Order.Task, c.Target.ID, "%s sends the start of run %d", o.name, c.Order.Run)
		w.call(o, c.Target, startTimeout, func(l *life, answer func(reply)) { answer(l.start(c.Order, sent)) }, func(r reply) {
			o.post(func() {
				if r.verdict == definer.VerdictFenced {
					o.stepDown("fenced by " + c.Target.ID)
				}
				o.planner.StartAnswered(c.Target.ID, c.Order, r.verdict, w.now)
			})
		})
	case planner.StopCmd:
		c.Order.Term = o.term
		w.record(c.Order.Task, c.Target.ID, "%s sends the stop of run %d", o.name, c.Order.Run)
		o.stop(c.Target, c.Order, w.now)
	case planner.InventoryCmd:
		o.renew(c.Endpoint, 0, true)
	case planner.AskPolicyCmd:
		panic("no queue has a policy")
	}
}
