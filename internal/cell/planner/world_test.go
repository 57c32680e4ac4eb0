package planner_test

import (
	"fmt"
	"math/rand"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// seedsVariable holds the range of seeds, such as 1-2000, instead of defaultSeeds.
	seedsVariable = "OVERLAP_SEEDS"
	defaultSeeds  = "1-30"
	// faultsVariable holds the kinds of faults that may happen, separated by commas, or, after a -, those that
	// may not.
	faultsVariable = "OVERLAP_FAULTS"
)

// callFaults are the kinds of faults that apply to single calls, lives and runs.
var callFaults = []string{"slowclock", "longhold", "loss", "late", "lostappend", "refuse", "stall", "failed", kindFewEnds, kindSole}

// kindFewEnds lets endpoints list one to three ends at a time, so that some of their
// ends follow in later reports.
const kindFewEnds = "fewends"

// kindSole lets some jobs require a label that only one machine has.
const kindSole = "sole"

// kindNewLife lets orders that are carried out late reach an endpoint that has
// restarted since. It only happens when it is named, because no owner can prevent
// that such an order breaks a rule: the endpoint has forgotten what it was told.
const kindNewLife = "newlife"

const (
	// startTime is when the simulation begins, and faultTime how long faults happen.
	startTime = definer.Instant(time.Minute)
	faultTime = 40 * time.Second
	// completionTime is how long after the faults all jobs must be final.
	completionTime = 40 * time.Second
)

// TestNoOverlapInSimulatedCell guards against two runs of a task at the same time,
// a start after an acknowledged end, a run number that is given twice, jobs that
// count as begun before they have, and jobs that are never completed, under random
// faults of owners, endpoints, the network and the store.
func TestNoOverlapInSimulatedCell(t *testing.T) {
	first, last := seedRange(t)
	kinds := faultKinds()
	for seed := first; seed <= last; seed++ {
		w := simulate(seed, kinds)
		for _, v := range w.violations {
			t.Errorf("seed %d: %s of %v at %.3f s: %s\n%s", seed, v.kind, v.task, time.Duration(v.at).Seconds(), v.text, v.trace)
		}
	}
}

func seedRange(t *testing.T) (first, last int64) {
	t.Helper()
	text := os.Getenv(seedsVariable)
	if text == "" {
		text = defaultSeeds
	}
	if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
		t.Fatalf("%s = %q, want a range such as 1-2000: %v", seedsVariable, text, err)
	}

	return first, last
}

// faultKinds returns the kinds of faults that may happen.
func faultKinds() map[string]bool {
	text := os.Getenv(faultsVariable)
	excluded := strings.HasPrefix(text, "-")
	named := map[string]bool{}
	for _, kind := range strings.Split(strings.TrimPrefix(text, "-"), ",") {
		named[kind] = true
	}
	kinds := map[string]bool{kindNewLife: !excluded && named[kindNewLife]}
	for _, f := range injected {
		kinds[f.kind] = text == "" || named[f.kind] != excluded
	}
	for _, kind := range callFaults {
		kinds[kind] = text == "" || named[kind] != excluded
	}

	return kinds
}

// simulate runs a cell with random faults of the given kinds.
func simulate(seed int64, kinds map[string]bool) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: startTime, kinds: kinds, holdMax: 6 * time.Second,
		lives: map[netip.AddrPort]*life{}, listings: map[string]definer.Listing{}, tasks: map[definer.TaskName]*history{},
		onlyReachedBy: map[string]*owner{},
	}
	// Draws of its own leave the other faults of a seed as they are.
	w.setup = rand.New(rand.NewSource(-seed))
	if w.listedEnds = maxListedEnds; kinds[kindFewEnds] && w.setup.Intn(2) == 0 {
		w.listedEnds = 1 + w.setup.Intn(3)
	}
	if kinds[kindSole] && w.setup.Intn(2) == 0 {
		w.soleShare = 0.2
	}
	w.store = store{world: w, newest: map[string][]byte{}, first: map[int64]definer.Record{}}
	if kinds["longhold"] && w.chance(0.5) {
		w.holdMax = 10 * time.Second
	}
	for range 5 + w.rng.Intn(4) {
		w.addMachine(w.newAddress())
	}
	faultEnd := startTime.Add(faultTime)
	w.supervise()
	w.after(0, func() { w.submit(faultEnd) })
	w.after(3*time.Second, func() { w.injectFaults(faultEnd) })
	end := faultEnd.Add(completionTime)
	w.runUntil(end, func() bool { return w.now > faultEnd && w.allFinal() })
	if !w.allFinal() {
		w.violateUnfinished()
	}

	return w
}

// submit submits random jobs until the end.
func (w *world) submit(end definer.Instant) {
	if w.now > end {
		return
	}
	id := fmt.Sprintf("j%02d", len(w.clients))
	steps := make([]definer.Step, 1+w.rng.Intn(2))
	for i := range steps {
		steps[i] = definer.Step{Count: 1 + w.rng.Intn(5), Need: modeler.Resources{Millis: 4000, Memory: 1 << 30}, Estimate: 2500 * time.Millisecond}
		if i > 0 {
			steps[i].After = []int{0}
		}
	}
	if w.setup.Float64() < w.soleShare {
		for i := range steps {
			// One machine has room for three tasks.
			steps[i].Requires, steps[i].Count = labelSole, min(steps[i].Count, 2)
		}
	}
	queue := definer.Queue{Name: "queue", Service: "service", Priority: 1, MaxAttempts: 50, Stretch: 2, Target: time.Second}
	c := &client{job: definer.Job{ID: id, Account: "account", Spec: "spec", Steps: steps, Accepted: w.wall(), Queue: queue}}
	w.clients = append(w.clients, c)
	c.follow(w)
	w.after(w.between(500*time.Millisecond, 4*time.Second), func() { w.submit(end) })
}

func (w *world) allFinal() bool {
	for _, c := range w.clients {
		if !c.state.Final() {
			return false
		}
	}

	return true
}

// violateUnfinished records the first job that is not final in time.
func (w *world) violateUnfinished() {
	for _, c := range w.clients {
		if !c.state.Final() {
			w.violate("unfinished", definer.TaskName{Job: c.job.ID}, "the job is not final, state "+string(c.state))

			return
		}
	}
}
