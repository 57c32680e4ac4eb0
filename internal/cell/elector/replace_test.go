package elector

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

const (
	// claimLife is the life of the process that made the last claim, and otherLife that of another process.
	claimLife int64 = 71
	otherLife int64 = 72
	// replaceTimeout bounds the wait for a claim.
	replaceTimeout = 20 * time.Second
)

// claimStore is a store whose state table ends with a claim of the instance "x". It
// reports the appends to the table and refuses them.
type claimStore struct {
	tableStore
	owner netip.AddrPort
	// silenceReads counts the reads that waited for tableSilence. claims receives their number at an append.
	silenceReads int
	claims       chan int
	// onSilence, if set, is called when nothing was appended for tableSilence.
	onSilence func()
}

func newClaimStore(owner netip.AddrPort) *claimStore {
	before := journaler.Claim{Name: "w", Address: "10.0.0.1:7420", Life: otherLife}
	claim := journaler.Claim{Name: "x", Address: owner.String(), Life: claimLife}

	return &claimStore{
		tableStore: tableStore{records: []definer.Record{journaler.EncodeClaim(before), journaler.EncodeClaim(claim)}},
		owner:      owner,
		claims:     make(chan int, 1),
	}
}

func (s *claimStore) Read(ctx context.Context, table definer.Table, from int64, limit int, wait time.Duration) (definer.Tail, error) {
	if wait == tableSilence && definer.Sleep(ctx, wait, nil) {
		s.silenceReads++
		if s.onSilence != nil {
			s.onSilence()
		}
	}

	return s.tableStore.Read(ctx, table, from, limit, wait)
}

func (s *claimStore) Append(context.Context, definer.Table, int64, []definer.Record) (definer.AppendReply, error) {
	select {
	case s.claims <- s.silenceReads:
	default:
	}

	return definer.AppendReply{}, nil
}

// newElector returns an elector without endpoints.
func newElector(settings Settings, store definer.Store) *Elector {
	none := func() time.Duration { return 0 }
	e := New(settings, store, nil, nil, nil, none, none, hclog.NewNullLogger(), recorder.NewMetrics())
	e.Configure(&definer.Configuration{})

	return e
}

// serveOwner serves the instance "x", which knows the given number of claims, and
// returns its store.
func serveOwner(t *testing.T, life int64, known int) *claimStore {
	t.Helper()
	_, store := serveInstance(t, life, known)

	return store
}

// serveInstance is serveOwner and also returns the instance.
func serveInstance(t *testing.T, life int64, known int) (*Elector, *claimStore) {
	t.Helper()
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	store := newClaimStore(address)
	x := newElector(Settings{Name: "x", Address: address, Life: life}, store)
	x.learnFromRecords(store.records[:known], 0)
	server := forwarder.NewServer(x)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	return x, store
}

// runObserver connects the instance "y", which knows all claims of the store, to
// their owner and runs it.
func runObserver(t *testing.T, store *claimStore) {
	t.Helper()
	y := newElector(Settings{Name: "y", Address: netip.MustParseAddrPort("10.0.0.3:7420")}, store)
	y.learnFromRecords(store.records, 0)
	ctx, cancel := context.WithCancel(context.Background())
	for y.exchange(ctx, store.owner, false) == nil {
		t.Log("connecting to the owner again")
	}
	go y.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-y.Done()
		y.Pool().Close()
	})
}

// awaitClaim waits for a claim and reports whether it came at once, that is, without
// a check that nothing is appended to the table.
func awaitClaim(t *testing.T, store *claimStore) bool {
	t.Helper()
	select {
	case silenceReads := <-store.claims:
		return silenceReads == 0
	case <-time.After(replaceTimeout):
		t.Fatal("the owner is not replaced")
	}

	return false
}

// TestOwnerThatDoesNotKnowItsClaimIsNotReplaced guards against a second claim while the first one's answer is under way.
func TestOwnerThatDoesNotKnowItsClaimIsNotReplaced(t *testing.T) {
	store := serveOwner(t, claimLife, 1)
	runObserver(t, store)
	if awaitClaim(t, store) {
		t.Error("the cell was claimed again at once before its new owner had the answer to its claim")
	}
}

