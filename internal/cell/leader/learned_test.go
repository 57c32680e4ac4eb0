package leader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// learnedBy returns an estimator that has seen accounts whose runs take thrice their estimates, on endpoints of
// which every other one has half of the speed.
func learnedBy(accounts, endpoints int) *estimator.Estimator {
	e := estimator.New()
	for n := range max(40*accounts, 20*endpoints) {
		took, id := 3*time.Second, n%max(endpoints, 1)
		if id%2 == 0 {
			took *= 2
		}
		e.Observe(estimator.Run{
			Key: estimator.Key{Queue: "queue", Account: fmt.Sprintf("account-%04d", n/3%accounts)}, Service: "service", Estimate: time.Second, Took: took,
			Endpoints: []string{fmt.Sprintf("e%04d", id)}, Tasks: 1, Step: &estimator.Step{},
		})
	}

	return e
}

// learnedShards returns the parts of the summary of learnedBy.
func learnedShards(accounts, endpoints int) []estimator.Shard {
	e := learnedBy(accounts, endpoints)
	var shards []estimator.Shard
	for {
		shard, changed := e.NextShard()
		if !changed {
			return shards
		}
		shards = append(shards, shard)
	}
}

// learningOwner returns an owner that learns run times and has loaded the state table.
func learningOwner(state *journaler.State, now definer.Instant) *Leader {
	settings := Settings{Planner: planner.Settings{Lease: 3 * time.Second, Freshness: time.Second, Learn: planner.LearnAll}, Term: 9, End: 9}
	l := New(settings, nil, nil, &recordingClient{}, nil, &definer.Configuration{}, hclog.NewNullLogger(), recorder.NewMetrics())
	state.Restore(l.planner, now, time.Now())

	return l
}

// learnedTable returns a table with the endpoints and the parts.
func learnedTable(t *testing.T, shards []estimator.Shard, endpoints int) *journaler.State {
	t.Helper()
	table := journaler.NewState()
	for n := range endpoints {
		e := listing(fmt.Sprintf("e%04d", n))
		table.Endpoints[e.ID] = &e
	}
	for i := range shards {
		if err := table.Apply(journaler.EncodeLearned(&shards[i])); err != nil {
			t.Fatal(err)
		}
	}

	return table
}

// TestLearnedRunTimesSurviveTheOwner guards against a new owner that knows nothing of the speeds of the endpoints and
// of the run times, also when the last owner has written only a part of the summary.
func TestLearnedRunTimesSurviveTheOwner(t *testing.T) {
	const endpoints = 40
	shards := learnedShards(10, endpoints)
	for _, written := range []int{len(shards), len(shards) / 2, 0} {
		l := learningOwner(learnedTable(t, shards[:written], endpoints), definer.Now())
		want := written * endpoints / len(shards)
		keys, speeds := l.planner.Learned()
		if written == len(shards) && (speeds != endpoints || keys < 10) || written == 0 && speeds+keys > 0 || written < len(shards) && speeds > endpoints {
			t.Errorf("%d of %d parts: %d keys and %d endpoints, want about %d endpoints", written, len(shards), keys, speeds, want)
		}
		if written < len(shards) {
			continue
		}
		slow, fast := l.planner.EndpointSpeed("e0000"), l.planner.EndpointSpeed("e0001")
		if fast/slow < 1.6 || fast/slow > 2.4 {
			t.Errorf("speeds %.2f and %.2f, want the second to be twice the first", slow, fast)
		}
	}
}

