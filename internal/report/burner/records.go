package burner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// excusedCodes are the codes of refusals that do not count against the service level,
// because the request was invalid or exceeded the rights or limits of its team.
var excusedCodes = []modeler.Code{
	modeler.CodeBadRequest, modeler.CodeBadKey, modeler.CodeUnknownKey, modeler.CodeWithdrawnKey,
	modeler.CodeWrongTeam, modeler.CodeUnknownQueue, modeler.CodeNotFound, modeler.CodeTooLarge,
	modeler.CodeNeverFits, modeler.CodeOverLimit, modeler.CodeBodyTooLarge, modeler.CodeConflict,
}

// workItem is a job or request found in the records.
type workItem struct {
	key      levelKey
	admitted time.Time
	counted  bool
}

// workKey identifies a job or request.
type workKey struct {
	team modeler.TeamID
	id   string
}

// FromRecords derives the outcomes of jobs and non-idempotent requests from decision
// records. A job is good if its first task started within the objective's wait after
// its admission. A request is good if it finished within the wait after its intent.
// Work that was cancelled before that does not count, nor does work whose admission
// is no longer in the records.
func FromRecords(doc modeler.Document, records []modeler.Record, now time.Time) []Outcome {
	s := &recordScan{objectives: ObjectivesByQueue(doc), items: map[workKey]*workItem{}}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b modeler.Record) int { return a.Time.Compare(b.Time) })
	for _, record := range sorted {
		s.addRecord(record)
	}
	for _, it := range s.items {
		s.expire(it, now)
	}

	return s.outcomes
}

// recordScan is the state of one pass over the records.
type recordScan struct {
	objectives map[modeler.QueueID]modeler.Objective
	items      map[workKey]*workItem
	outcomes   []Outcome
}

// effect is the effect of an event on the outcome of admitted work.
type effect int

const (
	effectNone effect = iota
	effectGood
	effectBad
	effectExclude
)

// effects maps the events that determine the outcome of admitted work to their
// effects. An adopted task was started by an earlier owner whose record was lost.
var effects = map[modeler.Event]effect{
	modeler.EventStarted:   effectGood,
	modeler.EventAdopted:   effectGood,
	modeler.EventFinished:  effectGood,
	modeler.EventFailed:    effectBad,
	modeler.EventUnknown:   effectBad,
	modeler.EventCancelled: effectExclude,
	modeler.EventVoided:    effectExclude,
}

// addRecord processes one record. Records must be added in the order of their times.
func (s *recordScan) addRecord(record modeler.Record) {
	if _, ok := s.objectives[record.Queue]; !ok && record.Queue != "" {
		return
	}
	id := workKey{record.Team, workID(record)}
	it := s.items[id]
	switch {
	case record.Event == modeler.EventRefused:
		if !slices.Contains(excusedCodes, modeler.Code(record.Cause)) {
			s.outcomes = append(s.outcomes, Outcome{Team: record.Team, Queue: record.Queue, Time: record.Time, Bad: 1})
		}
	case it == nil:
		if record.Event == modeler.EventAdmitted || record.Event == modeler.EventPlaced && isRequest(record) {
			s.items[id] = &workItem{key: levelKey{record.Team, record.Queue}, admitted: record.Time}
		}
	default:
		s.expire(it, record.Time)
		s.applyEvent(it, record)
	}
}

// applyEvent counts admitted work if the event determines its outcome.
func (s *recordScan) applyEvent(it *workItem, record modeler.Record) {
	if it.counted {
		return
	}
	switch effects[record.Event] {
	case effectGood:
		s.countOutcome(it, record.Time, true)
	case effectBad:
		s.countOutcome(it, record.Time, false)
	case effectExclude:
		it.counted = true
	case effectNone:
	}
}

// expire counts work as bad if its wait has passed at now.
func (s *recordScan) expire(it *workItem, now time.Time) {
	if end := it.admitted.Add(s.objectives[it.key.queue].Wait); !it.counted && now.After(end) {
		s.countOutcome(it, end, false)
	}
}

// countOutcome adds the outcome of a work item.
func (s *recordScan) countOutcome(it *workItem, at time.Time, good bool) {
	it.counted = true
	outcome := Outcome{Team: it.key.team, Queue: it.key.queue, Time: at}
	if good {
		outcome.Good = 1
	} else {
		outcome.Bad = 1
	}
	s.outcomes = append(s.outcomes, outcome)
}

// workID identifies the job or request of a record within its team.
func workID(record modeler.Record) string {
	if isRequest(record) {
		return "request " + string(record.Request)
	}

	return "job " + string(record.Job)
}

// isRequest reports whether a record belongs to a request.
func isRequest(record modeler.Record) bool { return record.Job == "" }
