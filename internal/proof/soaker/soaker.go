// Package soaker runs the decisions of greengagewall against fakes in one
// goroutine, with virtual time and random faults, and checks the invariants
// from the accounts of the fakes and the answers that callers got. A run with
// the same seed and number of steps has the same trace.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
)

const (
	// faultsFor is the part of a round with load and faults.
	faultsFor = 2 * time.Minute
	// settleFor bounds the part after it, in which all accepted work must
	// become final.
	settleFor = 3 * time.Minute
	// longRun is the number of whole rounds from which on every fault must
	// have been injected and every check made.
	longRun = 5
)

// Settings set the extent of a run.
type Settings struct {
	// Seed is the seed of the first round; those of later rounds follow from it.
	Seed uint64
	// Duration ends the run by the wall clock; zero sets no bound.
	Duration time.Duration
	// Rounds bounds the rounds; zero sets no bound.
	Rounds int
	// Steps bounds the steps of a round; zero sets no bound.
	Steps int
	Out   io.Writer
	// Trace receives the whole trace if it is set.
	Trace io.Writer
}

// Violation is a check that did not hold.
type Violation struct {
	Seed   uint64
	Check  string
	Detail string
	Step   int
	// TraceTail is the end of the trace.
	TraceTail []string
}

// Error implements error.
func (b *Violation) Error() string {
	return fmt.Sprintf("%s: %s\nrepeat with --seed %d --rounds 1 (step %d)\n%s", b.Check, b.Detail, b.Seed, b.Step, strings.Join(b.TraceTail, "\n"))
}

// Report counts what a run did.
type Report struct {
	Rounds int
	Steps  int
	Faults map[string]int
	Checks map[string]int
	// Digests holds the digest of the trace of every round.
	Digests []uint64
}

// Run runs rounds until the duration or their number is reached. The error is
// a *Breach when a check did not hold.
func Run(ctx context.Context, set Settings) (*Report, error) {
	report := &Report{Faults: map[string]int{}, Checks: map[string]int{}}
	began := time.Now()
	seeds := rand.New(rand.NewPCG(set.Seed, 1))
	seed := set.Seed
	for ctx.Err() == nil && (set.Rounds == 0 || report.Rounds < set.Rounds) && (set.Duration == 0 || time.Since(began) < set.Duration) {
		at := time.Now()
		w := round(seed, set, report)
		_, _ = fmt.Fprintf(set.Out, "seed %d: %d steps, trace %016x, %s\n", seed, w.steps, w.digest.Sum64(), time.Since(at).Round(time.Millisecond))
		if w.breach != nil {
			w.breach.Seed = seed

			return report, w.breach
		}
		seed = seeds.Uint64()
	}
	report.print(set.Out)

	return report, report.complete()
}

// round runs a fresh cluster with faults and then without.
func round(seed uint64, set Settings, report *Report) *world {
	w, steps := newWorld(seed, report), set.Steps
	w.trace = set.Trace
	before := scheduler.Violations()
	c := newCluster(w)
	i := &injector{cluster: c, world: w}
	w.after(5*time.Second, nil, i.next)
	w.run(w.now.Add(faultsFor), steps)
	if w.breach == nil && (steps == 0 || w.steps < steps) {
		c.load.quiet = true
		i.stop()
		settle(c, steps)
	}
	if scheduler.Violations() != before {
		w.failf(checkHook, "the scheduler counted a violated assertion")
	}
	report.Rounds++
	report.Steps += w.steps
	report.Digests = append(report.Digests, w.digest.Sum64())

	return w
}

// settle waits until all accepted work is final or runs, and makes the checks
// that hold only then.
func settle(c *cluster, steps int) {
	w := c.world
	until := w.now.Add(settleFor)
	w.run(w.now.Add(propagation), steps)
	for w.breach == nil && w.now.Before(until) && len(c.load.open()) > 0 && (steps == 0 || w.steps < steps) {
		w.run(w.now.Add(time.Second), steps)
	}
	if w.breach != nil || steps > 0 && w.steps >= steps {
		return
	}
	for _, j := range c.load.open() {
		w.checkf(checkKept, false, "%s", c.describe(j))
	}
	w.checkf(checkKept, true, "")
	c.verify()
	for _, p := range c.alive() {
		p.config()
		w.checkf(checkConfig, p.applied == c.current, "%s has offset %d in force, the log %d", p.name, p.applied, c.current)
	}
}

// print writes the counters.
func (r *Report) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%d rounds, %d steps\n", r.Rounds, r.Steps)
	for _, group := range []struct {
		name   string
		counts map[string]int
	}{{"fault", r.Faults}, {"check", r.Checks}} {
		for _, key := range sortedKeys(group.counts) {
			_, _ = fmt.Fprintf(out, "%s %-20s %d\n", group.name, key, group.counts[key])
		}
	}
}

// complete fails a long run that did not make every check and inject every
// kind of fault.
func (r *Report) complete() error {
	if r.Rounds < longRun {
		return nil
	}
	var missing []string
	for _, key := range allChecks {
		if r.Checks[key] == 0 {
			missing = append(missing, key)
		}
	}
	for _, key := range faultKinds {
		if r.Faults[key] == 0 {
			missing = append(missing, key)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)

		return errors.Errorf("never made in %d rounds: %s", r.Rounds, strings.Join(missing, ", "))
	}

	return nil
}
