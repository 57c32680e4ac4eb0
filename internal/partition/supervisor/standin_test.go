package supervisor

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/connector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/logger"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// platform provides the membership and the configuration of a single instance.
type platform struct {
	document modeler.Document

	mu        sync.Mutex
	instances []modeler.Instance
}

func (p *platform) Put(_ context.Context, instances ...modeler.Instance) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, instances...)

	return nil
}

func (p *platform) Remove(context.Context, modeler.InstanceID) error { return nil }

func (p *platform) Peers() []modeler.Peer { return nil }

func (p *platform) Endpoints() []modeler.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()

	return append([]modeler.Instance(nil), p.instances...)
}

func (p *platform) InForce() (modeler.Document, modeler.Offset, bool) { return p.document, 1, true }

// TestStandIns_OverHTTP guards against differences between the fakes of the other
// tests and the protocols that the clients and the stand-ins implement.
func TestStandIns_OverHTTP(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	server := httptest.NewServer(logger.NewServer(logger.New(time.Hour, 400)))
	defer server.Close()
	p := &platform{document: newCluster(t, 0, 0).document}
	for _, spec := range []worker.Spec{
		{Kind: modeler.KindWorker, Count: 3, Capacity: modeler.Resources{Millis: 4000, Memory: 16 * gib}},
		{Kind: modeler.KindExecutor, Count: 1, Capacity: modeler.Resources{Slots: 4}, Settings: worker.Settings{Service: 20 * time.Millisecond}},
	} {
		spec.Region, spec.Zone, spec.Address = "costa", "costa-a", netip.MustParseAddr("127.0.0.1")
		if err := worker.NewHost(spec, p).Start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	s := New(
		WithSelf(modeler.Instance{ID: "a", Kind: modeler.KindEntry, Region: "costa", State: modeler.StateLive}),
		WithLog(connector.NewLog(netip.MustParseAddrPort(server.Listener.Addr().String()))), WithDialer(connector.NewDialer()),
		WithMembership(p), WithConfiguration(p),
		WithViolation(func(invariant, detail string) { t.Errorf("%s: %s", invariant, detail) }),
	)
	runCtx, stop := context.WithCancel(ctx)
	go s.Run(runCtx)
	defer func() { <-s.Done() }()
	defer stop()
	wait := func(what string, condition func() bool) {
		t.Helper()
		for !condition() {
			if ctx.Err() != nil {
				t.Fatalf("no %s in time", what)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	wait("owner", func() bool { return len(s.Loads()) == 1 && s.Loads()[0].Ready })
	jobs := map[modeler.JobID]func(*modeler.Job){
		"good":    func(j *modeler.Job) { j.Command = []string{"run", "100ms"} },
		"once":    func(j *modeler.Job) { j.Command, j.Once = []string{"run", "100ms"}, true },
		"failing": func(j *modeler.Job) { j.Command, j.Attempts = []string{"fail", "10ms"}, 2 },
		"bad":     func(j *modeler.Job) { j.Command = []string{"run"} },
		"endless": func(j *modeler.Job) { j.Command = []string{"serve"} },
	}
	for id, change := range jobs {
		msg := submission(string(id), 3)
		change(&msg.Job)
		if _, err := s.Submit(ctx, msg); err != nil {
			t.Fatal(err)
		}
	}
	for _, idempotent := range []bool{true, false} {
		msg := onceCall("r1")
		msg.Idempotent = idempotent
		reply, err := s.Call(ctx, msg)
		var echo worker.Echo
		if err != nil || json.Unmarshal(reply.Answer, &echo) != nil || string(echo.Body) != "r1" {
			t.Errorf("call: %q, %v", reply.Answer, err)
		}
	}
	wait("running service", func() bool { return len(s.Records("humo", "endless/2")) > 1 })
	if err := s.Cancel(ctx, modeler.CancelMsg{Partition: "costa-1", Team: "humo", Job: "endless"}); err != nil {
		t.Error(err)
	}
	for id, want := range map[modeler.JobID]modeler.TaskState{
		"good": modeler.TaskFinished, "once": modeler.TaskFinished, "failing": modeler.TaskFailed,
		"bad": modeler.TaskFailed, "endless": modeler.TaskCancelled,
	} {
		wait("final job "+string(id), func() bool { status, _ := s.Job("humo", id); return status.Final })
		status, _ := s.Job("humo", id)
		for _, task := range status.Tasks {
			if task.State != want {
				t.Errorf("task %s is %s (%s), want %s", task.Task, task.State, task.Cause, want)
			}
		}
	}
}
