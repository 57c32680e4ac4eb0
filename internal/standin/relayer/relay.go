package relayer

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// AddRequest is the body of POST /control/routes.
type AddRequest struct {
	Name string `json:"name"`
	// Listen is the address to listen on; its port may be 0.
	Listen netip.AddrPort `json:"listen"`
	Target netip.AddrPort `json:"target"`
}

// AddReply answers an AddRequest.
type AddReply struct {
	Address netip.AddrPort `json:"address"`
}

// Relay holds routes by name.
type Relay struct {
	mu     sync.Mutex
	routes map[string]*Route
}

// New returns a relay without routes.
func New() *Relay { return &Relay{routes: make(map[string]*Route)} }

// Add starts a route. It returns the address that the route listens on, and an
// error if the name is in use.
func (r *Relay) Add(ctx context.Context, msg AddRequest) (netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes[msg.Name] != nil {
		return netip.AddrPort{}, errors.Errorf("route %q exists", msg.Name)
	}
	route, err := Listen(ctx, msg.Listen, msg.Target)
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.routes[msg.Name] = route

	return route.Address(), nil
}

// Set replaces the settings of a route or, if name ends in "*", of every route
// whose name begins with the text before it. It returns an error if no route
// matches.
func (r *Relay) Set(name string, settings Settings) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	prefix, wildcard := strings.CutSuffix(name, "*")
	found := false
	for known, route := range r.routes {
		if known != name && (!wildcard || !strings.HasPrefix(known, prefix)) {
			continue
		}
		found = true
		if err := route.Set(settings); err != nil {
			return err
		}
	}
	if !found {
		return errors.Errorf("no route %q", name)
	}

	return nil
}

// Close closes every route.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, route := range r.routes {
		route.Close()
	}
}

// Router returns the HTTP handler of the relay's control interface: POST
// /control/routes with an AddRequest, and POST /control/routes/{name} with
// Settings, where a name may end in "*".
func (r *Relay) Router() http.Handler {
	router := chi.NewRouter()
	router.Post("/control/routes", func(w http.ResponseWriter, req *http.Request) {
		var msg AddRequest
		if err := injector.Decode(w, req, &msg); err != nil {
			return
		}
		address, err := r.Add(req.Context(), msg)
		writeReply(w, AddReply{Address: address}, err)
	})
	router.Post("/control/routes/{name}", func(w http.ResponseWriter, req *http.Request) {
		var settings Settings
		if err := injector.Decode(w, req, &settings); err != nil {
			return
		}
		writeReply(w, struct{}{}, r.Set(chi.URLParam(req, "name"), settings))
	})

	return router
}

// writeReply answers with the reply, or with 400 if there is an error.
func writeReply(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	injector.Encode(w, reply)
}
