// Package timer measures how long a partition starts no work after its owner
// was killed, with the log answering and with the log down.
package timer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// TakeoverTarget is the stated target for a takeover at today's size.
const TakeoverTarget = 5 * time.Second

const (
	readyTimeout = 30 * time.Second
	// noneFor ends the wait for new work after a kill.
	noneFor = 20 * time.Second
	// backlog is the number of queued tasks that a partition holds before a
	// kill; at 64 processors and 1 s a task it lasts above noneFor.
	backlog = 1500
	perJob  = 500
	team    = "reanalyses"
	secret  = "takeover-reanalyses"
	queue   = "batch"
)

// regions are the regions of the cluster, each with one partition.
var regions = []string{"costa", "sierra", "selva"}

// Settings describe a run.
type Settings struct {
	// Binary is the product, Standin this program.
	Binary, Standin string
	Seed            uint64
	// Kills is the number of kills with the log answering, and again with the
	// log down.
	Kills int
	Out   io.Writer
}

// timer is a run.
type timer struct {
	settings Settings
	cluster  *launcher.Cluster
	client   *caller.Client
	random   *rand.Rand
	jobs     int
}

// Run measures takeovers and prints them. It fails when one with the log
// answering takes longer than Bound.
func Run(ctx context.Context, settings Settings) error {
	dir, err := os.MkdirTemp("", "greengagewall-takeover-")
	if err != nil {
		return err
	}
	processes := launcher.New(dir)
	t := &timer{settings: settings, client: caller.New(5 * time.Second), random: rand.New(rand.NewPCG(settings.Seed, 0))}
	err = t.run(ctx, processes)
	processes.Close()
	if err != nil {
		return errors.Wrapf(err, "output of the processes is in %s", dir)
	}

	return os.RemoveAll(dir)
}

func (t *timer) run(ctx context.Context, processes *launcher.Launcher) error {
	if err := t.prepare(ctx, processes); err != nil {
		return err
	}
	var up, down []time.Duration
	for range t.settings.Kills {
		took, err := t.kill(ctx, false)
		if err != nil {
			return err
		}
		up = append(up, took)
		if took, err = t.kill(ctx, true); err != nil {
			return errors.Wrap(err, "log down")
		}
		down = append(down, took)
	}
	t.print("log answers", up)
	t.print("log down", down)
	if longest := slices.Max(up); longest > TakeoverTarget {
		return errors.Errorf("a takeover took %s, the target is %s", longest, TakeoverTarget)
	}

	return nil
}

// prepare starts the processes and publishes the configuration.
func (t *timer) prepare(ctx context.Context, processes *launcher.Launcher) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	var err error
	t.cluster, err = launcher.Start(ctx, processes, launcher.Settings{
		Binary: t.settings.Binary, Standin: t.settings.Standin, Regions: regions,
		Entries: 2, Workers: 8, Executors: 1, Cores: 8, Memory: 64, ServiceTime: time.Millisecond,
	})
	if err != nil {
		return err
	}
	if err := t.cluster.Await(ctx, "/healthz"); err != nil {
		return err
	}
	msg := struct {
		Parent   modeler.Offset   `json:"parent"`
		Document modeler.Document `json:"document"`
	}{-1, document()}
	if err := launcher.PutAs(ctx, "", t.cluster.Entries[0].Listen, "/v1/config", msg, nil); err != nil {
		return err
	}

	return t.await(ctx)
}

// await waits until all instances are ready and all partitions have owners
// that may start work.
func (t *timer) await(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := t.cluster.Await(ctx, "/readyz"); err != nil {
		return err
	}

	return t.cluster.AwaitOwners(ctx)
}

func document() modeler.Document {
	digest := sha256.Sum256([]byte(secret))
	doc := modeler.Document{
		Cell:   "takeover",
		Queues: []modeler.Queue{{Name: queue, Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Attempts: 100}},
		Teams: []modeler.Team{{
			Name: team, Share: 1, Limit: modeler.Resources{Millis: 1 << 30, Memory: 1 << 50, Slots: 1000},
			Keys: []modeler.Key{{Name: "key", Digest: hex.EncodeToString(digest[:])}},
		}},
	}
	for _, region := range regions {
		doc.Partitions = append(doc.Partitions, modeler.Partition{Name: modeler.PartitionID(region + "-1"), Region: region, Weight: 1})
	}

	return doc
}

