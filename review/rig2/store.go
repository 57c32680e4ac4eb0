package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as the settings file names them.
const (
	recordBytes     = 262144
	callBytes       = 2097152
	writesPerSecond = 600
	readsPerSecond  = 2000
	appendTime      = 3 * time.Millisecond
	answerTime      = time.Millisecond
	pageItems       = 500
	pageBytes       = 1 << 20
)

// The topics of the operator and the executors, to which the system may not write.
const (
	topicOperator  = "keyed.op"
	topicExecutors = "keyed.servers"
)

// store is a sound store of the platform in the form of a log, with one partition a topic.
type store struct {
	rig *rig

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	writes  window
	reads   window
	// oversize counts the appends that were refused for the size of a record or of the call, and overRate the calls
	// beyond the rates.
	oversize, overRate int

	// appending is held by the append that is in progress.
	appending sync.Mutex
}

type topic struct {
	records []logRecord
	newest  map[string]int
}

type logRecord struct {
	key   string
	value []byte
}

// window counts the calls of a second.
type window struct {
	second int64
	calls  int
}

func (w *window) allow(limit int) bool {
	if now := time.Now().Unix(); now != w.second {
		w.second, w.calls = now, 0
	}
	w.calls++

	return w.calls <= limit
}

func newStore(r *rig) *store {
	return &store{rig: r, topics: map[string]*topic{}, changed: make(chan struct{})}
}

// topic returns a topic; the caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}

	return t
}

// put writes a record of the operator or of an executor.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), []logRecord{{key, value}})
}

func (s *store) append(t *topic, records []logRecord) {
	for _, record := range records {
		if len(record.value) == 0 {
			delete(t.newest, record.key)
		} else {
			t.newest[record.key] = len(t.records)
		}
		t.records = append(t.records, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	allowed := r.Method == http.MethodPost && s.writes.allow(writesPerSecond) || r.Method == http.MethodGet && s.reads.allow(readsPerSecond)
	if !allowed {
		s.overRate++
	}
	s.mu.Unlock()
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)

		return
	}
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r)
	case "/v1/log-read":
		s.serveRead(w, r)
	case "/v1/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == topicOperator || name == topicExecutors {
		reply(w, http.StatusForbidden, map[string]any{})

		return
	}
	records, largest, ok := parseRecords(body)
	if !ok {
		reply(w, http.StatusBadRequest, map[string]any{"reason": "form"})

		return
	}
	if largest > recordBytes || len(body) > callBytes {
		s.refuseSize(largest, len(body))
		reply(w, http.StatusBadRequest, map[string]any{"reason": "size"})

		return
	}
	s.appending.Lock()
	defer s.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	t := s.topic(name)
	if text := r.URL.Query().Get("at"); text != "" && text != strconv.Itoa(len(t.records)) {
		end := len(t.records)
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})

		return
	}
	offset := len(t.records)
	s.append(t, records)
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *store) refuseSize(largest, size int) {
	s.mu.Lock()
	s.oversize++
	first := s.oversize == 1
	s.mu.Unlock()
	if first {
		s.rig.log("store: first append refused for its size: largest record %d bytes of at most %d, call %d of at most %d", largest, recordBytes, size, callBytes)
	}
}

// counts returns the numbers of appends refused for their size and of calls beyond the rates.
func (s *store) counts() (oversize, overRate int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.oversize, s.overRate
}

// parseRecords splits the body of an append and returns the size of the largest record.
func parseRecords(body []byte) (records []logRecord, largest int, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, 0, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size < 1 || size > len(body) || 1+int(body[0]) > size {
			return nil, 0, false
		}
		largest = max(largest, size)
		length := int(body[0])
		records = append(records, logRecord{string(body[1 : 1+length]), append([]byte(nil), body[1+length:size]...)})
		body = body[size:]
	}

	return records, largest, true
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})

		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	limit, _ := strconv.Atoi(query.Get("max-kb"))
	if limit == 0 {
		limit = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		var records []logRecord
		if from < len(t.records) {
			records = t.records[from:]
		}
		end, changed := len(t.records), s.changed
		s.mu.Unlock()
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i, record := range records {
			if i > 0 && len(body) > limit<<10 {
				break
			}
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
			body = append(body, byte(len(record.key)))
			body = append(append(body, record.key...), record.value...)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(body)

		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size := 0
	for _, key := range keys {
		record := t.records[t.newest[key]]
		if len(items) > 0 && (len(items) == pageItems || size+len(record.value) > pageBytes) {
			break
		}
		size += len(record.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": t.newest[key]})
	}
	more, end := len(items) < len(keys), len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}
