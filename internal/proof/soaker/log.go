package soaker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// errDown is the answer of the log during an outage.
var errDown = errors.New("log is down")

// stream is one stream of the log. Records before the offset first have expired.
type stream struct {
	first        modeler.Offset
	entries      []messenger.LogRecord
	waitingReads []func()
}

// fakeLog is the platform's log. It keeps its records during an outage.
type fakeLog struct {
	*host
	sim     *simulation
	streams map[string]*stream
	down    bool
	// silent makes the log leave requests unanswered during an outage instead of
	// refusing them.
	silent bool
	// maxDelay bounds the delay of every operation.
	maxDelay time.Duration
	// lostAnswerShare is the probability that the answer to an append is lost.
	lostAnswerShare float64
	// appended is called for every record.
	appended func(name string, entry messenger.LogRecord)
}

func newLog(sim *simulation) *fakeLog {
	return &fakeLog{host: &host{name: "log"}, sim: sim, streams: map[string]*stream{}}
}

func (l *fakeLog) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}

	return s
}

// add appends a record and answers the waiting reads.
func (l *fakeLog) add(name string, data []byte) modeler.Offset {
	s := l.stream(name)
	entry := messenger.LogRecord{Offset: s.first + modeler.Offset(len(s.entries)), Time: l.sim.now, Data: data}
	s.entries = append(s.entries, entry)
	reads := s.waitingReads
	s.waitingReads = nil
	l.appended(name, entry)
	for _, wake := range reads {
		wake()
	}

	return entry.Offset
}

// append handles a request to append a record.
func (l *fakeLog) append(name string, data []byte, reply func(any, error)) {
	l.sim.after(l.sim.upTo(l.maxDelay+time.Millisecond), l.host, func() {
		if l.rejectIfDown(reply) {
			return
		}
		offset := l.add(name, data)
		if l.lostAnswerShare > 0 && l.sim.chance(l.lostAnswerShare) {
			l.sim.faultf("lost append answer", "%s at %d", name, offset)

			return
		}
		reply(offset, nil)
	})
}

// rejectIfDown reports whether the log is down, and refuses the request if the
// outage is not silent.
func (l *fakeLog) rejectIfDown(reply func(any, error)) bool {
	if l.down && !l.silent {
		reply(nil, errDown)
	}

	return l.down
}

// page returns up to limit records, starting at an offset.
func (l *fakeLog) page(name string, from modeler.Offset, limit int) messenger.Page {
	s := l.stream(name)
	next := s.first + modeler.Offset(len(s.entries))
	from = max(from, s.first)
	page := messenger.Page{First: s.first, Next: next}
	if from < next {
		at := int(from - s.first)
		page.Records = s.entries[at:min(at+limit, len(s.entries))]
	}

	return page
}

// read handles a request to read records. If there are none, it waits up to wait
// for the first one.
func (l *fakeLog) read(name string, from modeler.Offset, limit int, wait time.Duration, reply func(any, error)) {
	answered := false
	answer := func() {
		if !answered && !l.rejectIfDown(reply) {
			reply(l.page(name, from, limit), nil)
		}
		answered = true
	}
	l.sim.after(l.sim.upTo(l.maxDelay+time.Millisecond), l.host, func() {
		if s := l.stream(name); l.down || from < s.first+modeler.Offset(len(s.entries)) {
			answer()

			return
		}
		l.stream(name).waitingReads = append(l.stream(name).waitingReads, answer)
		l.sim.after(wait, l.host, answer)
	})
}

// expire removes records older than a time, except those of the configuration.
func (l *fakeLog) expire(before time.Time) {
	for _, name := range sortedKeys(l.streams) {
		s := l.streams[name]
		for len(s.entries) > 0 && s.entries[0].Time.Before(before) && name != follower.Stream {
			s.entries = s.entries[1:]
			s.first++
		}
	}
}

// immediateLog is the log as read by a configuration follower, without the event
// queue. A read is answered at once; it fails while the log is down or cut off,
// and with a probability of 0.9 while the log is slow.
type immediateLog struct {
	log  *fakeLog
	host *host
}

// Append implements messenger.Log.
func (l immediateLog) Append(context.Context, string, []byte) (modeler.Offset, error) {
	return 0, errors.New("not used: operators append through the event queue")
}

// Read implements messenger.Log.
func (l immediateLog) Read(_ context.Context, name string, from modeler.Offset, limit int, _ time.Duration) (messenger.Page, error) {
	slow := l.log.maxDelay > 0 && l.log.sim.chance(0.9)
	if l.log.down || slow || l.log.sim.disconnected(l.host, l.log.host) {
		return messenger.Page{}, errDown
	}

	return l.log.page(name, from, limit), nil
}
