package executor

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

const (
	// maxWaitingQuestions is the number of waiting questions of one machine from which further ones are refused.
	maxWaitingQuestions = 32
	// maxAskedEndpoints is the maximum number of endpoints in a question.
	maxAskedEndpoints = 100
	// reasonTicket is the reason of an endpoint that refuses a start without a valid ticket.
	reasonTicket = "ticket"
)

// Policy describes the placement policy of a queue. The zero value means that the queue has none.
type Policy struct {
	// Decide and Each are the time of a decision and the additional time for each endpoint of the question.
	Decide, Each time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
	// Admitted is the share of the endpoints that may run a step.
	Admitted float64
}

// Exists reports whether the queue has a policy.
func (p Policy) Exists() bool { return p != Policy{} }

// admits reports whether the policy lets an endpoint run a step. The answer for a step and an endpoint never changes.
func (p Policy) admits(step, endpoint string) bool {
	return !p.Exists() || float64(xxhash.Sum64String(step+"/"+endpoint)) < p.Admitted*math.MaxUint64
}

// stepID returns the id of the step that a task belongs to.
func stepID(task string) string { return task[:max(strings.LastIndexByte(task, '.'), 0)] }

// question is the body of a request to the policy service, and advice that of its answer.
type question struct {
	Step      string   `json:"step"`
	Endpoints []string `json:"workers"`
}

type advice struct {
	Good [][2]string `json:"good"`
}

// policyLine answers the questions of one machine, one at a time and in their order.
type policyLine struct {
	host *Host
	// turn holds a value while a question is being decided; waiting holds one for each question that waits for its turn.
	turn    chan struct{}
	waiting chan struct{}
}

// PolicyRouter returns a handler of the policy service for one calling machine.
func (h *Host) PolicyRouter() http.Handler {
	line := &policyLine{host: h, turn: make(chan struct{}, 1), waiting: make(chan struct{}, maxWaitingQuestions)}
	router := chi.NewRouter()
	router.Post("/v1/advise", line.serve)

	return router
}

// serve answers a question once those before it are decided.
func (l *policyLine) serve(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Endpoints) > maxAskedEndpoints {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	policy := l.host.ledger.policyOf(jobID(q.Step))
	if !policy.Exists() {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	if !l.awaitTurn(w, r) {
		return
	}
	// A question whose caller has left is decided all the same.
	time.Sleep(policy.Decide + time.Duration(len(q.Endpoints))*policy.Each)
	answer := l.host.advise(policy, q)
	<-l.turn
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(answer)
}

// awaitTurn waits until the question may be decided. It reports false if too many wait or its caller has left.
func (l *policyLine) awaitTurn(w http.ResponseWriter, r *http.Request) bool {
	select {
	case l.turn <- struct{}{}:
		return true
	default:
	}
	select {
	case l.waiting <- struct{}{}:
	default:
		l.host.ledger.CountCheck("question refused because too many wait")
		w.WriteHeader(http.StatusTooManyRequests)

		return false
	}
	defer func() { <-l.waiting }()
	select {
	case l.turn <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// advise returns the tickets for the endpoints that may run the step of a question.
func (h *Host) advise(policy Policy, q question) advice {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.CountCheck("question answered")
	answer := advice{Good: [][2]string{}}
	for _, id := range q.Endpoints {
		if e := h.find(id); e != nil && policy.admits(q.Step, id) {
			answer.Good = append(answer.Good, [2]string{id, e.ticket(q.Step, time.Since(h.began).Milliseconds())})
		}
	}

	return answer
}

// find returns the endpoint with an id, or nil; the caller holds the lock.
func (h *Host) find(id string) *Endpoint {
	for _, e := range h.endpoints {
		if e.ID == id && !e.removed {
			return e
		}
	}

	return nil
}

// ticket returns the ticket for a step on the present life of the endpoint, issued at a time in milliseconds of
// the host's clock; the caller holds the lock.
func (e *Endpoint) ticket(step string, issuedMs int64) string {
	return fmt.Sprintf("%d.%016x", issuedMs, xxhash.Sum64String(fmt.Sprint(step, e.ID, e.born.UnixNano(), issuedMs)))
}

// mayStart reports whether a start carries a valid ticket, if the queue of its job has a policy; the caller holds
// the lock.
func (e *Endpoint) mayStart(o *order) bool {
	policy := e.host.ledger.policyOf(jobID(o.Task))
	if !policy.Exists() {
		return true
	}
	e.host.ledger.CountCheck("start with a ticket")
	text, _, _ := strings.Cut(o.Ticket, ".")
	issuedMs, err := strconv.ParseInt(text, 10, 64)
	valid := err == nil && o.Ticket == e.ticket(stepID(o.Task), issuedMs) &&
		time.Since(e.host.began) <= time.Duration(issuedMs)*time.Millisecond+policy.Validity
	if !valid {
		e.host.ledger.CountCheck("start refused for its ticket")
	}

	return valid
}

// policyOf returns the policy of a job's queue; an unknown job has none.
func (l *Ledger) policyOf(job string) Policy {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[job]; j != nil {
		return j.Policy
	}

	return Policy{}
}
