package starter

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/router"
	"gitlab.com/greengagewall/greengagewall/internal/standin/lister"
	"gitlab.com/greengagewall/greengagewall/internal/standin/logger"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// fakePlatform consists of a log, an instance list and executors.
type fakePlatform struct {
	t                *testing.T
	list             *lister.List
	log, listAddress netip.AddrPort
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{t: t, list: lister.New(0)}
	serve := func(handler http.Handler) netip.AddrPort {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)

		return server.Listener.Addr().(*net.TCPAddr).AddrPort()
	}
	p.log, p.listAddress = serve(logger.NewServer(logger.New(time.Hour, 400))), serve(lister.NewServer(p.list))
	host := worker.NewHost(worker.Spec{
		Kind: modeler.KindExecutor, Count: 2, Region: "costa", Zone: "costa-a", Address: netip.MustParseAddr("127.0.0.1"),
		Capacity: modeler.Resources{Slots: 8}, Settings: worker.Settings{Service: time.Second},
	}, lister.NewClient(p.listAddress))
	if err := host.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)

	return p
}

// freeAddress returns a local address that is not in use.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// entry is a running instance.
type entry struct {
	*Instance
	url  string
	stop context.CancelFunc
	// result receives the error that Run returns.
	result chan error
}

func (p *fakePlatform) start(name string) *entry {
	p.t.Helper()
	settings := Settings{
		Listen: freeAddress(p.t), Peer: freeAddress(p.t), Log: p.log, List: p.listAddress, Region: "costa", Zone: "costa-a", Prefix: name,
		Retention: time.Hour, Inflight: 100, Notice: 300 * time.Millisecond, Drain: 10 * time.Second,
	}
	instance, err := New(settings, hclog.NewNullLogger())
	if err != nil {
		p.t.Fatal(err)
	}
	p.list.Put(time.Now(), modeler.Instance{
		ID: modeler.InstanceID("listed-" + name), Kind: modeler.KindEntry, Region: "costa", Zone: "costa-a",
		Address: settings.Listen, Peer: settings.Peer, State: modeler.StateLive,
	})
	ctx, stop := context.WithCancel(context.Background())
	e := &entry{Instance: instance, url: "http://" + settings.Listen.String(), stop: stop, result: make(chan error, 1)}
	go func() { e.result <- instance.Run(ctx) }()
	p.t.Cleanup(func() {
		stop()
		<-instance.Done()
	})

	return e
}

// send sends a request and returns the status and the body of the response. The
// status is 0 if there is no response.
func (e *entry) send(method, path, body string) (int, string) {
	req, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}

	return resp.StatusCode, string(data)
}

// waitForStatus repeats a request until the response has the wanted status.
func (e *entry) waitForStatus(t *testing.T, status int, method, path, body string) {
	t.Helper()
	var got int
	var answer string
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if got, answer = e.send(method, path, body); got == status {
			return
		}
	}
	t.Fatalf("%s %s: status %d, want %d: %s", method, path, got, status, answer)
}

// TestInstance_ShutDown guards against a graceful shutdown that cuts off a request
// in progress (I9), leaves a partition without an owner, or reports that the
// instance is ready.
func TestInstance_ShutDown(t *testing.T) {
	p := newFakePlatform(t)
	a := p.start("a")
	body, err := json.Marshal(router.ConfigRequest{Parent: -1, Document: modeler.Document{
		Cell:       "humo-andino",
		Partitions: []modeler.Partition{{Name: "costa-1", Region: "costa", Weight: 1}},
		Teams:      []modeler.Team{{Name: "public", Share: 1, Limit: modeler.Resources{Slots: 16}}},
		Queues:     []modeler.Queue{{Name: "lookups", Kind: modeler.WorkService, Class: modeler.ClassUrgent, Open: true, Team: "public"}},
		Services:   []modeler.Service{{Name: "quality", Queue: "lookups", Idempotent: true, Timeout: 8 * time.Second}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	a.waitForStatus(t, http.StatusOK, http.MethodPut, "/v1/config", string(body))
	b := p.start("b")
	const path = "/v1/services/quality/calls"
	a.waitForStatus(t, http.StatusOK, http.MethodGet, "/readyz", "")
	b.waitForStatus(t, http.StatusOK, http.MethodGet, "/readyz", "")
	a.waitForStatus(t, http.StatusOK, http.MethodPost, path, "first")
	b.waitForStatus(t, http.StatusOK, http.MethodPost, path, "forwarded")

	// Both calls are in progress at the owner, a, when it begins to shut down.
	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, 2)
	for _, e := range []*entry{a, b} {
		go func() {
			status, body := e.send(http.MethodPost, path, "open")
			answers <- answer{status, body}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	a.stop()
	a.waitForStatus(t, http.StatusServiceUnavailable, http.MethodGet, "/readyz", "")
	for range 2 {
		if got := <-answers; got.status != http.StatusOK {
			t.Errorf("a call in progress at the shutdown ended with status %d: %s", got.status, got.body)
		}
	}
	if err := <-a.result; err != nil {
		t.Error(err)
	}
	b.waitForStatus(t, http.StatusOK, http.MethodPost, path, "after")
}

// TestNew_AddressInUse guards against an error that does not say which address
// could not be bound.
func TestNew_AddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	used := listener.Addr().(*net.TCPAddr).AddrPort()
	_, err = New(Settings{Listen: freeAddress(t), Peer: used}, hclog.NewNullLogger())
	if err == nil || !strings.Contains(err.Error(), "--peer") || !strings.Contains(err.Error(), used.String()) {
		t.Errorf("got %v", err)
	}
}
