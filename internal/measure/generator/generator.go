// Package generator makes seeded streams of work and completions that resemble
// the days and nights of the users' clusters: bursts, far-off sizes and run
// times, failing workers and cancellation waves.
package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Group names the kind of work that a measurement reports separately.
type Group string

// The groups of work, in the order of reports.
const (
	GroupUrgent   Group = "urgent"
	GroupService  Group = "service"
	GroupDeadline Group = "deadline"
	GroupBatch    Group = "batch"
	GroupGang     Group = "all-at-once"
)

// Groups lists all groups in the order of reports.
func Groups() []Group {
	return []Group{GroupUrgent, GroupService, GroupDeadline, GroupBatch, GroupGang}
}

// Item is a job with what only the future tells of it.
type Item struct {
	// At is the time of arrival since the start of the stream.
	Arrival time.Duration
	Group   Group
	Job     modeler.Job
	// Runtimes are the actual run times of the tasks.
	Runtimes []time.Duration
	// Used is what a task actually uses.
	Usage modeler.Resources
	// Broken makes every task fail after a short time.
	AlwaysFails bool
	// Cancel is when the job is cancelled, since the start of the stream;
	// zero means never.
	CancelAt time.Duration
}

// Failure is a period during which a worker fails every task.
type Failure struct {
	Worker   int
	From, To time.Duration
}

// Worker is a worker of a deployment.
type Worker struct {
	ID       modeler.InstanceID
	Zone     string
	Rack     string
	Capacity modeler.Resources
}

// Team is a team of a deployment.
type Team struct {
	ID        modeler.TeamID
	Share     int64
	Allotment modeler.Resources
}

// Deployment is a cluster with its work over Length.
type Deployment struct {
	Name     string
	Workers  []Worker
	Teams    []Team
	Items    []Item
	Failures []Failure
	// Start is the time of day at which the stream begins.
	Start  time.Time
	Length time.Duration
}

// Total returns the sum of the workers' capacities.
func (d Deployment) Total() modeler.Resources {
	var total modeler.Resources
	for _, worker := range d.Workers {
		total = total.Add(worker.Capacity)
	}

	return total
}

// maker builds a deployment.
type maker struct {
	Deployment
	random *rand.Rand
	count  int
}

func newMaker(name string, seed uint64, start time.Time, length time.Duration) *maker {
	return &maker{
		Deployment: Deployment{Name: name, Start: start, Length: length},
		random:     rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
	}
}

// workers adds count workers, eight to a rack, of which the first with
// accelerators have two each.
func (m *maker) workers(count int, cores, gigabytes int64, accelerated int) {
	for i := range count {
		capacity := modeler.Resources{Millis: cores * 1000, Memory: gigabytes << 30}
		if i < accelerated {
			capacity.Accelerators = 2
		}
		m.Workers = append(m.Workers, Worker{
			ID: modeler.InstanceID(fmt.Sprintf("w%03d", i)), Zone: fmt.Sprintf("z%d", i/8%3),
			Rack: fmt.Sprintf("rack%d", i/8), Capacity: capacity,
		})
	}
}

// teams adds teams with the given shares; each may use limit of the cluster.
func (m *maker) teams(limit float64, shares ...int64) {
	total := m.Total()
	allotment := modeler.Resources{
		Millis: int64(limit * float64(total.Millis)), Memory: int64(limit * float64(total.Memory)), Accelerators: total.Accelerators,
	}
	for i, share := range shares {
		m.Teams = append(m.Teams, Team{ID: modeler.TeamID(fmt.Sprintf("team%d", i)), Share: share, Allotment: allotment})
	}
}

// shape describes a kind of job.
type shape struct {
	group   Group
	kind    modeler.WorkKind
	class   modeler.Class
	queue   modeler.QueueID
	tasks   [2]int
	cores   []int64
	memory  [2]int64
	runtime time.Duration
	// spread is the standard deviation of the logarithm of the run times.
	spread float64
	// declared is the declared over the actual run time; off is the standard
	// deviation of its logarithm.
	declared, off float64
	accelerators  int64
	once          bool
	sameRack      float64
}

// between returns a uniform integer of a closed range.
func (m *maker) between(r [2]int) int { return r[0] + m.random.IntN(r[1]-r[0]+1) }

// log returns a log-normal factor with median 1.
func (m *maker) log(deviation float64) float64 { return math.Exp(deviation * m.random.NormFloat64()) }

// add adds a job of a team that arrives at a time; a deadline of zero is none.
func (m *maker) add(s shape, team int, at, deadline time.Duration) {
	m.count++
	needs := modeler.Resources{
		Millis: 1000 * s.cores[m.random.IntN(len(s.cores))], Accelerators: s.accelerators,
		Memory: (s.memory[0] + m.random.Int64N(s.memory[1]-s.memory[0]+1)) << 30,
	}
	median := time.Duration(float64(s.runtime) * m.log(s.spread/2))
	job := modeler.Job{
		ID: modeler.JobID(fmt.Sprintf("%s-%05d", s.queue, m.count)), Team: m.Teams[team].ID, Queue: s.queue, Kind: s.kind,
		Class: s.class, Tasks: m.between(s.tasks), Needs: needs, Once: s.once, Attempts: 4,
		Runtime:  time.Duration(float64(median) * s.declared * m.log(s.off)).Round(time.Second),
		SameRack: m.random.Float64() < s.sameRack, Accepted: m.Start.Add(at),
	}
	if deadline > 0 {
		job.Deadline = m.Start.Add(deadline)
	}
	item := Item{Arrival: at, Group: s.group, Job: job, Runtimes: make([]time.Duration, job.Tasks)}
	for i := range item.Runtimes {
		item.Runtimes[i] = max(time.Second, time.Duration(float64(median)*m.log(s.spread/2)))
	}
	use := 0.4 + 0.7*m.random.Float64()
	item.Usage = modeler.Resources{
		Millis: int64(use * float64(needs.Millis)), Memory: int64(use * float64(needs.Memory)), Accelerators: needs.Accelerators,
	}
	item.AlwaysFails = s.group == GroupBatch && m.random.Float64() < 0.005
	m.Items = append(m.Items, item)
}

// poisson adds jobs at random times of a period, so many an hour on average.
func (m *maker) poisson(s shape, teams []int, from, to time.Duration, hourly float64) {
	at := from
	for {
		at += time.Duration(m.random.ExpFloat64() / hourly * float64(time.Hour))
		if at >= to {
			return
		}
		m.add(s, teams[m.random.IntN(len(teams))], at, 0)
	}
}

// cancellations cancels a fraction of a group's jobs that arrived in the hour
// before at, within a few seconds.
func (m *maker) cancellations(group Group, at time.Duration, fraction float64) {
	for i := range m.Items {
		item := &m.Items[i]
		if item.Group == group && item.Arrival < at && item.Arrival > at-time.Hour && m.random.Float64() < fraction {
			item.CancelAt = at + time.Duration(m.random.IntN(3000))*time.Millisecond
		}
	}
}

// failures makes count workers fail for up to an hour each.
func (m *maker) failures(count int) {
	for range count {
		from := time.Duration(m.random.Int64N(int64(m.Length - time.Hour)))
		m.Failures = append(m.Failures, Failure{
			Worker: m.random.IntN(len(m.Workers)), From: from, To: from + 20*time.Minute + time.Duration(m.random.Int64N(int64(40*time.Minute))),
		})
	}
}

// done sorts the stream and returns the deployment.
func (m *maker) done() Deployment {
	slices.SortStableFunc(m.Items, func(a, b Item) int { return int(a.Arrival - b.Arrival) })

	return m.Deployment
}
