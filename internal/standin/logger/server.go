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

// Bounds of the parameters of a read.
const (
	defaultMax = 1000
	maxWait    = 30 * time.Second
)

// Server serves a log by the protocol of section 4.1 of the design page.
type Server struct {
	log    *Log
	faults *injector.Injector
	router chi.Router
}

// NewServer returns the HTTP handler of log. POST /control/faults switches
// failures.
func NewServer(log *Log) *Server {
	s := &Server{log: log, faults: injector.New(), router: chi.NewRouter()}
	s.router.Post("/control/faults", s.faults.ServeHTTP)
	s.router.Group(func(r chi.Router) {
		r.Use(s.faults.Wrap)
		r.Post("/v1/streams/{stream}/records", s.append)
		r.Get("/v1/streams/{stream}/records", s.read)
	})

	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, limit, wait, err := parameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown := s.log.Read(chi.URLParam(r, "stream"), from, limit, time.Now())
		if len(page.Records) > 0 {
			injector.Encode(w, page)

			return
		}
		select {
		case <-grown:
		case <-timer.C:
			injector.Encode(w, page)

			return
		case <-r.Context().Done():
			return
		}
	}
}

func parameters(r *http.Request) (from modeler.Offset, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	limit = defaultMax
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
