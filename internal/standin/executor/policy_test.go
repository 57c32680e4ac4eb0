package executor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// testPolicy admits all endpoints for a short time.
var testPolicy = Policy{Decide: time.Millisecond, Validity: time.Minute, Admitted: 1}

// newPolicyHost returns a host with endpoints e0, e1 and so on, each for four tasks of the accepted job j.
func newPolicyHost(work Work, endpoints int) *Host {
	ledger := NewLedger(map[string]modeler.Resources{"account": {Millis: 100}}, time.Second)
	work.Account, work.Spec, work.Attempts, work.Need = "account", specText, 3, modeler.Resources{Millis: 1}
	ledger.Expect(jobName, work)
	ledger.RecordAccepted(jobName)
	host := NewHost(ledger, time.Minute, time.Minute)
	for n := range endpoints {
		host.Add(fmt.Sprintf("e%d", n), modeler.Resources{Millis: 4})
	}

	return host
}

// post sends a request to a handler and decodes the body of the answer into target.
func post(t *testing.T, handler http.Handler, path, endpoint string, body, target any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data))
	request.Header.Set(expectHeader, endpoint)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if recorder.Body.Len() > 0 {
		if err := json.Unmarshal(recorder.Body.Bytes(), target); err != nil {
			t.Fatal(err)
		}
	}

	return recorder.Code
}

// startTask orders a start of a task of a step of the job on an endpoint.
func startTask(t *testing.T, e *Endpoint, step, index int, ticket string) (status int, reason string) {
	t.Helper()
	var answer reply
	order := order{Task: taskID(jobName, step, index), Run: 1, Spec: specText, LeaseEnd: 60000, Token: 1, Ticket: ticket}
	status = post(t, e.Router(), "/v1/run-start", e.ID, order, &answer)

	return status, answer.Reason
}

// askPolicy asks about endpoints for a step and returns the tickets by endpoint.
func askPolicy(t *testing.T, h *Host, step string, endpoints ...string) map[string]string {
	t.Helper()
	var answer advice
	if status := post(t, h.PolicyRouter(), "/v1/advise", "", question{step, endpoints}, &answer); status != http.StatusOK {
		t.Fatalf("question answered with %d", status)
	}
	tickets := map[string]string{}
	for _, row := range answer.Good {
		tickets[row[0]] = row[1]
	}

	return tickets
}

// TestTicket guards against endpoints that accept a ticket for another step or endpoint, for an earlier life, or
// that has expired, and against those that refuse a valid one.
func TestTicket(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(h *Host, tickets map[string]string) (ticket string)
		want    int
	}{
		{"valid", func(_ *Host, tickets map[string]string) string { return tickets["e0"] }, http.StatusOK},
		{"none", func(*Host, map[string]string) string { return "" }, http.StatusConflict},
		{"of another endpoint", func(_ *Host, tickets map[string]string) string { return tickets["e1"] }, http.StatusConflict},
		{"of another step", func(h *Host, _ map[string]string) string {
			return askPolicy(t, h, jobName+".0.1", "e0")["e0"]
		}, http.StatusConflict},
		{"of an earlier life", func(h *Host, tickets map[string]string) string {
			h.endpoints[0].Crash(true)

			return tickets["e0"]
		}, http.StatusConflict},
		{"expired", func(h *Host, tickets map[string]string) string {
			h.began = h.began.Add(-2 * testPolicy.Validity)

			return tickets["e0"]
		}, http.StatusConflict},
	} {
		h := newPolicyHost(Work{Count: 1, Steps: 2, Policy: testPolicy}, 2)
		ticket := c.prepare(h, askPolicy(t, h, jobName+".0.0", "e0", "e1"))
		status, reason := startTask(t, h.endpoints[0], 0, 0, ticket)
		if status != c.want || status == http.StatusConflict && reason != reasonTicket {
			t.Errorf("%s: start answered with %d %q, want %d", c.name, status, reason, c.want)
		}
		if status == http.StatusConflict && (h.endpoints[0].leaseEnd != 0 || h.ledger.checks["start"] != 0) {
			t.Errorf("%s: a refused start took effect", c.name)
		}
	}
}