// TestUnreadableLearnedRunTimesAreIgnored guards against an owner that does not start because of records
// that it cannot read, or that uses what it does not understand; an earlier version meets those of this one
// in the same way.
func TestUnreadableLearnedRunTimesAreIgnored(t *testing.T) {
	shards := learnedShards(4, 4)
	newer := shards[0]
	newer.Version = estimator.Version + 1
	table := journaler.NewState()
	loaded := &loader{leader: learningOwner(table, definer.Now()), state: table}
	e := listing("e0000")
	for _, record := range []definer.Record{
		{Key: "l/3", Value: []byte{0xc1}}, {Key: "l/4", Value: []byte("x")}, {Key: "l/5"}, {Key: "later/1", Value: []byte{1}}, journaler.EncodeLearned(&newer), journaler.EncodeEndpoint(&e),
	} {
		loaded.add(record)
	}
	l := learningOwner(table, definer.Now())
	if keys, speeds := l.planner.Learned(); keys+speeds > 0 || !l.planner.HasEndpoint("e0000") {
		t.Errorf("%d keys and %d endpoints learned from unreadable records", keys, speeds)
	}
	noted := false
	for _, note := range l.planner.Notes() {
		noted = noted || note.Event == "learned run times ignored"
	}
	if !noted {
		t.Error("no note about the newer version")
	}
}

// TestLearnedRunTimesAreBounded guards against learned run times that delay the appends of what matters: they
// take 32 KB in 10 s at most, and all parts have their turn.
func TestLearnedRunTimesAreBounded(t *testing.T) {
	e := learnedBy(390, 18000)
	written := map[string]bool{}
	for range 100 {
		size := 0
		for _, record := range learnedRecords(e.NextShard, e.Skip) {
			size += len(record.Key) + len(record.Value)
			written[record.Key] = true
		}
		if size > maxLearnedBatch {
			t.Errorf("%d bytes in a batch", size)
		}
	}
	if len(written) < 128 {
		t.Errorf("%d parts written", len(written))
	}
	now, table := definer.Now(), learnedTable(t, nil, 0)
	l := learningOwner(table, now)
	if records := l.journal.newBatch(l, now).records; len(records) == 0 || strings.HasPrefix(records[0].Key, "l/") {
		t.Errorf("batch %v", records)
	}
}

// TestOwnerStoresWhatItLearned guards against run times that are learned and not appended with the owner's batches.
func TestOwnerStoresWhatItLearned(t *testing.T) {
	now, table := definer.Now(), journaler.NewState()
	l := learningOwner(table, now)
	l.planner.Configure(&definer.Configuration{Routes: []definer.Route{{Queue: definer.Queue{Name: "queue", Service: "service"}}}})
	e := listing("e0000")
	l.planner.UpdateListing(e, now)
	l.planner.Report(e.ID, now, now, definer.Report{Clock: 1, Born: 1})
	appendNext(t, l, table, now)
	for n := range 20 {
		id := fmt.Sprintf("job-%02d", n)
		job := definer.Job{ID: id, Account: "account", Queue: definer.Queue{Name: "queue", Service: "service"}, Steps: []definer.Step{{Count: 1, Estimate: time.Second}}}
		l.planner.Accept(job, now, time.Now())
		l.planner.Tick(now, time.Now())
		l.planner.Plan(now)
		for _, command := range l.planner.Commands() {
			start, ok := command.(planner.StartCmd)
			if !ok {
				continue
			}
			l.planner.StartAnswered(e.ID, start.Order, definer.VerdictDone, now)
			for range 3 {
				now = now.Add(500 * time.Millisecond)
				l.planner.Report(e.ID, now, now, definer.Report{Clock: 1, Born: 1, Running: []definer.RunningTask{{Task: start.Order.Task, Run: start.Order.Run}}})
			}
			now = now.Add(500 * time.Millisecond)
			l.planner.Report(e.ID, now, now, definer.Report{Clock: 1, Born: 1, Ended: []definer.EndedTask{{Number: int64(n + 1), Task: start.Order.Task, Run: start.Order.Run, End: definer.EndDone}}})
		}
		appendNext(t, l, table, now)
	}
	appendNext(t, l, table, now.Add(learnedInterval))
	next := learningOwner(table, now)
	if keys, endpoints := next.planner.Learned(); keys == 0 || endpoints != 1 {
		t.Errorf("the next owner knows %d keys and %d endpoints", keys, endpoints)
	}
}
