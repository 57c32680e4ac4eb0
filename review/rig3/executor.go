package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	listedEnds  = 500
	serviceName = "mapa-humo"
)

type amount struct {
	CPU int `json:"cpu,omitempty"`
	Mem int `json:"mem-mb,omitempty"`
}

// step is a step of a job as the client sends it, with what its tasks do.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Mem          int    `json:"mem-mb,omitempty"`
	Estimate     int    `json:"estimate-ms,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
	LongRunning  bool   `json:"long-running,omitempty"`
	Image        string `json:"image,omitempty"`
	Target       int    `json:"target-ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	After        []int  `json:"after,omitempty"`
	MayMiss      int    `json:"may-miss,omitempty"`
	Gang         bool   `json:"gang,omitempty"`

	length time.Duration
	// failAfter is when the tasks fail by themselves, if it is positive.
	failAfter time.Duration
}

// taskRun is a run of a task on an executor.
type taskRun struct {
	task     string
	run      int
	began    time.Time
	step     *step
	stopping bool
}

type end struct {
	number int
	task   string
	run    int
	how    string
	at     time.Time
	// lapsed means that the lease lapsed after the end was listed.
	lapsed bool
}

// life is what one life of an executor knows.
type life struct {
	born    time.Time
	token   int64
	lease   time.Duration
	running map[string]*taskRun
	ends    []end
	last    int
	ended   map[string]int
	changed chan struct{}
	server  *http.Server
	stop    context.CancelFunc
}

// executor is a stand-in of an executor; it keeps its id and its address over its lives.
type executor struct {
	fleet    *fleet
	id       string
	address  string
	zone     string
	kind     string
	rack     string
	capacity amount
	sequence int
	up       bool
	life     *life
}

// fleet holds all executors, and the tasks as they see them.
type fleet struct {
	log       *journal
	store     *store
	mu        sync.Mutex
	executors []*executor
	jobs      map[string]*job
	tasks     map[string]*task
	starts    int
	failures  int
	// stopTime is how long a stop takes.
	stopTime time.Duration
	// onStart is called at each start, with the lock held.
	onStart func(e *executor, r *taskRun)
}

// task is the state of a task over all executors.
type task struct {
	name string
	step *step
	job  *job
	// running counts its runs on executors that are up.
	running int
	runs    int
	done    bool
	// offSince is when its last run ended.
	offSince time.Time
	// lastStart is when its last run began, and noted means that an end as done was taken note of.
	lastStart time.Time
	noted     bool
}

func newFleet(log *journal, st *store) *fleet {
	return &fleet{log: log, store: st, jobs: map[string]*job{}, tasks: map[string]*task{}, stopTime: 100 * time.Millisecond}
}

func (f *fleet) add(id, zone, kind, rack string, capacity amount) *executor {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	e := &executor{fleet: f, id: id, address: listener.Addr().String(), zone: zone, kind: kind, rack: rack, capacity: capacity}
	f.mu.Lock()
	f.executors = append(f.executors, e)
	f.mu.Unlock()
	e.start(listener)

	return e
}

// start begins a life of the executor. It writes its entry right after it listens.
func (e *executor) start(listener net.Listener) {
	if listener == nil {
		var err error
		for try := 0; try < 50; try++ {
			if listener, err = net.Listen("tcp4", e.address); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if err != nil {
			fail("listen: %v", err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &life{born: time.Now(), running: map[string]*taskRun{}, ended: map[string]int{}, changed: make(chan struct{}), stop: stop}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.serve(l, e.runStart))
	mux.HandleFunc("POST /v1/run-stop", e.serve(l, e.runStop))
	mux.HandleFunc("POST /v1/hold", e.serve(l, e.hold))
	l.server = &http.Server{Handler: mux}
	e.fleet.mu.Lock()
	e.life, e.up = l, true
	e.fleet.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	e.publish(l)
	go e.beat(ctx, l)
	go e.advance(ctx, l)
}

func (e *executor) publish(l *life) {
	e.fleet.mu.Lock()
	if e.life != l || !e.up {
		e.fleet.mu.Unlock()

		return
	}
	e.sequence++
	entry := map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"sequence": e.sequence, "born": l.born.UnixMilli(), "labels": []string{e.kind, e.rack},
		"capacity": map[string]int{"cpu": e.capacity.CPU, "mem-mb": e.capacity.Mem, "gpu": 0},
	}
	e.fleet.mu.Unlock()
	e.fleet.store.put("keyed.servers", e.id, entry)
}

func (e *executor) beat(ctx context.Context, l *life) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
			e.publish(l)
		}
	}
}

// crash ends the executor's life: all that it runs ends, and its connections break.
func (e *executor) crash() {
	f := e.fleet
	f.mu.Lock()
	l := e.life
	e.up = false
	for _, r := range l.running {
		f.endOf(r)
	}
	f.log.printf("executor %s crashes with %d runs", e.id, len(l.running))
	l.running = map[string]*taskRun{}
	f.mu.Unlock()
	l.stop()
	_ = l.server.Close()
}

