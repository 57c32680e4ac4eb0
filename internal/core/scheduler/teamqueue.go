package scheduler

import (
	"container/heap"
	"time"

	"github.com/google/btree"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// band is a priority band; lower bands are served first.
type band int

const (
	bandUrgent band = iota
	// bandEndangered holds work whose deadline is endangered.
	bandEndangered
	bandStandard
	bandDeferred
	bands
)

// btreeDegree keeps a node of the B-trees of jobs within a few cache lines.
const btreeDegree = 16

// teamQueue holds the jobs of one team that have queued tasks.
type teamQueue struct {
	team  *sharer.Team
	index int
	jobs  [bands]*btree.BTreeG[*job]
	// minSize is a componentwise lower bound of the task sizes in each band.
	minSize [bands]modeler.Resources
	// listed is set while the queue is in the scheduler's list of the band.
	listed [bands]bool
	// deadlineWork is scratch space of reviewDeadlines: the time that the team's
	// work with deadlines takes at least within its limit.
	deadlineWork time.Duration
	// belowShareSince is the time since which the team has been below its fair
	// share with work queued; zero if it is not.
	belowShareSince time.Time
	// stopping is the sum of the needs of the team's tasks that are being stopped.
	stopping modeler.Resources
	// tokensRequestedAt is the time of the last request for a larger allotment.
	tokensRequestedAt time.Time
}

// newTeamQueue returns an empty queue. Urgent and endangered jobs are ordered by
// deadline, other jobs by arrival: they are promoted to the endangered band before
// their deadline requires a start.
func newTeamQueue(team *sharer.Team, index int, settings Settings) *teamQueue {
	q := &teamQueue{team: team, index: index}
	for b := range q.jobs {
		less := (*job).arrivedBefore
		switch {
		case settings.Order == OrderArrival || !settings.Deadlines:
			less = func(a, b *job) bool { return a.seq < b.seq }
		case band(b) <= bandEndangered:
			less = (*job).dueBefore
		}
		q.jobs[b] = btree.NewG(btreeDegree, less)
	}

	return q
}

// add adds a job to its band.
func (q *teamQueue) add(j *job) {
	jobs := q.jobs[j.band]
	if jobs.Len() == 0 {
		q.minSize[j.band] = j.size
	} else {
		q.minSize[j.band] = q.minSize[j.band].Min(j.size)
	}
	jobs.ReplaceOrInsert(j)
}

// remove removes a job from its band.
func (q *teamQueue) remove(j *job) { q.jobs[j.band].Delete(j) }

// mayPreempt reports whether the first job of a band is a service, which may
// preempt other work.
func (q *teamQueue) mayPreempt(b band) bool {
	first, ok := q.jobs[b].Min()

	return ok && first.Kind == modeler.WorkService
}

// head appends up to limit jobs of a band, in service order, to into.
func (q *teamQueue) head(b band, limit int, into []*job) []*job {
	q.jobs[b].Ascend(func(j *job) bool {
		into = append(into, j)

		return len(into) < limit
	})

	return into
}

// contender is a team queue that takes part in a pass over a band.
type contender struct {
	teamQueue *teamQueue
	band      band
	// job is the next job to try; rest holds those after it once restLoaded is
	// set.
	job        *job
	rest       []*job
	restLoaded bool
	key        float64
}

// advance moves to the next of at most limit jobs and reports whether there is
// one.
func (c *contender) advance(limit int) bool {
	if !c.restLoaded {
		c.restLoaded = true
		c.rest = c.teamQueue.head(c.band, limit, make([]*job, 0, limit))
		if len(c.rest) > 0 && c.rest[0] == c.job {
			c.rest = c.rest[1:]
		}
	}
	if len(c.rest) == 0 {
		return false
	}
	c.job, c.rest = c.rest[0], c.rest[1:]

	return true
}

// contenderHeap is a min-heap of contenders ordered by key; the root is served
// next.
type contenderHeap []*contender

func (h contenderHeap) Len() int { return len(h) }

func (h contenderHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}

	return h[i].teamQueue.index < h[j].teamQueue.index
}

func (h contenderHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *contenderHeap) Push(x any) { *h = append(*h, x.(*contender)) }

// Pop implements heap.Interface.
func (h *contenderHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]

	return last
}

// fixFirst restores the order after the key of the first contender changed.
func (h *contenderHeap) fixFirst() { heap.Fix(h, 0) }

// removeFirst removes the first contender.
func (h *contenderHeap) removeFirst() { heap.Pop(h) }
