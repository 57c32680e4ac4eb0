// Rig3 runs the cases of the third review: entry instances of a cell as separate processes
// against stand-ins of the users' platform, executors and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

func main() {
	cases := map[string]func(c *cell, trouble bool){"large": caseLarge, "lasting": caseLasting, "fills": caseFills, "kind": caseKind, "quota": caseQuota, "recurring": caseRecurring, "minutely": caseMinutely, "ids": caseIDs, "failures": caseFailures, "renamed": caseRenamed, "held": caseHeld, "crashing": caseCrashing}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE DIR, in the repository root")
		os.Exit(2)
	}
	c := newCell(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.close()
		os.Exit(2)
	}()
	time.AfterFunc(118*time.Second, func() { fail("no result after 118 s") })
	trouble := os.Getenv("TROUBLE") != "0"
	c.log.printf("case %s, trouble %t", os.Args[1], trouble)
	cases[os.Args[1]](c, trouble)
}

const (
	finish    = 14 * time.Second
	standing  = 3 * time.Second
	calm      = 4 * time.Second
	restartIn = 6 * time.Second
)

// addExecutors adds executors of a kind on racks of eight.
func (c *cell) addExecutors(count int, kind string) {
	for range count {
		n := len(c.fleet.executors)
		c.fleet.add(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "costa-lima", kind, fmt.Sprintf("r1-%d", n/8+1), amount{CPU: 16000, Mem: 65536})
	}
}

// load sends jobs at a steady rate until stop is closed.
func (c *cell) load(perSecond int, stop <-chan struct{}, make func() *job, done *sync.WaitGroup) {
	defer done.Done()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		j := make()
		done.Add(1)
		go func() {
			defer done.Done()
			c.submit(n, j, "")
		}()
	}
}

// lookup is an ordinary small job.
func (c *cell) lookup(requires string) *job {
	return c.newJob("/lookup/", &step{Count: 2, CPU: 1400, Mem: 2900, Estimate: 640, Requires: requires, length: 640 * time.Millisecond})
}

var lookupRoute = route{name: "aq-lookup", prefix: "/lookup/", priority: 0, stretch: 1.5, target: 600, attempts: 4}

// doneOf returns how many tasks of a job are done and how many run, and the step of one whose
// turn has come and that doesn't, or nil; the caller holds the lock.
func (f *fleet) doneOf(j *job) (done, running, all int, waiting *step) {
	open := make([]bool, len(j.steps))
	for s, def := range j.steps {
		ready := true
		for _, before := range def.After {
			ready = ready && !open[before]
		}
		for index := range def.Count {
			t := f.tasks[taskName(j.id, 0, s, index)]
			all++
			open[s] = open[s] || !t.done
			switch {
			case t.done:
				done++
			case t.running > 0:
				running++
			case ready:
				waiting = def
			}
		}
	}

	return done, running, all, waiting
}

// maxAsking bounds the time in which jobs are asked for, so that a script ends in time.
const maxAsking = 3 * time.Second

// checkEnd asks for all accepted jobs finish_s after the end of the traffic, and looks for 3 s
// for jobs that stand.
func (c *cell) checkEnd() {
	time.Sleep(finish)
	jobs := c.acceptedJobs()
	c.log.printf("finish_s after the traffic: %d accepted jobs are asked for", len(jobs))
	standingSince := map[*job]time.Time{}
	reported := map[*job]bool{}
	for began := time.Now(); time.Since(began) < standing+500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		c.fleet.mu.Lock()
		share := c.fleet.share()
		for _, j := range jobs {
			done, running, all, waiting := c.fleet.doneOf(j)
			if done == all || running > 0 || waiting == nil || j.cancelled || share >= 0.5 || c.fleet.places(waiting, j.id) < 2 {
				delete(standingSince, j)

				continue
			}
			if standingSince[j].IsZero() {
				standingSince[j] = time.Now()
			}
			if time.Since(standingSince[j]) >= standing && !reported[j] {
				reported[j] = true
				c.log.breach("LOST", "job %s (%s) has nothing running for 3 s, %d of %d tasks done; %.2f of the service is in use, room for %d more of its tasks", j.id, j.route, done, all, share, c.fleet.places(waiting, j.id))
			}
		}
		c.fleet.mu.Unlock()
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	var mu sync.Mutex
	answers := map[string]int{}
	asking := time.Now()
	for n, j := range jobs {
		if time.Since(asking) > maxAsking {
			c.log.printf("%d jobs aren't asked for, since the answers take too long", len(jobs)-n)

			break
		}
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; group.Done() }()
			status, state := 0, ""
			for try := range 2 {
				if status, state = c.state(n+try, j); status == 200 || status == 410 {
					break
				}
			}
			mu.Lock()
			answers[fmt.Sprintf("%d %s", status, state)]++
			mu.Unlock()
			if status != 200 {
				c.log.breach("LOST", "job %s, accepted at %.3f s: GET -> %d", j.id, j.accepted.Sub(c.log.began).Seconds(), status)
			}
		}()
	}
	group.Wait()
	c.log.printf("answers for the accepted jobs: %v", answers)
}

