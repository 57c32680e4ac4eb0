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

// load is a full cluster with work waiting for each of many teams.
type load struct {
	s       *Scheduler
	now     time.Time
	random  *rand.Rand
	running []modeler.TaskID
	// place is where a task is in running.
	place map[modeler.TaskID]int
	took  time.Duration
	jobs  int
}

func newLoad(workers int) *load {
	l := &load{s: New(), place: make(map[modeler.TaskID]int), now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	for i := range workers {
		l.s.Update(EndpointMsg{
			ID: modeler.InstanceID(fmt.Sprintf("w%05d", i)), Zone: "z", Rack: fmt.Sprintf("r%04d", i/8),
			Capacity: modeler.Resources{Millis: 32_000, Memory: 128 << 30, Accelerators: int64(i % 2 * 2)}, Usable: true,
		}, l.now)
	}
	limit := l.s.Ledger().Total()
	for i := range benchTeams {
		l.s.Update(TeamMsg{ID: l.team(i), Share: int64(1 + i%7), Allotment: limit}, l.now)
	}
	// Tasks of two processors fill the cluster, with two waiting for each of
	// ten that run.
	for l.s.stats.Queued < workers*20 {
		l.submit()
	}
	for {
		before := len(l.running)
		l.decide(10_000)
		if len(l.running) == before {
			break
		}
	}

	return l
}

// threadTime returns the processor time of the calling thread. Wall-clock time
// would count the time that other programs hold the processor.
func threadTime() time.Duration {
	var spent unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent); err != nil {
		return 0
	}

	return time.Duration(spent.Nano())
}

func (l *load) team(i int) modeler.TeamID { return modeler.TeamID(fmt.Sprintf("t%03d", i%benchTeams)) }

// submit adds a job; one in fifty is urgent, one in a hundred all-at-once, and
// a third have a deadline.
func (l *load) submit() {
	l.jobs++
	job := modeler.Job{
		ID: modeler.JobID(fmt.Sprintf("j%07d", l.jobs)), Team: l.team(l.random.IntN(benchTeams)), Queue: modeler.QueueID(fmt.Sprintf("q%d", l.jobs%20)),
		Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Tasks: 1 + l.random.IntN(30), Runtime: 10 * time.Minute, Accepted: l.now,
		Needs: modeler.Resources{Millis: 1000 + 500*int64(l.random.IntN(5)), Memory: int64(1+l.random.IntN(10)) << 30},
	}
	switch {
	case l.jobs%50 == 0:
		job.Class, job.Tasks = modeler.ClassUrgent, 1
	case l.jobs%100 == 1:
		job.Kind, job.Tasks = modeler.WorkGang, 8
	case l.jobs%3 == 0:
		job.Deadline = l.now.Add(8 * time.Hour)
	}
	l.s.Update(JobMsg{Job: job}, l.now)
}

// decide runs a pass and carries out its commands.
func (l *load) decide(budget int) int {
	started := 0
	began := threadTime()
	commands := l.s.Update(DecideMsg{Budget: budget}, l.now)
	l.took = threadTime() - began
	stops := make([]modeler.TaskID, 0, 16)
	for _, command := range commands {
		switch c := command.(type) {
		case StartCmd:
			l.place[c.Task] = len(l.running)
			l.running = append(l.running, c.Task)
			started++
		case StopCmd:
			stops = append(stops, c.Task)
		}
	}
	for _, task := range stops {
		if at, running := l.place[task]; running {
			l.end(at, EndedMsg{Task: task, Result: ResultRequeue, Checkpointed: true})
		}
	}

	return started
}

func (l *load) end(at int, msg EndedMsg) {
	last := len(l.running) - 1
	delete(l.place, l.running[at])
	if at != last {
		l.running[at] = l.running[last]
		l.place[l.running[at]] = at
	}
	l.running = l.running[:last]
	l.s.Update(msg, l.now)
}

// turn ends tasks, submits work in their place and decides, as in 10 ms at the
// rate of 2,200 starts a second; it returns the number of starts and the time
// of the pass.
func (l *load) turn() (int, time.Duration) {
	const ends = 22
	l.now = l.now.Add(10 * time.Millisecond)
	for range ends {
		at := l.random.IntN(len(l.running))
		l.end(at, EndedMsg{Task: l.running[at], Result: ResultOK})
	}
	for l.s.stats.Queued < 20*l.s.Ledger().Count() {
		l.submit()
	}

	return l.decide(2 * ends), l.took
}

// BenchmarkDecision measures the cost of a decision, with all messages that
// belong to it, and the processor time of whole passes, at several sizes.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 18000} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", workers, benchTeams), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			l := newLoad(workers)
			// The first turns refill the queues and run all periodic work.
			for range 120 {
				l.turn()
			}
			began := threadTime()
			passes := make([]time.Duration, 0, 1024)
			started := 0
			b.ReportAllocs()
			b.ResetTimer()
			for started < b.N {
				count, took := l.turn()
				started += max(count, 1)
				passes = append(passes, took)
			}
			b.StopTimer()
			b.ReportMetric(float64((threadTime()-began).Nanoseconds())/float64(started), "cpu-ns/start")
			slices.Sort(passes)
			b.ReportMetric(float64(passes[len(passes)*99/100].Microseconds()), "p99-pass-us")
			b.ReportMetric(float64(passes[len(passes)/2].Microseconds()), "p50-pass-us")
			b.ReportMetric(float64(passes[len(passes)-1].Microseconds()), "max-pass-us")
		})
	}
}