// TestPolicyChoice guards against a policy that changes its choice for a step and an endpoint, or admits another
// share of the endpoints than it should.
func TestPolicyChoice(t *testing.T) {
	policy := testPolicy
	policy.Admitted = 0.25
	h := newPolicyHost(Work{Count: 1, Policy: policy}, maxAskedEndpoints)
	ids := make([]string, 0, len(h.endpoints))
	for _, e := range h.endpoints {
		ids = append(ids, e.ID)
	}
	first, second := askPolicy(t, h, jobName+".0.0", ids...), askPolicy(t, h, jobName+".0.0", ids...)
	if len(first) < 15 || len(first) > 35 {
		t.Errorf("%d of %d endpoints admitted", len(first), len(ids))
	}
	for _, id := range ids {
		if (first[id] == "") != (second[id] == "") {
			t.Errorf("the choice for %s changes", id)
		}
	}
}

// TestPolicyLine guards against a policy service that decides several questions of one machine at the same time,
// keeps the questions of another machine waiting, or queues more of them than it should.
func TestPolicyLine(t *testing.T) {
	const questions = maxWaitingQuestions + 8
	h := newPolicyHost(Work{Count: 1, Policy: testPolicy}, 1)
	line := &policyLine{host: h, turn: make(chan struct{}, 1), waiting: make(chan struct{}, maxWaitingQuestions)}
	line.turn <- struct{}{}
	statuses := make(chan int, questions)
	var group sync.WaitGroup
	for range questions {
		group.Go(func() {
			var answer advice
			statuses <- post(t, http.HandlerFunc(line.serve), "/v1/advise", "", question{jobName + ".0.0", []string{"e0"}}, &answer)
		})
	}
	for range questions - maxWaitingQuestions {
		select {
		case status := <-statuses:
			if status != http.StatusTooManyRequests {
				t.Errorf("question answered with %d while another is decided", status)
			}
		case <-time.After(5 * time.Second):
			t.Error("too many questions wait")
		}
	}
	askPolicy(t, h, jobName+".0.0", "e0")
	<-line.turn
	group.Wait()
	close(statuses)
	for status := range statuses {
		if status != http.StatusOK {
			t.Errorf("waiting question answered with %d", status)
		}
	}
}

// TestPolicyDecisionTime guards against answers before the time of the decision.
func TestPolicyDecisionTime(t *testing.T) {
	policy := testPolicy
	policy.Decide, policy.Each = 10*time.Millisecond, 5*time.Millisecond
	h := newPolicyHost(Work{Count: 1, Policy: policy}, 2)
	began := time.Now()
	askPolicy(t, h, jobName+".0.0", "e0", "e1")
	if took := time.Since(began); took < 20*time.Millisecond {
		t.Errorf("answered after %s", took)
	}
}

// TestStepLimits guards against endpoints that start more tasks of a step than its limit, or a step before the one
// before it is done, without a violation.
func TestStepLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		starts [][2]int
		want   string
	}{
		{"at the limit", [][2]int{{0, 0}, {0, 1}}, ""},
		{"beyond the limit", [][2]int{{0, 0}, {0, 1}, {0, 2}}, "step over its limit on an endpoint"},
		{"second step too early", [][2]int{{1, 0}}, "task starts before the step before it is done"},
		{"no such step", [][2]int{{2, 0}}, "start that nobody asked for"},
		{"no such task", [][2]int{{0, 3}}, "start that nobody asked for"},
	} {
		h := newPolicyHost(Work{Count: 3, Steps: 2, PerEndpoint: 2, Length: time.Minute}, 1)
		for _, start := range c.starts {
			startTask(t, h.endpoints[0], start[0], start[1], "")
		}
		got := strings.Join(h.ledger.Violations(), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.want)
		}
	}
}
