package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func problemHandler(outcome, retry string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problemMediaType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"outcome":"`+outcome+`","code":"overload","retry":"`+retry+`"}`)
	}
}

// TestOutcomes guards against outcomes that no answer stated, and against a
// refusal taken as final after an attempt whose outcome is unknown.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		handler  http.HandlerFunc
		outcome  modeler.Outcome
		attempts int
		known    bool
	}{
		{"refused permanently", problemHandler("not run", ""), modeler.OutcomeNotRun, 1, true},
		{"refused, retry later", problemHandler("not run", "10ms"), modeler.OutcomeNotRun, 3, true},
		{"unknown", problemHandler("unknown", ""), modeler.OutcomeUnknown, 3, false},
		{"ran", problemHandler("ran", ""), modeler.OutcomeRan, 1, false},
		{"no problem", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, modeler.OutcomeUnknown, 3, false},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, modeler.OutcomeUnknown, 3, false},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		}, modeler.OutcomeUnknown, 3, false},
		{"answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") }, "", 1, true},
	} {
		pool := NewPool([]netip.AddrPort{serve(t, c.handler)}, time.Second)
		result := pool.Send(t.Context(), NewCallRequest("s", "secret", "key", nil), 3)
		if result.Last.Outcome != c.outcome || len(result.Answers) != c.attempts || result.OutcomesKnown != c.known {
			t.Errorf("%s: outcome %q after %d attempts, outcomes known %v; want %q, %d, %v", c.name,
				result.Last.Outcome, len(result.Answers), result.OutcomesKnown, c.outcome, c.attempts, c.known)
		}
	}
}

// TestRecorderMergesResentCalls guards against a resent call that is verified as
// a separate call.
func TestRecorderMergesResentCalls(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") })
	recorder := NewRecorder(NewPool([]netip.AddrPort{address}, time.Second), modeler.Resources{})
	for range 2 {
		recorder.Call(t.Context(), Team{Name: "t"}, Service{Name: "s"}, "key", nil, 1)
	}
	if calls := recorder.Calls(); len(calls) != 1 || len(calls[0].Answers) != 2 {
		t.Errorf("got %+v, want one call with two answers", calls)
	}
}
