package burner

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Tally counts the outcomes of calls, which leave no records. It keeps buckets of one
// minute for the last hour and of ten minutes for the period. It is safe for
// concurrent use.
type Tally struct {
	now    func() time.Time
	mu     sync.Mutex
	levels map[levelKey]*levelCounts
}

// levelCounts are the buckets of one service level.
type levelCounts struct {
	fine, coarse bucketRing
}

// bucketRing is a ring buffer of buckets.
type bucketRing struct {
	width   time.Duration
	buckets []bucket
}

// bucket counts the outcomes in one interval.
type bucket struct {
	// index is the number of the interval since 1970.
	index     int64
	good, bad int64
}

// NewTally returns an empty tally that reads the time from now.
func NewTally(now func() time.Time) *Tally {
	return &Tally{now: now, levels: map[levelKey]*levelCounts{}}
}

// Call counts a call that took wait and returned err. Calls on a queue without an
// objective and refusals with an excused code do not count. Non-idempotent calls
// leave records and must not be counted here.
func (t *Tally) Call(team modeler.TeamID, queue modeler.Queue, wait time.Duration, err error) {
	if queue.Objective.Target <= 0 || queue.Objective.Target >= 1 {
		return
	}
	var refusal *modeler.Refusal
	if errors.As(err, &refusal) && slices.Contains(excusedCodes, refusal.Code) {
		return
	}
	t.Observe(team, queue.Name, err == nil && wait <= queue.Objective.Wait)
}

// Observe counts a call that met or missed the objective of its queue. Calls on
// queues without an objective need not be counted.
func (t *Tally) Observe(team modeler.TeamID, queue modeler.QueueID, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := levelKey{team, queue}
	level := t.levels[k]
	if level == nil {
		level = &levelCounts{fine: newBucketRing(time.Minute, time.Hour), coarse: newBucketRing(10*time.Minute, Period)}
		t.levels[k] = level
	}
	now := t.now()
	level.fine.add(now, good)
	level.coarse.add(now, good)
}

// Outcomes returns the counts of a team, by minute for the last hour and by ten
// minutes before that. Each outcome has the time of the end of its interval, or the
// current time if the interval has not ended.
func (t *Tally) Outcomes(team modeler.TeamID) []Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	outcomes := []Outcome{}
	for k, level := range t.levels {
		if k.team != team {
			continue
		}
		// The boundary is the start of a coarse interval, so that no outcome is counted
		// twice.
		boundary := now.Add(-50 * time.Minute).Truncate(10 * time.Minute)
		outcomes = append(outcomes, level.fine.outcomes(k, boundary, now, now)...)
		outcomes = append(outcomes, level.coarse.outcomes(k, now.Add(-Period), boundary.Add(-1), now)...)
	}

	return outcomes
}

// newBucketRing returns a ring that covers span.
func newBucketRing(width, span time.Duration) bucketRing {
	return bucketRing{width: width, buckets: make([]bucket, int(span/width)+1)}
}

// add counts an outcome at now.
func (r *bucketRing) add(now time.Time, good bool) {
	index := now.UnixNano() / int64(r.width)
	b := &r.buckets[index%int64(len(r.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// outcomes returns the counts of the intervals that start between from and to.
func (r *bucketRing) outcomes(k levelKey, from, to, now time.Time) []Outcome {
	var outcomes []Outcome
	for _, b := range r.buckets {
		start := time.Unix(0, b.index*int64(r.width))
		if b.good+b.bad == 0 || start.Before(from) || start.After(to) {
			continue
		}
		end := start.Add(r.width)
		if end.After(now) {
			end = now
		}
		outcomes = append(outcomes, Outcome{Team: k.team, Queue: k.queue, Time: end.UTC(), Good: b.good, Bad: b.bad})
	}

	return outcomes
}