// TestOwnerThatNeverKnowsItsClaimIsReplaced guards against a cell without an owner
// when the answer to a claim is lost.
func TestOwnerThatNeverKnowsItsClaimIsReplaced(t *testing.T) {
	store := serveOwner(t, claimLife, 1)
	runObserver(t, store)
	awaitClaim(t, store)
}

// TestEndedOwnerIsReplacedAtOnce guards against a wait for the silence of the table
// when the owner's instance knows that its ownership has ended.
func TestEndedOwnerIsReplacedAtOnce(t *testing.T) {
	store := serveOwner(t, claimLife, 2)
	runObserver(t, store)
	if !awaitClaim(t, store) {
		t.Error("the cell was not claimed at once")
	}
}

// TestRestartedOwnerIsReplacedAtOnce guards against the same wait when the owner's
// process has been replaced by one that knows no claim, or only an older one.
func TestRestartedOwnerIsReplacedAtOnce(t *testing.T) {
	for known := range 2 {
		store := serveOwner(t, otherLife, known)
		runObserver(t, store)
		if !awaitClaim(t, store) {
			t.Errorf("%d claims known: the cell was not claimed at once", known)
		}
	}
}

// TestLifeOfOwnerIsLearned guards against an owner whose restart goes unnoticed
// because its life was lost on the way from one instance to another.
func TestLifeOfOwnerIsLearned(t *testing.T) {
	owner := Ownership{Term: 7, Address: netip.MustParseAddrPort("10.0.0.1:7420"), Name: "x", Life: claimLife}
	value, err := msgpack.Marshal(owner)
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := &forwarder.Heartbeat{Name: owner.Name, Address: owner.Address, Term: owner.Term, Owner: owner.Address, IsOwner: true, Life: owner.Life}
	sources := map[string]func(*Elector) error{
		"instances table": func(e *Elector) error {
			e.Apply(definer.Record{Key: ownerKey, Value: value})

			return nil
		},
		"heartbeat of the owner": func(e *Elector) error {
			_, err := e.Exchange(context.Background(), heartbeat)

			return err
		},
	}
	for source, learn := range sources {
		e := newElector(Settings{Name: "y"}, nil)
		if err := learn(e); err != nil {
			t.Errorf("%s: %v", source, err)
		}
		if known, _ := e.Owner(); known != owner {
			t.Errorf("%s: owner %+v, want %+v", source, known, owner)
		}
	}
	store := serveOwner(t, otherLife, 2)
	y := newElector(Settings{Name: "y"}, nil)
	defer y.Pool().Close()
	for y.exchange(context.Background(), store.owner, false) == nil {
		t.Log("connecting to the instance again")
	}
	if known, _ := y.Owner(); known.Term != 2 || known.Life != claimLife {
		t.Errorf("heartbeat of another instance: owner %+v, want term 2 and life %d", known, claimLife)
	}
}

// serveActiveOwner serves the instance "x", which owns the cell and last had an
// answer of the store when onSilence of the returned store was called, or at once if
// atOnce is set.
func serveActiveOwner(t *testing.T, atOnce bool) *claimStore {
	t.Helper()
	x, store := serveInstance(t, claimLife, 2)
	store.onSilence = func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.local = leader.New(leader.Settings{Term: 2}, store, nil, nil, nil, nil, hclog.NewNullLogger(), recorder.NewMetrics())
	}
	if atOnce {
		store.onSilence()
	}

	return store
}

// TestOwnerThatLoadsIsNotReplaced guards against an owner that is replaced because it
// appends nothing and misses heartbeats while it loads a large state: each successor
// would have to load it again (seen as six claims in 31 s on instances with narrow
// links).
func TestOwnerThatLoadsIsNotReplaced(t *testing.T) {
	store := serveActiveOwner(t, false)
	y := newElector(Settings{Name: "y"}, store)
	defer y.Pool().Close()
	y.learnFromRecords(store.records, 0)
	y.ownerLearned = 0 // The owner has been known for long.
	y.campaign(context.Background(), "owner does not answer", false)
	if store.silenceReads != 1 {
		t.Fatalf("%d checks that nothing is appended, want 1", store.silenceReads)
	}
	select {
	case <-store.claims:
		t.Error("the cell was claimed although its owner answers and reads the store")
	default:
	}
}

