package scheduler

import (
	"container/heap"
	"time"

	"github.com/google/btree"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// band is the urgency that work is served by; lower bands are served first.
type band int

const (
	bandUrgent band = iota
	// bandDanger is work whose deadline is in danger.
	bandDanger
	bandStandard
	bandDeferred
	bands
)

// treeDegree keeps a node of a waiting line within a few cache lines.
const treeDegree = 16

// line is the waiting work of one team.
type line struct {
	team  *sharer.Team
	order int
	jobs  [bands]*btree.BTreeG[*job]
	// least is a lower bound of the sizes of the jobs in each band.
	least [bands]modeler.Resources
	// present is set while the line is in the scheduler's list of the band.
	present [bands]bool
	// dated is, during a review of deadlines, the time that the team's upper
	// limit lets its dated work take.
	dated time.Duration
	// below is since when the team has been below its share with work waiting.
	below time.Time
	// leaving is what the team's tasks that are being stopped have.
	leaving modeler.Resources
	// asked limits the rate at which more of the upper limit is asked for.
	asked time.Time
}

// newLine returns an empty line. Urgent work and work in danger is ordered by
// deadline; other work is ordered by arrival, and is raised to the band of work
// in danger before its deadline requires it.
func newLine(team *sharer.Team, order int, settings Settings) *line {
	l := &line{team: team, order: order}
	for b := range l.jobs {
		less := (*job).came
		switch {
		case settings.Order == OrderArrival || !settings.Deadlines:
			less = func(a, b *job) bool { return a.seq < b.seq }
		case band(b) <= bandDanger:
			less = (*job).due
		}
		l.jobs[b] = btree.NewG(treeDegree, less)
	}

	return l
}

// add queues a job in its band.
func (l *line) add(j *job) {
	tree := l.jobs[j.band]
	if tree.Len() == 0 {
		l.least[j.band] = j.size
	} else {
		l.least[j.band] = l.least[j.band].Min(j.size)
	}
	tree.ReplaceOrInsert(j)
}

// remove takes a job out of its band.
func (l *line) remove(j *job) { l.jobs[j.band].Delete(j) }

// urges reports whether the first job of a band may preempt other work.
func (l *line) urges(b band) bool {
	first, ok := l.jobs[b].Min()

	return ok && first.Kind == modeler.WorkService
}

// head returns up to limit jobs of a band in order of service.
func (l *line) head(b band, limit int, into []*job) []*job {
	l.jobs[b].Ascend(func(j *job) bool {
		into = append(into, j)

		return len(into) < limit
	})

	return into
}

// contender is a line that takes part in a pass over a band.
type contender struct {
	line *line
	band band
	// first is the job to try next; rest are those behind it, once read.
	first *job
	rest  []*job
	read  bool
	key   float64
}

// advance goes on to the next of up to limit jobs and reports whether there is
// one.
func (c *contender) advance(limit int) bool {
	if !c.read {
		c.read = true
		c.rest = c.line.head(c.band, limit, make([]*job, 0, limit))
		if len(c.rest) > 0 && c.rest[0] == c.first {
			c.rest = c.rest[1:]
		}
	}
	if len(c.rest) == 0 {
		return false
	}
	c.first, c.rest = c.rest[0], c.rest[1:]

	return true
}

// contest is a heap of contenders, the next to serve first.
type contest []*contender

func (c contest) Len() int { return len(c) }

func (c contest) Less(i, j int) bool {
	if c[i].key != c[j].key {
		return c[i].key < c[j].key
	}

	return c[i].line.order < c[j].line.order
}

func (c contest) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *contest) Push(x any) { *c = append(*c, x.(*contender)) }

// Pop implements heap.Interface.
func (c *contest) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]

	return last
}

// settle restores the order after the key of the first contender changed.
func (c *contest) settle() { heap.Fix(c, 0) }

// drop removes the first contender.
func (c *contest) drop() { heap.Pop(c) }
