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
	mu      sync.Mutex
	faults  Faults
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

// ServeHTTP implements POST /control/faults with a body of Faults.
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

// Wrap applies the faults to next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !i.admit(w, r) {
			return
		}
		faults, _ := i.Faults()
		if r.Method != http.MethodGet && faults.LostAnswerShare > 0 && rand.Float64() < faults.LostAnswerShare {
			next.ServeHTTP(&lostWriter{header: http.Header{}}, r)
			Drop(w)

			return
		}
		next.ServeHTTP(w, r)
	})
}

// admit waits and reports whether the request takes effect.
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

// Drop closes the connection of a request without an answer.
func Drop(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// lostWriter discards an answer.
type lostWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (l *lostWriter) Header() http.Header { return l.header }

// Write implements http.ResponseWriter.
func (l *lostWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (l *lostWriter) WriteHeader(int) {}

// maxBody bounds the body of a request to a stand-in.
const maxBody = 64 << 20

// Decode reads the JSON body of a request; on an error it has answered 400.
func Decode(w http.ResponseWriter, r *http.Request, into any) error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}

	return err
}

// Encode answers a request with JSON.
func Encode(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
