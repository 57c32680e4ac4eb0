package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	leaseMax      = 6 * time.Second
	stopTime      = 100 * time.Millisecond
	checkInterval = 10 * time.Millisecond
	maxListedEnds = 500
	// crashDelay is the time from a start to the crash that it causes, and darkTime how long the executor is then silent.
	crashDelay = 100 * time.Millisecond
	darkTime   = 4500 * time.Millisecond
)

// executor is a sound executor that does not guard its capacity. It keeps to fencing
// tokens and leases.
type executor struct {
	id, address, kind string
	rig               *rig

	mu        sync.Mutex
	born      time.Time
	darkUntil time.Time
	// unhealthyUntil is until when the executor refuses starts with 503.
	unhealthyUntil time.Time
	token          int64
	leaseEnd       time.Duration
	running        map[string]*taskRun
	// highest holds the highest run of each task that was stopped or has ended.
	highest map[string]int
	ends    []end
	lastEnd int64
	// changed is closed and replaced when a run ends.
	changed    chan struct{}
	heartbeats int
}

// taskRun is a run in progress. One without a duration lasts until it is stopped.
type taskRun struct {
	number   int
	began    time.Time
	duration time.Duration
	stopAt   time.Time
}

// end is an end that has not been taken note of.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// newExecutor returns an executor. A third of all are of kind a, the others of kind b.
func newExecutor(r *rig, number int) *executor {
	kind := "b"
	if number < executors/3 {
		kind = "a"
	}

	return &executor{
		id: fmt.Sprintf("ex-%d", number), kind: kind, rig: r, born: time.Now(), running: map[string]*taskRun{}, highest: map[string]int{},
		changed: make(chan struct{}),
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// loop ends runs.
func (e *executor) loop() {
	for {
		time.Sleep(checkInterval)
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// loopHeartbeats writes the executor's entry to the store.
func (e *executor) loopHeartbeats() {
	for {
		e.mu.Lock()
		dark := e.isDark()
		e.heartbeats++
		entry, err := json.Marshal(map[string]any{
			"service": "work", "address": e.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"sequence": e.heartbeats, "born": e.born.UnixMilli(), "labels": []string{e.kind, "r1-1"},
			"capacity": map[string]any{"cpu": executorMillis, "mem-mb": executorMemoryMB, "gpu": 0},
		})
		e.mu.Unlock()
		if err != nil {
			panic(err)
		}
		if !dark {
			e.rig.store.put(topicExecutors, e.id, entry)
		}
		time.Sleep(heartbeat)
	}
}

func (e *executor) isDark() bool { return time.Now().Before(e.darkUntil) }

func (e *executor) isIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.running) == 0
}

// makeUnhealthy makes the executor refuse starts for unhealthyTime.
func (e *executor) makeUnhealthy() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unhealthyUntil = time.Now().Add(unhealthyTime)
	e.rig.log("%s is unhealthy for %v", e.id, unhealthyTime)
}

// crash ends all runs. The executor is silent for darkTime and then starts again under its id.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for task, r := range e.running {
		e.rig.note("%s loses %s, run %d", e.id, task, r.number)
		e.rig.change(task, func(j *jobRuns) { j.running-- })
	}
	e.darkUntil = time.Now().Add(darkTime)
	e.born, e.token, e.leaseEnd, e.lastEnd, e.ends = e.darkUntil, 0, 0, 0, nil
	e.running, e.highest = map[string]*taskRun{}, map[string]int{}
	e.rig.log("%s crashes and is silent for %v", e.id, darkTime)
}

// advance ends the runs whose time or lease is over; the caller holds the lock.
func (e *executor) advance() {
	lapsed := e.clock() > e.leaseEnd
	for task, r := range e.running {
		switch {
		case lapsed:
			e.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			e.end(task, r, "stopped")
		case r.duration > 0 && time.Since(r.began) >= r.duration:
			e.end(task, r, "done")
		}
	}
}

