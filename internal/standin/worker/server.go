package worker

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// progressInterval is the interval at which a call in progress sends 102
// Processing, so that the owner does not consider its connection lost.
const progressInterval = 500 * time.Millisecond

// newRouter returns the HTTP handler of an endpoint, which implements the protocol
// of section 4.3 of the design page and serves the endpoint's ledger.
func newRouter(e *Endpoint, faults *injector.Injector) http.Handler {
	router := chi.NewRouter()
	router.Get("/control/ledger", func(w http.ResponseWriter, _ *http.Request) {
		injector.Encode(w, endpointEvents(e))
	})
	router.Group(func(r chi.Router) {
		r.Use(faults.Wrap)
		r.Post("/v1/hello", handle(e.Hello))
		r.Post("/v1/renew", handle(e.Renew))
		r.Post("/v1/start", handle(withoutReply(e.Start)))
		r.Post("/v1/stop", handle(withoutReply(e.Stop)))
		r.Post("/v1/checkpoint", handle(withoutReply(e.Checkpoint)))
		r.Post("/v1/throttle", handle(withoutReply(e.Throttle)))
		if e.capacity.Slots > 0 {
			r.Post("/v1/call", e.serveCall)
			r.Post("/v1/void", handle(e.Void))
		}
	})

	return router
}

// endpointEvents returns the events of one endpoint of the host.
func endpointEvents(e *Endpoint) []Event {
	var events []Event
	for _, event := range e.ledger.Events(0) {
		if event.Endpoint == e.instance.ID {
			events = append(events, event)
		}
	}

	return events
}

// withoutReply adapts a function without a reply for handle.
func withoutReply[M any](do func(M) error) func(M) (struct{}, error) {
	return func(msg M) (struct{}, error) { return struct{}{}, do(msg) }
}

// handle returns a handler that decodes a message, calls do, and encodes the reply
// or the error.
func handle[M, R any](do func(M) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var msg M
		if err := injector.Decode(w, r, &msg); err != nil {
			return
		}
		reply, err := do(msg)
		if err != nil {
			writeError(w, err)

			return
		}
		injector.Encode(w, reply)
	}
}

// serveCall runs a call and answers when it has ended.
func (e *Endpoint) serveCall(w http.ResponseWriter, r *http.Request) {
	var msg messenger.CallRequest
	if err := injector.Decode(w, r, &msg); err != nil {
		return
	}
	c, err := e.Call(msg)
	if err != nil {
		writeError(w, err)

		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.WriteHeader(http.StatusProcessing)
		case <-c.done:
			if !c.ok {
				http.Error(w, "call failed: "+c.cause, http.StatusInternalServerError)

				return
			}
			injector.Encode(w, messenger.CallReply{Request: msg.Request, Answer: c.answer})

			return
		}
	}
}

// writeError answers with the HTTP status for an error and its text.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, messenger.ErrStaleTerm):
		status = http.StatusConflict
	case errors.Is(err, messenger.ErrSessionExpired):
		status = http.StatusGone
	case errors.Is(err, messenger.ErrNoCapacity):
		status = http.StatusTooManyRequests
	case errors.Is(err, messenger.ErrOtherEndpoint):
		status = http.StatusMisdirectedRequest
	case errors.Is(err, messenger.ErrVoided):
		status = http.StatusPreconditionFailed
	case errors.Is(err, errDown):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errCommand):
		status = http.StatusUnprocessableEntity
	}
	http.Error(w, err.Error(), status)
}
