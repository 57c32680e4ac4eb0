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
	// probeInterval is the time between two requests with a key that is being
	// withdrawn.
	probeInterval = 50 * time.Millisecond
	// probeDuration is how long probes are sent after the publication of the
	// withdrawal.
	probeDuration = keyBound + 3*time.Second
	// propagationTimeout bounds the publication of a withdrawal, and the wait
	// until a configuration is in force everywhere.
	propagationTimeout = 20 * time.Second
)

// publishRequest is the body of PUT /v1/config.
type publishRequest struct {
	Parent   modeler.Offset   `json:"parent"`
	Document modeler.Document `json:"document"`
}

// withdraw withdraws a key of the probe team while the key is in use. At most
// maxWithdrawals keys are withdrawn in one run.
func (r *chaosRun) withdraw(ctx context.Context, _ faultParams) func(context.Context) {
	r.mu.Lock()
	n := r.withdrawnKeys + 1
	if n <= maxWithdrawals {
		r.withdrawnKeys++
	}
	r.mu.Unlock()
	if n > maxWithdrawals {
		return nil
	}
	ctx = context.WithoutCancel(ctx)
	r.probeGroup.Go(func() {
		published := make(chan time.Time, 1)
		r.probeGroup.Go(func() { r.probe(ctx, n, published) })
		offset, at, ok := r.publishWithdrawal(ctx, n)
		if !ok {
			r.addProblem(fmt.Errorf("key %d could not be withdrawn", n))
			close(published)

			return
		}
		published <- at
		r.awaitPropagation(ctx, offset, at)
	})

	return func(context.Context) {}
}

// publishWithdrawal publishes the configuration with key n withdrawn. It retries
// while the log is down or another publication comes first.
func (r *chaosRun) publishWithdrawal(ctx context.Context, n int) (modeler.Offset, time.Time, bool) {
	ctx, stop := context.WithTimeout(ctx, propagationTimeout)
	defer stop()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		time.Sleep(200 * time.Millisecond)
		config, err := r.cluster.Config(ctx, operatorSecret)
		if err != nil {
			continue
		}
		withdrawn := false
		for t := range config.Document.Teams {
			if team := &config.Document.Teams[t]; team.Name == teamProbe {
				withdrawn = team.Keys[n].Withdrawn
				team.Keys[n].Withdrawn = true
			}
		}
		if withdrawn {
			// An earlier attempt took effect, but its answer was lost.
			return config.Offset, time.Now(), true
		}
		entry := r.cluster.Entries[attempt%len(r.cluster.Entries)]
		var reply launcher.Config
		msg := publishRequest{Parent: config.Offset, Document: config.Document}
		if launcher.PutAs(ctx, operatorSecret, entry.Listen, "/v1/config", msg, &reply) == nil {
			return reply.Offset, time.Now(), true
		}
	}

	return 0, time.Time{}, false
}

// probe sends requests with key n until probeDuration after its withdrawal, and
// records the last one that was accepted.
func (r *chaosRun) probe(ctx context.Context, n int, published <-chan time.Time) {
	team := caller.Team{Name: teamProbe, Secret: secret(teamProbe, n)}
	var w verifier.Withdrawal
	var lastAccepted time.Time
	for i := 0; w.Published.IsZero() || time.Since(w.Published) < probeDuration; i++ {
		select {
		case at, ok := <-published:
			if !ok {
				return
			}
			w.Published = at
		case <-time.After(probeInterval):
		}
		key := fmt.Sprintf("probe-%d-%d", n, i)
		result := r.recorder.Call(ctx, team, lookup, key, []byte(key), 1)
		if result.Last.OK() {
			lastAccepted = result.Last.Sent
		}
		if !w.Published.IsZero() {
			w.Attempts++
		}
	}
	if lastAccepted.After(w.Published) {
		w.Accepted = lastAccepted
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawals = append(r.withdrawals, w)
}

// awaitPropagation measures the time until a configuration is in force at every
// instance, including the delays that faults cause.
func (r *chaosRun) awaitPropagation(ctx context.Context, offset modeler.Offset, published time.Time) {
	ctx, stop := context.WithTimeout(ctx, propagationTimeout)
	defer stop()
	for _, entry := range r.cluster.Entries {
		for {
			var config launcher.Config
			attemptCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			err := launcher.GetAs(attemptCtx, operatorSecret, entry.Listen, "/v1/config", &config)
			cancel()
			if err == nil && config.Offset >= offset {
				break
			}
			if ctx.Err() != nil {
				r.addProblem(fmt.Errorf("configuration %d is not in force at %s", offset, entry.Name))

				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.propagationTimes = append(r.propagationTimes, time.Since(published))
}
