package soaker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// errDown is the answer of a log in an outage.
var errDown = errors.New("log is down")

// stream is one stream of the log; its first records may have expired.
type stream struct {
	first   modeler.Offset
	entries []messenger.LogRecord
	readers []func()
}

// fakeLog is the platform's log. It holds its records through an outage.
type fakeLog struct {
	*host
	world   *world
	streams map[string]*stream
	down    bool
	// silent makes an outage one without answers instead of refusals.
	silent bool
	// slow delays what the log does by up to this.
	slow time.Duration
	// lose is the chance that the answer to an append is lost.
	lose float64
	// appended is called for every record.
	appended func(name string, entry messenger.LogRecord)
}

func newLog(w *world) *fakeLog {
	return &fakeLog{host: &host{name: "log"}, world: w, streams: map[string]*stream{}}
}

func (l *fakeLog) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}

	return s
}

// add appends a record and answers the reads that wait for it.
func (l *fakeLog) add(name string, data []byte) modeler.Offset {
	s := l.stream(name)
	entry := messenger.LogRecord{Offset: s.first + modeler.Offset(len(s.entries)), Time: l.world.now, Data: data}
	s.entries = append(s.entries, entry)
	readers := s.readers
	s.readers = nil
	l.appended(name, entry)
	for _, wake := range readers {
		wake()
	}

	return entry.Offset
}

// append handles an append.
func (l *fakeLog) append(name string, data []byte, reply func(any, error)) {
	l.world.after(l.world.upTo(l.slow+time.Millisecond), l.host, func() {
		if l.refuses(reply) {
			return
		}
		offset := l.add(name, data)
		if l.lose > 0 && l.world.chance(l.lose) {
			l.world.faultf("lost append answer", "%s at %d", name, offset)

			return
		}
		reply(offset, nil)
	})
}

// refuses reports whether the log is down.
func (l *fakeLog) refuses(reply func(any, error)) bool {
	if l.down && !l.silent {
		reply(nil, errDown)
	}

	return l.down
}

// page returns the records from an offset on.
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

// read handles a read that waits for the first record.
func (l *fakeLog) read(name string, from modeler.Offset, limit int, wait time.Duration, reply func(any, error)) {
	answered := false
	answer := func() {
		if !answered && !l.refuses(reply) {
			reply(l.page(name, from, limit), nil)
		}
		answered = true
	}
	l.world.after(l.world.upTo(l.slow+time.Millisecond), l.host, func() {
		if s := l.stream(name); l.down || from < s.first+modeler.Offset(len(s.entries)) {
			answer()

			return
		}
		l.stream(name).readers = append(l.stream(name).readers, answer)
		l.world.after(wait, l.host, answer)
	})
}

// expire drops the records older than the retention.
func (l *fakeLog) expire(before time.Time) {
	for _, name := range sortedKeys(l.streams) {
		s := l.streams[name]
		for len(s.entries) > 0 && s.entries[0].Time.Before(before) && name != follower.Stream {
			s.entries = s.entries[1:]
			s.first++
		}
	}
}

// prompt is the log as a configuration follower reads it: at once, or not at
// all while the log is down or cut off, and seldom while it is slow.
type prompt struct {
	log  *fakeLog
	host *host
}

// Append implements messenger.Log.
func (p prompt) Append(context.Context, string, []byte) (modeler.Offset, error) {
	return 0, errors.New("not used: operators append through the event queue")
}

// Read implements messenger.Log.
func (p prompt) Read(_ context.Context, name string, from modeler.Offset, limit int, _ time.Duration) (messenger.Page, error) {
	slow := p.log.slow > 0 && p.log.world.chance(0.9)
	if p.log.down || slow || p.log.world.parted(p.host, p.log.host) {
		return messenger.Page{}, errDown
	}

	return p.log.page(name, from, limit), nil
}
