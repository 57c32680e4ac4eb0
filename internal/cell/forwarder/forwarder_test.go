package forwarder

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// panickingServer panics in Submit and answers Query.
type panickingServer struct{ Server }

func (panickingServer) Submit(_ context.Context, submission *Submission) (*Reply, error) {
	return &Reply{Count: submission.Job.Steps[0].Count}, nil
}

func (panickingServer) Query(context.Context, *Lookup) (*Reply, error) {
	return &Reply{Outcome: OutcomeDone}, nil
}

// TestPanicEndsOnlyTheCall guards against a malformed message that ends the process.
func TestPanicEndsOnlyTheCall(t *testing.T) {
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(panickingServer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	pool := NewPool()
	defer pool.Close()
	address := netip.MustParseAddrPort(listener.Addr().String())
	if _, err := Call[Submission, Reply](context.Background(), pool, address, "Submit", &Submission{}); status.Code(err) != codes.Internal {
		t.Errorf("call that panics: error %v, want an internal one", err)
	}
	reply, err := Call[Lookup, Reply](context.Background(), pool, address, "Query", &Lookup{})
	if err != nil || reply.Outcome != OutcomeDone {
		t.Errorf("next call: reply %+v, error %v", reply, err)
	}
}

// TestQuestionsBetweenVersions guards against questions to the policy that get lost while
// instances of two versions run: their messages must keep the encoding shown here.
func TestQuestionsBetweenVersions(t *testing.T) {
	type question struct {
		Job              string
		Occurrence, Step int
		Endpoints        []string
		Priority         int
		Timeout          time.Duration
	}
	type advice struct {
		Answered bool
		Tickets  []definer.Ticket
	}
	for _, c := range []struct{ sent, received any }{
		{&question{}, &Question{}}, {&Question{}, &question{}}, {&advice{}, &Advice{}}, {&Advice{}, &advice{}},
	} {
		data, err := codec{}.Marshal(c.sent)
		if err != nil {
			t.Fatal(err)
		}
		if err := (codec{}).Unmarshal(data, c.received); err != nil {
			t.Errorf("%T from %T: %v", c.received, c.sent, err)
		}
	}
}
