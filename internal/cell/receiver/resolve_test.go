package receiver

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/elector"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// TestKeysGoStale guards against a withdrawn key that still works at an
// instance which no longer receives configuration updates, and against callers that
// wait before they try another instance, which may have them.
func TestKeysGoStale(t *testing.T) {
	var asOf definer.Instant
	none := func() time.Duration { return 0 }
	el := elector.New(elector.Settings{Name: "x"}, nil, nil, nil, nil, none, none, hclog.NewNullLogger(), recorder.NewMetrics())
	r := New(Settings{Revocation: 5 * time.Second}, el, func() definer.Instant { return asOf }, hclog.NewNullLogger(), recorder.NewMetrics())
	request := &Request{Host: "host", Path: "/q/job", Key: "key", Arrived: definer.Now()}
	if _, refusal := r.Resolve(request); refusal == nil || refusal.Answer != AnswerUnavailable {
		t.Errorf("without a configuration: %+v, want unavailable", refusal)
	}
	r.Configure(&definer.Configuration{
		Version: 1,
		Routes: []definer.Route{
			{Host: "host", Prefix: "/q/", Queue: definer.Queue{Name: "short"}},
			{Host: "host", Prefix: "/q/open/", Public: true, Queue: definer.Queue{Name: "open"}},
		},
		Accounts: []definer.Account{{Name: "account", Keys: []string{"key"}}},
	})
	public := &Request{Host: "host", Path: "/q/open/job", Arrived: request.Arrived}
	for _, c := range []struct {
		name string
		age  time.Duration
		key  string
		want Answer
	}{
		{"fresh", time.Second, "key", AnswerDone},
		{"unknown key", time.Second, "other", AnswerNoKey},
		{"stale", 5 * time.Second, "key", AnswerUnavailable},
	} {
		asOf = request.Arrived.Add(-c.age)
		request.Key = c.key
		match, refusal := r.Resolve(request)
		got := AnswerDone
		if refusal != nil {
			got = refusal.Answer
		}
		if got != c.want {
			t.Errorf("%s: answer %d, want %d", c.name, got, c.want)
		}
		if got == AnswerDone && (match.Account != "account" || match.Name != "job") {
			t.Errorf("%s: match %+v", c.name, match)
		}
		if match, refusal := r.Resolve(public); refusal != nil || match.Route.Queue.Name != "open" {
			t.Errorf("%s: public route: %+v, %+v; want the longest prefix without a key", c.name, match, refusal)
		}
	}
	if _, refusal := r.Resolve(request); refusal == nil || refusal.RetryAfter != noOwnerRetryAfter {
		t.Errorf("stale, store lost by the owner as well: %+v, want a retry after %v", refusal, noOwnerRetryAfter)
	}
	heartbeat := &forwarder.Heartbeat{Name: "o", IsOwner: true, Term: 1}
	if _, err := el.Exchange(context.Background(), heartbeat); err != nil {
		t.Fatal(err)
	}
	if _, refusal := r.Resolve(request); refusal == nil || refusal.RetryAfter != 0 {
		t.Errorf("stale, store reached by the owner: %+v, want a retry at another instance at once", refusal)
	}
	request.Path = "/other/job"
	if _, refusal := r.Resolve(request); refusal == nil || refusal.Answer != AnswerNoQueue {
		t.Errorf("unknown path: %+v, want no queue", refusal)
	}
}