// TestOwnerWithoutStoreIsReplacedAtOnce guards against seconds without placements
// when only the owner has lost the store (seen as 2.6 s in an incident on
// alameda-horarios), and against the replacement of an owner that has it.
func TestOwnerWithoutStoreIsReplacedAtOnce(t *testing.T) {
	store := serveActiveOwner(t, true)
	store.onSilence = nil
	y := newElector(Settings{Name: "y"}, store)
	defer y.Pool().Close()
	y.learnFromRecords(store.records, 0)
	y.campaign(context.Background(), reasonLostStore, false)
	select {
	case <-store.claims:
		t.Error("the cell was claimed although its owner has the store")
	default:
	}
	time.Sleep(maxOwnerStoreAge + 100*time.Millisecond)
	y.campaign(context.Background(), reasonLostStore, false)
	if !awaitClaim(t, store) {
		t.Error("the claim waited for silence of the table")
	}
}

// TestNewOwnerIsLeftToLoad guards against claims that follow one another while each
// new owner still loads the state (seen as five claims in 8 s on 147 instances).
func TestNewOwnerIsLeftToLoad(t *testing.T) {
	store := newClaimStore(netip.MustParseAddrPort("127.0.0.1:1"))
	y := newElector(Settings{Name: "y"}, store)
	defer y.Pool().Close()
	y.learnFromRecords(store.records, 0)
	y.campaign(context.Background(), "owner does not answer", false)
	select {
	case <-store.claims:
		t.Error("an owner that was learned just now was replaced")
	default:
	}
	y.ownerLearned = 0
	y.campaign(context.Background(), "owner does not answer", false)
	awaitClaim(t, store)
}

// TestStrongerInstancesClaimFirst guards against a weak instance that claims before a
// stronger one because it noticed the failure earlier.
func TestStrongerInstancesClaimFirst(t *testing.T) {
	store := newClaimStore(netip.MustParseAddrPort("127.0.0.1:1"))
	weak := newElector(Settings{Name: "y", Power: 0.05}, store)
	defer weak.Pool().Close()
	weak.learnFromRecords(store.records, 0)
	weak.peers["z"] = Instance{Name: "z", Power: 1}
	began := definer.Now()
	done := make(chan struct{})
	go func() {
		weak.campaign(context.Background(), "owner has ended", true)
		close(done)
	}()
	time.Sleep(maxPowerDelay / 2)
	stronger := Ownership{Term: 3, Address: netip.MustParseAddrPort("10.0.0.9:7420"), Name: "z"}
	weak.learn(stronger, "table")
	<-done
	select {
	case <-store.claims:
		t.Error("the weak instance claimed although a stronger one had claimed")
	default:
	}
	if took := definer.Since(began); took >= maxPowerDelay {
		t.Errorf("the weak instance waited %v after another owner was known", took)
	}
}

// TestOwnerThatPanicsEndsAlone guards against an unexpected error of the owner that
// ends the process, which also serves callers.
func TestOwnerThatPanicsEndsAlone(t *testing.T) {
	store := newClaimStore(netip.MustParseAddrPort("10.0.0.1:7420"))
	e := newElector(Settings{Name: "y"}, store)
	settings := leader.Settings{Term: 2, End: int64(len(store.records))}
	// Without a configuration the owner panics after it has loaded the state.
	lead := leader.New(settings, store, nil, nil, nil, nil, hclog.NewNullLogger(), recorder.NewMetrics())
	if err := e.runOwner(context.Background(), lead); !errors.Is(err, errOwnerPanic) {
		t.Errorf("the owner ended with %v, want %v", err, errOwnerPanic)
	}
	<-lead.Done()
}
