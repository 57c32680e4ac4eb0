package worker

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// Router returns the HTTP handler of the host's control interface:
//
//	GET  /control/ledger?from=N           events of all endpoints
//	GET  /control/endpoints               instances
//	POST /control/endpoints/{id}/faults   injector.Faults
//	POST /control/endpoints/{id}/settings Settings
//	POST /control/endpoints/{id}/die, revive, replace, leave
func (h *Host) Router() http.Handler {
	router := chi.NewRouter()
	router.Get("/control/ledger", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		injector.Encode(w, h.ledger.Events(from))
	})
	router.Get("/control/endpoints", func(w http.ResponseWriter, _ *http.Request) {
		injector.Encode(w, h.Instances())
	})
	router.Post("/control/endpoints/{id}/faults", h.serveFaults)
	router.Post("/control/endpoints/{id}/settings", h.serveSettings)
	router.Post("/control/endpoints/{id}/{action}", h.serveAction)

	return router
}

func (h *Host) serveFaults(w http.ResponseWriter, r *http.Request) {
	if s := h.lookup(w, r); s != nil {
		s.faults.ServeHTTP(w, r)
	}
}

func (h *Host) serveSettings(w http.ResponseWriter, r *http.Request) {
	s := h.lookup(w, r)
	if s == nil {
		return
	}
	var settings Settings
	if err := injector.Decode(w, r, &settings); err != nil {
		return
	}
	s.endpoint.Set(settings)
	injector.Encode(w, struct{}{})
}

func (h *Host) serveAction(w http.ResponseWriter, r *http.Request) {
	id := modeler.InstanceID(chi.URLParam(r, "id"))
	var answer any = struct{}{}
	var err error
	switch action := chi.URLParam(r, "action"); action {
	case "die":
		err = h.Crash(id)
	case "revive":
		err = h.Restart(r.Context(), id)
	case "replace":
		answer, err = h.Replace(r.Context(), id)
	case "leave":
		err = h.Leave(r.Context(), id)
	default:
		http.NotFound(w, r)

		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)

		return
	}
	injector.Encode(w, answer)
}

// lookup returns the endpoint that a request names. If there is none, it answers
// 404 and returns nil.
func (h *Host) lookup(w http.ResponseWriter, r *http.Request) *endpointServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.find(modeler.InstanceID(chi.URLParam(r, "id")))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)

		return nil
	}

	return s
}
