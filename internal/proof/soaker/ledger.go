package soaker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Names of the checks. A long run fails if one of allChecks was never made;
// checkHook is counted only when it fails.
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
	// propagation bounds the time until a configuration is in force everywhere
	// while nothing is cut off, frozen or down.
	propagation = 15 * time.Second
	// leavingBound is how long a leaving endpoint may still be given work.
	leavingBound = 3 * time.Second
)

// termKey identifies a term of a partition.
type termKey struct {
	partition modeler.PartitionID
	term      modeler.Term
}

// limits holds the limits of a document that was in force.
type limits struct {
	teams map[modeler.TeamID]modeler.Resources
	// until is the undisturbed time up to which the limits may still be applied
	// somewhere; zero if they have not been replaced.
	until time.Duration
}

// ledger records what runs at the fake endpoints, independently of the accounting
// of the processes under test.
type ledger struct {
	sim       *simulation
	runningAt map[modeler.TaskID]modeler.InstanceID
	usage     map[modeler.TeamID]modeler.Resources
	starts    map[modeler.TaskID]int
	succeeded map[modeler.TaskID]bool
	owners    map[termKey]modeler.InstanceID
	// activeLimits lists the limits that may be applied somewhere, the newest last.
	activeLimits []limits
	// undisturbed is the total time without faults that delay the propagation of
	// configuration.
	undisturbed time.Duration
	load        *load
}

func newLedger(sim *simulation) *ledger {
	return &ledger{
		sim: sim, runningAt: map[modeler.TaskID]modeler.InstanceID{}, usage: map[modeler.TeamID]modeler.Resources{},
		starts: map[modeler.TaskID]int{}, succeeded: map[modeler.TaskID]bool{}, owners: map[termKey]modeler.InstanceID{},
	}
}

// recordOwner records that an instance uses a term and checks that no other
// instance does.
func (l *ledger) recordOwner(partition modeler.PartitionID, term modeler.Term, owner modeler.InstanceID) {
	key := termKey{partition, term}
	if known, ok := l.owners[key]; ok {
		l.sim.checkf(checkTerm, known == owner, "term %s of %s is used by %s and %s", term, partition, known, owner)

		return
	}
	l.owners[key] = owner
}

// recordStart records that a task or call started at an endpoint and checks
// the endpoint's capacity, the team's limit, that the endpoint is not leaving and
// that a task runs at no other endpoint.
func (l *ledger) recordStart(e *fakeEndpoint, id modeler.TaskID, ex *execution) {
	sim := l.sim
	sim.tracef("%s runs %s attempt %d of team %s, session %d", e.name, id, ex.task.Attempt, ex.task.Team, e.session)
	used := e.used()
	sim.checkf(checkCapacity, used.Fits(e.capacity), "%s runs %s of %s after %s", e.name, used, e.capacity, id)
	l.usage[ex.task.Team] = l.usage[ex.task.Team].Add(ex.task.Needs)
	l.checkLimit(ex.task.Team, ex.task.Needs, string(id))
	sim.checkf(checkLeaving, e.leavingSince.IsZero() || sim.now.Sub(e.leavingSince) <= leavingBound, "%s leaves since %s and starts %s", e.name, e.leavingSince, id)
	if ex.reply != nil {
		return
	}
	if at, ok := l.runningAt[id]; ok {
		sim.checkf(checkPlace, false, "%s runs at %s and at %s", id, at, e.instance.ID)
	}
	sim.checkf(checkPlace, true, "")
	l.runningAt[id] = e.instance.ID
	l.starts[id]++
	l.load.checkStart(id, l.starts[id])
}

// recordStop records that a task or call no longer runs at an endpoint.
func (l *ledger) recordStop(e *fakeEndpoint, id modeler.TaskID, ex *execution) {
	l.sim.tracef("%s has ended %s", e.name, id)
	l.usage[ex.task.Team] = l.usage[ex.task.Team].Sub(ex.task.Needs)
	if ex.reply == nil {
		delete(l.runningAt, id)
	}
}

// recordResult records whether a task succeeded.
func (l *ledger) recordResult(id modeler.TaskID, ok bool) { l.succeeded[id] = l.succeeded[id] || ok }

// addLimits adds the limits of a document that is in force from now on.
func (l *ledger) addLimits(doc modeler.Document) {
	if last := len(l.activeLimits) - 1; last >= 0 {
		l.activeLimits[last].until = l.undisturbed + propagation
	}
	next := limits{teams: map[modeler.TeamID]modeler.Resources{}}
	for _, t := range doc.Teams {
		next.teams[t.Name] = t.Limit
	}
	l.activeLimits = append(l.activeLimits, next)
}

// addUndisturbed adds undisturbed time and removes limits that can no longer be
// applied anywhere.
func (l *ledger) addUndisturbed(d time.Duration) {
	l.undisturbed += d
	l.activeLimits = slices.DeleteFunc(l.activeLimits, func(old limits) bool { return old.until > 0 && old.until < l.undisturbed })
}

// checkLimit checks the usage of a team against the highest limit that may be
// applied, in the components that are set in needs.
func (l *ledger) checkLimit(team modeler.TeamID, needs modeler.Resources, what string) {
	var highest modeler.Resources
	for _, active := range l.activeLimits {
		highest = maxResources(highest, active.teams[team])
	}
	sum := l.usage[team]
	holds := (needs.Millis == 0 || sum.Millis <= highest.Millis) && (needs.Memory == 0 || sum.Memory <= highest.Memory) &&
		(needs.Slots == 0 || sum.Slots <= highest.Slots)
	l.sim.checkf(checkLimit, holds, "team %s runs %s of %s (%s)", team, sum, highest, what)
}

// maxResources returns the componentwise maximum.
func maxResources(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}

// sortedKeys returns the keys of a map in order, so that a run is reproducible.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
