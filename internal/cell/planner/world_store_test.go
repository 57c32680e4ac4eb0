package planner_test

import (
	"bytes"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
)

// store simulates the state table.
type store struct {
	world *world
	end   int64
	// newest holds the newest value of each key, and first the first record of each append by its offset.
	newest map[string][]byte
	first  map[int64]definer.Record
	// downUntil is when an outage ends; during it the store refuses calls or does not answer.
	downUntil definer.Instant
	refuses   bool
	// lastAppend is when records were appended last.
	lastAppend definer.Instant
}

func (s *store) down() bool { return s.world.now < s.downUntil }

// append appends records if the table ends at the offset.
func (s *store) append(at int64, records []definer.Record) bool {
	if at != s.end {
		return false
	}
	s.first[at], s.lastAppend = records[0], s.world.now
	s.end += int64(len(records))
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(s.newest, record.Key)
		} else {
			s.newest[record.Key] = record.Value
		}
	}

	return true
}

// state returns the decoded content of the table.
func (s *store) state() *journaler.State {
	state := journaler.NewState()
	for key, value := range s.newest {
		if err := state.Apply(definer.Record{Key: key, Value: value}); err != nil {
			panic(err) // The owners write only records that can be decoded.
		}
	}

	return state
}

// outcome is how a call of the store ends.
type outcome int

const (
	// outcomeUnknown means that there was no answer; the call may have been executed, or may be later.
	outcomeUnknown outcome = iota
	// outcomeRefused means that nothing was done.
	outcomeRefused
	// outcomeAnswered means that the call was executed.
	outcomeAnswered
)

const (
	storeTimeout    = 600 * time.Millisecond
	storeRetryDelay = 80 * time.Millisecond
)

// call executes a call of an owner after a while and answers it, or not. done gets the outcome.
func (s *store) call(o *owner, execute func(), done func(outcome)) {
	w := s.world
	answered := false
	finish := func(result outcome) {
		if !answered {
			answered = true
			o.deliver(func() { done(result) })
		}
	}
	w.after(storeTimeout, func() { finish(outcomeUnknown) })
	switch {
	case s.down() && s.refuses:
		w.after(w.latency(), func() { finish(outcomeRefused) })

		return
	case s.down() || o.cutFromStore:
		return
	case w.happens("lostappend", 0.02):
		if w.chance(0.5) {
			// It is executed late, if its condition still holds.
			w.after(w.between(storeTimeout, 5*time.Second), execute)
		}

		return
	}
	w.after(w.between(5*time.Millisecond, 150*time.Millisecond), func() {
		execute()
		if w.happens("lostappend", 0.02) || o.cutFromStore {
			return
		}
		w.after(w.between(5*time.Millisecond, 150*time.Millisecond), func() { finish(outcomeAnswered) })
	})
}

// append appends records for an owner and retries until the outcome is known, like leader.Append.
func (o *owner) append(offset int64, records []definer.Record, uncertain bool, done func(appended bool)) {
	s := &o.world.store
	appended := false
	s.call(o, func() { appended = s.append(offset, records) }, func(result outcome) {
		switch {
		case result == outcomeAnswered && (appended || !uncertain):
			done(appended)
		case result == outcomeRefused:
			o.later(storeRetryDelay, func() { o.append(offset, records, uncertain, done) })
		default:
			o.readBack(offset, records, uncertain || result == outcomeUnknown, done)
		}
	})
}

// readBack reads the record at the offset after an append without an answer.
func (o *owner) readBack(offset int64, records []definer.Record, uncertain bool, done func(appended bool)) {
	s := &o.world.store
	var end int64
	var first definer.Record
	s.call(o, func() { end, first = s.end, s.first[offset] }, func(result outcome) {
		switch {
		case result != outcomeAnswered:
			o.later(storeRetryDelay, func() { o.append(offset, records, uncertain, done) })
		case end <= offset:
			o.append(offset, records, uncertain, done)
		default:
			done(first.Key == records[0].Key && bytes.Equal(first.Value, records[0].Value))
		}
	})
}
