package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

// setUp starts a small deployment.
func setUp(rec *recorder, root string, tenants []tenant, entries, executors, cpu int, kind func(int) string, maxAttempts int) (*cluster, error) {
	c, err := newCluster(rec, root, tenants)
	if err != nil {
		return nil, err
	}
	c.publish(maxAttempts)
	for n := 0; n < executors; n++ {
		if _, err := c.fleet.add(fmt.Sprintf("i-%03d-%04x", n, rand.Intn(1<<16)), serviceName, kind(n), fmt.Sprintf("r1-%d", n/8), cpu, 4*cpu); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.startEntries(entries); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func alternate(n int) string { return []string{"a", "b"}[n%2] }

// traffic submits small jobs of a tenant until stop is closed.
type traffic struct {
	mu   sync.Mutex
	jobs []*job
	wait sync.WaitGroup
}

func (t *traffic) run(c *cluster, tn tenant, w work, count, cpu int, every time.Duration, requires string, stop <-chan struct{}) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		j := newJob(tn, w, count, cpu)
		j.requires = requires
		t.mu.Lock()
		t.jobs = append(t.jobs, j)
		t.mu.Unlock()
		t.wait.Add(1)
		go func() {
			defer t.wait.Done()
			c.submit(j, time.Time{})
		}()
	}
}

const (
	// largeTasks is the number of tasks of the large job.
	largeTasks = 30000
	// recoveryTime is recovery-s.
	recoveryTime = 12 * time.Second
)

