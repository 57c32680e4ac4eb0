// Package timer measures takeovers: the time from the kill of a partition's
// owner until another owner starts work there, with the log available and with
// the log down.
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

// TakeoverTarget is the longest takeover allowed while the log is available. It
// applies at the current size of the cluster.
const TakeoverTarget = 5 * time.Second

const (
	readyTimeout = 30 * time.Second
	// newWorkTimeout bounds the wait for new work after a kill.
	newWorkTimeout = 20 * time.Second
	// backlog is the number of tasks queued in a partition before a kill. With
	// 64 processors and 1 s per task it lasts longer than newWorkTimeout, so
	// that the new owner always has work to start.
	backlog     = 1500
	tasksPerJob = 500
	team        = "reanalyses"
	secret      = "takeover-reanalyses"
	queue       = "batch"
)

// regions are the regions of the cluster, each with one partition.
var regions = []string{"costa", "sierra", "selva"}

// Settings describe a run.
type Settings struct {
	// Binary is the path of the program under test, Standin that of this program.
	Binary, Standin string
	Seed            uint64
	// Kills is the number of kills with the log available, and also the number
	// with the log down.
	Kills int
	Out   io.Writer
}

// measurement is a run.
type measurement struct {
	settings Settings
	cluster  *launcher.Cluster
	client   *caller.Client
	random   *rand.Rand
	jobs     int
}

// Run measures takeovers and prints their times. It returns an error if one with
// the log available takes longer than TakeoverTarget.
func Run(ctx context.Context, settings Settings) error {
	dir, err := os.MkdirTemp("", "greengagewall-takeover-")
	if err != nil {
		return err
	}
	processes := launcher.New(dir)
	t := &measurement{settings: settings, client: caller.New(5 * time.Second), random: rand.New(rand.NewPCG(settings.Seed, 0))}
	err = t.run(ctx, processes)
	processes.Close()
	if err != nil {
		return errors.Wrapf(err, "output of the processes is in %s", dir)
	}

	return os.RemoveAll(dir)
}

func (t *measurement) run(ctx context.Context, processes *launcher.Launcher) error {
	if err := t.startCluster(ctx, processes); err != nil {
		return err
	}
	var logUp, logDown []time.Duration
	for range t.settings.Kills {
		elapsed, err := t.measureTakeover(ctx, false)
		if err != nil {
			return err
		}
		logUp = append(logUp, elapsed)
		if elapsed, err = t.measureTakeover(ctx, true); err != nil {
			return errors.Wrap(err, "log down")
		}
		logDown = append(logDown, elapsed)
	}
	t.print("log answers", logUp)
	t.print("log down", logDown)
	if longest := slices.Max(logUp); longest > TakeoverTarget {
		return errors.Errorf("a takeover took %s, the target is %s", longest, TakeoverTarget)
	}

	return nil
}

// startCluster starts the processes, publishes the configuration and waits until
// the cluster is ready.
func (t *measurement) startCluster(ctx context.Context, processes *launcher.Launcher) error {
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
	}{-1, testDocument()}
	if err := launcher.PutAs(ctx, "", t.cluster.Entries[0].Listen, "/v1/config", msg, nil); err != nil {
		return err
	}

	return t.awaitReady(ctx)
}

// awaitReady waits until all instances are ready and every partition has an
// owner that may start work.
func (t *measurement) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := t.cluster.Await(ctx, "/readyz"); err != nil {
		return err
	}

	return t.cluster.AwaitOwners(ctx)
}

// testDocument returns the configuration of the cluster: one partition per
// region, one team and one queue.
func testDocument() modeler.Document {
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

// measureTakeover kills the owner of a random partition and returns the time
// until a new owner starts work in that partition.
func (t *measurement) measureTakeover(ctx context.Context, logDown bool) (time.Duration, error) {
	if err := t.awaitReady(ctx); err != nil {
		return 0, err
	}
	if err := t.fillBacklogs(ctx); err != nil {
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
		if err := t.setLogFaults(ctx, injector.Faults{Outage: injector.OutageUnavailable}); err != nil {
			return 0, err
		}
		// Give the owners time to notice the outage before the kill.
		time.Sleep(time.Second)
	}
	killedAt := time.Now()
	owner.Process().Kill()
	elapsed, err := t.timeToNextStart(ctx, region, id, killedAt)
	if logDown {
		if err := t.setLogFaults(ctx, injector.Faults{}); err != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}

	return elapsed, t.cluster.StartEntry(owner)
}

// setLogFaults sets the faults of the log.
func (t *measurement) setLogFaults(ctx context.Context, faults injector.Faults) error {
	return launcher.Post(ctx, t.cluster.Log, "/control/faults", faults, nil)
}

// timeToNextStart returns the time from the kill of an owner until another owner
// started a task at a worker of the region.
func (t *measurement) timeToNextStart(ctx context.Context, region string, killed modeler.InstanceID, killedAt time.Time) (time.Duration, error) {
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
	for time.Since(killedAt) < newWorkTimeout {
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
			if event.Kind == worker.KindStart && event.Time.After(killedAt) && owners[key] != killed {
				return event.Time.Sub(killedAt), nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}

	return 0, errors.Errorf("no new work in %s within %s of the death of %s", region, newWorkTimeout, killed)
}

// fillBacklogs submits jobs until every partition has a full backlog.
func (t *measurement) fillBacklogs(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for ctx.Err() == nil {
		missing, err := t.backlogMissing(ctx)
		if err != nil || !missing {
			return err
		}
		t.jobs++
		request := caller.NewSubmitRequest(caller.JobRequest{
			Queue: queue, Tasks: tasksPerJob, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 20}, Command: []string{"run", "1s"},
		}, secret, fmt.Sprintf("job-%d", t.jobs))
		entry := t.cluster.Entries[t.random.IntN(len(t.cluster.Entries))]
		if answer := t.client.Do(ctx, entry.Listen, request); !answer.OK() {
			time.Sleep(100 * time.Millisecond)
		}
	}

	return errors.Wrap(ctx.Err(), "backlog of every partition")
}

// backlogMissing reports whether any partition has fewer queued tasks than
// backlog.
func (t *measurement) backlogMissing(ctx context.Context) (bool, error) {
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

// print writes the shortest, median and longest of the times.
func (t *measurement) print(title string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(q float64) time.Duration {
		return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
	}
	_, _ = fmt.Fprintf(t.settings.Out, "takeover after kill -9, %s: %d kills, shortest %s, median %s, longest %s\n",
		title, len(times), quantile(0), quantile(0.5), quantile(1))
}
