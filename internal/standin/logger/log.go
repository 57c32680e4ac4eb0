// Package logger simulates the platform's append-only log service.
package logger

import (
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// maxPageBytes limits the data in the answer to a read. A single larger record is
// still returned.
const maxPageBytes = 16 << 20

// stream holds the retained records of a stream; the first one has offset first.
type stream struct {
	first   modeler.Offset
	records []messenger.LogRecord
	// appended is closed and replaced with each append.
	appended chan struct{}
}

// next returns the offset of the next append.
func (s *stream) next() modeler.Offset { return s.first + modeler.Offset(len(s.records)) }

// Log is an append-only log of named streams in memory.
type Log struct {
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
	limiter   *rate.Limiter
}

// New returns a log that keeps records for retention and admits perSecond appends
// per second over all streams.
func New(retention time.Duration, perSecond int) *Log {
	return &Log{
		streams:   make(map[string]*stream),
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), max(perSecond/4, 1)),
	}
}

// Allow reports whether the rate limit admits another append, and counts it.
func (l *Log) Allow() bool { return l.limiter.Allow() }

// Append appends a record to a stream and returns its offset.
func (l *Log) Append(name string, data []byte, now time.Time) modeler.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getStream(name)
	l.trim(s, now)
	offset := s.next()
	s.records = append(s.records, messenger.LogRecord{Offset: offset, Time: now, Data: data})
	close(s.appended)
	s.appended = make(chan struct{})

	return offset
}

// Read returns up to limit records from the offset from on, and a channel that is
// closed at the next append.
func (l *Log) Read(name string, from modeler.Offset, limit int, now time.Time) (messenger.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getStream(name)
	l.trim(s, now)
	page := messenger.Page{First: s.first, Next: s.next(), Records: []messenger.LogRecord{}}
	size := 0
	for _, entry := range s.records[min(max(from-s.first, 0), modeler.Offset(len(s.records))):] {
		size += len(entry.Data)
		if len(page.Records) == limit || size > maxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, entry)
	}

	return page, s.appended
}

// getStream returns a stream and creates it if it is missing; the caller holds the
// lock.
func (l *Log) getStream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}

	return s
}

// trim drops records older than the retention time. Their offsets are not reused.
// The caller holds the lock.
func (l *Log) trim(s *stream, now time.Time) {
	oldest := now.Add(-l.retention)
	n := sort.Search(len(s.records), func(i int) bool { return s.records[i].Time.After(oldest) })
	s.first += modeler.Offset(n)
	s.records = s.records[n:]
}