// caseRecurring: a job of 60 tasks that is due every 3 s, and was for 22 minutes when it is
// handed in. Without trouble, the same tasks come as jobs that repeat six times.
func caseRecurring(c *cell, trouble bool) {
	const width, times, each = 60, 440, 6
	c.night(10, 8*time.Second, 48, func() []*job {
		jobs, repeats := (times+each-1)/each, each
		if trouble {
			jobs, repeats = 1, 100000
		}
		var list []*job
		for n := range jobs {
			j := c.newJob("/night/", &step{Count: width, CPU: 100, Mem: 100, Estimate: 300, length: 300 * time.Millisecond})
			j.interval, j.repeats = 3*time.Second, repeats
			j.first = time.Now().Add(-time.Duration(times-n*each) * j.interval).Truncate(time.Millisecond)
			list = append(list, j)
		}

		return list
	})
}

// caseMinutely: a job that is due once a minute, whose first-ms is left out. Without trouble, it is due from now on.
func caseMinutely(c *cell, trouble bool) {
	go c.watchMemory()
	c.night(10, 8*time.Second, 28, func() []*job {
		j := c.newJob("/night/", &step{Count: 1, CPU: 980, Mem: 2800, Estimate: 300, length: 300 * time.Millisecond})
		j.first, j.interval, j.repeats = time.UnixMilli(0), time.Minute, 1000000
		if !trouble {
			j.first = time.Now().Truncate(time.Millisecond)
		}

		return []*job{j}
	})
}

// watchMemory does what the platform does to a process that exceeds memory-mb: it is killed, and started again.
func (c *cell) watchMemory() {
	for {
		time.Sleep(50 * time.Millisecond)
		for _, e := range c.entries {
			e.mu.Lock()
			running := !e.ended && !e.closing && e.cmd != nil
			e.mu.Unlock()
			if !running {
				continue
			}
			if used := residentMB(e.cmd.Process.Pid); used > memoryMB {
				e.mu.Lock()
				e.closing = true
				e.kills++
				e.mu.Unlock()
				c.log.breach("Fault", "%s has %d MB, more than memory-mb %d, and is killed", e.name, used, memoryMB)
				_ = e.cmd.Process.Kill()
				time.AfterFunc(2*time.Second, func() {
					e.mu.Lock()
					e.ended, e.closing = false, false
					e.mu.Unlock()
					c.startProcess(e)
				})
			}
		}
	}
}

const memoryMB = 284

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident int
	if err == nil {
		_, _ = fmt.Sscan(string(data), &size, &resident)
	}

	return resident * os.Getpagesize() >> 20
}

// caseLarge: one large job. Without trouble, the same tasks come as 25 jobs.
func caseLarge(c *cell, trouble bool) {
	const tasks = 25000
	c.night(10, 8*time.Second, 48, func() []*job {
		jobs := 25
		if trouble {
			jobs = 1
		}
		var list []*job
		for range jobs {
			list = append(list, c.newJob("/night/", &step{Count: tasks / jobs, CPU: 20, Mem: 1, Estimate: 300, length: 300 * time.Millisecond}))
		}

		return list
	})
}