// gone removes the entry of an executor that is lost for good, after three silent heartbeats.
func (e *executor) gone() {
	e.crash()
	time.AfterFunc(3*heartbeat, func() { e.fleet.store.put("keyed.servers", e.id, nil) })
}

// endOf records that a run has ended; the caller holds the lock.
func (f *fleet) endOf(r *taskRun) {
	t := f.tasks[r.task]
	t.running--
	t.offSince = time.Now()
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// finish ends a run and lists its end; the caller holds the lock.
func (e *executor) finish(l *life, r *taskRun, how string) {
	if l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.ended[r.task] = max(l.ended[r.task], r.run)
	l.last++
	l.ends = append(l.ends, end{l.last, r.task, r.run, how, time.Now(), false})
	e.fleet.endOf(r)
	if how == "done" {
		e.fleet.tasks[r.task].done = true
	}
	if r.step.failAfter > 0 {
		e.fleet.failures++
	} else if r.step.LongRunning || how == "lapsed" {
		e.fleet.log.printf("executor %s: run %d of %s ends %s", e.id, r.run, r.task, how)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// advance ends the runs whose work is done and those whose lease has run out.
func (e *executor) advance(ctx context.Context, l *life) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.fleet.mu.Lock()
		e.lapse(l)
		for _, r := range l.running {
			if r.step.failAfter > 0 && time.Since(r.began) >= r.step.failAfter {
				e.finish(l, r, "failed")

				continue
			}
			if !r.step.LongRunning && time.Since(r.began) >= r.step.length {
				e.finish(l, r, "done")
			}
		}
		e.fleet.mu.Unlock()
	}
}

func (e *executor) lapse(l *life) {
	if l.clock() <= l.lease {
		return
	}
	for i := range l.ends {
		l.ends[i].lapsed = true
	}
	for _, r := range l.running {
		e.finish(l, r, "lapsed")
	}
}

// note records that the end of a run as done was taken note of; the caller holds the lock.
func (f *fleet) note(x end) {
	t := f.tasks[x.task]
	if t.step.LongRunning {
		return
	}
	t.noted = true
	if t.lastStart.After(x.at) {
		f.log.breach("TWICE", "task %s started after its run %d had ended done, which was taken note of", x.task, x.run)
	}
}

// fail ends a lasting run through its own fault, if it is running here.
func (f *fleet) failTask(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.executors {
		if r := e.life.running[name]; e.up && r != nil {
			e.finish(e.life, r, "failed")

			return true
		}
	}

	return false
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until-ms"`
	Token int64  `json:"fencing-token"`
	Ack   int    `json:"ack-cursor"`
	Wait  int    `json:"wait-ms"`
}

// serve decodes an order and checks its instance and its fencing token.
func (e *executor) serve(l *life, handle func(*http.Request, *life, *order, map[string]any) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})

			return
		}
		body := map[string]any{}
		e.fleet.mu.Lock()
		if e.life != l || !e.up {
			e.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("X-Greengagewall-Expect-Instance"); want != "" && want != e.id {
			e.fleet.mu.Unlock()
			reply(w, http.StatusMisdirectedRequest, body)

			return
		}
		status := http.StatusConflict
		if o.Token < l.token {
			body["reason"] = "fence"
		} else {
			l.token = o.Token
			status = handle(r, l, &o, body)
		}
		body["clock-ms"], body["born"] = l.clock().Milliseconds(), l.born.UnixMilli()
		e.fleet.mu.Unlock()
		reply(w, status, body)
	}
}

func (l *life) renew(until int64) {
	l.lease = max(l.lease, min(time.Duration(until)*time.Millisecond, l.clock()+holdMax))
}

func (e *executor) runStart(_ *http.Request, l *life, o *order, body map[string]any) int {
	e.lapse(l)
	if r := l.running[o.Task]; r != nil && r.run == o.Run {
		l.renew(o.Until)

		return http.StatusOK
	}
	if o.Until <= l.clock().Milliseconds() {
		body["reason"] = "late"

		return http.StatusConflict
	}
	l.renew(o.Until)
	if r := l.running[o.Task]; o.Run <= l.ended[o.Task] || r != nil {
		body["reason"] = "old"

		return http.StatusConflict
	}
	f := e.fleet
	t := f.taskOf(o.Task)
	if t == nil || t.job.spec != o.Spec {
		f.log.breach("UNASKED", "executor %s is told to start %s with spec %q, which no client sent", e.id, o.Task, o.Spec)

		return http.StatusBadRequest
	}
	r := &taskRun{task: o.Task, run: o.Run, began: time.Now(), step: t.step}
	l.running[o.Task] = r
	t.running++
	t.runs++
	t.lastStart = r.began
	if t.noted {
		f.log.breach("TWICE", "executor %s starts run %d of task %s, of which an end as done was taken note of", e.id, o.Run, o.Task)
	}
	f.starts++
	if t.running > 1 {
		f.log.breach("TWICE", "task %s runs %d times at once", o.Task, t.running)
	}
	if f.onStart != nil {
		f.onStart(e, r)
	}
	if (t.step.LongRunning || t.step.Fills) && t.step.failAfter == 0 {
		f.log.printf("executor %s starts run %d of %s", e.id, o.Run, o.Task)
	}

	return http.StatusOK
}

