// Package breaker implements the chaos run: it runs real processes under load,
// injects faults chosen by a seed, and verifies the run by the endpoints'
// ledgers and the answers that callers received, without trusting the product's
// own records.
package breaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/proof/verifier"
)

// Settings describe a run.
type Settings struct {
	// Binary is the path of the product, Standin that of the stand-ins.
	Binary, Standin string
	Seed            uint64
	// Duration is how long faults are injected. The time until the work has
	// settled is added to it.
	Duration time.Duration
	// Keep keeps the output of the processes after a successful run.
	Keep bool
	Out  io.Writer
}

const (
	readyTimeout  = 30 * time.Second
	settleTimeout = 60 * time.Second
	// resolveTimeout is well above the time of a takeover. It has to end, because
	// the outcome of a call on a replaced executor stays unknown.
	resolveTimeout = 15 * time.Second
	// requestTimeout bounds one attempt of a caller.
	requestTimeout = 8 * time.Second
	serviceTime    = 20 * time.Millisecond
	// Faults begin at random intervals within these bounds.
	minFaultInterval = 400 * time.Millisecond
	maxFaultInterval = 1200 * time.Millisecond
	// keyBound is how long a withdrawn key may still be accepted: the 5 s of
	// section 2.5 of the design page plus the delay of a log read and a heartbeat.
	keyBound = 7 * time.Second
	// leavingBound covers the delay of the instance list and of a lease renewal.
	leavingBound = 5 * time.Second
)

// ownerKill records a kill -9 of an owner. killedAt is taken once its process has
// ended.
type ownerKill struct {
	owner    modeler.InstanceID
	killedAt time.Time
}

// chaosRun is the state of one run.
type chaosRun struct {
	settings Settings
	cluster  *launcher.Cluster
	recorder *caller.Recorder
	load     *load
	random   *rand.Rand

	mu               sync.Mutex
	counts           map[string]int
	skipped          int
	problems         []error
	downEntries      map[*launcher.Entry]bool
	faultyEndpoints  map[modeler.InstanceID]bool
	faultyPerHost    map[*launcher.Host]int
	kills            []ownerKill
	withdrawals      []verifier.Withdrawal
	propagationTimes []time.Duration
	withdrawnKeys    int
	faultGroup       sync.WaitGroup
	probeGroup       sync.WaitGroup
}

// Run runs the processes under load with faults. It returns an error if a check
// failed or none was made, no fault was injected, the work did not settle, or the
// run itself had a problem.
func Run(ctx context.Context, settings Settings) error {
	dir, err := os.MkdirTemp("", "greengagewall-chaos-")
	if err != nil {
		return err
	}
	processes := launcher.New(dir)
	r := &chaosRun{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), counts: make(map[string]int),
		downEntries: make(map[*launcher.Entry]bool), faultyEndpoints: make(map[modeler.InstanceID]bool),
		faultyPerHost: make(map[*launcher.Host]int),
	}
	err = r.run(ctx, processes)
	processes.Close()
	if err != nil {
		return errors.Wrapf(err, "seed %d, output of the processes is in %s", settings.Seed, dir)
	}
	if settings.Keep {
		r.printf("output of the processes is in %s\n", dir)

		return nil
	}

	return os.RemoveAll(dir)
}

func (r *chaosRun) run(ctx context.Context, processes *launcher.Launcher) error {
	if err := r.prepare(ctx, processes); err != nil {
		return err
	}
	loadCtx, stop := context.WithTimeout(ctx, r.settings.Duration)
	defer stop()
	r.load = &load{recorder: r.recorder, seed: r.settings.Seed, counts: make(map[string]int)}
	r.load.start(loadCtx)
	r.inject(loadCtx)
	r.load.group.Wait()
	r.faultGroup.Wait()
	r.probeGroup.Wait()
	r.printf("faults and load ended; settling\n")
	settled := r.settle(ctx)

	return r.conclude(ctx, settled)
}

// prepare starts the processes and publishes the configuration.
func (r *chaosRun) prepare(ctx context.Context, processes *launcher.Launcher) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	var err error
	r.cluster, err = launcher.Start(ctx, processes, launcher.Settings{
		Binary: r.settings.Binary, Standin: r.settings.Standin, Regions: regions,
		Entries: 2, Workers: 8, Executors: 4, Cores: 8, Memory: 64, ServiceTime: serviceTime, Relay: true,
	})
	if err != nil {
		return err
	}
	entries := make([]netip.AddrPort, 0, len(r.cluster.Entries))
	for _, entry := range r.cluster.Entries {
		entries = append(entries, entry.Listen)
	}
	r.recorder = caller.NewRecorder(caller.NewPool(entries, requestTimeout), r.cluster.Settings.WorkerCapacity())
	if err := r.cluster.Await(ctx, "/healthz"); err != nil {
		return err
	}
	msg := publishRequest{Parent: -1, Document: document()}
	if err := launcher.PutAs(ctx, operatorSecret, entries[0], "/v1/config", msg, nil); err != nil {
		return err
	}

	if err := r.cluster.Await(ctx, "/readyz"); err != nil {
		return err
	}

	return r.cluster.AwaitOwners(ctx)
}

// inject begins faults until ctx is done. Every kind occurs once before any
// occurs again.
func (r *chaosRun) inject(ctx context.Context) {
	faults := r.faults()
	var order []int
	for ctx.Err() == nil {
		interval := minFaultInterval + time.Duration(r.random.Int64N(int64(maxFaultInterval-minFaultInterval)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if len(order) == 0 {
			order = r.random.Perm(len(faults))
		}
		f := faults[order[0]]
		order = order[1:]
		r.begin(ctx, f, newFaultParams(r.random, f))
	}
}

// begin begins a fault and schedules its end. A fault that cannot be applied is
// counted as skipped.
func (r *chaosRun) begin(ctx context.Context, f fault, p faultParams) {
	end := f.begin(ctx, p)
	if end == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.skipped++

		return
	}
	r.mu.Lock()
	r.counts[f.kind]++
	r.mu.Unlock()
	r.faultGroup.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(p.duration):
		}
		end(context.WithoutCancel(ctx))
	})
}

// addProblem records an error of the run itself, such as a stand-in that does
// not answer. Any problem fails the run.
func (r *chaosRun) addProblem(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, err)
}

func (r *chaosRun) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.settings.Out, format, args...)
}
