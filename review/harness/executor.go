package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the executors, from DEPLOY.md and the small sites.
const (
	holdMax    = 6 * time.Second
	stopTime   = 900 * time.Millisecond
	heartbeat  = 1500 * time.Millisecond
	entryLimit = 3 * heartbeat
)

// work is what a task does; it is the JSON text of the job's spec.
type work struct {
	Millis int `json:"ms"`
	// Fail is how many of a task's runs fail by their own fault.
	Fail int `json:"fail,omitempty"`
	// FailAt is after how many milliseconds they fail; 0 means at their end.
	FailAt int `json:"failat,omitempty"`
}

type run struct {
	task     string
	number   int
	started  time.Time
	length   time.Duration
	fails    bool
	stopping time.Time
	cpu      int
}

type end struct {
	number int
	task   string
	run    int
	how    string
	// started is how many runs of the task had begun when this one ended.
	started int
	// lapsed means that the executor's lease has lapsed since the end.
	lapsed bool
}

// executor is a stand-in for one executor. It doesn't guard its capacity.
type executor struct {
	fleet   *fleet
	id      string
	address string
	kind    string
	rack    string
	service string
	cpu     int
	memMB   int

	server   *http.Server
	up       bool
	born     time.Time
	token    int64
	lease    time.Duration
	running  map[string]*run
	ends     []end
	lastEnd  int
	finished map[string]int
	sequence int
	changed  chan struct{}
	lastBeat time.Time
	listed   bool
}

// taskState is what the executors know together about a task.
type taskState struct {
	done   bool
	failed int
	runs   int
	// at is the executor that runs the task, or nil.
	at *executor
	// noted means that an end "done" has been taken note of.
	noted bool
}

// fleet holds all executors and what ran on them.
type fleet struct {
	mu        sync.Mutex
	rec       *recorder
	store     *store
	executors []*executor
	tasks     map[string]*taskState
	jobs      map[string]*job
	quiet     bool
	starts    int
	// twice lists what broke the rule TWICE.
	twice []string
	// onStart is called with the lock held when a run begins.
	onStart func(e *executor, j *job, r *run)
	// lateShare is the share of the starts that get no answer and are carried out 2 to 12 s later.
	lateShare float64
	lateRuns  int
	stop      chan struct{}
}

func newFleet(rec *recorder, st *store) *fleet {
	f := &fleet{rec: rec, store: st, tasks: map[string]*taskState{}, jobs: map[string]*job{}, stop: make(chan struct{})}
	go f.loop()
	return f
}

func (f *fleet) add(id, service, kind, rack string, cpu, memMB int) (*executor, error) {
	e := &executor{fleet: f, id: id, service: service, kind: kind, rack: rack, cpu: cpu, memMB: memMB}
	if err := e.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.executors = append(f.executors, e)
	f.mu.Unlock()
	return e, nil
}

// start begins a new life of the executor and writes its entry at once.
func (e *executor) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.address = listener.Addr().String()
	e.up, e.born, e.token, e.lease = true, time.Now(), 0, 0
	e.running, e.ends, e.lastEnd, e.finished = map[string]*run{}, nil, 0, map[string]int{}
	e.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run-start", e.serve(e.runStart))
	mux.HandleFunc("/v1/run-stop", e.serve(e.runStop))
	mux.HandleFunc("/v1/hold", e.serve(e.hold))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	e.beat()
	// The heartbeats of the executors are not in step.
	e.lastBeat = e.lastBeat.Add(-time.Duration(rand.Int63n(int64(heartbeat))))
	return nil
}

// beat writes the executor's entry; the caller holds the lock.
func (e *executor) beat() {
	e.sequence++
	e.lastBeat, e.listed = time.Now(), true
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "costa-lima", "version": "1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "sequence": e.sequence, "born": e.born.UnixMilli(), "labels": []string{e.kind, e.rack},
		"capacity": map[string]any{"cpu": e.cpu, "mem-mb": e.memMB, "gpu": 0},
	})
	e.fleet.store.put(topicServers, e.id, entry)
}

// crash ends the executor's life; everything that runs there ends.
func (e *executor) crash() {
	e.fleet.mu.Lock()
	e.up = false
	for _, r := range e.running {
		if state := e.fleet.tasks[r.task]; state.at == e {
			state.at = nil
		}
	}
	e.running = map[string]*run{}
	server := e.server
	e.fleet.mu.Unlock()
	_ = server.Close()
}

