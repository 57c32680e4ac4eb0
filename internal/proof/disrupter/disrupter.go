package disrupter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
)

// Settings describes a run.
type Settings struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Binary is the path of the program of an entry instance, Dir the directory for
	// its settings and output.
	Binary, Dir string
	// Entries and Endpoints are the numbers of entry instances and endpoints, Rate
	// is the number of jobs submitted per second.
	Entries, Endpoints, Rate int
	// Mix selects the faults.
	Mix Mix
	// Evacuations lets zones be evacuated and taken back beside the faults.
	Evacuations bool
	// Output receives the injected faults and the report.
	Output io.Writer
}

const (
	// startTimeout bounds the time until the cluster accepts its first job.
	startTimeout = 20 * time.Second
	// settleTimeout bounds the time from the end of all faults to the end of all
	// accepted jobs.
	settleTimeout = 40 * time.Second
)

// ErrViolations is returned by Run if a guarantee was violated.
var ErrViolations = errors.New("promises broken")

// lockedWriter lets several goroutines write to a writer.
type lockedWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.writer.Write(data)
}

// Run runs a cluster under faults and checks its guarantees. It returns an error
// that wraps ErrViolations if one was violated.
func Run(ctx context.Context, settings Settings) error {
	if err := os.MkdirAll(settings.Dir, 0o750); err != nil {
		return errors.Wrap(err, "directory of the run")
	}
	settings.Output = &lockedWriter{writer: settings.Output}
	// Every user of random numbers has a separate source, so that the faults of a
	// seed do not depend on timing.
	newRandom := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(settings.Seed, stream)) } //nolint:gosec // Faults need no secrets.
	var mu sync.Mutex
	storeRandom := newRandom(1)
	c, err := newCluster(ctx, settings, func() float64 {
		mu.Lock()
		defer mu.Unlock()

		return storeRandom.Float64()
	})
	if err != nil {
		return err
	}
	defer c.close()
	started := time.Now()
	logf := func(format string, args ...any) {
		_, _ = fmt.Fprintf(settings.Output, "%7.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
	stop, end := make(chan struct{}), make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { c.executors.Run(end) })
	background.Go(func() { c.loop(end) })
	defer background.Wait()
	defer close(end)

	cs := newClients(c)
	if !cs.awaitReady(ctx) {
		return errors.Errorf("no job accepted within %s", startTimeout)
	}
	logf("first job accepted")
	i := &faultInjector{cluster: c, clients: cs, mix: settings.Mix, random: newRandom(2), counts: map[string]int{}, stopping: map[*launcher.Process]bool{}, logf: logf, steps: make(chan func(), 1024)}
	if settings.Evacuations {
		i.evacuator = &evacuator{injector: i, random: newRandom(6)}
	}
	var work sync.WaitGroup
	if settings.Mix == MixPolicies {
		pc := &policyClients{clients: cs, random: newRandom(3)}
		work.Go(func() { pc.loop(ctx, stop) })
		w := &standWatcher{cluster: c, disturbance: &i.disturbance, logf: logf, spells: map[string]*spell{}}
		background.Go(func() { w.loop(end) })
	} else {
		work.Go(func() { cs.loop(ctx, newRandom(3), newRandom(5), stop) })
	}
	work.Go(func() { i.run(ctx, stop) })
	p := &poller{clients: cs, random: newRandom(4)}
	work.Go(func() { p.loop(ctx, stop) })
	select {
	case <-time.After(settings.Duration):
	case <-ctx.Done():
	}
	close(stop)
	work.Wait()
	completed := cs.awaitEnds(ctx, settleTimeout)

	return printReport(settings, c, cs, i, completed)
}

// awaitReady submits a job until it is accepted and reports whether it was
// accepted within startTimeout.
func (cs *clients) awaitReady(ctx context.Context) bool {
	job := newJob(1, randomWork(rand.New(rand.NewPCG(1, 1)), time.Second)) //nolint:gosec // A job needs no secrets.
	cs.cluster.ledger.Expect(job.id, job.work)
	for until := time.Now().Add(startTimeout); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(retryDelay) {
		if status, _ := cs.call(ctx, 0, http.MethodPost, job, job.key, job.body()); status == 200 {
			job.accepted = true
			cs.jobs = append(cs.jobs, job)

			return true
		}
	}

	return false
}

// printReport prints the report of a run. It returns an error if a guarantee was
// violated or no job was accepted or completed.
func printReport(settings Settings, c *cluster, cs *clients, i *faultInjector, completed int) error {
	accepted := 0
	for _, job := range cs.jobs {
		if job.accepted {
			accepted++
		}
	}
	violations := c.ledger.Violations()
	out := settings.Output
	_, _ = fmt.Fprintf(out, "seed %d: %d jobs, %d accepted, %d completed; answers %v\nfaults:\n%schecks:\n",
		settings.Seed, len(cs.jobs), accepted, completed, cs.answers, formatCounts(i.counts))
	checks := c.ledger.Checks()
	names := make([]string, 0, len(checks))
	for name := range checks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(out, "  %-40s %d\n", name, checks[name])
	}
	for _, violation := range violations {
		_, _ = fmt.Fprintf(out, "BROKEN %s\n", violation)
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrViolations, "seed %d: %d", settings.Seed, len(violations))
	}
	if accepted == 0 || completed == 0 {
		return errors.Errorf("seed %d: nothing was served", settings.Seed)
	}

	return nil
}