// kill kills the owner of a random partition and returns the time until a
// later owner started work in that partition.
func (t *timer) kill(ctx context.Context, logDown bool) (time.Duration, error) {
	if err := t.await(ctx); err != nil {
		return 0, err
	}
	if err := t.fill(ctx); err != nil {
		return 0, err
	}
	region := regions[t.random.IntN(len(regions))]
	owner := t.cluster.Owners(ctx)[modeler.PartitionID(region+"-1")]
	if owner == nil {
		return 0, errors.Errorf("partition of %s has no owner", region)
	}
	id, err := t.cluster.InstanceID(ctx, owner)
	if err != nil {
		return 0, err
	}
	if logDown {
		if err := t.logFaults(ctx, injector.Faults{Outage: injector.OutageUnavailable}); err != nil {
			return 0, err
		}
		// The owners notice the outage before the kill.
		time.Sleep(time.Second)
	}
	at := time.Now()
	owner.Process().Kill()
	took, err := t.measure(ctx, region, id, at)
	if logDown {
		if err := t.logFaults(ctx, injector.Faults{}); err != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}

	return took, t.cluster.StartEntry(owner)
}

func (t *timer) logFaults(ctx context.Context, faults injector.Faults) error {
	return launcher.Post(ctx, t.cluster.Log, "/control/faults", faults, nil)
}

// measure returns the time from the death of an owner until another one
// started a task at a worker of the region.
func (t *timer) measure(ctx context.Context, region string, dead modeler.InstanceID, at time.Time) (time.Duration, error) {
	var host *launcher.Host
	for _, h := range t.cluster.Hosts {
		if h.Region == region && h.Kind == modeler.KindWorker {
			host = h
		}
	}
	type session struct {
		endpoint modeler.InstanceID
		number   modeler.SessionID
	}
	for time.Since(at) < noneFor {
		var events []worker.Event
		if err := launcher.Get(ctx, host.Control, "/control/ledger", &events); err != nil {
			return 0, err
		}
		owners := map[session]modeler.InstanceID{}
		for _, event := range events {
			key := session{event.Endpoint, event.Session}
			if event.Kind == worker.KindHello {
				owners[key] = event.Owner
			}
			if event.Kind == worker.KindStart && event.Time.After(at) && owners[key] != dead {
				return event.Time.Sub(at), nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}

	return 0, errors.Errorf("no new work in %s within %s of the death of %s", region, noneFor, dead)
}

// fill submits jobs until every partition has a backlog.
func (t *timer) fill(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for ctx.Err() == nil {
		short, err := t.short(ctx)
		if err != nil || !short {
			return err
		}
		t.jobs++
		request := caller.NewSubmitRequest(caller.JobRequest{
			Queue: queue, Tasks: perJob, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 20}, Command: []string{"run", "1s"},
		}, secret, fmt.Sprintf("job-%d", t.jobs))
		entry := t.cluster.Entries[t.random.IntN(len(t.cluster.Entries))]
		if answer := t.client.Do(ctx, entry.Listen, request); !answer.OK() {
			time.Sleep(100 * time.Millisecond)
		}
	}

	return errors.Wrap(ctx.Err(), "backlog of every partition")
}

// short reports whether a partition has less than the backlog.
func (t *timer) short(ctx context.Context) (bool, error) {
	queued := map[modeler.PartitionID]int{}
	for _, entry := range t.cluster.Entries {
		var state struct {
			Loads []modeler.Load `json:"loads"`
		}
		if err := launcher.Get(ctx, entry.Listen, "/v1/state", &state); err != nil {
			return false, err
		}
		for _, load := range state.Loads {
			queued[load.Partition] = max(queued[load.Partition], load.Queued)
		}
	}
	for _, region := range regions {
		if queued[modeler.PartitionID(region+"-1")] < backlog {
			return true, nil
		}
	}

	return false, nil
}

func (t *timer) print(title string, times []time.Duration) {
	slices.Sort(times)
	at := func(part float64) time.Duration {
		return times[int(part*float64(len(times)-1))].Round(time.Millisecond)
	}
	_, _ = fmt.Fprintf(t.settings.Out, "takeover after kill -9, %s: %d kills, shortest %s, median %s, longest %s\n",
		title, len(times), at(0), at(0.5), at(1))
}
