package leader

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// appendTimeout bounds the time without progress of an append; if there is no answer, the outcome is read back.
	appendTimeout = 600 * time.Millisecond
	// readTimeout bounds the time without progress of a read-back, and appendRetryDelay is the delay after a failure.
	readTimeout      = 600 * time.Millisecond
	appendRetryDelay = 80 * time.Millisecond
)

// Append appends records to the state table at an offset and retries until the
// outcome is known. After an append without an answer it reads the offset back,
// since at most one append can succeed there. It returns an error only when ctx
// ends first.
func Append(ctx context.Context, store definer.Store, offset int64, records []definer.Record) (definer.AppendReply, error) {
	uncertain := false
	for ctx.Err() == nil {
		callCtx, cancel := definer.WithStallTimeout(ctx, appendTimeout)
		reply, err := store.Append(callCtx, definer.TableState, offset, records)
		cancel()
		if err == nil && (reply.Appended || !uncertain) {
			return reply, nil
		}
		if err != nil {
			if refused := new(definer.RefusedError); errors.As(err, &refused) {
				if !definer.Sleep(ctx, appendRetryDelay, nil) {
					break
				}

				continue
			}
			uncertain = true
		}
		reply, known, err := readBack(ctx, store, offset, records)
		if err == nil && known {
			return reply, nil
		}
		if err != nil && !definer.Sleep(ctx, appendRetryDelay, nil) {
			break
		}
	}

	return definer.AppendReply{}, errors.Wrap(context.Cause(ctx), "append")
}

// readBack reads the record at the offset. The second result reports whether
// the outcome of the append is known, that is, whether the offset is occupied.
func readBack(ctx context.Context, store definer.Store, offset int64, records []definer.Record) (definer.AppendReply, bool, error) {
	callCtx, cancel := definer.WithStallTimeout(ctx, readTimeout)
	defer cancel()
	tail, err := store.Read(callCtx, definer.TableState, offset, 1, 0)
	if err != nil {
		return definer.AppendReply{}, false, err
	}
	if tail.Truncated {
		// The owner's own heartbeats are newer than truncated records, so another owner has appended since.
		return definer.AppendReply{End: tail.End}, true, nil
	}
	if tail.End <= offset || len(tail.Records) == 0 {
		return definer.AppendReply{}, false, nil
	}
	appended := tail.Records[0].Key == records[0].Key && bytes.Equal(tail.Records[0].Value, records[0].Value)
	reply := definer.AppendReply{Appended: appended, End: tail.End}
	if appended {
		reply.End = offset + int64(len(records))
	}

	return reply, true, nil
}
