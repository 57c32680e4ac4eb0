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

// Limits of the platform's store, as DEPLOY.md shows them under [platform].
const (
	recordBytes  = 262144
	callBytes    = 2097152
	appendTime   = 3 * time.Millisecond
	answerTime   = 1 * time.Millisecond
	newestItems  = 500
	newestBytes  = 1 << 20
	topicOp      = "keyed.op"
	topicServers = "keyed.servers"
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	newest  map[string]int
}

// store is a stand-in for the platform's metadata store: a linearizable log with
// conditional appends. It enforces record-bytes and call-bytes. It keeps its whole
// history, because a case is shorter than keep_s.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	rec     *recorder
	// oversized counts the appends that were refused because of their size.
	oversized int
}

func newStore(rec *recorder) *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), rec: rec}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, records []record) (int, int) {
	t := s.topic(name)
	offset := len(t.records)
	for _, r := range records {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

// put writes a record on behalf of the operator or an executor.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, []record{{key, value}})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/log-append", s.serveAppend)
	mux.HandleFunc("/v1/log-read", s.serveRead)
	mux.HandleFunc("/v1/log-newest", s.serveNewest)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == topicOp || name == topicServers {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		size := int(binary.BigEndian.Uint32(rest))
		rest = rest[4:]
		if size < 1 || size > len(rest) || 1+int(rest[0]) > size {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		total += size
		if size > recordBytes || total > callBytes {
			s.mu.Lock()
			s.oversized++
			count := s.oversized
			s.mu.Unlock()
			if count <= 5 || count%100 == 0 {
				key := string(rest[1 : 1+int(rest[0])])
				s.rec.note("store: append to %s refused with 400: record %q has %d bytes, record-bytes is %d, call-bytes is %d (refusal %d)", name, key, size, recordBytes, callBytes, count)
			}
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		k := int(rest[0])
		records = append(records, record{string(rest[1 : 1+k]), append([]byte(nil), rest[1+k:size]...)})
		rest = rest[size:]
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		if at, err = strconv.Atoi(text); err != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	end := len(s.topic(name).records)
	if at >= 0 && at != end {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	offset, end := s.append(name, records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	limit := 1024
	if kb, err := strconv.Atoi(query.Get("max-kb")); err == nil && kb > 0 {
		limit = kb
	}
	time.Sleep(answerTime)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, changed := len(t.records), s.changed
		if from < end || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := from; i < end && i >= 0; i++ {
				rec := t.records[i]
				if i > from && len(body)+len(rec.value) > limit<<10 {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(body, byte(len(rec.key)))
				body = append(append(body, rec.key...), rec.value...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	time.Sleep(answerTime)
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, key := range keys {
		offset := t.newest[key]
		value := t.records[offset].value
		if len(items) >= newestItems || len(items) > 0 && size+len(value) > newestBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}
