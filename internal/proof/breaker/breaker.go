// Package breaker runs real processes under load with faults drawn from a
// seed, and verifies the run with the endpoints' ledgers and the callers'
// answers only.
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
	// Binary is the product, Standin this program.
	Binary, Standin string
	Seed            uint64
	// Duration is how long faults are injected; settling comes on top.
	Duration time.Duration
	// Keep keeps the output of the processes.
	Keep bool
	Out  io.Writer
}

const (
	readyTimeout  = 30 * time.Second
	settleTimeout = 60 * time.Second
	// resolveTimeout is well above the time of a takeover. A call on an
	// executor that was replaced stays unknown.
	resolveTimeout = 15 * time.Second
	// requestTimeout bounds one attempt of a caller.
	requestTimeout = 8 * time.Second
	serviceTime    = 20 * time.Millisecond
	// The faults begin at random intervals between these.
	shortestGap = 400 * time.Millisecond
	longestGap  = 1200 * time.Millisecond
	// keyBound is the 5 s of section 2.5 of the design page, and the lag of a
	// log read and a heartbeat.
	keyBound = 7 * time.Second
	// leaveBound covers the lag of the list and of a renewal.
	leaveBound = 5 * time.Second
)

// kill is a kill -9 of an owner.
type kill struct {
	owner modeler.InstanceID
	at    time.Time
}

// breaker is a run.
type breaker struct {
	settings Settings
	cluster  *launcher.Cluster
	recorder *caller.Recorder
	load     *load
	random   *rand.Rand

	mu          sync.Mutex
	counts      map[string]int
	skipped     int
	problems    []error
	downEntries map[*launcher.Entry]bool
	disturbed   map[modeler.InstanceID]bool
	perHost     map[*launcher.Host]int
	kills       []kill
	withdrawals []verifier.Withdrawal
	spread      []time.Duration
	withdrawn   int
	faultGroup  sync.WaitGroup
	probeGroup  sync.WaitGroup
}

// Run runs the processes, the load and the faults. It fails when a check
// failed or nothing was checked.
func Run(ctx context.Context, settings Settings) error {
	dir, err := os.MkdirTemp("", "greengagewall-chaos-")
	if err != nil {
		return err
	}
	processes := launcher.New(dir)
	b := &breaker{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), counts: make(map[string]int),
		downEntries: make(map[*launcher.Entry]bool), disturbed: make(map[modeler.InstanceID]bool),
		perHost: make(map[*launcher.Host]int),
	}
	err = b.run(ctx, processes)
	processes.Close()
	if err != nil {
		return errors.Wrapf(err, "seed %d, output of the processes is in %s", settings.Seed, dir)
	}
	if settings.Keep {
		b.printf("output of the processes is in %s\n", dir)

		return nil
	}

	return os.RemoveAll(dir)
}

func (b *breaker) run(ctx context.Context, processes *launcher.Launcher) error {
	if err := b.prepare(ctx, processes); err != nil {
		return err
	}
	loading, stop := context.WithTimeout(ctx, b.settings.Duration)
	defer stop()
	b.load = &load{recorder: b.recorder, seed: b.settings.Seed, counts: make(map[string]int)}
	b.load.start(loading)
	b.inject(loading)
	b.load.group.Wait()
	b.faultGroup.Wait()
	b.probeGroup.Wait()
	b.printf("faults and load ended; settling\n")
	settled := b.settle(ctx)

	return b.conclude(ctx, settled)
}

// prepare starts the processes and publishes the configuration.
func (b *breaker) prepare(ctx context.Context, processes *launcher.Launcher) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	var err error
	b.cluster, err = launcher.Start(ctx, processes, launcher.Settings{
		Binary: b.settings.Binary, Standin: b.settings.Standin, Regions: regions,
		Entries: 2, Workers: 8, Executors: 4, Cores: 8, Memory: 64, ServiceTime: serviceTime, Relay: true,
	})
	if err != nil {
		return err
	}
	entries := make([]netip.AddrPort, 0, len(b.cluster.Entries))
	for _, entry := range b.cluster.Entries {
		entries = append(entries, entry.Listen)
	}
	b.recorder = caller.NewRecorder(caller.NewPool(entries, requestTimeout), b.cluster.Settings.WorkerCapacity())
	if err := b.cluster.Await(ctx, "/healthz"); err != nil {
		return err
	}
	msg := publishRequest{Parent: -1, Document: document()}
	if err := launcher.PutAs(ctx, operatorSecret, entries[0], "/v1/config", msg, nil); err != nil {
		return err
	}

	if err := b.cluster.Await(ctx, "/readyz"); err != nil {
		return err
	}

	return b.cluster.AwaitOwners(ctx)
}

// inject begins faults until ctx ends. Every kind comes once before any comes
// again.
func (b *breaker) inject(ctx context.Context) {
	faults := b.faults()
	var order []int
	for ctx.Err() == nil {
		gap := shortestGap + time.Duration(b.random.Int64N(int64(longestGap-shortestGap)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		if len(order) == 0 {
			order = b.random.Perm(len(faults))
		}
		f := faults[order[0]]
		order = order[1:]
		b.begin(ctx, f, newDraw(b.random, f))
	}
}

// begin begins a fault and ends it later.
func (b *breaker) begin(ctx context.Context, f fault, d draw) {
	end := f.begin(ctx, d)
	if end == nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.skipped++

		return
	}
	b.mu.Lock()
	b.counts[f.kind]++
	b.mu.Unlock()
	b.faultGroup.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(d.lasts):
		}
		end(context.WithoutCancel(ctx))
	})
}

// problem keeps an error of the run itself, such as a stand-in that does not
// answer; it fails the run.
func (b *breaker) problem(err error) {
	if err == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.problems = append(b.problems, err)
}

func (b *breaker) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(b.settings.Out, format, args...)
}
