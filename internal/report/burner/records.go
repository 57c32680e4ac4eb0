package burner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// excused are the causes of refusals that say nothing about the service level,
// because the request was faulty or exceeded what its team may have.
var excused = []modeler.Code{
	modeler.CodeBadRequest, modeler.CodeBadKey, modeler.CodeUnknownKey, modeler.CodeWithdrawnKey,
	modeler.CodeWrongTeam, modeler.CodeUnknownQueue, modeler.CodeNotFound, modeler.CodeTooLarge,
	modeler.CodeNeverFits, modeler.CodeOverLimit, modeler.CodeBodyTooLarge, modeler.CodeConflict,
}

// item is what the records tell about a job or request.
type item struct {
	key      key
	admitted time.Time
	settled  bool
}

// itemKey identifies a job or request.
type itemKey struct {
	team modeler.TeamID
	id   string
}

// FromRecords derives the outcomes of jobs and non-idempotent requests from
// decision records. A job is good when its first task started within the
// objective's wait of its admission; a request when it finished within the
// wait of its intent. Work that was cancelled earlier does not count, nor does
// work whose admission is no longer in the records.
func FromRecords(doc modeler.Document, records []modeler.Record, now time.Time) []Outcome {
	f := &folder{objectives: ObjectivesByQueue(doc), items: map[itemKey]*item{}}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b modeler.Record) int { return a.Time.Compare(b.Time) })
	for _, record := range sorted {
		f.fold(record)
	}
	for _, it := range f.items {
		f.expire(it, now)
	}

	return f.outcomes
}

// folder holds the state of one pass over records.
type folder struct {
	objectives map[modeler.QueueID]modeler.Objective
	items      map[itemKey]*item
	outcomes   []Outcome
}

// effect is what an event means for a service level.
type effect int

const (
	effectNone effect = iota
	effectGood
	effectBad
	effectLeave
)

// effects holds the events that settle admitted work. An adopted task was
// started by an earlier owner whose record was lost.
var effects = map[modeler.Event]effect{
	modeler.EventStarted:   effectGood,
	modeler.EventAdopted:   effectGood,
	modeler.EventFinished:  effectGood,
	modeler.EventFailed:    effectBad,
	modeler.EventUnknown:   effectBad,
	modeler.EventCancelled: effectLeave,
	modeler.EventVoided:    effectLeave,
}

// fold takes one record.
func (f *folder) fold(record modeler.Record) {
	if _, ok := f.objectives[record.Queue]; !ok && record.Queue != "" {
		return
	}
	id := itemKey{record.Team, identity(record)}
	it := f.items[id]
	switch {
	case record.Event == modeler.EventRefused:
		if !slices.Contains(excused, modeler.Code(record.Cause)) {
			f.outcomes = append(f.outcomes, Outcome{Team: record.Team, Queue: record.Queue, Time: record.Time, Bad: 1})
		}
	case it == nil:
		if record.Event == modeler.EventAdmitted || record.Event == modeler.EventPlaced && isRequest(record) {
			f.items[id] = &item{key: key{record.Team, record.Queue}, admitted: record.Time}
		}
	default:
		f.expire(it, record.Time)
		f.apply(it, record)
	}
}

// apply settles admitted work if the event does.
func (f *folder) apply(it *item, record modeler.Record) {
	if it.settled {
		return
	}
	switch effects[record.Event] {
	case effectGood:
		f.settle(it, record.Time, true)
	case effectBad:
		f.settle(it, record.Time, false)
	case effectLeave:
		it.settled = true
	case effectNone:
	}
}

// expire counts an item as bad once its wait is over at now.
func (f *folder) expire(it *item, now time.Time) {
	if end := it.admitted.Add(f.objectives[it.key.queue].Wait); !it.settled && now.After(end) {
		f.settle(it, end, false)
	}
}

// settle counts an item.
func (f *folder) settle(it *item, at time.Time, good bool) {
	it.settled = true
	outcome := Outcome{Team: it.key.team, Queue: it.key.queue, Time: at}
	if good {
		outcome.Good = 1
	} else {
		outcome.Bad = 1
	}
	f.outcomes = append(f.outcomes, outcome)
}

// identity returns the job or request that a record is about.
func identity(record modeler.Record) string {
	if isRequest(record) {
		return "request " + string(record.Request)
	}

	return "job " + string(record.Job)
}

// isRequest reports whether a record is about a request.
func isRequest(record modeler.Record) bool { return record.Job == "" }
