package storer

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	// headerBytes and readBytes are the sizes of a record's length and of the offsets before the records of a read.
	headerBytes = 4
	readBytes   = 16
	// bodyMost bounds an append in bytes.
	bodyMost = 4 << 20
)

// The topics that only operators and endpoints write to.
const (
	TopicOperators = "keyed.op"
	TopicEndpoints = "keyed.servers"
)

var readOnly = map[string]bool{TopicOperators: true, TopicEndpoints: true}

// Router returns the store's interface for a caller, whose name is kept with
// its conditional appends.
func (s *Store) Router(caller string) http.Handler {
	router := chi.NewRouter()
	router.Use(s.disturb)
	router.Post("/v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, caller) })
	router.Get("/v1/log-read", s.serveRead)
	router.Get("/v1/log-newest", s.serveNewest)

	return router
}

// disturb refuses or delays calls.
func (s *Store) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, _, _ := s.fate(false)
		if faults.Unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, caller string) {
	name := r.URL.Query().Get("topic")
	if readOnly[name] {
		w.WriteHeader(http.StatusForbidden)

		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	at := int64(-1)
	if text := r.URL.Query().Get("at"); text != "" {
		if at, err = strconv.ParseInt(text, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
	}
	records, ok := parse(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	faults, lost, late := s.fate(true)
	if late {
		time.AfterFunc(faults.LateDelay, func() { s.appendAt(caller, name, at, records) })
		panic(http.ErrAbortHandler) // The connection ends without an answer.
	}
	offset, end, landed := s.appendAt(caller, name, at, records)
	if lost {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !landed {
		status = http.StatusPreconditionFailed
	}
	answer(w, status, map[string]int64{"offset": offset, "end": end})
}

// parse reads records as an append carries them.
func parse(body []byte) (records []Record, ok bool) {
	for len(body) > 0 {
		if len(body) < headerBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[headerBytes:]
		if size < 1 || size > len(body) || 1+int(body[0]) > size {
			return nil, false
		}
		key := int(body[0])
		records = append(records, Record{Key: string(body[1 : 1+key]), Value: body[1+key : size]})
		body = body[size:]
	}

	return records, true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	// A wait that is left out or unreadable counts as none.
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		records, first, end, changed := s.read(query.Get("topic"), from)
		if from < first {
			answer(w, http.StatusGone, map[string]int64{"first": first})

			return
		}
		if len(records) > 0 || !waiting {
			writeRecords(w, records, first, end)

			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []Record, first, end int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	body := binary.BigEndian.AppendUint64(make([]byte, 0, readBytes), uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(body, byte(len(record.Key)))
		body = append(append(body, record.Key...), record.Value...)
	}
	// The reader has gone when this fails.
	_, _ = w.Write(body) //nolint:gosec // Records are bytes for a program, never a page.
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	items, more, end := s.pageNewest(r.URL.Query().Get("topic"), r.URL.Query().Get("after"))
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone when this fails.
	_ = json.NewEncoder(w).Encode(body)
}
