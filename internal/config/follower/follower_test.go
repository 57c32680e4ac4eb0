package follower

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

var errLog = errors.New("log: timeout")

// memory is a log in memory with the faults that the platform's log has.
type memory struct {
	mu      sync.Mutex
	now     func() time.Time
	entries []messenger.LogRecord
	first   modeler.Offset
	// lose drops the answers of the next appends, which take effect; drop
	// drops the next appends themselves.
	lose, drop int
	down       bool
	// refuse is the error of every append while down.
	refuse error
	// before runs once, before the next append.
	before func()
}

func (m *memory) Append(_ context.Context, _ string, data []byte) (modeler.Offset, error) {
	m.mu.Lock()
	before := m.before
	m.before = nil
	m.mu.Unlock()
	if before != nil {
		before()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, m.refuse
	}
	if m.drop > 0 {
		m.drop--

		return 0, errLog
	}
	offset := m.first + modeler.Offset(len(m.entries))
	m.entries = append(m.entries, messenger.LogRecord{Offset: offset, Time: m.now(), Data: data})
	if m.lose > 0 {
		m.lose--

		return 0, errLog
	}

	return offset, nil
}

func (m *memory) Read(
	ctx context.Context, _ string, from modeler.Offset, limit int, wait time.Duration,
) (messenger.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return messenger.Page{}, errLog
	}
	if from == m.first+modeler.Offset(len(m.entries)) && wait > 0 {
		m.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		m.mu.Lock()
	}
	page := messenger.Page{First: m.first, Next: m.first + modeler.Offset(len(m.entries))}
	for _, entry := range m.entries {
		if entry.Offset >= from && len(page.Records) < limit {
			page.Records = append(page.Records, entry)
		}
	}

	return page, nil
}

// expire drops the records below first.
func (m *memory) expire(first modeler.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = m.entries[first-m.first:]
	m.first = first
}

func (m *memory) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// fixture is a log and a clock that the test moves.
type fixture struct {
	t    *testing.T
	log  *memory
	mu   sync.Mutex
	time time.Time
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{t: t, time: time.Unix(1_700_000_000, 0)}
	x.log = &memory{now: x.now, refuse: errLog}

	return x
}

func (x *fixture) now() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.time
}

func (x *fixture) advance(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.time = x.time.Add(d)
}

func (x *fixture) follower(opts ...Option) *Follower {
	return New(append([]Option{
		WithLog(x.log), WithClock(x.now), WithPublishTimeout(300 * time.Millisecond),
		WithPoll(time.Millisecond, time.Millisecond), WithJitter(func() float64 { return 0 }),
		WithCheck(func(modeler.Document) error { return nil }),
	}, opts...)...)
}

func (x *fixture) publish(f *Follower, parent modeler.Offset, cell string) modeler.Offset {
	x.t.Helper()
	offset, err := f.PublishAs(context.Background(), "amy", parent, modeler.Document{Cell: cell})
	if err != nil {
		x.t.Fatal(err)
	}

	return offset
}

func (x *fixture) wants(f *Follower, offset modeler.Offset, cell string) {
	x.t.Helper()
	doc, got, ok := f.InForce()
	if !ok || got != offset || doc.Cell != cell {
		x.t.Fatalf("in force: %q at %d (%t), want %q at %d", doc.Cell, got, ok, cell, offset)
	}
}

// refused checks the code and outcome of a refusal.
func (x *fixture) refused(err error, code modeler.Code, outcome modeler.Outcome) {
	x.t.Helper()
	var refusal *modeler.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || refusal.Outcome != outcome {
		x.t.Fatalf("got %v, want %s (%s)", err, code, outcome)
	}
}

// TestRacingOperators guards against two operators who both believe that their
// document was accepted. The second publishes between the check and the append
// of the first.
func TestRacingOperators(t *testing.T) {
	x := newFixture(t)
	a, b := x.follower(), x.follower()
	x.publish(a, none, "base")
	x.log.set(func() { x.log.before = func() { x.publish(b, 0, "second") } })
	_, err := a.PublishAs(context.Background(), "amy", 0, modeler.Document{Cell: "first"})
	x.refused(err, modeler.CodeConflict, modeler.OutcomeNotRun)
	x.wants(a, 1, "second")
	_, err = a.Publish(context.Background(), 0, modeler.Document{Cell: "late"})
	x.refused(err, modeler.CodeConflict, modeler.OutcomeNotRun)
	x.publish(a, 1, "third")
	x.wants(a, 3, "third")
}

