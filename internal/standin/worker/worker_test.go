package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/connector"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

type nopRegistrar struct{}

func (nopRegistrar) Put(context.Context, ...modeler.Instance) error   { return nil }
func (nopRegistrar) Remove(context.Context, modeler.InstanceID) error { return nil }

func newEndpoint(capacity modeler.Resources) *Endpoint {
	e := NewEndpoint(modeler.Instance{ID: "e"}, capacity, Settings{}, &Ledger{}, newCheckpointStore())
	e.Up()

	return e
}

var (
	first  = modeler.NewTerm(1, 0)
	second = modeler.NewTerm(2, 0)
	core   = modeler.Resources{Millis: 1000}
)

func hello(t *testing.T, e *Endpoint, term modeler.Term) modeler.SessionID {
	t.Helper()
	reply, err := e.Hello(messenger.HelloRequest{Endpoint: "e", Term: term, Owner: modeler.InstanceID(term.String())})
	if err != nil {
		t.Fatal(err)
	}

	return reply.Session
}

// start returns a request to start attempt 1 of a task.
func start(term modeler.Term, session modeler.SessionID, id string, command ...string) messenger.StartRequest {
	return messenger.StartRequest{Term: term, Session: session, Task: messenger.Task{
		ID: modeler.TaskID(id), Attempt: 1, Needs: core, Command: command,
	}}
}

func wantError(t *testing.T, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func countTasks(e *Endpoint) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.tasks)
}

func eventKinds(e *Endpoint) []Kind {
	events := e.ledger.Events(0)
	kinds := make([]Kind, len(events))
	for i, event := range events {
		kinds[i] = event.Kind
	}

	return kinds
}

// TestTermsAndSessions guards against an endpoint that carries out orders of an
// owner whose term is stale or whose session has expired.
func TestTermsAndSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint(core)
		old := hello(t, e, first)
		wantError(t, "start", e.Start(start(first, old, "a", "run", "10s")), nil)
		wantError(t, "repeated start", e.Start(start(first, old, "a", "run", "10s")), nil)
		wantError(t, "start over capacity", e.Start(start(first, old, "b")), messenger.ErrNoCapacity)
		time.Sleep(sessionLease + time.Millisecond)
		wantError(t, "start in an expired session", e.Start(start(first, old, "b")), messenger.ErrSessionExpired)
		_, err := e.Renew(messenger.RenewRequest{Term: first, Session: old})
		wantError(t, "renewal of an expired session", err, messenger.ErrSessionExpired)
		session := hello(t, e, second)
		_, err = e.Hello(messenger.HelloRequest{Endpoint: "e", Term: first, Owner: "1.0"})
		wantError(t, "hello with a lower term", err, messenger.ErrStaleTerm)
		wantError(t, "stop with a lower term", e.Stop(messenger.TaskRequest{Term: first, Session: old, Task: "a"}), messenger.ErrStaleTerm)
		wantError(t, "stop", e.Stop(messenger.TaskRequest{Term: second, Session: session, Task: "a"}), nil)
		wantError(t, "start of an ended attempt", e.Start(start(second, session, "a")), nil)
		if diff := cmp.Diff([]Kind{KindUp, KindHello, KindStart, KindHello, KindEnd}, eventKinds(e)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestLeaseAndResults guards against a task that runs after its lease has expired,
// and against a result that is not reported again until it is acknowledged.
func TestLeaseAndResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint(core)
		session := hello(t, e, first)
		wantError(t, "start", e.Start(start(first, session, "a", "serve")), nil)
		for range 9 {
			time.Sleep(time.Second)
			if _, err := e.Renew(messenger.RenewRequest{Term: first, Session: session}); err != nil {
				t.Fatal(err)
			}
		}
		if n := countTasks(e); n != 1 {
			t.Fatalf("%d tasks run while the lease is renewed, want 1", n)
		}
		time.Sleep(taskLease - time.Millisecond)
		if n := countTasks(e); n != 1 {
			t.Fatalf("%d tasks run at the end of the lease, want 1", n)
		}
		time.Sleep(2 * time.Millisecond)
		if n := countTasks(e); n != 0 {
			t.Fatalf("%d tasks run after the lease, want 0", n)
		}
		session = hello(t, e, second)
		for _, n := range []int{1, 1, 0} {
			msg := messenger.RenewRequest{Term: second, Session: session}
			if n == 0 {
				msg.Acknowledged = []modeler.TaskID{"a"}
			}
			reply, err := e.Renew(msg)
			if err != nil || len(reply.Finished) != n {
				t.Errorf("got %d results and error %v, want %d", len(reply.Finished), err, n)
			}
		}
	})
}

