package executor

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// expectHeader is the header that names the endpoint an order is addressed to.
const expectHeader = "X-Greengagewall-Expect-Instance"

// order is the body of a request to the endpoint.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	LeaseEnd     int64  `json:"until-ms"`
	Token        int64  `json:"fencing-token"`
	Acknowledged int64  `json:"ack-cursor"`
	Wait         int64  `json:"wait-ms"`
	Ticket       string `json:"ticket"`
}

// reply is the body of a response of the endpoint.
type reply struct {
	Clock   int64    `json:"clock-ms"`
	Born    int64    `json:"born"`
	Reason  string   `json:"reason,omitempty"`
	Running [][5]any `json:"running,omitempty"`
	Ended   [][5]any `json:"ended,omitempty"`
}

// Router returns the endpoint's HTTP handler.
func (e *Endpoint) Router() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/run-start", e.serve(e.start))
	router.Post("/v1/run-stop", e.serve(e.stop))
	router.Post("/v1/hold", e.serve(e.hold))

	return router
}

// serve returns a handler that decodes an order, checks its endpoint and its
// fencing token, and answers with the status and the reason that handle returns.
// A removed endpoint closes the connection without an answer.
func (e *Endpoint) serve(handle func(*http.Request, *order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		e.host.mu.Lock()
		if e.removed {
			e.host.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get(expectHeader) != e.ID {
			e.host.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}
		status, reason := http.StatusConflict, "fence"
		if o.Token >= e.token {
			e.token = o.Token
			status, reason = handle(r, &o)
		}
		answer := reply{Clock: e.clock().Milliseconds(), Born: e.born.UnixMilli(), Reason: reason}
		if status == http.StatusOK && r.URL.Path == "/v1/hold" {
			answer.Running, answer.Ended = e.listRuns()
		}
		e.host.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error means that the owner has closed the connection.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// renewLease extends the lease to a time in milliseconds of the endpoint's
// clock, but not beyond the host's leaseMax from the present.
func (e *Endpoint) renewLease(until int64) {
	e.leaseEnd = max(e.leaseEnd, min(time.Duration(until)*time.Millisecond, e.clock()+e.host.leaseMax))
}

// start starts a run of a task; the caller holds the lock.
func (e *Endpoint) start(_ *http.Request, o *order) (int, string) {
	if e.running[o.Task] != nil && e.running[o.Task].number == o.Run {
		return http.StatusOK, ""
	}
	e.host.expireLeases()
	if o.Run > e.lastFinishedRun[o.Task] && !e.mayStart(o) {
		return http.StatusConflict, reasonTicket
	}
	e.renewLease(o.LeaseEnd)
	if o.Run <= e.lastFinishedRun[o.Task] {
		return http.StatusConflict, "old"
	}
	if time.Duration(o.LeaseEnd)*time.Millisecond <= e.clock() {
		return http.StatusConflict, "late"
	}
	r := &run{task: o.Task, number: o.Run, startedAt: time.Now()}
	work, known := e.host.ledger.recordStart(jobID(o.Task), o.Task, o.Spec, e.describe(r))
	if !known {
		return http.StatusBadRequest, ""
	}
	if e.host.onStart != nil {
		e.host.onStart(e.ID, o.Task)
	}
	r.duration, r.need, r.gang = work.Length, work.Need, work.Gang
	e.running[o.Task] = r
	e.checkLoad(o.Task, work.PerEndpoint)
	if work.Gang {
		e.host.startGangWork(r, work.Count)
	}

	return http.StatusOK, ""
}

// checkLoad checks the endpoint after the start of a task against its capacity and
// the limit of the task's step; the caller holds the lock.
func (e *Endpoint) checkLoad(started string, limit int) {
	var used modeler.Resources
	ofStep := 0
	for _, other := range e.running {
		used = used.Add(other.need)
		if stepID(other.task) == stepID(started) {
			ofStep++
		}
	}
	if !used.Fits(e.Capacity) {
		e.host.ledger.RecordViolation("endpoint over its capacity", e.ID+" by "+started)
	}
	if limit <= 0 {
		return
	}
	e.host.ledger.CountCheck("limit of a step on an endpoint")
	if ofStep > limit {
		e.host.ledger.RecordViolation("step over its limit on an endpoint", fmt.Sprintf("%s runs %d of at most %d by %s", e.ID, ofStep, limit, started))
	}
}

// stop stops a run; the caller holds the lock.
func (e *Endpoint) stop(_ *http.Request, o *order) (int, string) {
	e.lastFinishedRun[o.Task] = max(e.lastFinishedRun[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run {
		e.finish(r, endStopped)
	}

	return http.StatusOK, ""
}

// hold renews the lease, drops acknowledged ends, and waits until a run ends if
// no end is listed. The caller holds the lock, which is released during the wait.
func (e *Endpoint) hold(r *http.Request, o *order) (int, string) {
	e.host.expireLeases()
	e.renewLease(o.LeaseEnd)
	kept := e.ends[:0]
	for _, end := range e.ends {
		switch {
		case end.number > o.Acknowledged:
			kept = append(kept, end)
		case !end.leaseExpired:
			e.host.ledger.recordAcknowledgement(end.task, end.result)
		}
	}
	e.ends = kept
	if len(e.ends) > 0 || o.Wait <= 0 {
		return http.StatusOK, ""
	}
	changed := e.changed
	e.host.mu.Unlock()
	timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	e.host.mu.Lock()

	return http.StatusOK, ""
}

// maxListedEnds is how many ends an endpoint lists at a time; the next ones follow once
// these are acknowledged.
const maxListedEnds = 500

// listRuns returns the runs in progress, each with the percentage of its duration
// that has passed, and the first ends that are not acknowledged; the caller holds the
// lock.
func (e *Endpoint) listRuns() (running, ended [][5]any) {
	for _, r := range e.running {
		percent := 0
		if !r.gang || r.allMembersRunning {
			percent = int(100 * time.Since(r.startedAt) / max(r.duration, 1))
		}
		running = append(running, [5]any{r.task, r.number, "", min(percent, 100), 0})
	}
	for _, end := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, [5]any{end.number, end.task, end.run, end.result.outcome, ""})
	}

	return running, ended
}