// largeJob submits one job of many short tasks. Without the trouble the same tasks come
// as 100 jobs. The day ends with the final fault kill_all in both cases.
func largeJob(rec *recorder, root string, trouble bool) ([]string, error) {
	batch, small := tenant{"batch", "k-batch", 1000, 120000}, tenant{"lookups", "k-lookups", 1000, 120000}
	c, err := setUp(rec, root, []tenant{batch, small}, 7, 9, 16000, alternate, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.fleet.quiet = true
	before, after := &traffic{}, &traffic{}
	stop := make(chan struct{})
	go before.run(c, small, work{Millis: 200}, 2, 1000, 500*time.Millisecond, "", stop)
	time.Sleep(15 * time.Second)
	var group sync.WaitGroup
	parts := 1
	if !trouble {
		parts = 100
	}
	for n := 0; n < parts; n++ {
		j := newJob(batch, work{Millis: 60}, largeTasks/parts, 500)
		group.Add(1)
		go func() {
			defer group.Done()
			c.submit(j, time.Now().Add(20*time.Second))
		}()
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); {
		time.Sleep(time.Second)
		rec.note("executors: %d starts so far", c.starts())
	}
	close(stop)
	group.Wait()
	before.wait.Wait()
	servedBefore := c.served(before.jobs)
	for _, e := range c.entries {
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
	rec.note("platform: all processes are killed")
	time.Sleep(1200 * time.Millisecond)
	for _, e := range c.entries {
		if err := c.startProcess(e); err != nil {
			return nil, err
		}
	}
	time.Sleep(recoveryTime)
	stop = make(chan struct{})
	go after.run(c, small, work{Millis: 200}, 2, 1000, 500*time.Millisecond, "", stop)
	time.Sleep(15 * time.Second)
	close(stop)
	after.wait.Wait()
	time.Sleep(finishTime)
	servedAfter := c.served(after.jobs)
	rec.note("check: %d of %d jobs were served before the final fault, %d of %d of those sent %s after the machines were back", servedBefore, len(before.jobs), servedAfter, len(after.jobs), recoveryTime)
	var broken []string
	if 4*servedBefore >= len(before.jobs) && 4*servedAfter < len(after.jobs) {
		broken = append(broken, fmt.Sprintf("RECOVER: of the %d jobs sent later than %s after the machines were back, %d were served; before the final fault %d of %d were", len(after.jobs), recoveryTime, servedAfter, servedBefore, len(before.jobs)))
	}
	return broken, nil
}

// served returns how many of the jobs were accepted and are shown as completed.
func (c *cluster) served(jobs []*job) int {
	count := 0
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		if shown, _ := c.state(j); shown == "completed" {
			count++
		}
	}
	return count
}

// soleEndpoint submits 49 jobs and a lasting one that only one executor may run. The
// first run of one of the 50 tasks, and of the lasting one, fails by the task's own fault.
func soleEndpoint(rec *recorder, root string, trouble bool) ([]string, error) {
	t := tenant{"forecasts", "k-forecasts", 1000, 96000}
	kind := func(n int) string {
		if n == 0 {
			return "b"
		}
		return "a"
	}
	c, err := setUp(rec, root, []tenant{t}, 3, 10, 16000, kind, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	time.Sleep(2 * time.Second)
	var jobs []*job
	for n := 0; n < 50; n++ {
		w := work{Millis: 500}
		if trouble && n == 20 {
			w.Fail = 1
		}
		j := newJob(t, w, 1, 1000)
		j.requires = "b"
		jobs = append(jobs, j)
		c.submit(j, time.Time{})
		time.Sleep(100 * time.Millisecond)
	}
	lasting := newJob(t, work{Millis: 3600000}, 1, 1000)
	if trouble {
		// The first run of the task works for 2 s, then it fails.
		lasting = newJob(t, work{Millis: 3600000, FailAt: 2000, Fail: 1}, 1, 1000)
	}
	lasting.requires, lasting.longRunning = "b", true
	c.submit(lasting, time.Time{})
	rec.note("client: end of the traffic")
	time.Sleep(finishTime)
	return c.checkLost(append(jobs, lasting)), nil
}

// changedKind lets one executor at a time crash and start again under its id and at its
// address with the other kind, while jobs that require a kind wait. Without the trouble
// it starts again with the kind that it had.
func changedKind(rec *recorder, root string, trouble bool) ([]string, error) {
	t := tenant{"forecasts", "k-forecasts", 1000, 0}
	c, err := setUp(rec, root, []tenant{t}, 3, 10, 16000, alternate, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var broken []string
	c.fleet.onStart = func(e *executor, j *job, r *run) {
		if j.requires != "" && e.kind != j.requires {
			broken = append(broken, fmt.Sprintf("ROUTE: %s run %d, which requires %s, is started on %s of kind %s, %d ms after the start of its life", r.task, r.number, j.requires, e.id, e.kind, e.clock().Milliseconds()))
		}
	}
	stop := make(chan struct{})
	load := &traffic{}
	go load.run(c, t, work{Millis: 1000}, 3, 2000, 80*time.Millisecond, "a", stop)
	go load.run(c, t, work{Millis: 1000}, 3, 2000, 80*time.Millisecond, "b", stop)
	time.Sleep(5 * time.Second)
	for n := 0; n < 12; n++ {
		c.fleet.mu.Lock()
		e := c.fleet.executors[n%len(c.fleet.executors)]
		c.fleet.mu.Unlock()
		rec.note("executor %s (%s) crashes", e.id, e.kind)
		e.crash()
		time.Sleep(time.Second + time.Duration(rand.Int63n(int64(2*time.Second))))
		if trouble {
			c.fleet.mu.Lock()
			e.kind = map[string]string{"a": "b", "b": "a"}[e.kind]
			c.fleet.mu.Unlock()
		}
		if err := e.start(e.address); err != nil {
			return nil, err
		}
		rec.note("executor %s starts again, of kind %s", e.id, e.kind)
		time.Sleep(4 * time.Second)
	}
	close(stop)
	load.wait.Wait()
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return broken, nil
}

// manyEnds freezes the owner for 3.5 s while several hundred runs end on each executor. An
// executor lists 500 ends at a time.
func manyEnds(rec *recorder, root string, trouble bool) ([]string, error) {
	t := tenant{"forecasts", "k-forecasts", 1000, 0}
	c, err := setUp(rec, root, []tenant{t}, 7, 3, 64000, alternate, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.fleet.quiet = true
	var jobs []*job
	for round := 0; round < 3; round++ {
		time.Sleep(2 * time.Second)
		before := c.starts()
		for n := 0; n < 30; n++ {
			j := newJob(t, work{Millis: 3000}, 60, 100)
			jobs = append(jobs, j)
			go c.submit(j, time.Time{})
		}
		for until := time.Now().Add(2 * time.Second); c.starts() < before+1800 && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		rec.note("executors: %d of 1800 tasks have been started", c.starts()-before)
		time.Sleep(1800 * time.Millisecond)
		owner := c.owner()
		if trouble {
			rec.note("platform: %s, which owns the cell, freezes", owner.name)
			_ = owner.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			_ = owner.cmd.Process.Signal(syscall.SIGCONT)
			rec.note("platform: %s wakes", owner.name)
		}
		time.Sleep(12 * time.Second)
		rec.note("executors: %d starts of 1800 tasks", c.starts()-before)
	}
	c.fleet.mu.Lock()
	broken := c.fleet.twice
	c.fleet.mu.Unlock()
	return append(broken, c.checkLost(jobs)...), nil
}

func (c *cluster) starts() int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.starts
}

// foreignEntries leaves entries of a service that the configuration does not name among
// those of the executors.
func foreignEntries(rec *recorder, root string, trouble bool) ([]string, error) {
	t := tenant{"forecasts", "k-forecasts", 1000, 96000}
	c, err := setUp(rec, root, []tenant{t}, 3, 3, 16000, alternate, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	stop := make(chan struct{})
	load := &traffic{}
	go load.run(c, t, work{Millis: 1500}, 2, 1000, 250*time.Millisecond, "", stop)
	time.Sleep(6 * time.Second)
	if trouble {
		for n := 0; n < 3; n++ {
			entry, _ := json.Marshal(map[string]any{
				"service": "otra-red", "address": fmt.Sprintf("127.0.0.%d:9", 20+n), "zone": "costa-lima", "version": "1", "slots": 8, "state": "ready",
				"cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "labels": []string{"a", "r9-1"},
				"capacity": map[string]any{"cpu": 16000, "mem-mb": 65536, "gpu": 0},
			})
			c.store.put(topicServers, fmt.Sprintf("x-%03d", n), entry)
		}
		rec.note("another writer leaves 3 entries of the service otra-red, which the configuration does not name")
	}
	time.Sleep(20 * time.Second)
	close(stop)
	load.wait.Wait()
	rec.note("client: end of the traffic")
	time.Sleep(finishTime)
	return c.checkLost(load.jobs), nil
}

// cancelledRuns kills the owner right after it has acknowledged a cancellation, and
// watches what the tenant has running.
func cancelledRuns(rec *recorder, root string, trouble bool) ([]string, error) {
	const capCPU = 48000
	t := tenant{"forecasts", "k-forecasts", 1000, capCPU}
	c, err := setUp(rec, root, []tenant{t}, 3, 9, 16000, alternate, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var broken []string
	worst := 0
	c.fleet.onStart = func(e *executor, j *job, r *run) {
		used := 0
		for _, other := range c.fleet.executors {
			for _, x := range other.running {
				used += x.cpu
			}
		}
		limit := capCPU + capCPU/10 + j.cpu
		if used > worst {
			worst = used
		}
		if used > limit {
			broken = append(broken, fmt.Sprintf("QUOTA: the start of %s run %d on %s brings the tenant to %d cpu, the limit is %d", r.task, r.number, e.id, used, limit))
		}
	}
	for round := 0; round < 6; round++ {
		first := newJob(t, work{Millis: 60000}, 12, 4000)
		c.submit(first, time.Time{})
		time.Sleep(1500 * time.Millisecond)
		next := newJob(t, work{Millis: 60000}, 12, 4000)
		c.submit(next, time.Time{})
		time.Sleep(500 * time.Millisecond)
		owner := c.owner()
		var other *entry
		for _, e := range c.entries {
			if e != owner {
				other = e
			}
		}
		status, _, _ := c.call(other, "DELETE", first, nil)
		if trouble {
			_ = owner.cmd.Process.Signal(syscall.SIGKILL)
		}
		rec.note("client: DELETE %s at %s: %d; owner is %s, killed %t", first.id, other.name, status, owner.name, trouble)
		if trouble {
			<-owner.ended
			time.Sleep(time.Second)
			if err := c.startProcess(owner); err != nil {
				return nil, err
			}
		}
		third := newJob(t, work{Millis: 60000}, 12, 4000)
		c.submit(third, time.Time{})
		time.Sleep(9 * time.Second)
		for _, j := range []*job{next, third} {
			status, _, _ := c.call(other, "DELETE", j, nil)
			rec.note("client: DELETE %s: %d", j.id, status)
		}
		time.Sleep(2 * time.Second)
	}
	rec.note("most that the tenant had running: %d", worst)
	return broken, nil
}

// lateStarts lets one executor at a time crash and start again under its id, while half of the
// starts of 1.3 s get no answer and are carried out 2 to 12 s later, also by a later life. It
// goes beyond the users' pages, by which a later life knows nothing of before, and is no case.
func lateStarts(rec *recorder, root string, trouble bool) ([]string, error) {
	t := tenant{"forecasts", "k-forecasts", 1000, 0}
	c, err := setUp(rec, root, []tenant{t}, 3, 10, 16000, alternate, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.fleet.quiet = true
	time.Sleep(2 * time.Second)
	for n := 0; n < 9; n++ {
		c.fleet.mu.Lock()
		if trouble {
			c.fleet.lateShare = 0.5
		}
		e := c.fleet.executors[n%10]
		c.fleet.mu.Unlock()
		for i := 0; i < 10; i++ {
			j := newJob(t, work{Millis: 5000}, 60, 200)
			go c.submit(j, time.Time{})
		}
		time.Sleep(1300 * time.Millisecond)
		c.fleet.mu.Lock()
		c.fleet.lateShare = 0
		c.fleet.mu.Unlock()
		if trouble {
			rec.note("executor %s crashes", e.id)
			e.crash()
			time.Sleep(1000 * time.Millisecond)
			if err := e.start(e.address); err != nil {
				return nil, err
			}
			rec.note("executor %s starts again", e.id)
		}
		time.Sleep(8 * time.Second)
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.twice, nil
}