// TestCallsAndVoids guards against a call that runs after its request was voided,
// and against a void that reports a call as not run although it ran.
func TestCallsAndVoids(t *testing.T) {
	host := NewHost(Spec{
		Kind: modeler.KindExecutor, Count: 1, Zone: "z", Address: netip.MustParseAddr("127.0.0.1"),
		Capacity: modeler.Resources{Slots: 1}, Settings: Settings{Service: 20 * time.Millisecond},
	}, nopRegistrar{})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	instance := host.Instances()[0]
	client := connector.NewDialer().Endpoint(instance)
	helloReply, err := client.Hello(t.Context(), messenger.HelloRequest{Term: first, Owner: "o"})
	if err != nil {
		t.Fatal(err)
	}
	msg := messenger.CallRequest{
		Term: first, Session: helloReply.Session, Request: "r", Team: "t", Service: "s", Body: []byte("body"),
	}
	reply, err := client.Call(t.Context(), msg)
	if err != nil {
		t.Fatal(err)
	}
	var echo Echo
	if err := json.Unmarshal(reply.Answer, &echo); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Echo{Service: "s", Team: "t", Request: "r", Body: []byte("body"), Endpoint: instance.ID}, echo); diff != "" {
		t.Error(diff)
	}
	void, err := client.Void(t.Context(), messenger.VoidRequest{Term: first, Team: "t", Request: "r"})
	if err != nil || !void.Ran || string(void.Answer) != string(reply.Answer) {
		t.Errorf("void after the call: got %+v, %v", void, err)
	}
	void, err = client.Void(t.Context(), messenger.VoidRequest{Term: first, Team: "t", Request: "v"})
	if err != nil || void.Ran || void.Running {
		t.Errorf("void before the call: got %+v, %v", void, err)
	}
	msg.Request = "v"
	_, err = client.Call(t.Context(), msg)
	wantError(t, "call after the void", err, messenger.ErrVoided)
}

// TestLostAnswersAndCrash guards against a lost answer whose command took no
// effect, and against an endpoint that keeps its tasks across a crash.
func TestLostAnswersAndCrash(t *testing.T) {
	host := NewHost(Spec{
		Kind: modeler.KindWorker, Count: 1, Zone: "z", Address: netip.MustParseAddr("127.0.0.1"), Capacity: core,
	}, nopRegistrar{})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	instance := host.Instances()[0]
	client := connector.NewDialer().Endpoint(instance)
	helloReply, err := client.Hello(t.Context(), messenger.HelloRequest{Term: first, Owner: "o"})
	if err != nil {
		t.Fatal(err)
	}
	host.endpoints[instance.ID].faults.Set(injector.Faults{LostAnswerShare: 1})
	err = client.Start(t.Context(), start(first, helloReply.Session, "a", "serve"))
	if err == nil || errors.Is(err, messenger.ErrUnsent) {
		t.Errorf("start whose answer was lost: got %v, want an error with an unknown outcome", err)
	}
	control := httptest.NewServer(host.Router())
	defer control.Close()
	for _, action := range []string{"die", "revive"} {
		resp, err := http.Post(control.URL+"/control/endpoints/"+string(instance.ID)+"/"+action, "", nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v", action, resp, err)
		}
		_ = resp.Body.Close()
	}
	helloReply, err = client.Hello(t.Context(), messenger.HelloRequest{Term: first, Owner: "o"})
	if err != nil || len(helloReply.Tasks) != 0 {
		t.Errorf("hello after the crash: got %+v, %v", helloReply, err)
	}
	e := host.endpoints[instance.ID].endpoint
	wanted := []Kind{KindUp, KindHello, KindStart, KindEnd, KindDown, KindUp, KindHello}
	if diff := cmp.Diff(wanted, eventKinds(e)); diff != "" {
		t.Error(diff)
	}
}

// TestOtherEndpointAtAddress guards against an endpoint that answers for another
// one, whose address it has taken over. An owner would conclude that the tasks of
// the other endpoint have ended, and that its requests were not run.
func TestOtherEndpointAtAddress(t *testing.T) {
	host := NewHost(Spec{
		Kind: modeler.KindExecutor, Count: 1, Zone: "z", Address: netip.MustParseAddr("127.0.0.1"), Capacity: modeler.Resources{Slots: 1},
	}, nopRegistrar{})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	moved := host.Instances()[0]
	moved.ID = "moved"
	client := connector.NewDialer().Endpoint(moved)
	if reply, err := client.Hello(t.Context(), messenger.HelloRequest{Term: first, Owner: "o"}); err == nil {
		t.Errorf("hello: got session %d of another endpoint, want an error", reply.Session)
	}
	if reply, err := client.Void(t.Context(), messenger.VoidRequest{Term: first, Team: "t", Request: "r"}); err == nil {
		t.Errorf("void: got %+v of another endpoint, want an error", reply)
	}
}
