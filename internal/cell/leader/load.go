package leader

import (
	"context"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
)

const (
	// loadTimeout bounds the time without progress while a page of the state is read, and loadRetryDelay is the delay
	// after a failure.
	loadTimeout    = 1500 * time.Millisecond
	loadRetryDelay = 50 * time.Millisecond
)

// load reads the state table up to the claim, its parts at the same time. The pages
// are consistent because only the owner appends to the table and every append names
// its offset. It returns ErrSuperseded if the table has grown since the claim.
func (l *Leader) load(parent context.Context) (*journaler.State, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(context.Canceled)
	loaded := &loader{leader: l, state: journaler.NewState()}
	var group sync.WaitGroup
	keys := journaler.Ranges()
	for i, key := range keys {
		part := &partLoad{leader: l, after: key, add: loaded.add, cancel: cancel}
		if i+1 < len(keys) {
			part.last = keys[i+1]
		}
		group.Add(1)
		go func() {
			defer group.Done()
			part.run(ctx)
		}()
	}
	group.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}

	return loaded.state, nil
}

// loader collects the parts of the state.
type loader struct {
	leader *Leader
	mu     sync.Mutex
	state  *journaler.State
}

func (d *loader) add(record definer.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.Apply(record); err != nil {
		d.leader.logger.Error("unreadable record in the state table", "key", record.Key, "error", err)
	}
}

// partLoad reads the records with keys after a key and up to last, or to the end of
// the table if last is empty.
type partLoad struct {
	leader      *Leader
	after, last string
	add         func(definer.Record)
	// cancel ends the load of all parts.
	cancel context.CancelCauseFunc
}

// run reads the part. It retries failed calls until ctx ends.
func (p *partLoad) run(ctx context.Context) {
	for more := true; more && ctx.Err() == nil; {
		callCtx, cancel := definer.WithProgress(ctx, loadTimeout, p.leader.recordStoreReply)
		page, err := p.leader.store.Newest(callCtx, definer.TableState, p.after)
		cancel()
		if err != nil {
			p.leader.logger.Warn("state table not read", "after", p.after, "error", err)
			definer.Sleep(ctx, loadRetryDelay, nil)

			continue
		}
		if page.End != p.leader.settings.End {
			p.cancel(ErrSuperseded)

			return
		}
		more = page.More && len(page.Records) > 0
		for _, record := range page.Records {
			if p.last != "" && record.Key > p.last {
				return
			}
			p.add(record)
			p.after = record.Key
		}
	}
}
