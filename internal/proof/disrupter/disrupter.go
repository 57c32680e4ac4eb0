package disrupter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
)

// Settings describe a run.
type Settings struct {
	Seed uint64
	// Duration is how long the cluster is disturbed.
	Duration time.Duration
	// Binary is the program of an entry instance, and Dir where its output goes.
	Binary, Dir string
	// Entries and Endpoints are the sizes of the cluster, and Rate the jobs a second.
	Entries, Endpoints, Rate int
	// Output gets the faults and the report.
	Output io.Writer
}

const (
	// startTime is how long the cluster may take to accept its first job.
	startTime = 20 * time.Second
	// settleTime is how long accepted jobs may take to end once all faults are over.
	settleTime = 40 * time.Second
)

// ErrViolations means that a promise was broken.
var ErrViolations = errors.New("promises broken")

// Run runs a cluster under faults and checks its promises.
func Run(ctx context.Context, settings Settings) error {
	if err := os.MkdirAll(settings.Dir, 0o750); err != nil {
		return errors.Wrap(err, "directory of the run")
	}
	// Each duty draws from a source of its own, so that the faults of a seed do not depend on timing.
	source := func(duty uint64) *rand.Rand { return rand.New(rand.NewPCG(settings.Seed, duty)) } //nolint:gosec // Faults need no secrets.
	var mu sync.Mutex
	storeRandom := source(1)
	c, err := newCluster(ctx, settings, func() float64 {
		mu.Lock()
		defer mu.Unlock()

		return storeRandom.Float64()
	})
	if err != nil {
		return err
	}
	defer c.close()
	began := time.Now()
	report := func(format string, args ...any) {
		_, _ = fmt.Fprintf(settings.Output, "%7.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	stop, end := make(chan struct{}), make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { c.machines.Run(end) })
	background.Go(func() { c.loop(end) })
	defer background.Wait()
	defer close(end)

	cs := newClients(c)
	if !cs.ready(ctx) {
		return errors.Errorf("no job accepted within %s", startTime)
	}
	report("first job accepted")
	d := &disruption{cluster: c, random: source(2), counts: map[string]int{}, ending: map[*launcher.Process]bool{}, report: report, pending: make(chan func(), 1024)}
	var work sync.WaitGroup
	work.Go(func() { cs.loop(ctx, source(3), stop) })
	work.Go(func() { d.loop(ctx, stop) })
	select {
	case <-time.After(settings.Duration):
	case <-ctx.Done():
	}
	close(stop)
	work.Wait()
	completed := cs.settle(ctx, settleTime)

	return conclude(settings, c, cs, d, completed)
}

// ready waits until a job is accepted.
func (cs *clients) ready(ctx context.Context) bool {
	job := &submitted{id: fmt.Sprintf("%016x", 1), work: draw(rand.New(rand.NewPCG(1, 1)))} //nolint:gosec // A job needs no secrets.
	cs.cluster.ledger.Expect(job.id, job.work)
	for until := time.Now().Add(startTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(retryPause) {
		if status, _ := cs.call(ctx, 0, "POST", job.id, mainKey, job.body()); status == 200 {
			job.accepted = true
			cs.jobs = append(cs.jobs, job)

			return true
		}
	}

	return false
}

// conclude prints the report of a run.
func conclude(settings Settings, c *cluster, cs *clients, d *disruption, completed int) error {
	accepted := 0
	for _, job := range cs.jobs {
		if job.accepted {
			accepted++
		}
	}
	broken := c.ledger.Violations()
	out := settings.Output
	_, _ = fmt.Fprintf(out, "seed %d: %d jobs, %d accepted, %d completed; answers %v\nfaults:\n%schecks:\n",
		settings.Seed, len(cs.jobs), accepted, completed, cs.answers, describe(d.counts))
	checks := c.ledger.Checks()
	names := make([]string, 0, len(checks))
	for name := range checks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(out, "  %-40s %d\n", name, checks[name])
	}
	for _, breach := range broken {
		_, _ = fmt.Fprintf(out, "BROKEN %s\n", breach)
	}
	if len(broken) > 0 {
		return errors.Wrapf(ErrViolations, "seed %d: %d", settings.Seed, len(broken))
	}
	if accepted == 0 || completed == 0 {
		return errors.Errorf("seed %d: nothing was served", settings.Seed)
	}

	return nil
}