func (e *executor) end(task string, r *taskRun, how string) {
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.number)
	e.lastEnd++
	e.rig.note("%s ends %s, run %d: %s", e.id, task, r.number, how)
	e.ends = append(e.ends, end{e.lastEnd, task, r.number, how})
	e.rig.change(task, func(j *jobRuns) {
		j.running--
		if how == "done" {
			j.done++
		}
	})
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of an order.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until-ms"`
	Token int64  `json:"fencing-token"`
	Ack   int64  `json:"ack-cursor"`
	Wait  int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.dropWhileDark(r) {
		panic(http.ErrAbortHandler)
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	if r.Header.Get("X-Greengagewall-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	e.mu.Lock()
	e.advance()
	status, reason := http.StatusConflict, "fence"
	if o.Token >= e.token {
		e.token = o.Token
		switch r.URL.Path {
		case "/v1/run-start":
			status, reason = e.start(&o)
		case "/v1/run-stop":
			status, reason = e.stop(&o)
		case "/v1/hold":
			status, reason = e.hold(r, &o)
		default:
			status, reason = http.StatusNotFound, ""
		}
	}
	answer := map[string]any{"clock-ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	if reason != "" {
		answer["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == "/v1/hold" {
		answer["running"], answer["ended"] = e.lists()
	}
	dark := e.isDark()
	e.mu.Unlock()
	if dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

// dropWhileDark waits while the executor is silent and reports whether the caller has given up.
func (e *executor) dropWhileDark(r *http.Request) bool {
	for {
		e.mu.Lock()
		dark := e.isDark()
		e.mu.Unlock()
		if !dark {
			return r.Context().Err() != nil
		}
		time.Sleep(checkInterval)
	}
}

func (e *executor) renew(until int64) {
	e.leaseEnd = max(e.leaseEnd, min(time.Duration(until)*time.Millisecond, e.clock()+leaseMax))
}

func (e *executor) start(o *order) (int, string) {
	if run := e.running[o.Task]; run != nil && run.number == o.Run {
		return http.StatusOK, ""
	}
	if time.Now().Before(e.unhealthyUntil) {
		return http.StatusServiceUnavailable, ""
	}
	e.renew(o.Until)
	if o.Run <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if time.Duration(o.Until)*time.Millisecond <= e.clock() {
		return http.StatusConflict, "late"
	}
	e.running[o.Task] = &taskRun{number: o.Run, began: time.Now(), duration: durationOf(o.Spec)}
	starts := 0
	e.rig.change(o.Task, func(j *jobRuns) {
		j.starts++
		j.running++
		starts = j.starts
	})
	e.rig.note("%s starts %s, run %d, fencing-token %d; start %d of its job", e.id, o.Task, o.Run, o.Token, starts)
	if e.rig.crashes(o.Task) {
		time.AfterFunc(crashDelay, e.crash)
	}

	return http.StatusOK, ""
}

func (e *executor) stop(o *order) (int, string) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if run := e.running[o.Task]; run != nil && run.number <= o.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
	}

	return http.StatusOK, ""
}

// hold renews the lease, forgets the ends that are taken note of, and waits for an end if none is listed. The caller
// holds the lock, which is released during the wait.
func (e *executor) hold(r *http.Request, o *order) (int, string) {
	e.renew(o.Until)
	for len(e.ends) > 0 && e.ends[0].number <= o.Ack {
		e.rig.change(e.ends[0].task, func(j *jobRuns) { j.noted++ })
		e.ends = e.ends[1:]
	}
	if len(e.ends) > 0 || o.Wait <= 0 {
		return http.StatusOK, ""
	}
	changed := e.changed
	e.mu.Unlock()
	timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	e.mu.Lock()

	return http.StatusOK, ""
}

// lists returns the runs in progress and the first ends that are not taken note of.
func (e *executor) lists() (running, ended [][5]any) {
	running, ended = [][5]any{}, [][5]any{}
	for task, r := range e.running {
		percent := 100
		if r.duration > 0 {
			percent = min(int(100*time.Since(r.began)/r.duration), 100)
		}
		running = append(running, [5]any{task, r.number, "", percent, 0})
	}
	for _, end := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, [5]any{end.number, end.task, end.run, end.how, ""})
	}

	return running, ended
}

// durationOf reads the duration of a task from the spec of its job, "ms=N".
func durationOf(spec string) time.Duration {
	_, text, _ := strings.Cut(spec, "ms=")
	ms, _ := strconv.Atoi(text)

	return time.Duration(ms) * time.Millisecond
}
