// Package watcher follows tables of the store: it reads the newest record of
// each key and then what is appended.
package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// callSlack is how much longer than its wait a call may take.
	callSlack = 900 * time.Millisecond
	// pageTimeout bounds the reading of a page.
	pageTimeout = 1500 * time.Millisecond
	// pauseFirst and pauseMost bound the pause after a failed call.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
	// readLimit is how much a call may return, in kilobytes.
	readLimit = 1024
)

// Settings describe how a table is followed.
type Settings struct {
	Table definer.Table
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// MinInterval is the least time between two reads, which batches records.
	MinInterval time.Duration
}

// Watcher follows a table. Apply is called for each record, in order, by one
// goroutine; a record without a value drops its key.
type Watcher struct {
	settings Settings
	store    definer.Store
	logger   hclog.Logger
	apply    func(definer.Record)
	// caughtUp is called after each successful call.
	caughtUp func()
	// asOf is the sending time of the last successful call.
	asOf  atomic.Int64
	trip  atomic.Int64
	ready chan struct{}
	once  sync.Once
	done  chan struct{}
	keys  map[string]struct{}
	next  int64
	lost  bool
}

// New returns a watcher; Run makes it work.
func New(settings Settings, store definer.Store, logger hclog.Logger, apply func(definer.Record), caughtUp func()) *Watcher {
	return &Watcher{settings: settings, store: store, logger: logger, apply: apply, caughtUp: caughtUp,
		ready: make(chan struct{}), done: make(chan struct{}), keys: map[string]struct{}{}}
}

// AsOf returns the instant at which what was applied was up to date, or 0.
func (w *Watcher) AsOf() definer.Instant { return definer.Instant(w.asOf.Load()) }

// Latency returns the time that a short call to the store has taken lately.
func (w *Watcher) Latency() time.Duration { return time.Duration(w.trip.Load()) }

// Ready is closed when the table has been read once.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	pause := pauseFirst
	synced := false
	for ctx.Err() == nil {
		sent := definer.Now()
		var err error
		if synced {
			synced, err = w.read(ctx)
		} else if err = w.load(ctx); err == nil {
			synced = true
			w.trip.Store(int64(definer.Since(sent)))
		}
		if err != nil {
			w.failed(ctx, err)
			definer.Sleep(ctx, pause, nil)
			pause = min(pause*2, pauseMost)

			continue
		}
		pause = pauseFirst
		w.succeeded(sent)
		definer.Sleep(ctx, w.settings.MinInterval-definer.Since(sent), nil)
	}
}

func (w *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() == nil && !w.lost {
		w.lost = true
		w.logger.Warn("store lost", "table", w.settings.Table, "error", err, "age", definer.Since(w.AsOf()).String())
	}
}

func (w *Watcher) succeeded(sent definer.Instant) {
	if w.lost {
		w.lost = false
		w.logger.Info("store regained", "table", w.settings.Table, "offset", w.next, "after", definer.Since(w.AsOf()).String())
	}
	w.asOf.Store(int64(sent))
	w.once.Do(func() { close(w.ready) })
	if w.caughtUp != nil {
		w.caughtUp()
	}
}

// load reads the newest record of each key. Pages are not a snapshot, so what
// follows the first page's end is read again.
func (w *Watcher) load(ctx context.Context) error {
	after, next := "", int64(-1)
	present := map[string]struct{}{}
	for {
		callCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := w.store.Newest(callCtx, w.settings.Table, after)
		cancel()
		if err != nil {
			return err
		}
		if next < 0 {
			next = page.End
		}
		for _, record := range page.Records {
			present[record.Key] = struct{}{}
			w.take(record)
			after = record.Key
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
	}
	for key := range w.keys {
		if _, ok := present[key]; !ok {
			w.take(definer.Record{Key: key})
		}
	}
	w.next = next

	return nil
}

// read reads what was appended. It reports false when the table has to be
// loaded again.
func (w *Watcher) read(ctx context.Context) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, w.settings.Wait+callSlack)
	defer cancel()
	tail, err := w.store.Read(callCtx, w.settings.Table, w.next, readLimit, w.settings.Wait)
	if err != nil {
		return true, err
	}
	if tail.Truncated {
		w.logger.Info("history dropped", "table", w.settings.Table, "offset", w.next)

		return false, nil
	}
	for _, record := range tail.Records {
		w.take(record)
	}
	w.next = tail.Next

	return true, nil
}

func (w *Watcher) take(record definer.Record) {
	if len(record.Value) == 0 {
		delete(w.keys, record.Key)
	} else {
		w.keys[record.Key] = struct{}{}
	}
	w.apply(record)
}
