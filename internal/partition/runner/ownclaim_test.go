package runner

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// loner is an entry instance without peers, with one endpoint that answers while
// answering is set. Its log holds every batch at once.
type loner struct {
	stepper   *Stepper
	now       time.Time
	next      modeler.Offset
	appended  []encoder.Batch
	results   []event
	answering bool
}

func newLoner() *loner {
	l := &loner{now: time.Unix(1_800_000_000, 0), answering: true}
	endpoint := modeler.Instance{ID: "e", Kind: modeler.KindWorker, Region: "costa", State: modeler.StateLive}
	l.stepper = NewStepper(Settings{
		Self: modeler.Instance{ID: "a", Region: "costa"}, Partition: modeler.Partition{Name: "costa-1", Region: "costa"},
		Membership: l, Configuration: l, Logger: hclog.NewNullLogger(), Clock: func() time.Time { return l.now },
		Endpoints:    func(modeler.PartitionID) []modeler.Instance { return []modeler.Instance{endpoint} },
		NewScheduler: func() owner.Scheduler { return scheduler.New() },
	}, l)

	return l
}

// Peers implements modeler.Membership.
func (l *loner) Peers() []modeler.Peer { return nil }

// Endpoints implements modeler.Membership.
func (l *loner) Endpoints() []modeler.Instance { return nil }

// InForce implements modeler.Configuration.
func (l *loner) InForce() (modeler.Document, modeler.Offset, bool) {
	return modeler.Document{Partitions: []modeler.Partition{{Name: "costa-1", Region: "costa", Weight: 1}}}, 1, true
}

// Append implements Driver.
func (l *loner) Append(batch encoder.Batch) { l.appended = append(l.appended, batch) }

// StopAppend implements Driver.
func (l *loner) StopAppend() {}

// Answer implements Driver.
func (l *loner) Answer(owner.Waiter, any, *modeler.Refusal) {}

// Execute implements Driver.
func (l *loner) Execute(core *owner.Core, cmd owner.Command) {
	if !l.answering {
		return
	}
	switch cmd := cmd.(type) {
	case owner.HelloCmd:
		l.results = append(l.results, event{core: core, msg: owner.HelloDoneMsg{
			Endpoint: cmd.Endpoint.ID, Term: cmd.Request.Term, Sent: l.now, Reply: messenger.HelloReply{Session: 1},
		}})
	case owner.RenewCmd:
		l.results = append(l.results, event{core: core, msg: owner.RenewDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Sent: l.now}})
	}
}

// read passes a batch to the runner as if it were in the stream.
func (l *loner) read(t *testing.T, batch encoder.Batch) {
	t.Helper()
	data, err := encoder.Marshal(&batch)
	if err != nil {
		t.Fatal(err)
	}
	record := messenger.LogRecord{Offset: l.next, Time: l.now, Data: data}
	l.next = l.stepper.HandlePage(l.next, messenger.Page{Next: l.next + 1, Records: []messenger.LogRecord{record}})
}

// advance moves the clock forward in ticks. The log is read without a delay.
func (l *loner) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(tickInterval)
		l.stepper.Tick()
		for len(l.results)+len(l.appended) > 0 {
			results, batches := l.results, l.appended
			l.results, l.appended = nil, nil
			for _, e := range results {
				l.stepper.HandleResult(e.core, e.msg)
			}
			for _, batch := range batches {
				l.read(t, batch)
			}
		}
	}
}

// TestOwnClaim_WithoutMajority guards against an owner that goes on under a new
// claim of its own although it has lost its majority in between, and with it the
// certainty that no other owner has started work.
func TestOwnClaim_WithoutMajority(t *testing.T) {
	for _, answering := range []bool{true, false} {
		l := newLoner()
		l.stepper.HandlePage(0, messenger.Page{})
		l.advance(t, 3*time.Second)
		core := l.stepper.core
		if core == nil || !core.Ready(l.now) {
			t.Fatal("the instance does not own the partition")
		}
		l.answering = answering
		if answering {
			l.advance(t, 2*owner.MaxRenewalAge)
		} else {
			// The process was paused: the stream is read before the next tick.
			l.now = l.now.Add(2 * owner.MaxRenewalAge)
		}
		epoch := l.stepper.state.Term.Epoch() + 1
		l.read(t, encoder.Batch{Term: modeler.NewTerm(epoch, 0), Author: "a", Seq: 1, Claim: &encoder.Claim{}})
		if kept := l.stepper.core == core; kept != answering {
			t.Errorf("endpoint answers %t: goes on with the same state %t", answering, kept)
		}
	}
}
