package breaker

import (
	"context"
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/proof/verifier"
)

const (
	// probeInterval is the time between two requests with a key that is
	// withdrawn.
	probeInterval = 50 * time.Millisecond
	// probeTime is how long requests are sent after the publication.
	probeTime = keyBound + 3*time.Second
	// spreadTimeout bounds the wait for a configuration to be in force
	// everywhere.
	spreadTimeout = 20 * time.Second
)

// publishRequest is the body of PUT /v1/config.
type publishRequest struct {
	Parent   modeler.Offset   `json:"parent"`
	Document modeler.Document `json:"document"`
}

// withdraw withdraws a key of the probing team while it is in use.
func (b *breaker) withdraw(ctx context.Context, _ draw) func(context.Context) {
	b.mu.Lock()
	n := b.withdrawn + 1
	if n <= probes {
		b.withdrawn++
	}
	b.mu.Unlock()
	if n > probes {
		return nil
	}
	ctx = context.WithoutCancel(ctx)
	b.probeGroup.Go(func() {
		published := make(chan time.Time, 1)
		b.probeGroup.Go(func() { b.probe(ctx, n, published) })
		offset, at, ok := b.publishWithdrawal(ctx, n)
		if !ok {
			b.problem(fmt.Errorf("key %d could not be withdrawn", n))
			close(published)

			return
		}
		published <- at
		b.awaitSpread(ctx, offset, at)
	})

	return func(context.Context) {}
}

// publishWithdrawal publishes the configuration without key n; it tries again
// while the log is down or another publication comes first.
func (b *breaker) publishWithdrawal(ctx context.Context, n int) (modeler.Offset, time.Time, bool) {
	ctx, stop := context.WithTimeout(ctx, spreadTimeout)
	defer stop()
	for try := 0; ctx.Err() == nil; try++ {
		time.Sleep(200 * time.Millisecond)
		config, err := b.cluster.Config(ctx, operatorSecret)
		if err != nil {
			continue
		}
		done := false
		for t := range config.Document.Teams {
			if team := &config.Document.Teams[t]; team.Name == teamProbe {
				done = team.Keys[n].Withdrawn
				team.Keys[n].Withdrawn = true
			}
		}
		if done {
			// An earlier attempt took effect although its answer was lost.
			return config.Offset, time.Now(), true
		}
		entry := b.cluster.Entries[try%len(b.cluster.Entries)]
		var reply launcher.Config
		msg := publishRequest{Parent: config.Offset, Document: config.Document}
		if launcher.PutAs(ctx, operatorSecret, entry.Listen, "/v1/config", msg, &reply) == nil {
			return reply.Offset, time.Now(), true
		}
	}

	return 0, time.Time{}, false
}

// probe uses key n until some time after it was withdrawn.
func (b *breaker) probe(ctx context.Context, n int, published <-chan time.Time) {
	team := caller.Team{Name: teamProbe, Secret: secret(teamProbe, n)}
	var w verifier.Withdrawal
	var last time.Time
	for i := 0; w.Published.IsZero() || time.Since(w.Published) < probeTime; i++ {
		select {
		case at, ok := <-published:
			if !ok {
				return
			}
			w.Published = at
		case <-time.After(probeInterval):
		}
		key := fmt.Sprintf("probe-%d-%d", n, i)
		result := b.recorder.Call(ctx, team, lookup, key, []byte(key), 1)
		if result.Last.OK() {
			last = result.Last.Sent
		}
		if !w.Published.IsZero() {
			w.Attempts++
		}
	}
	if last.After(w.Published) {
		w.Accepted = last
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawals = append(b.withdrawals, w)
}

// awaitSpread measures when a configuration is in force at every instance,
// whatever faults there are on the way.
func (b *breaker) awaitSpread(ctx context.Context, offset modeler.Offset, published time.Time) {
	ctx, stop := context.WithTimeout(ctx, spreadTimeout)
	defer stop()
	for _, entry := range b.cluster.Entries {
		for {
			var config launcher.Config
			once, end := context.WithTimeout(ctx, 500*time.Millisecond)
			err := launcher.GetAs(once, operatorSecret, entry.Listen, "/v1/config", &config)
			end()
			if err == nil && config.Offset >= offset {
				break
			}
			if ctx.Err() != nil {
				b.problem(fmt.Errorf("configuration %d is not in force at %s", offset, entry.Name))

				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spread = append(b.spread, time.Since(published))
}
