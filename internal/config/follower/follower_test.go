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

var errLogTimeout = errors.New("log: timeout")

// fakeLog is an in-memory log that simulates the faults of the platform's log.
type fakeLog struct {
	mu      sync.Mutex
	now     func() time.Time
	records []messenger.LogRecord
	first   modeler.Offset
	// loseAnswers is the number of next appends that take effect but return an
	// error; dropAppends is the number of next appends that have no effect.
	loseAnswers, dropAppends int
	down                     bool
	// appendErr is the error of every append while down.
	appendErr error
	// beforeAppend runs once, before the next append.
	beforeAppend func()
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (modeler.Offset, error) {
	l.mu.Lock()
	before := l.beforeAppend
	l.beforeAppend = nil
	l.mu.Unlock()
	if before != nil {
		before()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, l.appendErr
	}
	if l.dropAppends > 0 {
		l.dropAppends--

		return 0, errLogTimeout
	}
	offset := l.first + modeler.Offset(len(l.records))
	l.records = append(l.records, messenger.LogRecord{Offset: offset, Time: l.now(), Data: data})
	if l.loseAnswers > 0 {
		l.loseAnswers--

		return 0, errLogTimeout
	}

	return offset, nil
}

func (l *fakeLog) Read(
	ctx context.Context, _ string, from modeler.Offset, limit int, wait time.Duration,
) (messenger.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return messenger.Page{}, errLogTimeout
	}
	if from == l.first+modeler.Offset(len(l.records)) && wait > 0 {
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		l.mu.Lock()
	}
	page := messenger.Page{First: l.first, Next: l.first + modeler.Offset(len(l.records))}
	for _, record := range l.records {
		if record.Offset >= from && len(page.Records) < limit {
			page.Records = append(page.Records, record)
		}
	}

	return page, nil
}

