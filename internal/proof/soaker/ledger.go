package soaker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// The checks of a run. A long run in which one of them was never made fails.
const (
	checkCapacity = "I1 capacity"
	checkPlace    = "I2 one place"
	checkLimit    = "I4 limit"
	checkAnswer   = "I5 answer"
	checkNotRun   = "I6 not run"
	checkOnce     = "I7 at most once"
	checkLeaving  = "I8 leaving"
	checkConfig   = "I10 configuration"
	checkTerm     = "one owner per term"
	checkChain    = "record chains"
	checkKept     = "accepted work kept"
	checkHook     = "violation hook"
)

var allChecks = []string{
	checkCapacity, checkPlace, checkLimit, checkAnswer, checkNotRun, checkOnce, checkLeaving, checkConfig, checkTerm, checkChain, checkKept,
}

const (
	// propagation is the time within which a configuration is in effect
	// everywhere while nothing is cut off, frozen or down.
	propagation = 15 * time.Second
	// leavingBound is when a leaving endpoint gets no new work any more.
	leavingBound = 3 * time.Second
)

// holder identifies a term of a partition.
type holder struct {
	partition modeler.PartitionID
	term      modeler.Term
}

// limits are the upper limits of a document that was in force.
type limits struct {
	teams map[modeler.TeamID]modeler.Resources
	// until is the calm time up to which they may still be applied somewhere.
	until time.Duration
}

// ledger is the account of the fakes, independent of the product's.
type ledger struct {
	world  *world
	places map[modeler.TaskID]modeler.InstanceID
	usage  map[modeler.TeamID]modeler.Resources
	starts map[modeler.TaskID]int
	good   map[modeler.TaskID]bool
	owners map[holder]modeler.InstanceID
	// applied lists the limits that may be applied somewhere, the newest last.
	applied []limits
	// calm is the time without disturbances of the spread of configuration.
	calm time.Duration
	load *load
}

func newLedger(w *world) *ledger {
	return &ledger{
		world: w, places: map[modeler.TaskID]modeler.InstanceID{}, usage: map[modeler.TeamID]modeler.Resources{},
		starts: map[modeler.TaskID]int{}, good: map[modeler.TaskID]bool{}, owners: map[holder]modeler.InstanceID{},
	}
}

// held notes that an instance uses a term.
func (l *ledger) held(partition modeler.PartitionID, term modeler.Term, owner modeler.InstanceID) {
	key := holder{partition, term}
	if known, ok := l.owners[key]; ok {
		l.world.checkf(checkTerm, known == owner, "term %s of %s is used by %s and %s", term, partition, known, owner)

		return
	}
	l.owners[key] = owner
}

// entered notes that a task or call runs at an endpoint.
func (l *ledger) entered(e *fakeEndpoint, id modeler.TaskID, r *running) {
	w := l.world
	w.tracef("%s runs %s attempt %d of team %s, session %d", e.name, id, r.task.Attempt, r.task.Team, e.session)
	used := e.used()
	w.checkf(checkCapacity, used.Fits(e.capacity), "%s runs %s of %s after %s", e.name, used, e.capacity, id)
	l.usage[r.task.Team] = l.usage[r.task.Team].Add(r.task.Needs)
	l.checkLimit(r.task.Team, r.task.Needs, string(id))
	w.checkf(checkLeaving, e.leaving.IsZero() || w.now.Sub(e.leaving) <= leavingBound, "%s leaves since %s and starts %s", e.name, e.leaving, id)
	if r.reply != nil {
		return
	}
	if at, ok := l.places[id]; ok {
		w.checkf(checkPlace, false, "%s runs at %s and at %s", id, at, e.instance.ID)
	}
	w.checkf(checkPlace, true, "")
	l.places[id] = e.instance.ID
	l.starts[id]++
	l.load.started(id, l.starts[id])
}

// left notes that a task or call no longer runs at an endpoint.
func (l *ledger) left(e *fakeEndpoint, id modeler.TaskID, r *running) {
	l.world.tracef("%s has ended %s", e.name, id)
	l.usage[r.task.Team] = l.usage[r.task.Team].Sub(r.task.Needs)
	if r.reply == nil {
		delete(l.places, id)
	}
}

// ended notes how a task ended.
func (l *ledger) ended(id modeler.TaskID, ok bool) { l.good[id] = l.good[id] || ok }

// publish notes that limits are in force from now on.
func (l *ledger) publish(doc modeler.Document) {
	if last := len(l.applied) - 1; last >= 0 {
		l.applied[last].until = l.calm + propagation
	}
	next := limits{teams: map[modeler.TeamID]modeler.Resources{}}
	for _, t := range doc.Teams {
		next.teams[t.Name] = t.Limit
	}
	l.applied = append(l.applied, next)
}

// passed counts calm time and forgets limits that are applied nowhere.
func (l *ledger) passed(calm time.Duration) {
	l.calm += calm
	l.applied = slices.DeleteFunc(l.applied, func(o limits) bool { return o.until > 0 && o.until < l.calm })
}

// checkLimit checks what a team runs, in the components that needs uses,
// against the highest limit that may be applied.
func (l *ledger) checkLimit(team modeler.TeamID, needs modeler.Resources, what string) {
	var highest modeler.Resources
	for _, o := range l.applied {
		highest = most(highest, o.teams[team])
	}
	sum := l.usage[team]
	holds := (needs.Millis == 0 || sum.Millis <= highest.Millis) && (needs.Memory == 0 || sum.Memory <= highest.Memory) &&
		(needs.Slots == 0 || sum.Slots <= highest.Slots)
	l.world.checkf(checkLimit, holds, "team %s runs %s of %s (%s)", team, sum, highest, what)
}

// most returns the componentwise maximum.
func most(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}

// sortedKeys returns the keys of a map in order, so that a run can be repeated.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
