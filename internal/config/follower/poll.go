package follower

import "context"

// Poll reads the stream up to its tail without waiting for new records, for
// callers that schedule the reads themselves instead of calling Run.
func (f *Follower) Poll(ctx context.Context) error { return f.catchUp(ctx) }
