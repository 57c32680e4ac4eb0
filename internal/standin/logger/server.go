package logger

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// The default limit and the maximum wait of a read.
const (
	defaultLimit = 1000
	maxWait      = 30 * time.Second
)

// Server serves a log with the protocol of section 4.1 of the design page.
type Server struct {
	log    *Log
	faults *injector.Injector
	router chi.Router
}

// NewServer returns the HTTP handler of log. POST /control/faults sets the faults.
func NewServer(log *Log) *Server {
	s := &Server{log: log, faults: injector.New(), router: chi.NewRouter()}
	s.router.Post("/control/faults", s.faults.ServeHTTP)
	s.router.Group(func(r chi.Router) {
		r.Use(s.faults.Wrap)
		r.Post("/v1/streams/{stream}/records", s.serveAppend)
		r.Get("/v1/streams/{stream}/records", s.serveRead)
	})

	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// serveAppend appends a record, or answers 429 above the rate limit.
func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !s.log.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)

		return
	}
	var msg messenger.AppendRequest
	if err := injector.Decode(w, r, &msg); err != nil {
		return
	}
	injector.Encode(w, messenger.AppendReply{Offset: s.log.Append(chi.URLParam(r, "stream"), msg.Data, time.Now())})
}

// serveRead answers with a page of records. It waits for the first one if there are
// none yet.
func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	from, limit, wait, err := readParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended := s.log.Read(chi.URLParam(r, "stream"), from, limit, time.Now())
		if len(page.Records) > 0 {
			injector.Encode(w, page)

			return
		}
		select {
		case <-appended:
		case <-timer.C:
			injector.Encode(w, page)

			return
		case <-r.Context().Done():
			return
		}
	}
}

// readParameters returns the parameters of a read within their bounds.
func readParameters(r *http.Request) (from modeler.Offset, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	limit = defaultLimit
	if text := query.Get("from"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, 0, 0, err
		}
		from = modeler.Offset(n)
	}
	if text := query.Get("max"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil {
			return 0, 0, 0, err
		}
	}
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, 0, err
		}
	}

	return from, max(limit, 1), min(wait, maxWait), nil
}