func (f *fleet) loop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for _, e := range f.executors {
			switch {
			case e.up && time.Since(e.lastBeat) >= heartbeat:
				e.beat()
			case !e.up && e.listed && time.Since(e.lastBeat) >= entryLimit:
				e.listed = false
				f.store.put(topicServers, e.id, nil)
			}
			if e.up {
				e.advance()
			}
		}
		f.mu.Unlock()
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// advance ends the runs that are over; the caller holds the lock.
func (e *executor) advance() {
	lapsed := e.clock() > e.lease
	if lapsed {
		for i := range e.ends {
			e.ends[i].lapsed = true
		}
	}
	for _, r := range e.running {
		switch {
		case lapsed:
			e.finish(r, "lapsed")
		case !r.stopping.IsZero() && time.Since(r.stopping) >= stopTime:
			e.finish(r, "stopped")
		case r.stopping.IsZero() && time.Since(r.started) >= r.length:
			if r.fails {
				e.finish(r, "failed")
			} else {
				e.finish(r, "done")
			}
		}
	}
}

func (e *executor) finish(r *run, how string) {
	delete(e.running, r.task)
	e.finished[r.task] = max(e.finished[r.task], r.number)
	e.lastEnd++
	state := e.fleet.tasks[r.task]
	e.ends = append(e.ends, end{number: e.lastEnd, task: r.task, run: r.number, how: how, started: state.runs})
	if state.at == e {
		state.at = nil
	}
	state.done = state.done || how == "done"
	if how == "failed" {
		state.failed++
	}
	if !e.fleet.quiet {
		e.fleet.rec.note("executor %s (%s): end of %s run %d: %s", e.id, e.kind, r.task, r.number, how)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until-ms"`
	Token int64  `json:"fencing-token"`
	Ack   int    `json:"ack-cursor"`
	Wait  int64  `json:"wait-ms"`
}

func (e *executor) serve(handle func(*http.Request, *order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f := e.fleet
		f.mu.Lock()
		if expected := r.Header.Get("X-Greengagewall-Expect-Instance"); expected != "" && expected != e.id {
			f.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if strings.HasSuffix(r.URL.Path, "/run-start") && rand.Float64() < f.lateShare {
			life := e.born
			f.mu.Unlock()
			time.AfterFunc(2*time.Second+time.Duration(rand.Int63n(int64(10*time.Second))), func() { e.late(r, &o, life) })
			<-r.Context().Done()
			return
		}
		status, reason := http.StatusConflict, "fence"
		if o.Token >= e.token {
			e.token = o.Token
			e.advance()
			status, reason = handle(r, &o)
		}
		answer := map[string]any{"clock-ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
		if reason != "" {
			answer["reason"] = reason
		}
		if status == http.StatusOK && strings.HasSuffix(r.URL.Path, "/hold") {
			running, ended := [][]any{}, [][]any{}
			for _, x := range e.running {
				running = append(running, []any{x.task, x.number, "", min(int(100*time.Since(x.started)/max(x.length, 1)), 100), x.cpu})
			}
			for _, x := range e.ends[:min(len(e.ends), 500)] {
				ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
			}
			answer["running"], answer["ended"] = running, ended
		}
		f.mu.Unlock()
		reply(w, status, answer)
	}
}

func (e *executor) extend(until int64) {
	e.lease = max(e.lease, min(time.Duration(until)*time.Millisecond, e.clock()+holdMax))
}

func (e *executor) runStart(_ *http.Request, o *order) (int, string) {
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		e.extend(o.Until)
		return http.StatusOK, ""
	}
	if time.Duration(o.Until)*time.Millisecond <= e.clock() {
		return http.StatusConflict, "late"
	}
	e.extend(o.Until)
	if o.Run <= e.finished[o.Task] || e.running[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	f := e.fleet
	j := f.jobs[strings.SplitN(o.Task, ".", 2)[0]]
	if j == nil || j.spec != o.Spec {
		f.rec.note("executor %s: start of %s run %d, which nobody sent", e.id, o.Task, o.Run)
		return http.StatusBadRequest, ""
	}
	state := f.tasks[o.Task]
	if state == nil {
		state = &taskState{}
		f.tasks[o.Task] = state
	}
	if state.noted {
		f.twice = append(f.twice, fmt.Sprintf("TWICE: start of %s run %d on %s, whose end done has been taken note of", o.Task, o.Run, e.id))
	}
	if state.at != nil && state.at.up {
		f.twice = append(f.twice, fmt.Sprintf("TWICE: start of %s run %d on %s, while it runs on %s", o.Task, o.Run, e.id, state.at.id))
	}
	state.runs++
	state.at = e
	f.starts++
	r := &run{task: o.Task, number: o.Run, started: time.Now(), length: time.Duration(j.work.Millis) * time.Millisecond, fails: state.failed < j.work.Fail, cpu: j.cpu}
	if r.fails && j.work.FailAt > 0 {
		r.length = time.Duration(j.work.FailAt) * time.Millisecond
	}
	e.running[o.Task] = r
	if !f.quiet {
		f.rec.note("executor %s (%s): start of %s run %d token %d", e.id, e.kind, o.Task, o.Run, o.Token)
	}
	if f.onStart != nil {
		f.onStart(e, j, r)
	}
	return http.StatusOK, ""
}

func (e *executor) runStop(_ *http.Request, o *order) (int, string) {
	e.finished[o.Task] = max(e.finished[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run && r.stopping.IsZero() {
		r.stopping = time.Now()
		if !e.fleet.quiet {
			e.fleet.rec.note("executor %s (%s): stop of %s run %d accepted", e.id, e.kind, o.Task, o.Run)
		}
	}
	return http.StatusOK, ""
}

func (e *executor) hold(r *http.Request, o *order) (int, string) {
	e.extend(o.Until)
	kept := e.ends[:0]
	for _, x := range e.ends {
		if x.number > o.Ack {
			kept = append(kept, x)
			continue
		}
		state := e.fleet.tasks[x.task]
		if x.how != "done" || x.lapsed {
			continue
		}
		state.noted = true
		if state.runs > x.started {
			e.fleet.rec.note("executor %s: end %d of %s run %d, done, is taken note of; the task has been started again since", e.id, x.number, x.task, x.run)
			e.fleet.twice = append(e.fleet.twice, fmt.Sprintf("TWICE: %s has been started again after run %d ended done on %s; that end is now taken note of", x.task, x.run, e.id))
		}
	}
	e.ends = kept
	if len(e.ends) > 0 || o.Wait <= 0 {
		return http.StatusOK, ""
	}
	changed := e.changed
	e.fleet.mu.Unlock()
	timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	e.fleet.mu.Lock()
	return http.StatusOK, ""
}

// unfinished describes the tasks of a job that aren't done, and whether any task runs.
func (f *fleet) unfinished(j *job) (left, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 0; i < j.count; i++ {
		if t := f.tasks[fmt.Sprintf("%s.0.0.%d", j.id, i)]; t == nil || !t.done {
			left++
		}
	}
	for _, e := range f.executors {
		for _, r := range e.running {
			if strings.HasPrefix(r.task, j.id+".") {
				running++
			}
		}
	}
	return left, running
}

// room returns the free and the total cpu of the executors that are up and may run a
// task of the job, and the cpu that the job's tenant uses.
func (f *fleet) room(j *job) (free, total, tenant int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.executors {
		used := 0
		for _, r := range e.running {
			used += r.cpu
			if other := f.jobs[strings.SplitN(r.task, ".", 2)[0]]; other != nil && other.tenant == j.tenant {
				tenant += r.cpu
			}
		}
		if !e.up || e.service != serviceName || j.requires != "" && e.kind != j.requires {
			continue
		}
		free += e.cpu - used
		total += e.cpu
	}
	return free, total, tenant
}

// late carries out a start that got no answer.
func (e *executor) late(r *http.Request, o *order, life time.Time) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up || o.Token < e.token {
		return
	}
	e.token = o.Token
	status, reason := e.runStart(r, o)
	if status == http.StatusOK {
		f.lateRuns++
		f.rec.note("executor %s: late start of %s run %d is carried out; same life %t", e.id, o.Task, o.Run, life.Equal(e.born))
	} else {
		f.rec.note("executor %s: late start of %s run %d is rejected: %d %s; same life %t", e.id, o.Task, o.Run, status, reason, life.Equal(e.born))
	}
}
