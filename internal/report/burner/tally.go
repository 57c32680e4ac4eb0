package burner

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Tally counts the outcomes of calls, which leave no records, in buckets: a
// minute for the last hour, ten minutes for the period. It is safe for
// concurrent use.
type Tally struct {
	now    func() time.Time
	mu     sync.Mutex
	levels map[key]*tracks
}

// tracks are the counts of one service level.
type tracks struct {
	fine, coarse track
}

// track is a ring of buckets.
type track struct {
	width   time.Duration
	buckets []bucket
}

// bucket counts the outcomes of one interval.
type bucket struct {
	// index numbers the interval since 1970.
	index     int64
	good, bad int64
}

// NewTally returns an empty tally.
func NewTally(now func() time.Time) *Tally { return &Tally{now: now, levels: map[key]*tracks{}} }

// Call counts a call that took wait and ended with err. Calls on a queue
// without an objective and refusals that the caller has to answer for do not
// count. Non-idempotent calls leave records and must not be counted here.
func (t *Tally) Call(team modeler.TeamID, queue modeler.Queue, wait time.Duration, err error) {
	if queue.Objective.Target <= 0 || queue.Objective.Target >= 1 {
		return
	}
	var refusal *modeler.Refusal
	if errors.As(err, &refusal) && slices.Contains(excused, refusal.Code) {
		return
	}
	t.Observe(team, queue.Name, err == nil && wait <= queue.Objective.Wait)
}

// Observe counts a call of a queue that met its objective or did not. Queues
// without an objective need not be observed.
func (t *Tally) Observe(team modeler.TeamID, queue modeler.QueueID, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{team, queue}
	level := t.levels[k]
	if level == nil {
		level = &tracks{fine: newTrack(time.Minute, time.Hour), coarse: newTrack(10*time.Minute, Period)}
		t.levels[k] = level
	}
	now := t.now()
	level.fine.add(now, good)
	level.coarse.add(now, good)
}

// Outcomes returns the counts of a team, those of the last hour by minute and
// the older ones by ten minutes. Each has the time of its interval's end, or
// the present time for the interval that is not over.
func (t *Tally) Outcomes(team modeler.TeamID) []Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	outcomes := []Outcome{}
	for k, level := range t.levels {
		if k.team != team {
			continue
		}
		// The border lies between two coarse intervals, so that no outcome is
		// counted twice.
		border := now.Add(-50 * time.Minute).Truncate(10 * time.Minute)
		outcomes = append(outcomes, level.fine.outcomes(k, border, now, now)...)
		outcomes = append(outcomes, level.coarse.outcomes(k, now.Add(-Period), border.Add(-1), now)...)
	}

	return outcomes
}

// newTrack returns a ring that covers span.
func newTrack(width, span time.Duration) track {
	return track{width: width, buckets: make([]bucket, int(span/width)+1)}
}

// add counts an outcome.
func (t *track) add(now time.Time, good bool) {
	index := now.UnixNano() / int64(t.width)
	b := &t.buckets[index%int64(len(t.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// outcomes returns the buckets that begin between from and to.
func (t *track) outcomes(k key, from, to, now time.Time) []Outcome {
	var outcomes []Outcome
	for _, b := range t.buckets {
		begin := time.Unix(0, b.index*int64(t.width))
		if b.good+b.bad == 0 || begin.Before(from) || begin.After(to) {
			continue
		}
		end := begin.Add(t.width)
		if end.After(now) {
			end = now
		}
		outcomes = append(outcomes, Outcome{Team: k.team, Queue: k.queue, Time: end.UTC(), Good: b.good, Bad: b.bad})
	}

	return outcomes
}
