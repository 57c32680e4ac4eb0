// Package recorder provides a non-blocking log writer and the counters and latency
// histograms of a process.
package recorder

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/greengagewall/greengagewall/internal/container/buffer"
)

const (
	// logQueueSize bounds the queued log lines; further lines are dropped and counted.
	logQueueSize = 4096
	// maxLatencyMicros is the highest latency that the histograms record; longer ones count as this one.
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantDigits = 2
)

// Writer is an io.Writer for log lines that never blocks. Lines are dropped while
// its queue is full.
type Writer struct {
	ring    *buffer.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer; call Run to start it.
func NewWriter(out io.Writer) *Writer {
	return &Writer{ring: buffer.NewRing[[]byte](logQueueSize), out: out, done: make(chan struct{})}
}

// Write queues a line. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.ring.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Run writes queued lines until ctx ends, and then the remaining ones.
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

// flush writes a line and all lines queued after it in one call, followed by a
// line with the number of dropped lines if there are any.
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

// Done returns a channel that is closed when Run has written all lines and returned.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Metrics holds counters, gauges and latency histograms.
type Metrics struct {
	counters   *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	// gauges holds the present values of each group.
	gauges map[string]map[string]int64
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{counters: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}, gauges: map[string]map[string]int64{}}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) { m.counters.Add(name, 1) }

// SetGauges replaces the present values of a group; without values the group is left out.
func (m *Metrics) SetGauges(group string, values map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(values) == 0 {
		delete(m.gauges, group)

		return
	}
	m.gauges[group] = values
}

// Add adds a number to a counter.
func (m *Metrics) Add(name string, number int64) { m.counters.Add(name, number) }

// Observe adds a latency to a histogram.
func (m *Metrics) Observe(name string, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
		m.histograms[name] = h
	}
	// Longer latencies count as maxLatencyMicros, so there is no out-of-range error.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

// Summary is a summary of a histogram, in microseconds.
type Summary struct {
	Count                int64
	P50, P90, P99, Worst int64
}

// Handler returns a handler that serves the metrics as JSON.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		// An error means that the client has disconnected.
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

	return map[string]any{"counters": counters, "gauges": maps.Clone(m.gauges), "microseconds": latencies}
}
