// Package storer stands in for the users' store: topics with conditional
// appends whose newest record of each key is kept. It can refuse calls, answer
// slowly, lose answers, carry appends out late and drop its history.
package storer

import (
	"encoding/base64"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are the disturbances of a store.
type Faults struct {
	// Unavailable refuses every call.
	Unavailable bool
	// Delay is added to every answer.
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

// topic is the only partition of a topic.
type topic struct {
	records []Record
	// first is the offset of the oldest record that can still be read.
	first  int64
	newest map[string]int64
}

func (t *topic) end() int64 { return int64(len(t.records)) }

// Store holds topics in memory.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	// changed is closed with each append.
	changed chan struct{}
	random  func() float64
	// lastCaller is who last appended under a condition.
	lastCaller string
}

// New returns an empty store. random returns numbers from 0 to 1, which choose
// the appends that are disturbed.
func New(random func() float64) *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), random: random}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Truncate drops the history of every topic; the newest records stay.
func (s *Store) Truncate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = t.end()
	}
	s.signal()
}

// LastCaller returns who last appended under a condition: the owner of the cell.
func (s *Store) LastCaller() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.lastCaller
}

// Put appends a record as the operators and endpoints do.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, []Record{{key, value}})
}

// append adds records; the caller holds the lock.
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
	s.signal()

	return offset, t.end()
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}}
		s.topics[name] = t
	}

	return t
}

// appendAt appends records where the topic ends at an offset, or anywhere when it is negative.
func (s *Store) appendAt(caller, name string, at int64, records []Record) (offset, end int64, landed bool) {
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

// read returns the records from an offset on, the first offset that is kept and
// a channel that is closed when there are more.
func (s *Store) read(name string, from int64) (records []Record, first, end int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from >= t.first && from < t.end() {
		records = t.records[from:]
	}

	return records, t.first, t.end(), s.changed
}

// page is the most items of a page of newest records.
const page = 500

// pageNewest returns the newest records of the keys after one.
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
	for _, key := range keys[:min(page, len(keys))] {
		offset := t.newest[key]
		items = append(items, Item{Key: key, Value: base64.StdEncoding.EncodeToString(t.records[offset].Value), Offset: offset})
	}

	return items, len(keys) > page, t.end()
}

// fate decides what happens to a call.
func (s *Store) fate(appends bool) (faults Faults, lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if appends {
		draw := s.random()
		lost, late = draw < s.faults.LostAnswerShare, draw >= s.faults.LostAnswerShare && draw < s.faults.LostAnswerShare+s.faults.LateShare
	}

	return s.faults, lost, late
}
