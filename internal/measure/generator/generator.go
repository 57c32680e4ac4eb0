// Package generator generates seeded workloads that resemble the days and nights
// of the users' clusters: bursts, inaccurately declared sizes and run times,
// failing workers and waves of cancellations.
package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Group is a kind of work that a measurement reports separately.
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

// Item is a job together with its actual behaviour, which the scheduler does not
// know in advance.
type Item struct {
	// Arrival is the time of arrival since the start of the workload.
	Arrival time.Duration
	Group   Group
	Job     modeler.Job
	// Runtimes are the actual run times of the tasks.
	Runtimes []time.Duration
	// Usage holds the resources that each task actually uses.
	Usage modeler.Resources
	// AlwaysFails makes every task fail after a short time.
	AlwaysFails bool
	// CancelAt is the time of the job's cancellation since the start of the
	// workload; zero means never.
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

// Deployment is a cluster with its workload over Length.
type Deployment struct {
	Name     string
	Workers  []Worker
	Teams    []Team
	Items    []Item
	Failures []Failure
	// Start is the time at which the workload begins.
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

// builder generates a deployment.
type builder struct {
	Deployment
	random   *rand.Rand
	jobCount int
}

func newBuilder(name string, seed uint64, start time.Time, length time.Duration) *builder {
	return &builder{
		Deployment: Deployment{Name: name, Start: start, Length: length},
		random:     rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
	}
}

// addWorkers adds count workers, eight to a rack. The first accelerated of them
// have two accelerators each.
func (b *builder) addWorkers(count int, cores, gigabytes int64, accelerated int) {
	for i := range count {
		capacity := modeler.Resources{Millis: cores * 1000, Memory: gigabytes << 30}
		if i < accelerated {
			capacity.Accelerators = 2
		}
		b.Workers = append(b.Workers, Worker{
			ID: modeler.InstanceID(fmt.Sprintf("w%03d", i)), Zone: fmt.Sprintf("z%d", i/8%3),
			Rack: fmt.Sprintf("rack%d", i/8), Capacity: capacity,
		})
	}
}

// addTeams adds teams with the given shares. Each may use the fraction limit of
// the cluster.
func (b *builder) addTeams(limit float64, shares ...int64) {
	total := b.Total()
	allotment := modeler.Resources{
		Millis: int64(limit * float64(total.Millis)), Memory: int64(limit * float64(total.Memory)), Accelerators: total.Accelerators,
	}
	for i, share := range shares {
		b.Teams = append(b.Teams, Team{ID: modeler.TeamID(fmt.Sprintf("team%d", i)), Share: share, Allotment: allotment})
	}
}

// jobTemplate describes the distribution of a kind of job.
type jobTemplate struct {
	group       Group
	kind        modeler.WorkKind
	class       modeler.Class
	queue       modeler.QueueID
	taskRange   [2]int
	coreChoices []int64
	memoryRange [2]int64
	runtime     time.Duration
	// runtimeDeviation is the standard deviation of the logarithm of the run
	// times.
	runtimeDeviation float64
	// declaredRatio is the ratio of declared to actual run time, and
	// declaredDeviation the standard deviation of its logarithm.
	declaredRatio, declaredDeviation float64
	accelerators                     int64
	once                             bool
	sameRackShare                    float64
}

// intBetween returns a uniformly distributed integer of a closed range.
func (b *builder) intBetween(r [2]int) int { return r[0] + b.random.IntN(r[1]-r[0]+1) }

// logNormal returns a log-normally distributed factor with median 1.
func (b *builder) logNormal(deviation float64) float64 {
	return math.Exp(deviation * b.random.NormFloat64())
}

// addJob adds a job of a team that arrives at a time. A deadline of zero means
// none.
func (b *builder) addJob(t jobTemplate, team int, at, deadline time.Duration) {
	b.jobCount++
	needs := modeler.Resources{
		Millis: 1000 * t.coreChoices[b.random.IntN(len(t.coreChoices))], Accelerators: t.accelerators,
		Memory: (t.memoryRange[0] + b.random.Int64N(t.memoryRange[1]-t.memoryRange[0]+1)) << 30,
	}
	median := time.Duration(float64(t.runtime) * b.logNormal(t.runtimeDeviation/2))
	job := modeler.Job{
		ID: modeler.JobID(fmt.Sprintf("%s-%05d", t.queue, b.jobCount)), Team: b.Teams[team].ID, Queue: t.queue, Kind: t.kind,
		Class: t.class, Tasks: b.intBetween(t.taskRange), Needs: needs, Once: t.once, Attempts: 4,
		Runtime:  time.Duration(float64(median) * t.declaredRatio * b.logNormal(t.declaredDeviation)).Round(time.Second),
		SameRack: b.random.Float64() < t.sameRackShare, Accepted: b.Start.Add(at),
	}
	if deadline > 0 {
		job.Deadline = b.Start.Add(deadline)
	}
	item := Item{Arrival: at, Group: t.group, Job: job, Runtimes: make([]time.Duration, job.Tasks)}
	for i := range item.Runtimes {
		item.Runtimes[i] = max(time.Second, time.Duration(float64(median)*b.logNormal(t.runtimeDeviation/2)))
	}
	use := 0.4 + 0.7*b.random.Float64()
	item.Usage = modeler.Resources{
		Millis: int64(use * float64(needs.Millis)), Memory: int64(use * float64(needs.Memory)), Accelerators: needs.Accelerators,
	}
	item.AlwaysFails = t.group == GroupBatch && b.random.Float64() < 0.005
	b.Items = append(b.Items, item)
}

// addPoisson adds jobs that arrive in a period as a Poisson process with an
// average of hourly jobs per hour.
func (b *builder) addPoisson(t jobTemplate, teams []int, from, to time.Duration, hourly float64) {
	at := from
	for {
		at += time.Duration(b.random.ExpFloat64() / hourly * float64(time.Hour))
		if at >= to {
			return
		}
		b.addJob(t, teams[b.random.IntN(len(teams))], at, 0)
	}
}

// addCancellations cancels a fraction of the jobs of a group that arrived in the
// hour before at. The cancellations occur within three seconds.
func (b *builder) addCancellations(group Group, at time.Duration, fraction float64) {
	for i := range b.Items {
		item := &b.Items[i]
		if item.Group == group && item.Arrival < at && item.Arrival > at-time.Hour && b.random.Float64() < fraction {
			item.CancelAt = at + time.Duration(b.random.IntN(3000))*time.Millisecond
		}
	}
}

// addFailures adds count periods of 20 minutes to an hour in which a worker
// fails every task.
func (b *builder) addFailures(count int) {
	for range count {
		from := time.Duration(b.random.Int64N(int64(b.Length - time.Hour)))
		b.Failures = append(b.Failures, Failure{
			Worker: b.random.IntN(len(b.Workers)), From: from, To: from + 20*time.Minute + time.Duration(b.random.Int64N(int64(40*time.Minute))),
		})
	}
}

// build sorts the workload by arrival and returns the deployment.
func (b *builder) build() Deployment {
	slices.SortStableFunc(b.Items, func(x, y Item) int { return int(x.Arrival - y.Arrival) })

	return b.Deployment
}
