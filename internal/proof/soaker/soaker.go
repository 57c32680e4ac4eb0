// Package soaker simulates a cluster: it runs the decision-making code of
// greengagewall against fakes in one goroutine, with virtual time and random
// faults. It checks the invariants from the ledger of the fakes and the answers that
// callers received. Runs with the same seed and number of steps have the same
// trace.
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
	// faultDuration is the duration of the phase with load and faults of a round.
	faultDuration = 2 * time.Minute
	// settleTimeout bounds the phase without faults after it, in which all
	// accepted work must become final.
	settleTimeout = 3 * time.Minute
	// longRunRounds is the number of rounds from which a run must have injected
	// every kind of fault and made every check.
	longRunRounds = 5
)

// Settings describes a run.
type Settings struct {
	// Seed is the seed of the first round; the seeds of later rounds are derived
	// from it.
	Seed uint64
	// Duration bounds the run in wall-clock time; zero sets no bound.
	Duration time.Duration
	// Rounds bounds the number of rounds; zero sets no bound.
	Rounds int
	// Steps bounds the number of steps of a round; zero sets no bound.
	Steps int
	Out   io.Writer
	// Trace receives the complete trace unless it is nil.
	Trace io.Writer
}

// Violation describes a failed check.
type Violation struct {
	Seed   uint64
	Check  string
	Detail string
	Step   int
	// TraceTail is the end of the trace.
	TraceTail []string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: %s\nrepeat with --seed %d --rounds 1 (step %d)\n%s", v.Check, v.Detail, v.Seed, v.Step, strings.Join(v.TraceTail, "\n"))
}

// Report counts the rounds, steps, faults and checks of a run.
type Report struct {
	Rounds int
	Steps  int
	Faults map[string]int
	Checks map[string]int
	// Digests holds the digest of the trace of every round.
	Digests []uint64
}

// Run runs rounds until the duration or the number of rounds is reached. The
// error is a *Violation if a check failed.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	report := &Report{Faults: map[string]int{}, Checks: map[string]int{}}
	started := time.Now()
	seeds := rand.New(rand.NewPCG(settings.Seed, 1))
	seed := settings.Seed
	for ctx.Err() == nil && (settings.Rounds == 0 || report.Rounds < settings.Rounds) && (settings.Duration == 0 || time.Since(started) < settings.Duration) {
		roundStart := time.Now()
		sim := runRound(seed, settings, report)
		_, _ = fmt.Fprintf(settings.Out, "seed %d: %d steps, trace %016x, %s\n", seed, sim.steps, sim.digest.Sum64(), time.Since(roundStart).Round(time.Millisecond))
		if sim.violation != nil {
			sim.violation.Seed = seed

			return report, sim.violation
		}
		seed = seeds.Uint64()
	}
	report.print(settings.Out)

	return report, report.checkCoverage()
}

// runRound runs a new cluster, first with faults and then without.
func runRound(seed uint64, settings Settings, report *Report) *simulation {
	sim, steps := newSimulation(seed, report), settings.Steps
	sim.trace = settings.Trace
	before := scheduler.Violations()
	c := newCluster(sim)
	i := &injector{cluster: c, sim: sim}
	sim.after(5*time.Second, nil, i.injectNext)
	sim.run(sim.now.Add(faultDuration), steps)
	if sim.violation == nil && (steps == 0 || sim.steps < steps) {
		c.load.stopped = true
		i.stop()
		settle(c, steps)
	}
	if scheduler.Violations() != before {
		sim.failf(checkHook, "the scheduler counted a violated assertion")
	}
	report.Rounds++
	report.Steps += sim.steps
	report.Digests = append(report.Digests, sim.digest.Sum64())

	return sim
}

// settle waits until all accepted work is final or running, and makes the checks
// that hold only then.
func settle(c *cluster, steps int) {
	sim := c.sim
	until := sim.now.Add(settleTimeout)
	sim.run(sim.now.Add(propagation), steps)
	for sim.violation == nil && sim.now.Before(until) && len(c.load.unfinished()) > 0 && (steps == 0 || sim.steps < steps) {
		sim.run(sim.now.Add(time.Second), steps)
	}
	if sim.violation != nil || steps > 0 && sim.steps >= steps {
		return
	}
	for _, j := range c.load.unfinished() {
		sim.checkf(checkKept, false, "%s", c.describe(j))
	}
	sim.checkf(checkKept, true, "")
	c.verifyChains()
	for _, p := range c.alive() {
		p.pollConfig()
		sim.checkf(checkConfig, p.applied == c.current, "%s has offset %d in force, the log %d", p.name, p.applied, c.current)
	}
}

// print prints the counters.
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

// checkCoverage returns an error if a long run did not make every check or did not
// inject every kind of fault.
func (r *Report) checkCoverage() error {
	if r.Rounds < longRunRounds {
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
