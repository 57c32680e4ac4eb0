// Package logger stands in for the platform's append-only log service.
package logger

import (
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// maxPage bounds the data of one answer to a read, in bytes.
const maxPage = 16 << 20

// stream holds the retained records; the first has offset first.
type stream struct {
	first   modeler.Offset
	records []messenger.LogRecord
	grown   chan struct{}
}

func (s *stream) next() modeler.Offset { return s.first + modeler.Offset(len(s.records)) }

// Log is an append-only log in memory.
type Log struct {
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
	limiter   *rate.Limiter
}

// New returns a log that keeps records for retention and takes perSecond
// appends a second over all streams.
func New(retention time.Duration, perSecond int) *Log {
	return &Log{
		streams:   make(map[string]*stream),
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), max(perSecond/4, 1)),
	}
}

// Allow reports whether the rate limit admits one more append.
func (l *Log) Allow() bool { return l.limiter.Allow() }

// Append adds a record and returns its offset.
func (l *Log) Append(name string, data []byte, now time.Time) modeler.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.open(name)
	l.trim(s, now)
	offset := s.next()
	s.records = append(s.records, messenger.LogRecord{Offset: offset, Time: now, Data: data})
	close(s.grown)
	s.grown = make(chan struct{})

	return offset
}

// Read returns up to limit records from offset from on, and a channel that is
// closed at the next append.
func (l *Log) Read(name string, from modeler.Offset, limit int, now time.Time) (messenger.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.open(name)
	l.trim(s, now)
	page := messenger.Page{First: s.first, Next: s.next(), Records: []messenger.LogRecord{}}
	size := 0
	for _, entry := range s.records[min(max(from-s.first, 0), modeler.Offset(len(s.records))):] {
		size += len(entry.Data)
		if len(page.Records) == limit || size > maxPage && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, entry)
	}

	return page, s.grown
}

func (l *Log) open(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}

	return s
}

// trim drops records older than the retention time; offsets are not reused.
func (l *Log) trim(s *stream, now time.Time) {
	oldest := now.Add(-l.retention)
	n := sort.Search(len(s.records), func(i int) bool { return s.records[i].Time.After(oldest) })
	s.first += modeler.Offset(n)
	s.records = s.records[n:]
}
