package injector

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Injector applies faults to the requests of a server.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// New returns an injector without faults.
func New() *Injector { return &Injector{changed: make(chan struct{})} }

// Set replaces the faults.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	close(i.changed)
	i.changed = make(chan struct{})
}

// Faults returns the faults and a channel that is closed when they change.
func (i *Injector) Faults() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.faults, i.changed
}

// ServeHTTP serves POST /control/faults, whose body is Faults in JSON.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := Decode(w, r, &faults); err != nil {
		return
	}
	if err := faults.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	i.Set(faults)
	Encode(w, struct{}{})
}

// Wrap returns a handler that applies the faults to the requests of next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !i.admit(w, r) {
			return
		}
		faults, _ := i.Faults()
		if r.Method != http.MethodGet && faults.LostAnswerShare > 0 && rand.Float64() < faults.LostAnswerShare {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			Drop(w)

			return
		}
		next.ServeHTTP(w, r)
	})
}

// admit waits as the faults require and reports whether the request is to be
// carried out. If not, it has failed the request.
func (i *Injector) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		faults, changed := i.Faults()
		switch {
		case faults.Frozen:
			<-changed

			continue
		case faults.Outage == OutageUnavailable:
			http.Error(w, "outage", http.StatusServiceUnavailable)

			return false
		case faults.Outage == OutageRefuse:
			Drop(w)

			return false
		case faults.Outage == OutageHang:
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			Drop(w)

			return false
		}
		time.Sleep(time.Duration(faults.Latency))

		return true
	}
}

// Drop closes the connection of a request without sending an answer.
func Drop(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

// maxBody limits the body of a request to a stand-in, in bytes.
const maxBody = 64 << 20

// Decode decodes the JSON body of a request into a value. If that fails, it answers
// 400 and returns the error.
func Decode(w http.ResponseWriter, r *http.Request, into any) error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}

	return err
}

// Encode writes an answer in JSON.
func Encode(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