// night hands jobs in among ordinary ones, of which rate come a second, from settle before to the given time after them, and checks that all jobs are done and all ends are taken note of.
func (c *cell) night(rate int, settle time.Duration, seconds int, jobs func() []*job) {
	c.configure([]route{lookupRoute, {name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}})
	c.addExecutors(14, "a")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(2)
	go c.load(rate, stop, c.ordinary, &done)
	cancels := &cancels{}
	go cancels.run(c, stop, &done)
	time.Sleep(settle)
	list := map[*job]bool{}
	for n, j := range jobs() {
		list[j] = true
		c.submit(n, j, "night job")
	}
	for n := range seconds / 4 {
		time.Sleep(4 * time.Second)
		c.fleet.mu.Lock()
		ended := 0
		for _, t := range c.fleet.tasks {
			if list[t.job] && t.done {
				ended++
			}
		}
		refused, largest := c.store.refusals()
		c.log.printf("%d s: %d tasks of the night jobs have ended done, %d runs of jobs that last have failed; largest record %d bytes, %d appends refused by the size", 4*(n+1), ended, c.fleet.failures, largest, refused)
		c.fleet.mu.Unlock()
	}
	close(stop)
	c.over.Store(true)
	done.Wait()
	c.log.printf("the traffic ends")
	c.checkEnd()
	cancels.check(c)
	c.checkEnds()
	c.conclude("LOST", "Acks", "Fault")
}

// ordinary is a lookup or a job of two steps.
func (c *cell) ordinary() *job {
	first := &step{Count: 2, CPU: 980, Mem: 2800, Estimate: 900, length: 900 * time.Millisecond}
	second := &step{Count: 2, CPU: 980, Mem: 2800, Estimate: 900, After: []int{0}, length: 900 * time.Millisecond}

	return c.newJob("/lookup/", first, second)
}

// cancels submits a longer job each second and cancels it half a second after its acceptance.
type cancels struct {
	mu          sync.Mutex
	sent, acked int
}

const ackTime = 5 * time.Second

func (k *cancels) run(c *cell, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		done.Add(1)
		go func() {
			defer done.Done()
			k.one(c, n)
		}()
	}
}

func (k *cancels) one(c *cell, n int) {
	j := c.newJob("/lookup/", &step{Count: 2, CPU: 980, Mem: 2800, Estimate: 5000, length: 5 * time.Second})
	if !c.submit(n, j, "") {
		return
	}
	time.Sleep(500 * time.Millisecond)
	c.fleet.mu.Lock()
	j.cancelled = true
	c.fleet.mu.Unlock()
	k.mu.Lock()
	k.sent++
	k.mu.Unlock()
	for began, try := time.Now(), 0; time.Since(began) < ackTime; try++ {
		status, _ := c.call(n+try, "DELETE", j.route+j.id, nil)
		if status == 200 || status == 410 {
			k.mu.Lock()
			k.acked++
			k.mu.Unlock()

			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.log.printf("the cancel of %s has no 2xx or 410 after %v", j.id, ackTime)
}

func (k *cancels) check(c *cell) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.log.printf("cancels of accepted jobs: %d, acknowledged within ack-ms: %d", k.sent, k.acked)
	if missed := k.sent - k.acked; missed >= 3 && missed*10 > k.sent {
		c.log.breach("Acks", "%d of %d cancels of accepted jobs have no 2xx or 410 after ack-ms", missed, k.sent)
	}
}

// checkEnds counts the ends that executors list for longer than ack-ms.
func (c *cell) checkEnds() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	all, old := 0, 0
	for _, e := range c.fleet.executors {
		all += e.life.last
		for _, x := range e.life.ends {
			if time.Since(x.at) > ackTime {
				old++
			}
		}
	}
	c.log.printf("ends listed by the executors: %d, not taken note of after ack-ms: %d", all, old)
	if old*5 > all {
		c.log.breach("Acks", "%d of %d ends that executors list aren't taken note of after ack-ms", old, all)
	}
}