// expire removes the records below first.
func (l *fakeLog) expire(first modeler.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[first-l.first:]
	l.first = first
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// fixture holds a fake log and a clock that the test advances.
type fixture struct {
	t    *testing.T
	log  *fakeLog
	mu   sync.Mutex
	time time.Time
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{t: t, time: time.Unix(1_700_000_000, 0)}
	x.log = &fakeLog{now: x.now, appendErr: errLogTimeout}

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

func (x *fixture) newFollower(opts ...Option) *Follower {
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

func (x *fixture) expectInForce(f *Follower, offset modeler.Offset, cell string) {
	x.t.Helper()
	doc, got, ok := f.InForce()
	if !ok || got != offset || doc.Cell != cell {
		x.t.Fatalf("in force: %q at %d (%t), want %q at %d", doc.Cell, got, ok, cell, offset)
	}
}

// expectRefusal checks the code and outcome of a refusal.
func (x *fixture) expectRefusal(err error, code modeler.Code, outcome modeler.Outcome) {
	x.t.Helper()
	var refusal *modeler.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || refusal.Outcome != outcome {
		x.t.Fatalf("got %v, want %s (%s)", err, code, outcome)
	}
}

// TestRacingOperators guards against two operators whose documents are both
// reported as accepted. The second operator publishes between the check and the
// append of the first.
func TestRacingOperators(t *testing.T) {
	x := newFixture(t)
	a, b := x.newFollower(), x.newFollower()
	x.publish(a, none, "base")
	x.log.set(func() { x.log.beforeAppend = func() { x.publish(b, 0, "second") } })
	_, err := a.PublishAs(context.Background(), "amy", 0, modeler.Document{Cell: "first"})
	x.expectRefusal(err, modeler.CodeConflict, modeler.OutcomeNotRun)
	x.expectInForce(a, 1, "second")
	_, err = a.Publish(context.Background(), 0, modeler.Document{Cell: "late"})
	x.expectRefusal(err, modeler.CodeConflict, modeler.OutcomeNotRun)
	x.publish(a, 1, "third")
	x.expectInForce(a, 3, "third")
}

// TestLostAnswer guards against a publication that took effect but is reported
// as failed, or that takes effect twice because it was appended again.
func TestLostAnswer(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower()
	x.publish(f, none, "base")
	x.log.set(func() { x.log.loseAnswers = 1 })
	if offset := x.publish(f, 0, "lost"); offset != 1 {
		t.Fatalf("offset %d", offset)
	}
	x.log.set(func() { x.log.dropAppends = 2 })
	x.publish(f, 1, "dropped")
	x.expectInForce(f, 2, "dropped")
	x.log.set(func() { x.log.loseAnswers, x.log.beforeAppend = 1, func() { x.publish(x.newFollower(), 2, "other") } })
	_, err := f.Publish(context.Background(), 2, modeler.Document{Cell: "mine"})
	x.expectRefusal(err, modeler.CodeConflict, modeler.OutcomeNotRun)
	x.expectInForce(f, 3, "other")
}

// TestLogOutage guards against a publication with a wrong outcome when the log
// fails before the append, or between the append and reading it back.
func TestLogOutage(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower()
	x.publish(f, none, "base")
	x.log.set(func() { x.log.down = true })
	_, err := f.Publish(context.Background(), 0, modeler.Document{})
	x.expectRefusal(err, modeler.CodeLogDown, modeler.OutcomeNotRun)
	x.expectInForce(f, 0, "base")

	x.log.set(func() { x.log.down, x.log.beforeAppend = false, func() { x.log.set(func() { x.log.down = true }) } })
	_, err = f.Publish(context.Background(), 0, modeler.Document{})
	x.expectRefusal(err, modeler.CodeLostAnswer, modeler.OutcomeUnknown)

	for _, appendErr := range []error{messenger.ErrUnsent, modeler.NotRun(modeler.CodeLogDown, time.Second, "503")} {
		x.log.set(func() {
			x.log.down, x.log.beforeAppend = false, func() { x.log.set(func() { x.log.down = true }) }
			x.log.appendErr = appendErr
		})
		_, err = f.Publish(context.Background(), 0, modeler.Document{})
		x.expectRefusal(err, modeler.CodeLogDown, modeler.OutcomeNotRun)
	}
}

// TestLogLosesNewestRecords guards against a log without its newest records that
// makes an old document count as the newest, or that loses a publication.
func TestLogLosesNewestRecords(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower()
	x.publish(f, none, "base")
	x.publish(f, 0, "next")
	x.log.set(func() { x.log.records = x.log.records[:1] })
	x.advance(time.Minute)
	_, err := f.Publish(context.Background(), 1, modeler.Document{})
	x.expectRefusal(err, modeler.CodeLogDown, modeler.OutcomeNotRun)
	if age, _ := f.ConfigAge(x.now()); age < time.Minute {
		t.Fatalf("age %v although the log has lost records", age)
	}
}

// TestConfigAge guards against an age of the configuration that a stale instance
// resets through a peer with a newer document, or that stops growing during an
// outage of the log.
func TestConfigAge(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower()
	if _, ok := f.ConfigAge(x.now()); ok {
		t.Fatal("the configuration has an age without a document")
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
		t.Fatalf("age %v after a confirmation by a peer", age)
	}
}

// TestFaultyDocument guards against an invalid document that is published.
func TestFaultyDocument(t *testing.T) {
	x := newFixture(t)
	_, err := New(WithLog(x.log)).Publish(context.Background(), none, modeler.Document{Cell: "empty"})
	x.expectRefusal(err, modeler.CodeBadConfig, modeler.OutcomeNotRun)
}

// TestLastOperatorKey guards against a publication that removes all operators and
// so lets everybody publish a configuration. Replacing the operators is allowed.
func TestLastOperatorKey(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower()
	open := modeler.Document{Cell: "open"}
	closed := modeler.Document{Cell: "closed"}
	closed.Operators = []modeler.Operator{{Name: "amy", Keys: []modeler.Key{{Name: "laptop", Digest: strings.Repeat("a", 64)}}}}
	first, err := f.Publish(context.Background(), none, closed)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Publish(context.Background(), first, open)
	x.expectRefusal(err, modeler.CodeBadConfig, modeler.OutcomeNotRun)
	replaced := closed
	replaced.Operators = []modeler.Operator{{Name: "bob", Keys: []modeler.Key{{Name: "laptop", Digest: strings.Repeat("b", 64)}}}}
	if _, err := f.Publish(context.Background(), first, replaced); err != nil {
		t.Error(err)
	}
}

// TestOfferNeverLowers guards against a peer that returns an instance to an older
// configuration, in which a withdrawn key is valid again.
func TestOfferNeverLowers(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower()
	changes := f.Changes()
	x.publish(f, none, "base")
	x.publish(f, 0, "next")
	if <-changes; f.Offer(0, modeler.Document{Cell: "old"}) || f.Offer(1, modeler.Document{Cell: "same"}) {
		t.Fatal("an offset that is not higher was applied")
	}
	x.expectInForce(f, 1, "next")
	if !f.Offer(5, modeler.Document{Cell: "pulled"}) {
		t.Fatal("a higher offset was refused")
	}
	if <-changes; f.catchUp(context.Background()) != nil {
		t.Fatal("log not read")
	}
	x.expectInForce(f, 5, "pulled")
}

// TestRestartAfterExpiry guards against the loss of the configuration when its
// record expires. One instance must repeat it, and an instance that starts later
// must have the original offset in force and publish on top of it.
func TestRestartAfterExpiry(t *testing.T) {
	x := newFixture(t)
	repeater, other := x.newFollower(WithRetention(9*time.Hour)), x.newFollower(WithRetention(9*time.Hour))
	x.publish(repeater, none, "base")
	x.publish(repeater, 0, "next")
	x.advance(4 * time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	go repeater.Run(ctx)
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
	<-repeater.Done()
	if err := other.catchUp(context.Background()); err != nil || other.repetitionDue() != nil {
		t.Fatalf("a second instance repeats as well (%v)", err)
	}
	x.log.expire(2)
	late := x.newFollower()
	if err := late.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	x.expectInForce(late, 1, "next")
	x.publish(late, 1, "after")
	x.expectInForce(late, 3, "after")
	x.expectAtTail(repeater, 3, "after")
	x.expectAtTail(other, 3, "after")
}

// expectAtTail is expectInForce after reading to the tail.
func (x *fixture) expectAtTail(f *Follower, offset modeler.Offset, cell string) {
	x.t.Helper()
	if err := f.catchUp(context.Background()); err != nil {
		x.t.Fatal(err)
	}
	x.expectInForce(f, offset, cell)
}

// TestExpiredEverywhere guards against the loss of the configuration in a log
// outage longer than the retention, after which the log has no record of the
// document. The instances that hold it must publish it again.
func TestExpiredEverywhere(t *testing.T) {
	x := newFixture(t)
	f := x.newFollower(WithRetention(time.Hour))
	x.publish(f, none, "base")
	data, err := encoder.Marshal(encoder.Publication{Parent: 7, Original: none})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.log.Append(context.Background(), Stream, data); err != nil {
		t.Fatal(err)
	}
	x.log.expire(2)
	pulled := x.newFollower(WithRetention(time.Hour))
	pulled.Offer(0, modeler.Document{Cell: "base"})
	if err := pulled.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	pulled.repeatIfDue(context.Background())
	late := x.newFollower()
	x.expectAtTail(late, 0, "base")
	x.expectAtTail(f, 0, "base")
}

// TestMissedPatchBase guards against an instance that reports an old document as
// the newest although it has read a newer patch that it cannot apply.
func TestMissedPatchBase(t *testing.T) {
	x := newFixture(t)
	writer, reader := x.newFollower(), x.newFollower()
	x.publish(writer, none, strings.Repeat("long ", 99))
	x.expectAtTail(reader, 0, strings.Repeat("long ", 99))
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
	x.expectAtTail(reader, 0, strings.Repeat("long ", 99))
	if age, _ := reader.ConfigAge(x.now()); age < time.Second {
		t.Fatalf("age %v with an old document", age)
	}
	if !reader.Offer(2, docs[1]) {
		t.Fatal("the document of a peer was refused")
	}
	x.expectAtTail(reader, 2, "c")
	if age, ok := reader.ConfigAge(x.now()); !ok || age != 0 {
		t.Fatalf("age %v after the document was pulled", age)
	}
	x.publish(reader, 2, "next")
	x.expectAtTail(writer, 3, "next")
}
