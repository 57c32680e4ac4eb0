package courier

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// recordedEndpoints answers every order and keeps the starts.
type recordedEndpoints struct {
	mu       sync.Mutex
	starts   []definer.StartOrder
	renewals int
	// blocked, when it is set, holds orders back until their time ends.
	blocked bool
}

func (r *recordedEndpoints) Start(ctx context.Context, _ definer.Target, order definer.StartOrder) (definer.Verdict, error) {
	r.mu.Lock()
	r.starts = append(r.starts, order)
	blocked := r.blocked
	r.mu.Unlock()
	if blocked {
		<-ctx.Done()

		return definer.VerdictUnknown, ctx.Err()
	}

	return definer.VerdictDone, nil
}

func (r *recordedEndpoints) Stop(context.Context, definer.Target, definer.StopOrder) (definer.Verdict, error) {
	return definer.VerdictFenced, nil
}

func (r *recordedEndpoints) Renew(ctx context.Context, target definer.Target, order definer.RenewOrder) (definer.Report, definer.Verdict, error) {
	r.mu.Lock()
	blocked := r.blocked
	if blocked {
		r.renewals++
	}
	r.mu.Unlock()
	if blocked {
		<-ctx.Done()

		return definer.Report{}, definer.VerdictUnknown, ctx.Err()
	}
	if target.ID == "lost" {
		return definer.Report{}, definer.VerdictUnknown, errors.New("endpoint does not answer")
	}
	task := definer.TaskName{Job: "job", Index: 3}

	return definer.Report{
		Clock: order.Until, Born: 7,
		Running: []definer.RunningTask{{Task: task, Run: 2, Checkpoint: "c", Percent: 40}},
		Ended:   []definer.EndedTask{{Number: 9, Task: task, Run: 1, End: definer.EndFailed}},
	}, definer.VerdictDone, nil
}

func (r *recordedEndpoints) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.starts) + r.renewals
}

// carryOnly is a peer that only carries orders.
type carryOnly struct {
	forwarder.Server
	courier *Courier
}

func (c carryOnly) Carry(stream *forwarder.CarryServer) error { return c.courier.Carry(stream) }

// listen starts a peer that carries orders and returns its address and how to end it.
func listen(t *testing.T, endpoints definer.Endpoints) (netip.AddrPort, func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := forwarder.NewServer(carryOnly{courier: New(endpoints)})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	return netip.MustParseAddrPort(listener.Addr().String()), server.Stop
}

// newFleet runs a fleet that prefers the instance at address.
func newFleet(t *testing.T, direct definer.Endpoints, address netip.AddrPort) *Client {
	t.Helper()
	pool := forwarder.NewPool()
	route := func(_ definer.Target, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
		return address, usable(address)
	}
	fleet := NewClient(direct, pool, route, hclog.NewNullLogger(), recorder.NewMetrics())
	ctx, cancel := context.WithCancel(context.Background())
	go fleet.Run(ctx)
	for running := false; !running; time.Sleep(time.Millisecond) {
		fleet.mu.Lock()
		running = fleet.base != nil
		fleet.mu.Unlock()
	}
	t.Cleanup(func() {
		cancel()
		<-fleet.Done()
		pool.Close()
	})

	return fleet
}

// within returns a context with the time that an owner gives an order.
func within(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)

	return ctx
}