// refusals returns how many appends were refused because of their size, and the size of the largest record.
func (s *store) refusals() (refused, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.refused, s.largest
}

// watchLasting checks that a task that lasts is started again, until stop is closed: not at
// work from 6 s after its last run, for 3 s in which there is room for it twice over, with no
// disruption in these 3 s and the 4 s before.
func (c *cell) watchLasting(stop <-chan struct{}, disturbed *time.Time, jobs ...*job) {
	since := map[string]time.Time{}
	reported := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c.fleet.mu.Lock()
		for _, j := range jobs {
			for s, def := range j.steps {
				for index := range def.Count {
					t := c.fleet.tasks[taskName(j.id, 0, s, index)]
					if j.accepted.IsZero() || t.running > 0 || time.Since(t.offSince) < restartIn || time.Since(j.accepted) < restartIn ||
						time.Since(*disturbed) < calm || c.fleet.places(def, j.id) < 2 {
						delete(since, t.name)

						continue
					}
					if since[t.name].IsZero() {
						since[t.name] = time.Now()
					}
					if time.Since(since[t.name]) >= standing && !reported[t.name] {
						reported[t.name] = true
						c.log.breach("LOST", "task %s, which lasts, is not at work since %.3f s; room for %d such tasks, %.2f of the service is in use",
							t.name, t.offSince.Sub(c.log.began).Seconds(), c.fleet.places(def, j.id), c.fleet.share())
					}
				}
			}
		}
		c.fleet.mu.Unlock()
	}
}

func (c *cell) awaitRunning(j *job, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c.fleet.mu.Lock()
		_, running, all, _ := c.fleet.doneOf(j)
		c.fleet.mu.Unlock()
		if running == all {
			c.log.printf("all %d tasks of %s are at work", all, j.id)

			return
		}
	}
	fail("the tasks of %s are not at work", j.id)
}

