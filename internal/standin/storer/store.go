// Package storer simulates the users' store: topics with conditional appends that
// keep the newest record of each key. It can refuse requests, delay answers, drop
// answers, apply appends late and truncate its history.
package storer

import (
	"encoding/base64"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are the faults of a store; the zero value has none.
type Faults struct {
	// Unavailable makes the store refuse every request.
	Unavailable bool
	// Delay is added to the time of every request.
	Delay time.Duration
	// LostAnswerShare is the share of appends that take effect without an answer.
	// LateShare is the share of appends that take effect LateDelay later, also
	// without an answer.
	LostAnswerShare, LateShare float64
	LateDelay                  time.Duration
}

// Record is a record of a topic.
type Record struct {
	Key   string
	Value []byte
}

// Item is the newest record of a key.
type Item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// topic holds the records of a topic, which has one partition.
type topic struct {
	records []Record
	// first is the offset of the oldest record that can be read.
	first int64
	// newest holds the offset of the newest record of each key.
	newest map[string]int64
}

func (t *topic) end() int64 { return int64(len(t.records)) }

// Store holds topics in memory.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	// changed is closed and replaced with each append and truncation.
	changed chan struct{}
	random  func() float64
	// lastCaller is the caller of the last successful conditional append.
	lastCaller string
}

// New returns an empty store. random returns numbers from 0 to 1, which select
// the appends with a fault.
func New(random func() float64) *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), random: random}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Truncate drops the history of every topic but keeps the newest record of each
// key.
func (s *Store) Truncate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = t.end()
	}
	s.notify()
}

// LastCaller returns the caller of the last successful conditional append, which
// is the owner of the cell.
func (s *Store) LastCaller() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.lastCaller
}

// Put appends a record on behalf of operators or endpoints, also to a topic that
// is read-only for the callers of Router.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, []Record{{key, value}})
}

// append adds records to a topic and returns the offset of the first one and the
// end of the topic; the caller holds the lock. A record without a value deletes
// its key.
func (s *Store) append(name string, records []Record) (offset, end int64) {
	t := s.topic(name)
	offset = t.end()
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(t.newest, record.Key)
		} else {
			t.newest[record.Key] = t.end()
		}
		t.records = append(t.records, record)
	}
	s.notify()

	return offset, t.end()
}

// notify wakes the readers that wait for a change; the caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// topic returns a topic and creates it if it is missing; the caller holds the lock.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}}
		s.topics[name] = t
	}

	return t
}

// appendAt appends records if the topic ends at the offset at, or unconditionally
// if at is negative.
func (s *Store) appendAt(caller, name string, at int64, records []Record) (offset, end int64, appended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topic(name); at >= 0 && t.end() != at {
		return 0, t.end(), false
	}
	if at >= 0 {
		s.lastCaller = caller
	}
	offset, end = s.append(name, records)

	return offset, end, true
}

// read returns the records from an offset on, the first offset that can be read,
// the end of the topic, and a channel that is closed at the next change.
func (s *Store) read(name string, from int64) (records []Record, first, end int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from >= t.first && from < t.end() {
		records = t.records[from:]
	}

	return records, t.first, t.end(), s.changed
}

// pageSize is the maximum number of items in a page of newest records.
const pageSize = 500

// pageNewest returns a page of the newest records, in the order of their keys and
// beginning after the key after, and whether there are more.
func (s *Store) pageNewest(name, after string) (items []Item, more bool, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys[:min(pageSize, len(keys))] {
		offset := t.newest[key]
		items = append(items, Item{Key: key, Value: base64.StdEncoding.EncodeToString(t.records[offset].Value), Offset: offset})
	}

	return items, len(keys) > pageSize, t.end()
}

// drawFaults returns the faults and, for an append, whether its answer is lost
// or whether it takes effect late.
func (s *Store) drawFaults(isAppend bool) (faults Faults, lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isAppend {
		draw := s.random()
		lost, late = draw < s.faults.LostAnswerShare, draw >= s.faults.LostAnswerShare && draw < s.faults.LostAnswerShare+s.faults.LateShare
	}

	return s.faults, lost, late
}
