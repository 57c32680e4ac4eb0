package lister

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// Settings is the body of POST /control/settings.
type Settings struct {
	Lag injector.Duration `json:"lag"`
}

// Server serves a list with the protocol of section 4.2 of the design page.
type Server struct {
	list   *List
	faults *injector.Injector
	router chi.Router
}

// NewServer returns the HTTP handler of list. POST /control/instances adds or
// replaces instances, DELETE /control/instances/{id} removes one, POST
// /control/settings sets the lag, POST /control/views serves a view on another
// address, and POST /control/faults sets the faults.
func NewServer(list *List) *Server {
	s := &Server{list: list, faults: injector.New(), router: chi.NewRouter()}
	s.router.Post("/control/faults", s.faults.ServeHTTP)
	s.router.Post("/control/settings", s.serveSettings)
	s.router.Post("/control/views", s.serveView)
	s.router.Post("/control/instances", s.servePut)
	s.router.Delete("/control/instances/{id}", s.serveRemove)
	s.router.With(s.faults.Wrap).Get("/v1/instances", s.serveInstances)

	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) serveSettings(w http.ResponseWriter, r *http.Request) {
	var settings Settings
	if err := injector.Decode(w, r, &settings); err != nil {
		return
	}
	s.list.SetLag(time.Duration(settings.Lag))
	injector.Encode(w, struct{}{})
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var instances []modeler.Instance
	if err := injector.Decode(w, r, &instances); err != nil {
		return
	}
	s.list.Put(time.Now(), instances...)
	injector.Encode(w, struct{}{})
}

func (s *Server) serveRemove(w http.ResponseWriter, r *http.Request) {
	s.list.Remove(time.Now(), modeler.InstanceID(chi.URLParam(r, "id")))
	injector.Encode(w, struct{}{})
}

func (s *Server) serveInstances(w http.ResponseWriter, _ *http.Request) {
	injector.Encode(w, s.list.Instances(time.Now()))
}
