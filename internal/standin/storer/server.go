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
	// lengthBytes is the size of the length before a record. offsetBytes is the
	// size of the two offsets before the records in the answer to a read.
	lengthBytes = 4
	offsetBytes = 16
	// maxBodyBytes limits the body of an append.
	maxBodyBytes = 4 << 20
)

// The topics that operators and endpoints write to with Store.Put.
const (
	TopicOperators = "keyed.op"
	TopicEndpoints = "keyed.servers"
)

// readOnlyTopics are the topics whose appends over HTTP are refused with 403.
var readOnlyTopics = map[string]bool{TopicOperators: true, TopicEndpoints: true}

// Router returns the store's HTTP handler for one caller. The store keeps the name
// of the caller whose conditional append succeeded last.
func (s *Store) Router(caller string) http.Handler {
	router := chi.NewRouter()
	router.Use(s.applyFaults)
	router.Post("/v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, caller) })
	router.Get("/v1/log-read", s.serveRead)
	router.Get("/v1/log-newest", s.serveNewest)

	return router
}

// applyFaults answers requests with 503 or delays them, as the faults require.
func (s *Store) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, _, _ := s.drawFaults(false)
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

// serveAppend appends the records of a request at the given offset, or at the end
// of the topic if the request gives none.
func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, caller string) {
	name := r.URL.Query().Get("topic")
	if readOnlyTopics[name] {
		w.WriteHeader(http.StatusForbidden)

		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	records, ok := parseRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	faults, lost, late := s.drawFaults(true)
	if late {
		time.AfterFunc(faults.LateDelay, func() { s.appendAt(caller, name, at, records) })
		panic(http.ErrAbortHandler) // The connection ends without an answer.
	}
	offset, end, appended := s.appendAt(caller, name, at, records)
	if lost {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !appended {
		status = http.StatusPreconditionFailed
	}
	answer(w, status, map[string]int64{"offset": offset, "end": end})
}

// parseRecords decodes the records in the body of an append. It reports false if
// the body is malformed.
func parseRecords(body []byte) (records []Record, ok bool) {
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if size < 1 || size > len(body) || 1+int(body[0]) > size {
			return nil, false
		}
		keyLength := int(body[0])
		records = append(records, Record{Key: string(body[1 : 1+keyLength]), Value: body[1+keyLength : size]})
		body = body[size:]
	}

	return records, true
}

// serveRead answers with the records from an offset on, and waits for the first
// one if there are none yet. It answers 410 if the offset was truncated.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	// A missing or malformed wait counts as zero.
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

// writeRecords writes the end and the first offset of a topic, and the records.
func writeRecords(w http.ResponseWriter, records []Record, first, end int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	body := binary.BigEndian.AppendUint64(make([]byte, 0, offsetBytes), uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(body, byte(len(record.Key)))
		body = append(append(body, record.Key...), record.Value...)
	}
	// An error means that the reader has closed the connection.
	_, _ = w.Write(body) //nolint:gosec // Records are binary data and are not rendered as a page.
}

// serveNewest answers with a page of the newest records by key.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	items, more, end := s.pageNewest(r.URL.Query().Get("topic"), r.URL.Query().Get("after"))
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