// TestLostAnswer guards against a publication that took effect but is reported
// as failed, or is appended twice with effect.
func TestLostAnswer(t *testing.T) {
	x := newFixture(t)
	f := x.follower()
	x.publish(f, none, "base")
	x.log.set(func() { x.log.lose = 1 })
	if offset := x.publish(f, 0, "lost"); offset != 1 {
		t.Fatalf("offset %d", offset)
	}
	x.log.set(func() { x.log.drop = 2 })
	x.publish(f, 1, "dropped")
	x.wants(f, 2, "dropped")
	x.log.set(func() { x.log.lose, x.log.before = 1, func() { x.publish(x.follower(), 2, "other") } })
	_, err := f.Publish(context.Background(), 2, modeler.Document{Cell: "mine"})
	x.refused(err, modeler.CodeConflict, modeler.OutcomeNotRun)
	x.wants(f, 3, "other")
}

// TestOutage guards against a wrong outcome of a publication during an outage
// of the log, before the append and between the append and reading it back.
func TestOutage(t *testing.T) {
	x := newFixture(t)
	f := x.follower()
	x.publish(f, none, "base")
	x.log.set(func() { x.log.down = true })
	_, err := f.Publish(context.Background(), 0, modeler.Document{})
	x.refused(err, modeler.CodeLogDown, modeler.OutcomeNotRun)
	x.wants(f, 0, "base")

	x.log.set(func() { x.log.down, x.log.before = false, func() { x.log.set(func() { x.log.down = true }) } })
	_, err = f.Publish(context.Background(), 0, modeler.Document{})
	x.refused(err, modeler.CodeLostAnswer, modeler.OutcomeUnknown)

	for _, certain := range []error{messenger.ErrUnsent, modeler.NotRun(modeler.CodeLogDown, time.Second, "503")} {
		x.log.set(func() {
			x.log.down, x.log.before = false, func() { x.log.set(func() { x.log.down = true }) }
			x.log.refuse = certain
		})
		_, err = f.Publish(context.Background(), 0, modeler.Document{})
		x.refused(err, modeler.CodeLogDown, modeler.OutcomeNotRun)
	}
}

// TestLogGoneBack guards against a log without its newest records that proves
// an old document to be fresh, or that swallows a publication.
func TestLogGoneBack(t *testing.T) {
	x := newFixture(t)
	f := x.follower()
	x.publish(f, none, "base")
	x.publish(f, 0, "next")
	x.log.set(func() { x.log.entries = x.log.entries[:1] })
	x.advance(time.Minute)
	_, err := f.Publish(context.Background(), 1, modeler.Document{})
	x.refused(err, modeler.CodeLogDown, modeler.OutcomeNotRun)
	if age, _ := f.ConfigAge(x.now()); age < time.Minute {
		t.Fatalf("fresh to %v", age)
	}
}

// TestFreshness guards against a proof of freshness that a stale instance
// takes from a peer or keeps through an outage.
func TestFreshness(t *testing.T) {
	x := newFixture(t)
	f := x.follower()
	if _, ok := f.ConfigAge(x.now()); ok {
		t.Fatal("fresh without a document")
	}
	x.publish(f, none, "base")
	x.log.set(func() { x.log.down = true })
	x.advance(4 * time.Second)
	if age, ok := f.ConfigAge(x.now()); !ok || age != 4*time.Second {
		t.Fatalf("age %v %t", age, ok)
	}
	f.Confirm(1, 0)
	if age, _ := f.ConfigAge(x.now()); age != 4*time.Second {
		t.Fatalf("confirmed by a peer that is ahead: age %v", age)
	}
	f.Confirm(0, time.Second)
	if age, _ := f.ConfigAge(x.now()); age != time.Second {
		t.Fatalf("age %v after a proof of a peer", age)
	}
}

// TestFaultyDocument guards against a document that passes the API although it
// has faults.
func TestFaultyDocument(t *testing.T) {
	x := newFixture(t)
	_, err := New(WithLog(x.log)).Publish(context.Background(), none, modeler.Document{Cell: "empty"})
	x.refused(err, modeler.CodeBadConfig, modeler.OutcomeNotRun)
}

// TestLastOperatorKey guards against a publication that opens the configuration
// to everybody by dropping the operators, also on top of another one's document.
func TestLastOperatorKey(t *testing.T) {
	x := newFixture(t)
	f := x.follower()
	open := modeler.Document{Cell: "open"}
	closed := modeler.Document{Cell: "closed"}
	closed.Operators = []modeler.Operator{{Name: "amy", Keys: []modeler.Key{{Name: "laptop", Digest: strings.Repeat("a", 64)}}}}
	first, err := f.Publish(context.Background(), none, closed)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Publish(context.Background(), first, open)
	x.refused(err, modeler.CodeBadConfig, modeler.OutcomeNotRun)
	replaced := closed
	replaced.Operators = []modeler.Operator{{Name: "bob", Keys: []modeler.Key{{Name: "laptop", Digest: strings.Repeat("b", 64)}}}}
	if _, err := f.Publish(context.Background(), first, replaced); err != nil {
		t.Error(err)
	}
}

