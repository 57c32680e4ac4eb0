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

// fakeEndpoints answers orders without endpoints. It records starts and counts
// blocked renewals.
type fakeEndpoints struct {
	mu       sync.Mutex
	starts   []definer.StartOrder
	renewals int
	// blocked makes starts and renewals wait until their context ends.
	blocked bool
}

func (f *fakeEndpoints) Start(ctx context.Context, _ definer.Target, order definer.StartOrder) (definer.Verdict, error) {
	f.mu.Lock()
	f.starts = append(f.starts, order)
	blocked := f.blocked
	f.mu.Unlock()
	if blocked {
		<-ctx.Done()

		return definer.VerdictUnknown, ctx.Err()
	}

	return definer.VerdictDone, nil
}

func (f *fakeEndpoints) Stop(context.Context, definer.Target, definer.StopOrder) (definer.Verdict, error) {
	return definer.VerdictFenced, nil
}

func (f *fakeEndpoints) Renew(ctx context.Context, target definer.Target, order definer.RenewOrder) (definer.Report, definer.Verdict, error) {
	f.mu.Lock()
	blocked := f.blocked
	if blocked {
		f.renewals++
	}
	f.mu.Unlock()
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

func (f *fakeEndpoints) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.starts) + f.renewals
}

// carryServer is a peer that implements only Carry.
type carryServer struct {
	forwarder.Server
	courier *Courier
}

func (c carryServer) Carry(stream *forwarder.CarryServer) error { return c.courier.Carry(stream) }

// startCourier starts a peer with a courier. It returns its address and a function
// that stops it.
func startCourier(t *testing.T, endpoints definer.Endpoints) (netip.AddrPort, func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := forwarder.NewServer(carryServer{courier: New(endpoints)})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	return netip.MustParseAddrPort(listener.Addr().String()), server.Stop
}

// newClient runs a client that uses the courier at address while it is usable.
func newClient(t *testing.T, direct definer.Endpoints, address netip.AddrPort) *Client {
	t.Helper()
	pool := forwarder.NewPool()
	route := func(_ definer.Target, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
		return address, usable(address)
	}
	client := NewClient(direct, pool, route, hclog.NewNullLogger(), recorder.NewMetrics())
	ctx, cancel := context.WithCancel(context.Background())
	go client.Run(ctx)
	for running := false; !running; time.Sleep(time.Millisecond) {
		client.mu.Lock()
		running = client.runCtx != nil
		client.mu.Unlock()
	}
	t.Cleanup(func() {
		cancel()
		<-client.Done()
		pool.Close()
	})

	return client
}

// contextWithTimeout returns a context with the timeout of an order.
func contextWithTimeout(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)

	return ctx
}

// TestOrdersAreCarried guards against orders and results that a courier alters,
// such as a task that starts with the spec of another job in the same batch.
func TestOrdersAreCarried(t *testing.T) {
	remote, direct := &fakeEndpoints{}, &fakeEndpoints{}
	address, _ := startCourier(t, remote)
	client := newClient(t, direct, address)
	ctx := contextWithTimeout(t, 5*time.Second)
	want := map[string]definer.StartOrder{}
	var group sync.WaitGroup
	for _, job := range []string{"a", "b"} {
		for index := range 20 {
			order := definer.StartOrder{Task: definer.TaskName{Job: job, Index: index}, Run: 1, Spec: "spec of " + job, Ticket: "t", Term: 5, Until: 99}
			want[job+string(rune('0'+index))] = order
			group.Add(1)
			go func() {
				defer group.Done()
				if verdict, err := client.Start(ctx, definer.Target{ID: "e"}, order); verdict != definer.VerdictDone || err != nil {
					t.Errorf("start: verdict %v, error %v", verdict, err)
				}
			}()
		}
	}
	group.Wait()
	got := map[string]definer.StartOrder{}
	for _, order := range remote.starts {
		got[order.Task.Job+string(rune('0'+order.Task.Index))] = order
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("orders differ (-sent +relayed):\n%s", diff)
	}
	if direct.orderCount() != 0 {
		t.Errorf("the owner sent %d orders directly", direct.orderCount())
	}
	if verdict, err := client.Stop(ctx, definer.Target{ID: "e"}, definer.StopOrder{}); verdict != definer.VerdictFenced || err != nil {
		t.Errorf("stop: verdict %v, error %v", verdict, err)
	}
	report, verdict, err := client.Renew(ctx, definer.Target{ID: "e"}, definer.RenewOrder{Until: 12})
	wantReport, _, _ := remote.Renew(ctx, definer.Target{ID: "e"}, definer.RenewOrder{Until: 12})
	if diff := cmp.Diff(wantReport, report); diff != "" || verdict != definer.VerdictDone || err != nil {
		t.Errorf("renewal: verdict %v, error %v, report (-want +got):\n%s", verdict, err, diff)
	}
	if _, verdict, err := client.Renew(ctx, definer.Target{ID: "lost"}, definer.RenewOrder{}); verdict != definer.VerdictUnknown || err == nil {
		t.Errorf("renewal of a lost endpoint: verdict %v, error %v", verdict, err)
	}
}

// TestLostCourierIsReplaced guards against orders that are lost when the process of
// a courier ends. The owner must repeat renewals directly, but not starts, which the
// courier may still send.
func TestLostCourierIsReplaced(t *testing.T) {
	remote, direct := &fakeEndpoints{blocked: true}, &fakeEndpoints{}
	address, stop := startCourier(t, remote)
	client := newClient(t, direct, address)
	started, renewed := make(chan definer.Verdict, 1), make(chan definer.Verdict, 1)
	go func() {
		verdict, _ := client.Start(contextWithTimeout(t, 5*time.Second), definer.Target{ID: "e"}, definer.StartOrder{Run: 1})
		started <- verdict
	}()
	go func() {
		_, verdict, _ := client.Renew(contextWithTimeout(t, 5*time.Second), definer.Target{ID: "blocked"}, definer.RenewOrder{})
		renewed <- verdict
	}()
	for remote.orderCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	stop()
	if verdict := <-started; verdict != definer.VerdictUnknown || direct.orderCount() != 0 {
		t.Errorf("start: verdict %v after %d direct orders", verdict, direct.orderCount())
	}
	if verdict := <-renewed; verdict != definer.VerdictDone {
		t.Errorf("renewal: verdict %v, want it sent directly", verdict)
	}
	if verdict, err := client.Start(contextWithTimeout(t, time.Second), definer.Target{ID: "e"}, definer.StartOrder{Run: 2}); verdict != definer.VerdictDone || err != nil {
		t.Errorf("next start: verdict %v, error %v", verdict, err)
	}
}

// TestSilentCourierIsReplaced guards against leases that expire because their
// courier is frozen or unreachable: its connection reports no error.
func TestSilentCourierIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	direct := &fakeEndpoints{}
	client := newClient(t, direct, netip.MustParseAddrPort(listener.Addr().String()))
	began := time.Now()
	_, verdict, err := client.Renew(contextWithTimeout(t, 1700*time.Millisecond), definer.Target{ID: "e"}, definer.RenewOrder{})
	if verdict != definer.VerdictDone || err != nil {
		t.Errorf("renewal: verdict %v, error %v", verdict, err)
	}
	if took := time.Since(began); took > silenceTimeout+2*watchdogInterval+500*time.Millisecond {
		t.Errorf("the renewal took %v", took)
	}
}
