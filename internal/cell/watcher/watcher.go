// Package watcher follows tables of the store. It reads the newest record of each
// key and then every appended record.
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
	// readSlack is the time without progress of a read in addition to its wait.
	readSlack = 900 * time.Millisecond
	// pageTimeout bounds the time without progress while a page is read.
	pageTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxReadKilobytes is the maximum size of the records that a read returns, in kilobytes.
	maxReadKilobytes = 1024
)

// Settings configure a watcher.
type Settings struct {
	Table definer.Table
	// Wait is how long a read waits for new records.
	Wait time.Duration
	// MinInterval is the minimum time between two reads; records appended in between are read together.
	MinInterval time.Duration
}

// Watcher follows a table. It calls apply for each record, in order, from a single
// goroutine. A record without a value removes its key.
type Watcher struct {
	settings Settings
	store    definer.Store
	logger   hclog.Logger
	apply    func(definer.Record)
	// onSync is called after each successful load or read; it may be nil.
	onSync func()
	// asOf is when the last call was sent whose answer reached the end of the table.
	asOf      atomic.Int64
	latency   atomic.Int64
	ready     chan struct{}
	readyOnce sync.Once
	done      chan struct{}
	// keys holds the keys that have a record.
	keys map[string]struct{}
	// next is the offset of the next read.
	next int64
	// partial is the load of the table that a failed call has interrupted, or nil.
	partial *partialLoad
	// lost means that the last call failed.
	lost bool
}

// New returns a watcher; call Run to start it.
func New(settings Settings, store definer.Store, logger hclog.Logger, apply func(definer.Record), onSync func()) *Watcher {
	return &Watcher{settings: settings, store: store, logger: logger, apply: apply, onSync: onSync,
		ready: make(chan struct{}), done: make(chan struct{}), keys: map[string]struct{}{}}
}

// AsOf returns the last time at which the applied records were known to be up to
// date, or 0 before the first load.
func (w *Watcher) AsOf() definer.Instant { return definer.Instant(w.asOf.Load()) }

// Offset returns the offset up to which the records of the table are applied. It may only be called by onSync.
func (w *Watcher) Offset() int64 { return w.next }

// Latency returns the duration of the last load of the table. It is a measure of the
// latency of the store, because a load does not wait for new records.
func (w *Watcher) Latency() time.Duration { return time.Duration(w.latency.Load()) }

// Ready returns a channel that is closed when the table has been read once.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Done returns a channel that is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// progress is how far the applied records are known to reach.
type progress int

const (
	// notLoaded means that records are missing and the table has to be loaded.
	notLoaded progress = iota
	// behind means that there are more records to read.
	behind
	// upToDate means that the last call reached the end of the table.
	upToDate
)

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	delay := minRetryDelay
	progress := notLoaded
	for ctx.Err() == nil {
		sent := definer.Now()
		var err error
		if progress != notLoaded {
			progress, err = w.read(ctx)
		} else if sent, err = w.load(ctx); err == nil {
			progress = upToDate
			w.latency.Store(int64(definer.Since(sent)))
		}
		if err != nil {
			w.recordFailure(ctx, err)
			definer.Sleep(ctx, delay, nil)
			delay = min(delay*2, maxRetryDelay)

			continue
		}
		delay = minRetryDelay
		if progress != upToDate {
			continue
		}
		w.recordSuccess(sent)
		definer.Sleep(ctx, w.settings.MinInterval-definer.Since(sent), nil)
	}
}

func (w *Watcher) recordFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && !w.lost {
		w.lost = true
		w.logger.Warn("store lost", "table", w.settings.Table, "error", err, "age", definer.Since(w.AsOf()).String())
	}
}

func (w *Watcher) recordSuccess(sent definer.Instant) {
	if w.lost {
		w.lost = false
		w.logger.Info("store regained", "table", w.settings.Table, "offset", w.next, "after", definer.Since(w.AsOf()).String())
	}
	w.asOf.Store(int64(sent))
	w.readyOnce.Do(func() { close(w.ready) })
	if w.onSync != nil {
		w.onSync()
	}
}

// partialLoad is how far a load of the table has come.
type partialLoad struct {
	// began is when the first page was requested.
	began definer.Instant
	// after is the last key that was read.
	after string
	// next is the end of the table as of the first page.
	next int64
	// present holds the keys that were read.
	present map[string]struct{}
}

// load reads the newest record of each key and removes keys that are no longer
// present. The pages are not a consistent snapshot, so reading continues from the
// end of the table as of the first page. After a failed call, the next load
// continues after the last page that was read. It returns when the first page was
// requested: the table is not known to be up to date as of any later time.
func (w *Watcher) load(ctx context.Context) (began definer.Instant, err error) {
	if w.partial == nil {
		w.partial = &partialLoad{began: definer.Now(), next: -1, present: map[string]struct{}{}}
	}
	for more := true; more; {
		if more, err = w.loadPage(ctx, w.partial); err != nil {
			return 0, err
		}
	}
	for key := range w.keys {
		if _, ok := w.partial.present[key]; !ok {
			w.applyRecord(definer.Record{Key: key})
		}
	}
	began = w.partial.began
	w.next, w.partial = w.partial.next, nil

	return began, nil
}

// loadPage reads and applies the next page of a load. It reports whether more follow.
func (w *Watcher) loadPage(ctx context.Context, partial *partialLoad) (bool, error) {
	callCtx, cancel := definer.WithStallTimeout(ctx, pageTimeout)
	defer cancel()
	page, err := w.store.Newest(callCtx, w.settings.Table, partial.after)
	if err != nil {
		return false, err
	}
	if partial.next < 0 {
		partial.next = page.End
	}
	before := partial.after
	for _, record := range page.Records {
		partial.present[record.Key] = struct{}{}
		partial.after = record.Key
		w.applyRecord(record)
	}

	// A key that is not valid text is changed on the way, so that the next page may begin with it again.
	return page.More && partial.after != before, nil
}

// read reads appended records. If some were truncated, the table has to be loaded
// again. After an error the progress is behind, as the next read may succeed.
func (w *Watcher) read(ctx context.Context) (progress, error) {
	callCtx, cancel := definer.WithStallTimeout(ctx, w.settings.Wait+readSlack)
	defer cancel()
	tail, err := w.store.Read(callCtx, w.settings.Table, w.next, maxReadKilobytes, w.settings.Wait)
	if err != nil {
		return behind, err
	}
	if tail.Truncated {
		w.logger.Info("records truncated before they were read", "table", w.settings.Table, "offset", w.next)

		return notLoaded, nil
	}
	for _, record := range tail.Records {
		w.applyRecord(record)
	}
	w.next = tail.Next
	if tail.Next < tail.End {
		return behind, nil
	}

	return upToDate, nil
}

func (w *Watcher) applyRecord(record definer.Record) {
	if len(record.Value) == 0 {
		delete(w.keys, record.Key)
	} else {
		w.keys[record.Key] = struct{}{}
	}
	w.apply(record)
}