// TestOfferNeverLowers guards against a peer that takes an instance back to an
// older configuration, in which a withdrawn key works again.
func TestOfferNeverLowers(t *testing.T) {
	x := newFixture(t)
	f := x.follower()
	changes := f.Changes()
	x.publish(f, none, "base")
	x.publish(f, 0, "next")
	if <-changes; f.Offer(0, modeler.Document{Cell: "old"}) || f.Offer(1, modeler.Document{Cell: "same"}) {
		t.Fatal("an offset that is not higher was applied")
	}
	x.wants(f, 1, "next")
	if !f.Offer(5, modeler.Document{Cell: "pulled"}) {
		t.Fatal("a higher offset was refused")
	}
	if <-changes; f.catchUp(context.Background()) != nil {
		t.Fatal("log not read")
	}
	x.wants(f, 5, "pulled")
}

// TestRestartAfterExpiry guards against the loss of the configuration when its
// record expires: one instance repeats it, and an instance that starts later
// has the original offset in force and can publish on top of it.
func TestRestartAfterExpiry(t *testing.T) {
	x := newFixture(t)
	keep, other := x.follower(WithRetention(9*time.Hour)), x.follower(WithRetention(9*time.Hour))
	x.publish(keep, none, "base")
	x.publish(keep, 0, "next")
	x.advance(4 * time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	go keep.Run(ctx)
	for waited := 0; ; waited++ {
		if page, _ := x.log.Read(ctx, Stream, 0, 9, 0); page.Next == 3 {
			break
		}
		if waited > 1000 {
			t.Fatal("the document was not repeated")
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-keep.Done()
	if err := other.catchUp(context.Background()); err != nil || other.due() != nil {
		t.Fatalf("a second instance repeats as well (%v)", err)
	}
	x.log.expire(2)
	late := x.follower()
	if err := late.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	x.wants(late, 1, "next")
	x.publish(late, 1, "after")
	x.wants(late, 3, "after")
	x.wantsTail(keep, 3, "after")
	x.wantsTail(other, 3, "after")
}

// wantsTail is wants after reading to the tail.
func (x *fixture) wantsTail(f *Follower, offset modeler.Offset, cell string) {
	x.t.Helper()
	if err := f.catchUp(context.Background()); err != nil {
		x.t.Fatal(err)
	}
	x.wants(f, offset, cell)
}

// TestExpiredEverywhere guards against a log outage longer than the retention,
// after which no record of the document is left: the instances that hold it
// publish it again.
func TestExpiredEverywhere(t *testing.T) {
	x := newFixture(t)
	f := x.follower(WithRetention(time.Hour))
	x.publish(f, none, "base")
	data, err := encoder.Marshal(encoder.Publication{Parent: 7, Original: none})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.log.Append(context.Background(), Stream, data); err != nil {
		t.Fatal(err)
	}
	x.log.expire(2)
	pulled := x.follower(WithRetention(time.Hour))
	pulled.Offer(0, modeler.Document{Cell: "base"})
	if err := pulled.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	pulled.repeat(context.Background())
	late := x.follower()
	x.wantsTail(late, 0, "base")
	x.wantsTail(f, 0, "base")
}

// TestMissedBase guards against an instance that calls an old document fresh
// while it knows that a newer one exists, whose patch it cannot apply.
func TestMissedBase(t *testing.T) {
	x := newFixture(t)
	writer, reader := x.follower(), x.follower()
	x.publish(writer, none, strings.Repeat("long ", 99))
	x.wantsTail(reader, 0, strings.Repeat("long ", 99))
	docs := []modeler.Document{{Cell: "c", Teams: make([]modeler.Team, 9)}, {Cell: "c", Teams: make([]modeler.Team, 9)}}
	for i := range docs[0].Teams {
		docs[0].Teams[i].Name = modeler.TeamID(strings.Repeat("n", i+1))
		docs[1].Teams[i].Name = docs[0].Teams[i].Name
	}
	docs[1].Teams[4].Share = 7
	for i, doc := range docs {
		if _, err := writer.Publish(context.Background(), modeler.Offset(i), doc); err != nil {
			t.Fatal(err)
		}
	}
	x.log.expire(2)
	x.advance(time.Second)
	x.wantsTail(reader, 0, strings.Repeat("long ", 99))
	if age, _ := reader.ConfigAge(x.now()); age < time.Second {
		t.Fatalf("fresh to %v with an old document", age)
	}
	if !reader.Offer(2, docs[1]) {
		t.Fatal("the document of a peer was refused")
	}
	x.wantsTail(reader, 2, "c")
	if age, ok := reader.ConfigAge(x.now()); !ok || age != 0 {
		t.Fatalf("age %v after the document was pulled", age)
	}
	x.publish(reader, 2, "next")
	x.wantsTail(writer, 3, "next")
}