// taskOf returns the task with the given name; tasks of jobs that repeat are added when
// they start. The caller holds the lock.
func (f *fleet) taskOf(name string) *task {
	if t := f.tasks[name]; t != nil {
		return t
	}
	var occurrence, s, index int
	id, rest, _ := strings.Cut(name, ".")
	if n, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &s, &index); n != 3 || err != nil {
		return nil
	}
	j := f.jobs[id]
	if j == nil || occurrence >= j.repeats || s >= len(j.steps) || index >= j.steps[s].Count {
		return nil
	}
	if early := time.Until(j.first.Add(time.Duration(occurrence) * j.interval)); early > 250*time.Millisecond {
		f.log.breach("ORDER", "task %s starts %v before its time", name, early)
	}
	t := &task{name: name, step: j.steps[s], job: j}
	f.tasks[name] = t

	return t
}

func (e *executor) runStop(_ *http.Request, l *life, o *order, _ map[string]any) int {
	l.ended[o.Task] = max(l.ended[o.Task], o.Run)
	if r := l.running[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(e.fleet.stopTime, func() {
			e.fleet.mu.Lock()
			defer e.fleet.mu.Unlock()
			if e.life == l && e.up {
				e.finish(l, r, "stopped")
			}
		})
	}

	return http.StatusOK
}

func (e *executor) hold(r *http.Request, l *life, o *order, body map[string]any) int {
	e.lapse(l)
	l.renew(o.Until)
	kept := l.ends[:0]
	if o.Ack > l.last {
		e.fleet.log.printf("executor %s: ack-cursor %d, but this life has listed %d ends, and %d are kept", e.id, o.Ack, l.last, len(l.ends))
	}
	for _, x := range l.ends {
		if x.number > o.Ack {
			kept = append(kept, x)
		} else if x.how == "done" && !x.lapsed {
			e.fleet.note(x)
		}
	}
	l.ends = kept
	if len(l.ends) == 0 && o.Wait > 0 {
		changed := l.changed
		e.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.fleet.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range l.running {
		percent := 100
		if !x.step.LongRunning {
			percent = min(int(100*time.Since(x.began)/max(x.step.length, 1)), 100)
		}
		load := x.step.CPU
		if x.step.Target > 0 {
			load = x.step.Target / 4
		}
		running = append(running, []any{x.task, x.run, "", percent, load})
	}
	for _, x := range l.ends[:min(len(l.ends), listedEnds)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	body["running"], body["ended"] = running, ended

	return http.StatusOK
}

// usage returns what the runs of an executor use; the caller holds the lock.
func (e *executor) usage() amount {
	var used amount
	for _, r := range e.life.running {
		if !r.step.Fills {
			used.CPU += r.step.CPU
		}
		used.Mem += r.step.Mem
	}

	return used
}

// places returns for how many further tasks of a step the executors have room that are up
// and may run it; the caller holds the lock.
func (f *fleet) places(s *step, jobID string) int {
	total := 0
	for _, e := range f.executors {
		if !e.up || s.Requires != "" && s.Requires != e.kind && s.Requires != e.rack {
			continue
		}
		used := e.usage()
		n := 1 << 20
		if s.CPU > 0 && !s.Fills {
			n = min(n, (e.capacity.CPU-used.CPU)/s.CPU)
		}
		if s.Mem > 0 {
			n = min(n, (e.capacity.Mem-used.Mem)/s.Mem)
		}
		if s.AntiAffinity > 0 {
			here := 0
			for _, r := range e.life.running {
				if r.step == s && strings.HasPrefix(r.task, jobID+".") {
					here++
				}
			}
			n = min(n, s.AntiAffinity-here)
		}
		total += max(n, 0)
	}

	return total
}

// share returns the share of the processors of the service that is in use; the caller holds the lock.
func (f *fleet) share() float64 {
	used, all := 0, 0
	for _, e := range f.executors {
		if e.up {
			used += e.usage().CPU
			all += e.capacity.CPU
		}
	}

	return float64(used) / float64(max(all, 1))
}

func (f *fleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.executors {
		if used := e.usage(); used.CPU > e.capacity.CPU || used.Mem > e.capacity.Mem {
			f.log.breach("LIMIT", "executor %s is over its capacity: %+v of %+v", e.id, used, e.capacity)
		}
	}
}

func taskName(id string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index)
}
