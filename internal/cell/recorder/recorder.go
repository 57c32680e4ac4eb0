// Package recorder writes the structured log without blocking and keeps the
// counters and latency histograms of a process.
package recorder

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/greengagewall/greengagewall/internal/container/buffer"
)

const (
	// logLines bounds the lines that wait to be written; more are dropped and counted.
	logLines = 4096
	// histogramMost is the largest latency that is told apart, in microseconds.
	histogramMost   = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 2
)

// Writer is a writer that never blocks: lines that find no room are dropped.
type Writer struct {
	ring    *buffer.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer; Run makes it work.
func NewWriter(out io.Writer) *Writer {
	return &Writer{ring: buffer.NewRing[[]byte](logLines), out: out, done: make(chan struct{})}
}

// Write queues a line.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.ring.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Run writes the lines until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	for {
		line, ok := w.ring.Pop(ctx)
		if !ok {
			break
		}
		w.flush(line)
	}
	for line, ok := w.ring.TryPop(); ok; line, ok = w.ring.TryPop() {
		w.flush(line)
	}
}

// flush writes a line, and all that wait behind it, in one call.
func (w *Writer) flush(line []byte) {
	for next, ok := w.ring.TryPop(); ok; next, ok = w.ring.TryPop() {
		line = append(line, next...)
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		line = fmt.Appendf(line, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	// There is nowhere to report a failure to write the log.
	_, _ = w.out.Write(line)
}

// Done is closed when all lines are written after the end of Run's context.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Metrics holds counters and latency histograms.
type Metrics struct {
	counters   *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{counters: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) { m.counters.Add(name, 1) }

// Observe adds a latency to a histogram.
func (m *Metrics) Observe(name string, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMost, histogramDigits)
		m.histograms[name] = h
	}
	// A latency beyond the range counts as the largest one.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), histogramMost))
}

// Summary is a histogram in short, in microseconds.
type Summary struct {
	Count                int64
	P50, P90, P99, Worst int64
}

// Handler serves the metrics as JSON text.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		// The reader has gone when this fails.
		_ = encoder.Encode(m.snapshot())
	})
}

func (m *Metrics) snapshot() map[string]any {
	counters := map[string]int64{}
	m.counters.Do(func(kv expvar.KeyValue) {
		if value, ok := kv.Value.(*expvar.Int); ok {
			counters[kv.Key] = value.Value()
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.histograms))
	for name := range m.histograms {
		names = append(names, name)
	}
	sort.Strings(names)
	latencies := map[string]Summary{}
	for _, name := range names {
		h := m.histograms[name]
		latencies[name] = Summary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Worst: h.Max(),
		}
	}

	return map[string]any{"counters": counters, "microseconds": latencies}
}
