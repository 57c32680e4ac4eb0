package executor

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// expect names the header with the endpoint that an order is meant for.
const expect = "X-Greengagewall-Expect-Instance"

// order is the body of every order.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until-ms"`
	Token int64  `json:"fencing-token"`
	Seen  int64  `json:"ack-cursor"`
	Wait  int64  `json:"wait-ms"`
}

// reply is the body of every answer.
type reply struct {
	Clock   int64    `json:"clock-ms"`
	Born    int64    `json:"born"`
	Reason  string   `json:"reason,omitempty"`
	Running [][5]any `json:"running,omitempty"`
	Ended   [][5]any `json:"ended,omitempty"`
}

// Router returns the endpoint's interface.
func (e *Endpoint) Router() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/run-start", e.serve(e.start))
	router.Post("/v1/run-stop", e.serve(e.stop))
	router.Post("/v1/hold", e.serve(e.hold))

	return router
}

// serve decodes an order, checks the endpoint's life and the fencing token, and
// answers with what handle returns: a status and a reason.
func (e *Endpoint) serve(handle func(*http.Request, *order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		e.host.mu.Lock()
		if e.gone {
			e.host.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get(expect) != e.ID {
			e.host.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}
		status, reason := http.StatusConflict, "fence"
		if o.Token >= e.fence {
			e.fence = o.Token
			status, reason = handle(r, &o)
		}
		answer := reply{Clock: e.clock().Milliseconds(), Born: e.born.UnixMilli(), Reason: reason}
		if status == http.StatusOK && r.URL.Path == "/v1/hold" {
			answer.Running, answer.Ended = e.rows()
		}
		e.host.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// The owner has gone when this fails.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// extend renews the lease.
func (e *Endpoint) extend(until int64) {
	e.until = max(e.until, min(time.Duration(until)*time.Millisecond, e.clock()+e.host.leaseMax))
}

// start runs a task; the caller holds the lock.
func (e *Endpoint) start(_ *http.Request, o *order) (int, string) {
	if e.running[o.Task] != nil && e.running[o.Task].number == o.Run {
		return http.StatusOK, ""
	}
	e.host.lapse()
	e.extend(o.Until)
	if o.Run <= e.settled[o.Task] {
		return http.StatusConflict, "old"
	}
	if time.Duration(o.Until)*time.Millisecond <= e.clock() {
		return http.StatusConflict, "late"
	}
	r := &run{task: o.Task, number: o.Run, began: time.Now()}
	work, asked := e.host.ledger.started(job(o.Task), o.Task, o.Spec, e.describe(r))
	if !asked {
		return http.StatusBadRequest, ""
	}
	r.length, r.need, r.gang = work.Length, work.Need, work.Gang
	e.running[o.Task] = r
	var used modeler.Resources
	for _, other := range e.running {
		used = used.Add(other.need)
	}
	if !used.Fits(e.Capacity) {
		e.host.ledger.RecordViolation("endpoint over its capacity", e.ID+" by "+o.Task)
	}
	if work.Gang {
		e.host.gather(r, work.Count)
	}

	return http.StatusOK, ""
}

// stop stops a run; the caller holds the lock.
func (e *Endpoint) stop(_ *http.Request, o *order) (int, string) {
	e.settled[o.Task] = max(e.settled[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run {
		e.finish(r, endStopped)
	}

	return http.StatusOK, ""
}

// hold renews the lease and waits for an end; the caller holds the lock, which
// is given up during the wait.
func (e *Endpoint) hold(r *http.Request, o *order) (int, string) {
	e.host.lapse()
	e.extend(o.Until)
	kept := e.ended[:0]
	for _, row := range e.ended {
		switch {
		case row.number > o.Seen:
			kept = append(kept, row)
		case !row.lapsed:
			e.host.ledger.noted(row.task, row.ending)
		}
	}
	e.ended = kept
	if len(e.ended) > 0 || o.Wait <= 0 {
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

// rows lists what runs and what has ended; the caller holds the lock.
func (e *Endpoint) rows() (running, ended [][5]any) {
	for _, r := range e.running {
		percent := 0
		if !r.gang || r.together {
			percent = int(100 * time.Since(r.began) / max(r.length, 1))
		}
		running = append(running, [5]any{r.task, r.number, "", min(percent, 100), 0})
	}
	for _, row := range e.ended {
		ended = append(ended, [5]any{row.number, row.task, row.run, row.ending.how, ""})
	}

	return running, ended
}
