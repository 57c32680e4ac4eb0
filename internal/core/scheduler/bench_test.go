package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const benchTeams = 390

// benchCluster is a full cluster with queued work of many teams.
type benchCluster struct {
	s       *Scheduler
	now     time.Time
	random  *rand.Rand
	running []modeler.TaskID
	// indexOf maps a task to its index in running.
	indexOf  map[modeler.TaskID]int
	passTime time.Duration
	jobs     int
}

func newBenchCluster(workers int) *benchCluster {
	cl := &benchCluster{s: New(), indexOf: make(map[modeler.TaskID]int), now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	for i := range workers {
		cl.s.Update(EndpointMsg{
			ID: modeler.InstanceID(fmt.Sprintf("w%05d", i)), Zone: "z", Rack: fmt.Sprintf("r%04d", i/8),
			Capacity: modeler.Resources{Millis: 32_000, Memory: 128 << 30, Accelerators: int64(i % 2 * 2)}, Usable: true,
		}, cl.now)
	}
	limit := cl.s.Ledger().Total()
	for i := range benchTeams {
		cl.s.Update(TeamMsg{ID: cl.team(i), Share: int64(1 + i%7), Allotment: limit}, cl.now)
	}
	// Tasks of two processors on average fill the cluster; two tasks are queued for
	// every ten that run.
	for cl.s.stats.Queued < workers*20 {
		cl.submit()
	}
	for {
		before := len(cl.running)
		cl.decide(10_000)
		if len(cl.running) == before {
			break
		}
	}

	return cl
}

// threadTime returns the processor time of the calling thread. Wall-clock time
// would include the time that other programs use the processor.
func threadTime() time.Duration {
	var spent unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent); err != nil {
		return 0
	}

	return time.Duration(spent.Nano())
}

func (cl *benchCluster) team(i int) modeler.TeamID {
	return modeler.TeamID(fmt.Sprintf("t%03d", i%benchTeams))
}

// submit adds a job; one in fifty is urgent, one in a hundred is a gang, and a third
// have a deadline.
func (cl *benchCluster) submit() {
	cl.jobs++
	job := modeler.Job{
		ID: modeler.JobID(fmt.Sprintf("j%07d", cl.jobs)), Team: cl.team(cl.random.IntN(benchTeams)), Queue: modeler.QueueID(fmt.Sprintf("q%d", cl.jobs%20)),
		Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Tasks: 1 + cl.random.IntN(30), Runtime: 10 * time.Minute, Accepted: cl.now,
		Needs: modeler.Resources{Millis: 1000 + 500*int64(cl.random.IntN(5)), Memory: int64(1+cl.random.IntN(10)) << 30},
	}
	switch {
	case cl.jobs%50 == 0:
		job.Class, job.Tasks = modeler.ClassUrgent, 1
	case cl.jobs%100 == 1:
		job.Kind, job.Tasks = modeler.WorkGang, 8
	case cl.jobs%3 == 0:
		job.Deadline = cl.now.Add(8 * time.Hour)
	}
	cl.s.Update(JobMsg{Job: job}, cl.now)
}

// decide runs a pass, applies its commands and returns the number of starts.
func (cl *benchCluster) decide(budget int) int {
	started := 0
	begin := threadTime()
	commands := cl.s.Update(DecideMsg{Budget: budget}, cl.now)
	cl.passTime = threadTime() - begin
	stops := make([]modeler.TaskID, 0, 16)
	for _, command := range commands {
		switch c := command.(type) {
		case StartCmd:
			cl.indexOf[c.Task] = len(cl.running)
			cl.running = append(cl.running, c.Task)
			started++
		case StopCmd:
			stops = append(stops, c.Task)
		}
	}
	for _, task := range stops {
		if at, running := cl.indexOf[task]; running {
			cl.end(at, EndedMsg{Task: task, Result: ResultRequeue, Checkpointed: true})
		}
	}

	return started
}

func (cl *benchCluster) end(at int, msg EndedMsg) {
	last := len(cl.running) - 1
	delete(cl.indexOf, cl.running[at])
	if at != last {
		cl.running[at] = cl.running[last]
		cl.indexOf[cl.running[at]] = at
	}
	cl.running = cl.running[:last]
	cl.s.Update(msg, cl.now)
}

// step simulates 10 ms at a rate of 2,200 starts per second: it ends tasks, submits
// work in their place and runs a pass. It returns the number of starts and the
// processor time of the pass.
func (cl *benchCluster) step() (int, time.Duration) {
	const ends = 22
	cl.now = cl.now.Add(10 * time.Millisecond)
	for range ends {
		at := cl.random.IntN(len(cl.running))
		cl.end(at, EndedMsg{Task: cl.running[at], Result: ResultOK})
	}
	for cl.s.stats.Queued < 20*cl.s.Ledger().Count() {
		cl.submit()
	}

	return cl.decide(2 * ends), cl.passTime
}

// BenchmarkDecision measures the processor time per start, including all related
// messages, and that of whole passes, at several cluster sizes.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 18000} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", workers, benchTeams), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			cl := newBenchCluster(workers)
			// The first steps refill the queues and run all maintenance steps.
			for range 120 {
				cl.step()
			}
			begin := threadTime()
			passes := make([]time.Duration, 0, 1024)
			started := 0
			b.ReportAllocs()
			b.ResetTimer()
			for started < b.N {
				count, passTime := cl.step()
				started += max(count, 1)
				passes = append(passes, passTime)
			}
			b.StopTimer()
			b.ReportMetric(float64((threadTime()-begin).Nanoseconds())/float64(started), "cpu-ns/start")
			slices.Sort(passes)
			b.ReportMetric(float64(passes[len(passes)*99/100].Microseconds()), "p99-pass-us")
			b.ReportMetric(float64(passes[len(passes)/2].Microseconds()), "p50-pass-us")
			b.ReportMetric(float64(passes[len(passes)-1].Microseconds()), "max-pass-us")
		})
	}
}
