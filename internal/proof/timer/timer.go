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
	// Binary is the path of the product, Standin that of the stand-ins.
	Binary, Standin string
	Seed            uint64
	// Kills is the number of kills with the log available, and also the number
	// with the log down.
	Kills int
	Out   io.Writer
}

// measurement is the state of one run.
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
	m := &measurement{settings: settings, client: caller.New(5 * time.Second), random: rand.New(rand.NewPCG(settings.Seed, 0))}
	err = m.run(ctx, processes)
	processes.Close()
	if err != nil {
		return errors.Wrapf(err, "output of the processes is in %s", dir)
	}

	return os.RemoveAll(dir)
}

func (m *measurement) run(ctx context.Context, processes *launcher.Launcher) error {
	if err := m.startCluster(ctx, processes); err != nil {
		return err
	}
	var logUp, logDown []time.Duration
	for range m.settings.Kills {
		elapsed, err := m.measureTakeover(ctx, false)
		if err != nil {
			return err
		}
		logUp = append(logUp, elapsed)
		if elapsed, err = m.measureTakeover(ctx, true); err != nil {
			return errors.Wrap(err, "log down")
		}
		logDown = append(logDown, elapsed)
	}
	m.print("log answers", logUp)
	m.print("log down", logDown)
	if longest := slices.Max(logUp); longest > TakeoverTarget {
		return errors.Errorf("a takeover took %s, the target is %s", longest, TakeoverTarget)
	}

	return nil
}

// startCluster starts the processes, publishes the configuration and waits until
// the cluster is ready.
func (m *measurement) startCluster(ctx context.Context, processes *launcher.Launcher) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	var err error
	m.cluster, err = launcher.Start(ctx, processes, launcher.Settings{
		Binary: m.settings.Binary, Standin: m.settings.Standin, Regions: regions,
		Entries: 2, Workers: 8, Executors: 1, Cores: 8, Memory: 64, ServiceTime: time.Millisecond,
	})
	if err != nil {
		return err
	}
	if err := m.cluster.Await(ctx, "/healthz"); err != nil {
		return err
	}
	msg := struct {
		Parent   modeler.Offset   `json:"parent"`
		Document modeler.Document `json:"document"`
	}{-1, testDocument()}
	if err := launcher.PutAs(ctx, "", m.cluster.Entries[0].Listen, "/v1/config", msg, nil); err != nil {
		return err
	}

	return m.awaitReady(ctx)
}

// awaitReady waits until all instances are ready and every partition has an
// owner that may start work.
func (m *measurement) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := m.cluster.Await(ctx, "/readyz"); err != nil {
		return err
	}

	return m.cluster.AwaitOwners(ctx)
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
func (m *measurement) measureTakeover(ctx context.Context, logDown bool) (time.Duration, error) {
	if err := m.awaitReady(ctx); err != nil {
		return 0, err
	}
	if err := m.fillBacklogs(ctx); err != nil {
		return 0, err
	}
	region := regions[m.random.IntN(len(regions))]
	owner := m.cluster.Owners(ctx)[modeler.PartitionID(region+"-1")]
	if owner == nil {
		return 0, errors.Errorf("partition of %s has no owner", region)
	}
	id, err := m.cluster.InstanceID(ctx, owner)
	if err != nil {
		return 0, err
	}
	if logDown {
		if err := m.setLogFaults(ctx, injector.Faults{Outage: injector.OutageUnavailable}); err != nil {
			return 0, err
		}
		// Give the owners time to notice the outage before the kill.
		time.Sleep(time.Second)
	}
	killedAt := time.Now()
	owner.Process().Kill()
	elapsed, err := m.timeToNextStart(ctx, region, id, killedAt)
	if logDown {
		if err := m.setLogFaults(ctx, injector.Faults{}); err != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}

	return elapsed, m.cluster.StartEntry(owner)
}

// setLogFaults sets the faults of the log.
func (m *measurement) setLogFaults(ctx context.Context, faults injector.Faults) error {
	return launcher.Post(ctx, m.cluster.Log, "/control/faults", faults, nil)
}

// timeToNextStart returns the time from the kill of an owner until another owner
// started a task at a worker of the region.
func (m *measurement) timeToNextStart(ctx context.Context, region string, killed modeler.InstanceID, killedAt time.Time) (time.Duration, error) {
	var host *launcher.Host
	for _, h := range m.cluster.Hosts {
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
func (m *measurement) fillBacklogs(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for ctx.Err() == nil {
		missing, err := m.backlogMissing(ctx)
		if err != nil || !missing {
			return err
		}
		m.jobs++
		request := caller.NewSubmitRequest(caller.JobRequest{
			Queue: queue, Tasks: tasksPerJob, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 20}, Command: []string{"run", "1s"},
		}, secret, fmt.Sprintf("job-%d", m.jobs))
		entry := m.cluster.Entries[m.random.IntN(len(m.cluster.Entries))]
		if answer := m.client.Do(ctx, entry.Listen, request); !answer.OK() {
			time.Sleep(100 * time.Millisecond)
		}
	}

	return errors.Wrap(ctx.Err(), "backlog of every partition")
}

// backlogMissing reports whether any partition has fewer queued tasks than
// backlog.
func (m *measurement) backlogMissing(ctx context.Context) (bool, error) {
	queued := map[modeler.PartitionID]int{}
	for _, entry := range m.cluster.Entries {
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
func (m *measurement) print(title string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(q float64) time.Duration {
		return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
	}
	_, _ = fmt.Fprintf(m.settings.Out, "takeover after kill -9, %s: %d kills, shortest %s, median %s, longest %s\n",
		title, len(times), quantile(0), quantile(0.5), quantile(1))
}
