package main

import (
	"bytes"
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

// Limits of the platform's store, as in the settings of the small deployments.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 3 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	newest  map[string]int
}

// store is a stand-in of the platform's metadata store: topics with one partition that keep
// the newest record of each key.
type store struct {
	log     *journal
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// refused counts the appends that were refused because of their size, and largest is the size of the largest record.
	refused, largest int
}

func newStore(log *journal) *store {
	return &store{log: log, topics: map[string]*topic{}, changed: make(chan struct{})}
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

// put appends a record on behalf of the operator or an executor.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []record{{key, data}})
}

// add appends records; the caller holds the lock.
func (s *store) add(t *topic, records []record) {
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
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)

	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})

		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	size := len(body)
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			reply(w, http.StatusBadRequest, map[string]any{})

			return
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) > n-1 {
			reply(w, http.StatusBadRequest, map[string]any{})

			return
		}
		s.mu.Lock()
		s.largest = max(s.largest, n)
		s.mu.Unlock()
		if n > recordBytes || size > callBytes {
			s.refuseSize(name, n, size)
			reply(w, http.StatusBadRequest, map[string]any{"reason": "size"})

			return
		}
		content := body[4 : 4+n]
		k := int(content[0])
		records = append(records, record{string(content[1 : 1+k]), content[1+k:]})
		body = body[4+n:]
	}
	time.Sleep(appendTime)
	at := int64(-1)
	if text := r.URL.Query().Get("at"); text != "" {
		if at, err = strconv.ParseInt(text, 10, 64); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})

			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := int64(len(t.records))
	if at >= 0 && at != offset {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": offset})

		return
	}
	s.add(t, records)
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

func (s *store) refuseSize(name string, n, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	if s.refused <= 3 || s.refused%20000 == 0 {
		s.log.printf("store: append %d to %s refused with 400: a record of %d bytes, a call of %d bytes", s.refused, name, n, size)
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		reply(w, http.StatusBadRequest, map[string]any{})

		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	maxKB, _ := strconv.Atoi(q.Get("max-kb"))
	if maxKB <= 0 {
		maxKB = 1024
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := s.changed
		var records []record
		for size := 0; from+len(records) < len(t.records); {
			next := t.records[from+len(records)]
			if size += len(next.key) + len(next.value) + 5; size > maxKB<<10 && len(records) > 0 {
				break
			}
			records = append(records, next)
		}
		end := len(t.records)
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(append(out, rec.key...), rec.value...)
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(out)

			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size := 0
	for _, key := range keys {
		value := t.records[t.newest[key]].value
		if size += len(value); len(items) == pageItems || size > pageBytes && len(items) > 0 {
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key]})
	}
	body := map[string]any{"items": items, "has-more": len(items) < len(keys), "end": len(t.records)}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// owner returns the name of the instance that announced itself last as the owner: the key of
// its record in the product's table of instances is "/owner", and the record names it.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic("keyed.instances")
	at, ok := t.newest["/owner"]
	if !ok {
		return ""
	}
	value := t.records[at].value
	for key := range t.newest {
		if key != "/owner" && bytes.Contains(value, []byte(key)) {
			return key
		}
	}

	return ""
}