// TestOrdersAreCarried guards against orders and answers that change on their
// way through a courier, such as tasks that start with the spec of another job.
func TestOrdersAreCarried(t *testing.T) {
	far, near := &recordedEndpoints{}, &recordedEndpoints{}
	address, _ := listen(t, far)
	fleet := newFleet(t, near, address)
	ctx := within(t, 5*time.Second)
	want := map[string]definer.StartOrder{}
	var group sync.WaitGroup
	for _, job := range []string{"a", "b"} {
		for index := range 20 {
			order := definer.StartOrder{Task: definer.TaskName{Job: job, Index: index}, Run: 1, Spec: "spec of " + job, Ticket: "t", Term: 5, Until: 99}
			want[job+string(rune('0'+index))] = order
			group.Add(1)
			go func() {
				defer group.Done()
				if verdict, err := fleet.Start(ctx, definer.Target{ID: "e"}, order); verdict != definer.VerdictDone || err != nil {
					t.Errorf("start: verdict %v, error %v", verdict, err)
				}
			}()
		}
	}
	group.Wait()
	got := map[string]definer.StartOrder{}
	for _, order := range far.starts {
		got[order.Task.Job+string(rune('0'+order.Task.Index))] = order
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("orders differ (-sent +carried):\n%s", diff)
	}
	if near.count() != 0 {
		t.Errorf("the owner sent %d orders itself", near.count())
	}
	if verdict, err := fleet.Stop(ctx, definer.Target{ID: "e"}, definer.StopOrder{}); verdict != definer.VerdictFenced || err != nil {
		t.Errorf("stop: verdict %v, error %v", verdict, err)
	}
	report, verdict, err := fleet.Renew(ctx, definer.Target{ID: "e"}, definer.RenewOrder{Until: 12})
	wantReport, _, _ := far.Renew(ctx, definer.Target{ID: "e"}, definer.RenewOrder{Until: 12})
	if diff := cmp.Diff(wantReport, report); diff != "" || verdict != definer.VerdictDone || err != nil {
		t.Errorf("renewal: verdict %v, error %v, report (-want +got):\n%s", verdict, err, diff)
	}
	if _, verdict, err := fleet.Renew(ctx, definer.Target{ID: "lost"}, definer.RenewOrder{}); verdict != definer.VerdictUnknown || err == nil {
		t.Errorf("renewal of a lost endpoint: verdict %v, error %v", verdict, err)
	}
}

// TestLostCourierIsReplaced guards against orders that are lost with the
// process of a courier: the owner sends renewals itself. It must not repeat a
// start, which the courier may still send.
func TestLostCourierIsReplaced(t *testing.T) {
	far, near := &recordedEndpoints{blocked: true}, &recordedEndpoints{}
	address, stop := listen(t, far)
	fleet := newFleet(t, near, address)
	started, renewed := make(chan definer.Verdict, 1), make(chan definer.Verdict, 1)
	go func() {
		verdict, _ := fleet.Start(within(t, 5*time.Second), definer.Target{ID: "e"}, definer.StartOrder{Run: 1})
		started <- verdict
	}()
	go func() {
		_, verdict, _ := fleet.Renew(within(t, 5*time.Second), definer.Target{ID: "blocked"}, definer.RenewOrder{})
		renewed <- verdict
	}()
	for far.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	stop()
	if verdict := <-started; verdict != definer.VerdictUnknown || near.count() != 0 {
		t.Errorf("start: verdict %v after %d orders of the owner itself", verdict, near.count())
	}
	if verdict := <-renewed; verdict != definer.VerdictDone {
		t.Errorf("renewal: verdict %v, want it done by the owner itself", verdict)
	}
	if verdict, err := fleet.Start(within(t, time.Second), definer.Target{ID: "e"}, definer.StartOrder{Run: 2}); verdict != definer.VerdictDone || err != nil {
		t.Errorf("next start: verdict %v, error %v", verdict, err)
	}
}

// TestSilentCourierIsReplaced guards against a courier that is frozen or cut
// off: its connection shows no error, and the endpoints' leases would run out.
func TestSilentCourierIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	near := &recordedEndpoints{}
	fleet := newFleet(t, near, netip.MustParseAddrPort(listener.Addr().String()))
	began := time.Now()
	_, verdict, err := fleet.Renew(within(t, 1700*time.Millisecond), definer.Target{ID: "e"}, definer.RenewOrder{})
	if verdict != definer.VerdictDone || err != nil {
		t.Errorf("renewal: verdict %v, error %v", verdict, err)
	}
	if took := time.Since(began); took > silentAfter+2*checkEvery+500*time.Millisecond {
		t.Errorf("the renewal took %v", took)
	}
}