// caseLasting: tasks of a job that lasts fail one after the other while a job waits that can never be done.
func caseLasting(c *cell, trouble bool) {
	c.configure([]route{lookupRoute, {name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}})
	c.addExecutors(10, "a")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	lasting := c.newJob("/lookup/", &step{Count: 8, CPU: 6000, Mem: 2900, Estimate: 1000, LongRunning: true})
	c.submit(0, lasting, "job that lasts")
	c.awaitRunning(lasting, 10*time.Second)
	disturbed := time.Time{}
	stop := make(chan struct{})
	go c.watchLasting(stop, &disturbed, lasting)
	time.Sleep(12 * time.Second)
	batch := c.newJob("/night/", &step{Count: 60, CPU: 2900, Mem: 2800, Estimate: 2200, length: 2200 * time.Millisecond})
	if trouble {
		batch.steps[0].Requires = "kind-that-no-executor-has"
	}
	c.submit(1, batch, "batch job")
	time.Sleep(12 * time.Second)
	for index := range 6 {
		if !c.fleet.failTask(taskName(lasting.id, 0, 0, index)) {
			c.log.printf("task %d is not at work", index)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(16 * time.Second)
	close(stop)
	c.fleet.check()
	c.conclude("LOST")
}

// caseFills: a job whose tasks fill beside one whose tasks serve; executors are lost.
func caseFills(c *cell, trouble bool) {
	c.configure([]route{lookupRoute, {name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}})
	c.addExecutors(14, "a")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	serving := c.newJob("/lookup/", &step{Count: 12, CPU: 2000, Mem: 2900, Estimate: 1000, LongRunning: true, AntiAffinity: 1, Image: "web", Target: 200, MayMiss: 1})
	c.submit(0, serving, "job that serves")
	c.awaitRunning(serving, 10*time.Second)
	filling := c.newJob("/night/", &step{Count: 2, CPU: 1000, Mem: 1000, Estimate: 1000, LongRunning: true, AntiAffinity: 1, Image: "fill", Fills: true})
	c.submit(1, filling, "job that fills")
	c.awaitRunning(filling, 10*time.Second)
	disturbed := time.Time{}
	stop := make(chan struct{})
	go c.watchLasting(stop, &disturbed, serving, filling)
	time.Sleep(5 * time.Second)
	if trouble {
		lost := 0
		for _, e := range c.fleet.executors {
			c.fleet.mu.Lock()
			fills := false
			for _, r := range e.life.running {
				fills = fills || r.step.Fills
			}
			c.fleet.mu.Unlock()
			if fills && lost < 2 {
				lost++
				e.gone()
			}
		}
		c.fleet.mu.Lock()
		disturbed = time.Now()
		c.fleet.mu.Unlock()
		c.log.printf("%d of 14 executors are lost for good", lost)
	}
	time.Sleep(30 * time.Second)
	close(stop)
	c.fleet.check()
	c.conclude("LOST")
}

// caseKind: executors crash and start again under their ids as another kind.
func caseKind(c *cell, trouble bool) {
	c.configure([]route{lookupRoute})
	c.addExecutors(7, "a")
	c.addExecutors(7, "b")
	c.fleet.onStart = func(e *executor, r *taskRun) {
		if r.step.Requires != "" && r.step.Requires != e.kind {
			c.log.breach("ROUTE", "task %s, which requires %q, starts on %s of kind %q, %.3f s after the executor's start", r.task, r.step.Requires, e.id, e.kind, time.Since(e.life.born).Seconds())
		}
	}
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(2)
	go c.load(25, stop, func() *job { return c.lookup("a") }, &done)
	go c.load(25, stop, func() *job { return c.lookup("b") }, &done)
	for round := range 6 {
		time.Sleep(6 * time.Second)
		if !trouble {
			continue
		}
		first, second := c.fleet.executors[round], c.fleet.executors[7+round]
		first.crash()
		second.crash()
		time.Sleep(2 * time.Second)
		first.kind, second.kind = second.kind, first.kind
		c.log.printf("%s is back as kind %q, %s as kind %q", first.id, first.kind, second.id, second.kind)
		first.start(nil)
		second.start(nil)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	done.Wait()
	c.fleet.check()
	c.conclude("ROUTE")
}

// caseQuota: a tenant at its cap cancels a job, and the owner is stopped as planned work right after.
func caseQuota(c *cell, trouble bool) {
	const limit = 100000
	c.limit = limit
	c.configure([]route{lookupRoute, {name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}})
	c.addExecutors(14, "a")
	c.fleet.stopTime = 800 * time.Millisecond
	c.fleet.onStart = func(e *executor, r *taskRun) {
		used := 0
		for _, other := range c.fleet.executors {
			if other.up {
				used += other.usage().CPU
			}
		}
		if bound := limit + limit/10 + r.step.CPU; used > bound {
			c.log.breach("QUOTA", "with the start of %s on %s the tenant has %d running, above %d", r.task, e.id, used, bound)
		}
	}
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	batch := func() *job {
		return c.newJob("/night/", &step{Count: 32, CPU: 2900, Mem: 2800, Estimate: 5400, length: 12 * time.Second})
	}
	for round := range 5 {
		first, second := batch(), batch()
		c.submit(round, first, "first job")
		c.awaitRunning(first, 10*time.Second)
		c.submit(round+1, second, "second job, beyond the cap")
		time.Sleep(1500 * time.Millisecond)
		status, _ := c.call(round, "DELETE", first.route+first.id, nil)
		c.log.printf("DELETE %s -> %d", first.id, status)
		if trouble {
			c.restartOwner()
		}
		time.Sleep(3 * time.Second)
		status, _ = c.call(round, "DELETE", second.route+second.id, nil)
		c.log.printf("DELETE %s -> %d", second.id, status)
		time.Sleep(5 * time.Second)
	}
	c.fleet.check()
	c.conclude("QUOTA")
}

// restartOwner sends SIGTERM to the instance that wrote last to the store as the owner, and
// starts it again once it has ended, or after grace_s.
func (c *cell) restartOwner() {
	owner := c.store.owner()
	for _, e := range c.entries {
		if e.name != owner {
			continue
		}
		e.mu.Lock()
		e.closing = true
		e.mu.Unlock()
		process := e.cmd.Process
		_ = process.Signal(syscall.SIGTERM)
		c.log.printf("SIGTERM to %s, the owner", e.name)
		go func() {
			for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
				e.mu.Lock()
				ended := e.ended
				e.mu.Unlock()
				if ended {
					break
				}
			}
			_ = process.Kill()
			time.Sleep(200 * time.Millisecond)
			e.mu.Lock()
			e.ended, e.closing = false, false
			e.mu.Unlock()
			c.startProcess(e)
		}()

		return
	}
	fail("the owner is not known")
}

// caseIDs: two tenants, each with a queue of its own, choose the same ids. Without trouble, the ids differ.
func caseIDs(c *cell, trouble bool) {
	const pairs = 20
	c.twoTenants = true
	c.configure([]route{lookupRoute, {name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}})
	c.addExecutors(14, "a")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	work := func() *step {
		return &step{Count: 2, CPU: 980, Mem: 2800, Estimate: 2200, length: 2200 * time.Millisecond}
	}
	var accepted []*job
	for n := range pairs {
		first := c.newJob("/lookup/", work())
		var second *job
		if trouble {
			// Its tasks have the names of those of the first job: only their spec tells whose they are.
			second = &job{id: first.id, route: "/night/", spec: "spec of the other tenant, " + first.id, steps: []*step{work()}}
		} else {
			second = c.newJob("/night/", work())
		}
		c.submit(n, first, "first tenant, "+first.route)
		if c.submit(n+1, second, "second tenant, "+second.route) {
			second.accepted = time.Now()
			accepted = append(accepted, second)
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(visible + time.Second)
	for n, j := range accepted {
		status, state := c.state(n, j)
		c.log.printf("GET %s%s -> %d %s", j.route, j.id, status, state)
		if status == 410 {
			c.log.breach("LOST", "job %s%s, accepted at %.3f s and not cancelled: GET -> 410", j.route, j.id, j.accepted.Sub(c.log.began).Seconds())
		}
	}
	c.conclude("LOST")
}

const visible = 3 * time.Second

// caseFailures: tasks that last fail by themselves, one after the other, on one of the two executors of their kind;
// the other one is full with a task that lasts. Without trouble, none fails.
func caseFailures(c *cell, trouble bool) {
	c.configure([]route{lookupRoute, {name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}})
	c.addExecutors(12, "a")
	c.addExecutors(2, "b")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	disturbed := time.Time{}
	stop := make(chan struct{})
	var jobs []*job
	for n, cpu := range []int{15000, 3000, 3000, 3000} {
		j := c.newJob("/lookup/", &step{Count: 1, CPU: cpu, Mem: 2900, Estimate: 1000, LongRunning: true, Requires: "b"})
		c.submit(n, j, "job that lasts")
		c.awaitRunning(j, 10*time.Second)
		jobs = append(jobs, j)
	}
	go c.watchLasting(stop, &disturbed, jobs...)
	time.Sleep(8 * time.Second)
	for n := range 6 {
		if trouble && !c.fleet.failTask(taskName(jobs[1+n%3].id, 0, 0, 0)) {
			c.log.printf("task %s is not at work", taskName(jobs[1+n%3].id, 0, 0, 0))
		}
		time.Sleep(13 * time.Second)
	}
	close(stop)
	c.fleet.check()
	c.conclude("LOST")
}

// caseRenamed: a configuration gives a route another name; host, path prefix and all else stay. Without trouble, it
// changes only its version.
func caseRenamed(c *cell, trouble bool) {
	night := route{name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3}
	c.configure([]route{lookupRoute, night})
	c.addExecutors(14, "a")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	var jobs []*job
	for n := range 10 {
		j := c.newJob("/night/", &step{Count: 60, CPU: 980, Mem: 2800, Estimate: 2200, length: 2200 * time.Millisecond})
		if n == 9 {
			j = c.newJob("/night/", &step{Count: 4, CPU: 980, Mem: 2800, Estimate: 1000, LongRunning: true})
		}
		c.submit(n, j, "night job")
		jobs = append(jobs, j)
	}
	time.Sleep(visible + time.Second)
	if trouble {
		night.name = "night-reanalysis-2"
	}
	c.configure([]route{lookupRoute, night})
	c.log.printf("configuration %d: the route of /night/ is %s", c.version, night.name)
	time.Sleep(configApply + time.Second)
	for n, j := range jobs {
		status, state := c.state(n, j)
		c.fleet.mu.Lock()
		done, running, all, _ := c.fleet.doneOf(j)
		c.fleet.mu.Unlock()
		c.log.printf("GET %s%s -> %d %s; %d of %d tasks done, %d running", j.route, j.id, status, state, done, all, running)
		if status == 410 {
			c.log.breach("LOST", "job %s%s, accepted at %.3f s and not cancelled: GET -> 410", j.route, j.id, j.accepted.Sub(c.log.began).Seconds())
		}
	}
	last := jobs[9]
	status, _ := c.call(0, "DELETE", last.route+last.id, nil)
	time.Sleep(cancelTime + stopTime + time.Second)
	c.fleet.mu.Lock()
	_, running, _, _ := c.fleet.doneOf(last)
	c.fleet.mu.Unlock()
	c.log.printf("DELETE %s%s, a job that lasts -> %d; %v later %d of its tasks run", last.route, last.id, status, cancelTime+stopTime+time.Second, running)
	if (status == 200 || status == 410) && running > 0 {
		c.log.breach("UNASKED", "%d tasks of %s%s run longer than cancel_ms and stop-ms after the answer to its DELETE", running, last.route, last.id)
	}
	c.conclude("LOST", "UNASKED")
}

const (
	configApply = 3 * time.Second
	cancelTime  = 3 * time.Second
	stopTime    = 900 * time.Millisecond
)

// caseHeld: tasks that last fail by themselves while a gang waits for the room that other work occupies. Without
// trouble, there is no gang.
func caseHeld(c *cell, trouble bool) {
	c.configure([]route{
		lookupRoute, {name: "plume-forecast", prefix: "/plume/", priority: 1, stretch: 2.2, target: 1200, attempts: 2},
		{name: "night-reanalysis", prefix: "/night/", priority: 2, stretch: 4, target: 3000, attempts: 3},
	})
	c.addExecutors(14, "a")
	c.startEntries(3)
	c.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	lasting := c.newJob("/night/", &step{Count: 4, CPU: 1000, Mem: 2900, Estimate: 1000, LongRunning: true})
	c.submit(0, lasting, "job that lasts")
	c.awaitRunning(lasting, 10*time.Second)
	disturbed := time.Time{}
	stop := make(chan struct{})
	go c.watchLasting(stop, &disturbed, lasting)
	batch := c.newJob("/plume/", &step{Count: 28, CPU: 6000, Mem: 8800, Estimate: 12000, AntiAffinity: 2, length: 12 * time.Second})
	c.submit(1, batch, "batch job")
	c.awaitRunning(batch, 10*time.Second)
	if trouble {
		gang := c.newJob("/plume/", &step{Count: 14, CPU: 7000, Mem: 8800, Estimate: 5000, Gang: true, AntiAffinity: 1, length: 5 * time.Second})
		c.submit(2, gang, "gang")
	}
	time.Sleep(500 * time.Millisecond)
	for index := range 4 {
		if !c.fleet.failTask(taskName(lasting.id, 0, 0, index)) {
			c.log.printf("task %d is not at work", index)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	close(stop)
	c.fleet.check()
	c.conclude("LOST")
}

// caseCrashing: the tasks of a job that lasts fail as soon as they have started. Without trouble, they work on.
func caseCrashing(c *cell, trouble bool) {
	c.night(30, time.Second, 88, func() []*job {
		var steps []*step
		for range 3 {
			s := &step{Count: 60, CPU: 100, Mem: 100, Estimate: 1000, LongRunning: true}
			if trouble {
				s.failAfter = time.Millisecond
			}
			steps = append(steps, s)
		}

		return []*job{c.newJob("/night/", steps...)}
	})
}
